// Package owner executes the transactions of the services whose lease this host holds.
//
// It routes each transaction to a target and relays its frames. A commit is acknowledged only after
// a quorum, which is a majority of the service's targets, has received it and the lease has been
// checked. The package also polls the status of the targets, and holds an election when the control
// leader orders one: it chooses a target and promotes it to primary. No other package
// connects to targets.
package owner

import (
	"context"
	"time"

	"github.com/go-kit/log"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/clock"
	"github.com/citronrun/citronrun/internal/pgwire"
	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/routing"
)

const (
	// DefaultQuorumWait bounds the wait until a quorum has received a commit.
	DefaultQuorumWait = 2 * time.Second
	// DefaultIdlePollInterval is the status poll interval while nothing depends on the next status.
	DefaultIdlePollInterval = 100 * time.Millisecond
	// DefaultBusyPollInterval is the status poll interval while commits, reads or an election wait
	// for a newer status.
	DefaultBusyPollInterval = 5 * time.Millisecond
	// DefaultStatusTimeout bounds a status request plus the command that may follow it, and
	// the connection attempt before them.
	DefaultStatusTimeout = 500 * time.Millisecond
	// DefaultDrainWait bounds each of the two phases of a switchover: first until the running
	// transactions on the old primary end, then until the preferred target has caught up.
	DefaultDrainWait = 2 * time.Second
	// DefaultStartTimeout bounds the time until a transaction starts when its request sets no
	// timeout.
	DefaultStartTimeout = 5 * time.Second
	// silenceLimit is the time without a status after which the running transactions on a target are aborted. The
	// target gets no new ones after routing.UnresponsiveAfter, which is shorter.
	silenceLimit = 3 * time.Second
	// cancelTimeout bounds the delivery of a cancel request to a target.
	cancelTimeout = time.Second
)

// Catalog is the part of the host's configuration that the owner reads. Returned values must not be
// modified afterwards.
type Catalog interface {
	Service(name string) (catalog.Service, bool)
	EffectivePolicy(team, service string) catalog.EffectivePolicy
}

// Conn is a pooled connection to a target. One goroutine may send while another one reads. A frame
// returned by Next is valid until the next call of Next. Discard marks the connection as not
// reusable; Put then closes it.
type Conn interface {
	Send(frames []byte) error
	Next() (pgwire.Frame, error)
	HasNext() bool               // a complete frame is buffered; only for the goroutine that calls Next
	TxStatus() byte              // from the last ReadyForQuery
	Position() position.Position // last position that the target reported
	Pending() bool               // the ReadyForQuery of a sent request hasn't been read yet
	Discard()
	Cancel(ctx context.Context) error
	Exec(ctx context.Context, sql string) (rows [][]string, tag string, err error)
	SetDeadline(t time.Time) error
}

// Pool is a connection pool of one target. Errors of Get are *verdict.Error with verdict NotRun.
type Pool interface {
	Get(ctx context.Context) (Conn, error)
	Put(c Conn)
	Close()
}

// Status is a target's reply to a status request.
type Status struct {
	Role     string // routing.RolePrimary, RoleReplica or RoleDiverged
	Term     uint64
	Received position.Position
	Applied  position.Position
}

// ControlConn is a connection to a target for its replication control functions.
type ControlConn interface {
	Status(ctx context.Context) (Status, error)
	Promote(ctx context.Context, term uint64) error
	Follow(ctx context.Context, term uint64, addr string) error
	Close()
}

// TargetConfig describes a target to the Factory.
type TargetConfig struct {
	Service  string
	Target   string
	Addr     string // PostgreSQL address IP:PORT
	MaxConns int    // pool limit; the control connection is not counted
}

// Factory creates connection pools and control connections for targets.
type Factory interface {
	NewPool(cfg TargetConfig) Pool
	DialControl(ctx context.Context, cfg TargetConfig) (ControlConn, error)
}

// Config holds the dependencies and settings of a Manager. LeaseValid reports whether the lease of
// an ownership epoch is valid now; it is called for every transaction and must be cheap.
// ReturnLease is called once for each revoked epoch, after its running transactions have ended.
// Zero durations are replaced by the defaults; Clock, After and Logger may be nil.
type Config struct {
	Catalog     Catalog
	Factory     Factory
	LeaseValid  func(service string, epoch uint64) bool
	ReturnLease func(service string, epoch uint64)
	Clock       clock.Clock
	After       func(time.Duration) <-chan time.Time // timer source of waits and poll loops
	Seed        uint64                               // seed for the random choice of replicas
	Logger      log.Logger

	QuorumWait       time.Duration
	IdlePollInterval time.Duration
	BusyPollInterval time.Duration
	StatusTimeout    time.Duration
	DrainWait        time.Duration
	ReplicaWait      time.Duration // bounds the wait until a replica has applied a read's floor
}

func (c *Config) setDefaults() {
	if c.Clock == nil {
		c.Clock = clock.System{}
	}
	if c.After == nil {
		c.After = time.After
	}
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	setDefault(&c.QuorumWait, DefaultQuorumWait)
	setDefault(&c.IdlePollInterval, DefaultIdlePollInterval)
	setDefault(&c.BusyPollInterval, DefaultBusyPollInterval)
	setDefault(&c.StatusTimeout, DefaultStatusTimeout)
	setDefault(&c.DrainWait, DefaultDrainWait)
	setDefault(&c.ReplicaWait, routing.DefaultReplicaWait)
}

func setDefault(d *time.Duration, v time.Duration) {
	if *d <= 0 {
		*d = v
	}
}

// TypedPool is a pool whose connections have the concrete type C.
type TypedPool[C Conn] interface {
	Get(ctx context.Context) (C, error)
	Put(c C)
	Close()
}

type poolAdapter[C Conn] struct{ pool TypedPool[C] }

// AdaptPool wraps a pool with a concrete connection type as a Pool.
func AdaptPool[C Conn](p TypedPool[C]) Pool { return poolAdapter[C]{p} }

func (a poolAdapter[C]) Get(ctx context.Context) (Conn, error) {
	c, err := a.pool.Get(ctx)
	if err != nil {
		return nil, err
	}
	return c, nil
}

func (a poolAdapter[C]) Put(c Conn) {
	if x, ok := c.(C); ok {
		a.pool.Put(x)
	}
}

func (a poolAdapter[C]) Close() { a.pool.Close() }
