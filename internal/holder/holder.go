// Package holder executes statements at the targets whose leases this host holds.
//
// Only the holder of a target's lease opens connections to the target. It queues the statements of all
// hosts, restores the settings and prepared statements of a session on the connections that the sessions
// of its team share, and checks the lease before a statement starts and before a commit is acknowledged.
package holder

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/clock"
	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/statement"
	"github.com/citronrun/citronrun/internal/wire"
)

// Conn is a connection to a target, opened for one team. Its methods are not called concurrently. An error
// of type *verdict.Error is a response of the target and leaves the connection usable; after any other
// error the connection must be closed.
type Conn interface {
	// Run runs a statement if the target's log has reached minPosition, and otherwise refuses it with the
	// verdict NotRun. A zero minPosition is always reached.
	Run(ctx context.Context, st statement.Statement, minPosition position.Position) (statement.Result, error)
	// Set sets a session setting.
	Set(ctx context.Context, name, value string) error
	Prepare(ctx context.Context, def statement.Definition) error
	// Reset drops all settings and prepared statements.
	Reset(ctx context.Context) error
	// PollPosition returns the position of the target's log.
	PollPosition(ctx context.Context) (position.Position, error)
	// Usable reports whether the connection is open and has received no unsolicited data.
	Usable() bool
	Close()
}

// Dialer opens connections to targets. An error of type *verdict.Error is a response of the target; any
// other error means that the target could not be reached.
type Dialer interface {
	Dial(ctx context.Context, grant wire.TargetGrant, team string) (Conn, error)
}

// Lease is a target lease of this host.
type Lease struct {
	wire.TargetGrant
	// Revoked means that running work is drained and no new work starts. The lease stays valid until it is
	// returned or expires.
	Revoked   bool
	RenewedAt time.Time // when the request for its latest renewal was sent
}

// Leases gives access to the leases of this host.
type Leases interface {
	// TargetValid reports whether the lease of a target is valid in the given epoch. With needsPrimary it
	// also checks that the lease includes the primary right in the given term.
	TargetValid(target string, epoch uint64, needsPrimary bool, term uint64) bool
	// ReturnTargetLease returns a lease to the control leader.
	ReturnTargetLease(target string, epoch uint64)
	// ReleasePrimary reports that no work that needs the primary is running any more.
	ReleasePrimary(target string, epoch uint64)
	// RenewNow renews the leases immediately, so that a health report does not wait for the next regular
	// renewal.
	RenewNow()
}

// Config holds the dependencies of a Manager. Clock must keep running while the host is suspended.
type Config struct {
	Dialer Dialer
	// Place returns what operators have ordered for a place, as far as this host knows. It may be nil.
	Place func(name string) catalog.Place
	// EmptyPlaceTime is how long open blocks may continue in a place that is emptied; 0: DefaultEmptyPlaceTime.
	EmptyPlaceTime time.Duration
	Leases         Leases
	Samples        SampleSource
	Clock          clock.Clock
	Logger         log.Logger
	Metrics        *metrics.Set
}

const (
	tickInterval = 100 * time.Millisecond
	// replicaPatience bounds the wait of a read for a replica that has not reached the position that the read requires. A
	// replica is usually tens of milliseconds behind; another host would have to ask the primary.
	replicaPatience = 140 * time.Millisecond
	// sampleInterval is the age of a primary's newest known position at which the primary is polled.
	sampleInterval = 400 * time.Millisecond
	pollTimeout    = 500 * time.Millisecond
	// primaryDrainTimeout bounds work that needs the primary after the primary right was revoked. Blocks
	// that are still open then are rolled back.
	primaryDrainTimeout = 1500 * time.Millisecond
	// leaseDrainTimeout bounds open blocks after the lease was revoked. It is half of the shortest grace
	// period of a shutdown, 6 s.
	leaseDrainTimeout = 3 * time.Second
	// DefaultEmptyPlaceTime bounds open blocks in a place that is emptied.
	DefaultEmptyPlaceTime = 2 * time.Second
	// reportThreshold is the silence of a target, or the stall of a commit, from which the target counts as
	// unhealthy and a renewal is requested to report it. Health lists a target that can't be reached from the
	// first failure on.
	reportThreshold = 300 * time.Millisecond
	// silenceLimit is the silence from which a target gets only position polls: statements would wait
	// there until their deadlines. The control leader replaces a primary at the same limit.
	silenceLimit = 500 * time.Millisecond
	// reportInterval is the least time between two renewals that are requested for a health report.
	reportInterval = 200 * time.Millisecond
	// pipelinedStatements is the number of statements sent to a target beyond its slots. They keep the
	// slots busy during the network round trip of a response.
	pipelinedStatements = 1
)
