package main

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/citronrun/citronrun/bench/internal/cluster"
	"github.com/citronrun/citronrun/bench/internal/history"
	"github.com/citronrun/citronrun/bench/internal/load"
	"github.com/citronrun/citronrun/internal/catalog"
)

const (
	largeSessions      = 8
	smallSessions      = 3
	baseLoadFraction   = 0.6 // of a team's rate
	drainTimeout       = 30 * time.Second
	bucketFillTime     = 3 * time.Second // in which a new control leader's token buckets fill up to the teams' bursts
	timerProbeInterval = 10 * time.Millisecond
)

// baseMix is the mix of operations of a team whose load the scenario doesn't change.
var baseMix = load.Mix{Reads: 0.6, Bookings: 0.1, Transactions: 0.1}

// trial is one run of a scenario.
type trial struct {
	options  options
	scenario scenario
	cluster  *cluster.Cluster
	load     *load.Run
	catalog  *catalog.Snapshot
	rng      *rand.Rand

	maxTimerDelay time.Duration // longest delay of this process's own timers

	mu                 sync.Mutex
	failures           []string
	keyWithdrawnAt     map[string]time.Time     // by team
	keyWithdrawnOffset map[string]time.Duration // by team, since the start of the load
}

// run runs one scenario and checks its history.
func run(ctx context.Context, o options) (*Result, error) {
	s, err := scenarioNamed(o.scenario, o.seed)
	if err != nil {
		return nil, err
	}
	dir, remove, err := workDir(o.keepDir)
	if err != nil {
		return nil, err
	}
	defer remove()
	c, err := startCluster(ctx, o, dir)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	t := &trial{
		options: o, scenario: s, cluster: c, keyWithdrawnAt: map[string]time.Time{},
		rng: rand.New(rand.NewPCG(o.seed, 7)),
	}
	if err := t.prepare(ctx); err != nil {
		return nil, err
	}
	t.execute(ctx)
	final, err := t.readFinalRows(ctx)
	if err != nil {
		return nil, err
	}
	return t.result(ctx, final), ctx.Err()
}

func (t *trial) prepare(ctx context.Context) error {
	if t.scenario.setUp != nil {
		if err := t.scenario.setUp(ctx, t); err != nil {
			return err
		}
	}
	var err error
	if t.catalog, err = t.cluster.Catalog(ctx); err != nil {
		return err
	}
	t.load = load.New(load.Config{
		Teams:        t.teams(),
		Services:     t.cluster.Services(),
		Catalog:      t.catalog,
		Seed:         t.options.seed,
		Roaming:      t.scenario.roaming,
		Connect:      t.connect,
		KeyWithdrawn: t.keyWithdrawn,
	})
	if err := t.load.Prepare(ctx); err != nil {
		return err
	}
	sleep(ctx, bucketFillTime)
	return ctx.Err()
}

// teams returns the load of each team in the catalog.
func (t *trial) teams() []load.Team {
	var out []load.Team
	all := t.catalog.Catalog().Teams
	for _, name := range slices.Sorted(maps.Keys(all)) {
		rate, _ := t.catalog.RateLimit(name)
		team := load.Team{Name: name, Sessions: smallSessions, Rate: rate * baseLoadFraction, Mix: baseMix}
		if all[name].Labels["size"] == "large" {
			team.Sessions = largeSessions
		}
		if t.scenario.adjustLoad != nil {
			t.scenario.adjustLoad(&team, all[name].Labels)
		}
		out = append(out, team)
	}
	return out
}

// connect opens a connection through a random ready host, like a load balancer.
func (t *trial) connect(ctx context.Context, rng *rand.Rand, team, service, token string) (*pgx.Conn, error) {
	h := t.cluster.PickReady(rng)
	if h == nil {
		return nil, fmt.Errorf("no entry host is ready")
	}
	url := fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=disable", team, t.cluster.Keys[team], h.CallerAddr, service)
	cfg, err := pgx.ParseConfig(url)
	if err != nil {
		return nil, err
	}
	if token != "" {
		cfg.RuntimeParams["citron.token"] = token
	}
	return pgx.ConnectConfig(ctx, cfg)
}

// keyWithdrawn reports whether the key of a team was withdrawn more than withdrawalBound ago.
func (t *trial) keyWithdrawn(team string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.keyWithdrawnAt[team]
	return ok && time.Since(at) > withdrawalBound
}

func (t *trial) recordFailure(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures = append(t.failures, fmt.Sprintf(format, args...))
}

// execute runs the load and injects the faults of the scenario.
func (t *trial) execute(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, t.options.duration)
	defer cancel()
	var wg sync.WaitGroup
	for _, f := range t.scenario.faults {
		wg.Go(func() {
			select {
			case <-time.After(time.Duration(f.startFraction * float64(t.options.duration))):
			case <-ctx.Done():
				return
			}
			if err := f.inject(ctx, t); err != nil && ctx.Err() == nil {
				t.recordFailure("fault %s: %v", f.name, err)
			}
		})
	}
	wg.Go(func() { t.maxTimerDelay = measureTimerDelay(ctx) })
	t.load.Do(ctx)
	wg.Wait()
}

// measureTimerDelay returns the longest delay of a timer until ctx ends. Relays and targets run in
// this process, so the measurements of a run with long delays reflect an overloaded machine rather
// than the proxy.
func measureTimerDelay(ctx context.Context) time.Duration {
	var longest time.Duration
	for last := time.Now(); sleep(ctx, timerProbeInterval); last = time.Now() {
		longest = max(longest, time.Since(last)-timerProbeInterval)
	}
	return longest
}

// readFinalRows reads all rows directly from the primaries, bypassing the proxy.
func (t *trial) readFinalRows(ctx context.Context) (history.Final, error) {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	final := history.Final{}
	for service, g := range t.cluster.Groups {
		p := g.Primary()
		p.Isolate(false)
		p.Resume()
		rows, err := readRows(ctx, p.Addr(), service)
		if err != nil {
			return nil, fmt.Errorf("read %s from its primary %s: %w", service, p.Target(), err)
		}
		final[service] = rows
	}
	return final, nil
}

func readRows(ctx context.Context, addr, service string) ([]history.Row, error) {
	conn, err := pgx.Connect(ctx, fmt.Sprintf("postgres://bench@%s/%s?sslmode=disable", addr, service))
	if err != nil {
		return nil, err
	}
	defer conn.Close(ctx)
	rows, err := conn.Query(ctx, "SELECT id, booking, version, tag FROM bench_row")
	if err != nil {
		return nil, err
	}
	return pgx.CollectRows(rows, pgx.RowToStructByPos[history.Row])
}

// rateLimits returns the rate and burst of each team.
func (t *trial) rateLimits() map[string]history.Limit {
	out := map[string]history.Limit{}
	for name := range t.catalog.Catalog().Teams {
		rate, burst := t.catalog.RateLimit(name)
		out[name] = history.Limit{Rate: rate, Burst: burst}
	}
	return out
}
