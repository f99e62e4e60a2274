// Package holder runs the statements for the targets whose leases this host holds.
//
// All connections to a target are opened by the holder of its lease. It queues the statements of all
// hosts, gives each team's sessions their values and prepared statements on shared connections, and
// checks the lease before a statement starts and before a commit is acknowledged.
package holder

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"github.com/citronrun/citronrun/internal/clock"
	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/statement"
	"github.com/citronrun/citronrun/internal/wire"
)

// Conn is a connection to a target, opened for one team. Its methods are called one at a time. Errors of
// type *verdict.Error are answers of the target, after which the connection can be used on; after any
// other error it must be closed.
type Conn interface {
	// Run runs a statement if the target's log has the position after, which may be zero.
	Run(ctx context.Context, st statement.Statement, after position.Position) (statement.Result, error)
	Set(ctx context.Context, name, value string) error
	Prepare(ctx context.Context, d statement.Definition) error
	// Reset drops all values and prepared statements.
	Reset(ctx context.Context) error
	// Ping returns the position of the target's log.
	Ping(ctx context.Context) (position.Position, error)
	// Usable reports whether the connection is open and nothing unexpected has arrived.
	Usable() bool
	Close()
}

// Dialer opens connections to targets. Errors of type *verdict.Error are answers of the target.
type Dialer interface {
	Dial(ctx context.Context, target wire.TargetGrant, team string) (Conn, error)
}

// Lease is a target lease of this host.
type Lease struct {
	wire.TargetGrant
	Revoked bool // running work ends, nothing new starts
}

// Leases is the host's view of its leases.
type Leases interface {
	// TargetValid reports whether work under a lease may go on, and with primary set whether that
	// includes work that needs the primary in the given term.
	TargetValid(target string, epoch uint64, primary bool, term uint64) bool
	// ReturnTargetLease gives a lease back.
	ReturnTargetLease(target string, epoch uint64)
	// ReleasePrimary says that no work that needs the primary runs any more.
	ReleasePrimary(target string, epoch uint64)
	// RenewNow makes a report about a target's health travel at once.
	RenewNow()
}

// Config holds what a Manager needs. Clock must go on while the machine is suspended.
type Config struct {
	Dialer  Dialer
	Leases  Leases
	Clock   clock.Clock
	Logger  log.Logger
	Metrics *metrics.Set
}

const (
	tickInterval = 100 * time.Millisecond
	// sampleInterval is the age of the newest sample of a primary after which it is asked for its
	// position.
	sampleInterval = 400 * time.Millisecond
	pingTimeout    = 500 * time.Millisecond
	// primaryDrain is how long work that needs the primary may go on after the leader has taken the
	// primary back. Blocks that are open by then are rolled back.
	primaryDrain = 1500 * time.Millisecond
	// leaseDrain is how long blocks may go on after the lease was revoked. The shortest grace period of
	// a shutdown is 6 s, half of which belongs to open blocks.
	leaseDrain = 3 * time.Second
	// minReport is the silence of a target, or the time that a commit waits, which is worth a report.
	minReport = 300 * time.Millisecond
	// silentBound is the silence from which on a target gets no work but the question for its position.
	// Statements would wait for it up to their deadlines; the leader replaces a primary at the same bound.
	silentBound = 500 * time.Millisecond
	// reportInterval is the time between two reports that travel at once.
	reportInterval = 200 * time.Millisecond
	// extraStatements is the number of statements that wait at the target itself, so that its slots stay
	// busy while answers travel.
	extraStatements = 1
)
