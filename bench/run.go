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
	bucketFillTime     = 3 * time.Second // until the new leader's token buckets hold the teams' bursts
	timerProbeInterval = 10 * time.Millisecond
)

// usualMix is the load of teams that a scenario doesn't change.
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
	keyWithdrawnAt     map[string]time.Time     // when the key of a team was withdrawn
	keyWithdrawnOffset map[string]time.Duration // the same, since the run began
}

// run carries out one scenario.
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

// teams returns the load of each team of the catalog.
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

// connect opens a connection through a random host that is ready, as a load balancer would.
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

// execute runs the load and the faults.
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

// watchStalls returns the longest time by which a timer was late. Relays and targets run in this
// process, so that measures of a run with long stalls tell more about the machine than the proxy.
func measureTimerDelay(ctx context.Context) time.Duration {
	var longest time.Duration
	for last := time.Now(); sleep(ctx, timerProbeInterval); last = time.Now() {
		longest = max(longest, time.Since(last)-timerProbeInterval)
	}
	return longest
}

// final reads all rows from the primaries, past the proxy.
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

// limits returns the rates of all teams.
func (t *trial) rateLimits() map[string]history.Limit {
	out := map[string]history.Limit{}
	for name := range t.catalog.Catalog().Teams {
		rate, burst := t.catalog.RateLimit(name)
		out[name] = history.Limit{Rate: rate, Burst: burst}
	}
	return out
}
