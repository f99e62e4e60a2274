// Package gateway serves the sessions of callers whose databases are routed by a deployment. It checks keys
// and rate limits, keeps the settings, prepared statements and commit positions of each session, and sends
// every statement to a target that is as fresh as the route requires, through the holder of that target.
// Package entry serves the callers of catalog services, which have an owner instead of target leases.
package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/clock"
	"github.com/citronrun/citronrun/internal/wire"
)

// Directory is this host's view of the catalog, the rate tokens and the targets.
type Directory interface {
	// Catalog returns the newest known catalog, or nil if there is none yet.
	Catalog() *catalog.Snapshot
	// ConfirmedAge returns how long ago the control leader has confirmed that Catalog is the newest one.
	ConfirmedAge() time.Duration
	// AcquireTokensFailFast acquires rate tokens of a team. If this host has too few, it borrows from the
	// control leader, which may take until ctx is done. If the leader has recently reported that the team
	// has none, it refuses without a call.
	AcquireTokensFailFast(ctx context.Context, team string, tokens int) error
	// TargetsOf returns the routes to the targets of a service.
	TargetsOf(service string) []wire.TargetRoute
}

// Block is an open transaction block at a target.
type Block interface {
	// Next runs the next statement of the block. An error means that the connection to the holder was
	// lost.
	Next(ctx context.Context, req wire.BlockStatementRequest) (wire.StatementReply, error)
	// Close rolls the block back if it is open.
	Close()
}

// HolderClient sends statements to the holders of targets.
type HolderClient interface {
	// Start sends a statement, or the first statement of a block, to the holder of a target. The Block
	// is nil if no block is left open. A *verdict.Error with the verdict NotRun means that nothing was
	// sent; any other error means that the connection to the holder was lost.
	Start(ctx context.Context, route wire.TargetRoute, req wire.StatementRequest) (wire.StatementReply, Block, error)
}

// Config holds the settings and dependencies of a Gateway. Clock must keep running while the host is
// suspended.
type Config struct {
	Place string // of this host
	// MaxConfirmedAge is the greatest age of the last confirmation with which operations are judged by the
	// deployment. Beyond it they are refused as unavailable, because a newer deployment may be in force.
	MaxConfirmedAge time.Duration
	// TrafficCost is the time that a statement must save to be sent to another place; nil: a share of the route's
	// latency objective.
	TrafficCost *time.Duration
	Directory   Directory
	Holders     HolderClient
	Clock       clock.Clock
	Logger      log.Logger
	Metrics     *metrics.Set
}

const (
	// targetWaitDivisor divides the route's latency objective to get the wait limit of a statement while
	// its service has no usable target. The statement is then refused early enough for its caller to try
	// elsewhere.
	targetWaitDivisor = 4
	// defaultTargetWait is the wait limit on routes without a latency objective.
	defaultTargetWait = 50 * time.Millisecond
	// retryInterval is the time between two searches for a usable target.
	retryInterval = 10 * time.Millisecond
	// readAttemptTimeout is how long a read may take, beyond the queue wait that its target has announced,
	// before it is cancelled and sent to another target.
	readAttemptTimeout = 300 * time.Millisecond
	// readRunTimeout is how long a read may take from its start to the reply.
	readRunTimeout = 200 * time.Millisecond
	// minStartWithin lets a statement start at once where a slot is free.
	minStartWithin = time.Millisecond
	// maxAttempts bounds how often one statement is sent.
	maxAttempts = 4
	// defaultBlockIdleTimeout applies to deployments that set no idle timeout.
	defaultBlockIdleTimeout = 30 * time.Second
)

// Gateway opens and tracks the sessions of callers. It is safe for concurrent use.
type Gateway struct {
	cfg     Config
	logger  log.Logger
	metrics *gatewayMetrics
	router  *router

	mu       sync.Mutex
	sessions map[*Session]struct{}
	lastID   uint64
}

// New returns a Gateway.
func New(cfg Config) *Gateway {
	g := &Gateway{
		cfg:      cfg,
		logger:   log.With(cfg.Logger, "part", "gateway"),
		router:   newRouter(cfg),
		sessions: map[*Session]struct{}{},
	}
	g.metrics = newGatewayMetrics(cfg.Metrics, g.Sessions)
	return g
}

// Sessions returns the number of open sessions.
func (g *Gateway) Sessions() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.sessions)
}

// index returns the index of the current deployment. It is empty before the first deployment.
func (g *Gateway) index() *catalog.Index {
	if snap := g.cfg.Directory.Catalog(); snap != nil {
		return snap.Deployment()
	}
	return emptyIndex
}

var emptyIndex = catalog.NewIndex(nil)

// State is the state dump of a Gateway.
type State struct {
	Version    uint64         `json:"deployment_version"`
	Sessions   int            `json:"sessions"`
	Blocks     int            `json:"blocks"`
	ByDatabase map[string]int `json:"by_database"`
}

// State returns the current State.
func (g *Gateway) State() any {
	g.mu.Lock()
	defer g.mu.Unlock()
	state := State{Version: g.index().Version(), Sessions: len(g.sessions), ByDatabase: map[string]int{}}
	for s := range g.sessions {
		state.ByDatabase[s.database]++
		if s.inBlock.Load() {
			state.Blocks++
		}
	}
	return state
}
