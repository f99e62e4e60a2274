// Package owner serves the transactions of the services that this host holds a lease for.
//
// It places each transaction on a target, relays its frames, acknowledges a commit only after a
// majority of the group received it and the lease was checked, watches the targets, and promotes a
// target when the control leader asks for it. The only connections to targets are made here.
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
	// DefaultQuorumWait bounds the wait until a majority has received a commit.
	DefaultQuorumWait = 2 * time.Second
	// DefaultPollIdle is the interval of status questions while nothing waits for an answer.
	DefaultPollIdle = 100 * time.Millisecond
	// DefaultPollBusy is the interval while commits, reads or an election wait for answers.
	DefaultPollBusy = 5 * time.Millisecond
	// DefaultStatusTimeout bounds one status question or control step at a target.
	DefaultStatusTimeout = 500 * time.Millisecond
	// DefaultDrainWait bounds the wait for running writes, and then the wait for the preferred target,
	// in a planned change of the primary.
	DefaultDrainWait = 2 * time.Second
	// DefaultStartTimeout applies to requests without a timeout.
	DefaultStartTimeout = 5 * time.Second
	// silentAbort is the silence of a target after which transactions on it are given up.
	silentAbort = 3 * time.Second
	// cancelTimeout bounds a cancel request to a target.
	cancelTimeout = time.Second
)

// Catalog is what the owner looks up in the host's configuration. Results must not change.
type Catalog interface {
	Service(name string) (catalog.Service, bool)
	EffectivePolicy(team, service string) catalog.EffectivePolicy
}

// Conn is a connection to a target. One goroutine may send while another one reads. Frames of Next
// are valid until the following call. Discard prevents reuse; the pool closes the connection in Put.
type Conn interface {
	Send(frames []byte) error
	Next() (pgwire.Frame, error)
	HasNext() bool // a whole frame has arrived; for the goroutine that calls Next
	TxStatus() byte
	Position() position.Position
	Pending() bool
	Discard()
	Cancel(ctx context.Context) error
	Exec(ctx context.Context, sql string) (rows [][]string, tag string, err error)
	SetDeadline(t time.Time) error
}

// Pool holds connections to one target. Errors of Get are *verdict.Error with verdict NotRun.
type Pool interface {
	Get(ctx context.Context) (Conn, error)
	Put(c Conn)
	Close()
}

// Status is a target's answer to a status question.
type Status struct {
	Role     string // routing.RolePrimary, RoleReplica or RoleDiverged
	Term     uint64
	Received position.Position
	Applied  position.Position
}

// ControlConn is a connection for the control functions of a target.
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
	MaxConns int    // of the pool; control functions use a connection of their own
}

// Factory makes the connections to targets.
type Factory interface {
	NewPool(cfg TargetConfig) Pool
	DialControl(ctx context.Context, cfg TargetConfig) (ControlConn, error)
}

// Config holds what a Manager needs. LeaseValid says whether the lease of an ownership epoch is valid
// at this moment; it must be cheap. ReturnLease is called once for each revoked epoch, after its
// running work ended. Zero durations get the defaults; Clock, After and Logger may be nil.
type Config struct {
	Catalog     Catalog
	Factory     Factory
	LeaseValid  func(service string, epoch uint64) bool
	ReturnLease func(service string, epoch uint64)
	Clock       clock.Clock
	After       func(time.Duration) <-chan time.Time // waits of the drivers
	Seed        uint64                               // of the random choice of replicas
	Logger      log.Logger

	QuorumWait    time.Duration
	PollIdle      time.Duration
	PollBusy      time.Duration
	StatusTimeout time.Duration
	DrainWait     time.Duration
	ReplicaWait   time.Duration // bound of the wait for a replica to reach a floor
}

func (c *Config) fill() {
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
	setDefault(&c.PollIdle, DefaultPollIdle)
	setDefault(&c.PollBusy, DefaultPollBusy)
	setDefault(&c.StatusTimeout, DefaultStatusTimeout)
	setDefault(&c.DrainWait, DefaultDrainWait)
	setDefault(&c.ReplicaWait, routing.DefaultReplicaWait)
}

func setDefault(d *time.Duration, v time.Duration) {
	if *d <= 0 {
		*d = v
	}
}

// PoolOf is a pool whose connections have the concrete type C.
type PoolOf[C Conn] interface {
	Get(ctx context.Context) (C, error)
	Put(c C)
	Close()
}

type poolAdapter[C Conn] struct{ p PoolOf[C] }

// AdaptPool makes a Pool of a pool with a concrete connection type.
func AdaptPool[C Conn](p PoolOf[C]) Pool { return poolAdapter[C]{p} }

func (a poolAdapter[C]) Get(ctx context.Context) (Conn, error) {
	c, err := a.p.Get(ctx)
	if err != nil {
		return nil, err
	}
	return c, nil
}

func (a poolAdapter[C]) Put(c Conn) {
	if x, ok := c.(C); ok {
		a.p.Put(x)
	}
}

func (a poolAdapter[C]) Close() { a.p.Close() }
