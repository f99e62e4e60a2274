// Package gateway serves callers whose databases are routed by a deployment. It checks keys and rates,
// keeps each session's values, prepared statements and positions, and sends every statement to a target
// that has the data the route asks for, through the holder of that target.
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

// Directory is the host's view of the configuration, of rates and of targets.
type Directory interface {
	// Catalog returns the newest configuration, or nil before the first one.
	Catalog() *catalog.Snapshot
	// AcquireTokensFailFast spends a team's rate tokens. Before it refuses, it asks the leader for some, unless the
	// leader has just had none.
	AcquireTokensFailFast(ctx context.Context, team string, tokens int) error
	// Targets returns the routes to the targets of a service.
	TargetsOf(service string) []wire.TargetRoute
}

// Block is an open block at a target. An error means that the connection to the holder was lost.
type Block interface {
	Next(ctx context.Context, n wire.BlockStatementRequest) (wire.StatementReply, error)
	// Close rolls the block back if it is open.
	Close()
}

// HolderClient reaches the holders of targets.
type HolderClient interface {
	// Start sends a statement, or the first statement of a block, to the holder of a target. The Block
	// is nil when nothing is left open. A *verdict.Error with NotRun means that nothing was sent; any
	// other error that the connection to the holder was lost.
	Start(ctx context.Context, route wire.TargetRoute, w wire.StatementRequest) (wire.StatementReply, Block, error)
}

// Config holds what a Gateway needs. Clock must go on while the machine is suspended.
type Config struct {
	Place     string
	Directory Directory
	Holders   HolderClient
	Clock     clock.Clock
	Logger    log.Logger
	Metrics   *metrics.Set
}

const (
	// holdPart of the latency objective is how long a statement waits for a target while there is none;
	// after that it is refused, so that its caller can try elsewhere.
	holdPart = 4
	// defaultHold applies to routes without a latency objective.
	defaultHold = 50 * time.Millisecond
	// retryPause is the time between two looks for a target.
	retryPause = 10 * time.Millisecond
	// tokenWait bounds the wait for a rate token.
	tokenWait = 100 * time.Millisecond
	// hedgeTime is how long a read may take beyond the wait that its target has announced, before it is
	// tried at another target: the longest statements take 170 ms.
	hedgeTime = 300 * time.Millisecond
	// maxAttempts bounds the targets that are tried for one statement.
	maxAttempts = 4
	// idleBlockDefault applies to deployments that set no bound.
	idleBlockDefault = 30 * time.Second
)

// Gateway opens sessions. It is safe for concurrent use.
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

// index returns the deployment in force. It is empty before the first one.
func (g *Gateway) index() *catalog.Index {
	if snap := g.cfg.Directory.Catalog(); snap != nil {
		return snap.Deployment()
	}
	return emptyIndex
}

var emptyIndex = catalog.NewIndex(nil)

// State is the dump of a Gateway.
type State struct {
	Version  uint64         `json:"deployment_version"`
	Sessions int            `json:"sessions"`
	Blocks   int            `json:"blocks"`
	ByRoute  map[string]int `json:"by_database"`
}

// State returns counts of sessions; it is a State.
func (g *Gateway) State() any {
	g.mu.Lock()
	defer g.mu.Unlock()
	st := State{Version: g.index().Version(), Sessions: len(g.sessions), ByRoute: map[string]int{}}
	for s := range g.sessions {
		st.ByRoute[s.database]++
		if s.inBlock.Load() {
			st.Blocks++
		}
	}
	return st
}
