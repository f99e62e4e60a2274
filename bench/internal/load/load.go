// Package load generates the workload of a run: sessions of callers that send statements to a cluster
// and record each request with its response.
package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/citronrun/citronrun/bench/internal/history"
	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/wire"
)

const (
	rowsPerSession    = 2
	connectTimeout    = 3 * time.Second
	statementTimeout  = 10 * time.Second
	prepareTimeout    = 10 * time.Second
	maxBacklog        = time.Second            // operations that fall further behind schedule are skipped
	refusalRetryDelay = 20 * time.Millisecond  // after a request that was not run
	reconnectDelay    = 100 * time.Millisecond // after a failed connection attempt
	maxSends          = 20                     // of a booking with a request key
)

// Mix holds the fraction of each kind of operation; the remainder are updates.
type Mix struct {
	Reads, Bookings, Transactions float64
}

// Team describes the load of one team.
type Team struct {
	Name     string
	Sessions int
	Rate     float64 // offered statements/s of all sessions together
	Mix      Mix
}

// Config configures a run.
type Config struct {
	Teams    []Team
	Services []string
	Catalog  *catalog.Snapshot
	Seed     uint64
	Roaming  bool // each session reconnects after every write
	// Connect opens a connection through a host that the load balancer chooses. If the token is empty,
	// the connection presents no session token.
	Connect func(ctx context.Context, rng *rand.Rand, team, service, token string) (*pgx.Conn, error)
	// KeyWithdrawn reports whether a team's key no longer works because it was withdrawn; the team's
	// sessions then end.
	KeyWithdrawn func(team string) bool
}

// Run is the load of one run.
type Run struct {
	Recorder *history.Recorder

	cfg         Config
	sessions    []*session
	setupEvents []history.Event

	mu          sync.Mutex
	offered     map[string]float64 // statements by team
	rateFactors map[string]float64 // multipliers of the teams' rates; a missing one is 1
	errorCounts map[string]int     // by operation, outcome and message
}

// New returns a run with its sessions, which assign their rows but don't connect yet.
func New(cfg Config) *Run {
	r := &Run{cfg: cfg, offered: map[string]float64{}, rateFactors: map[string]float64{}, errorCounts: map[string]int{}}
	for _, team := range cfg.Teams {
		for i := range team.Sessions {
			sessionIndex := len(r.sessions)
			service := cfg.Services[sessionIndex%len(cfg.Services)]
			s := &session{
				run: r, team: team, service: service,
				name:          fmt.Sprintf("%s-%d", team.Name, i),
				rng:           rand.New(rand.NewPCG(cfg.Seed, uint64(sessionIndex)+100)),
				presentsToken: sessionIndex%2 == 0,
				policy:        cfg.Catalog.EffectivePolicy(team.Name, service),
			}
			for j := range rowsPerSession {
				s.rows = append(s.rows, ownRow{id: fmt.Sprintf("%s-row%d", s.name, j), version: 1})
			}
			r.sessions = append(r.sessions, s)
		}
	}
	return r
}

// Prepare creates the table and the rows of all sessions.
func (r *Run) Prepare(ctx context.Context) error {
	for _, service := range r.cfg.Services {
		if err := r.createRows(ctx, service); err != nil {
			return fmt.Errorf("prepare %s: %w", service, err)
		}
	}
	return nil
}

func (r *Run) createRows(ctx context.Context, service string) error {
	rng := rand.New(rand.NewPCG(r.cfg.Seed, 99))
	conn, err := r.cfg.Connect(ctx, rng, r.cfg.Teams[0].Name, service, "")
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	if err := execUntilAdmitted(ctx, conn, createTable); err != nil {
		return err
	}
	insert := "INSERT INTO bench_row (id, booking, version, tag) VALUES "
	sep := ""
	for _, s := range r.sessions {
		if s.service != service {
			continue
		}
		for _, own := range s.rows {
			insert += fmt.Sprintf("%s('%s', '', 1, '')", sep, own.id)
			sep = ", "
			r.setupEvents = append(r.setupEvents, history.Event{
				Session: "setup", Team: s.team.Name, Service: service, Op: history.Insert,
				Row: own.id, Version: 1, Outcome: history.OK, Statements: -1,
			})
		}
	}
	return execUntilAdmitted(ctx, conn, insert)
}

// execUntilAdmitted runs a statement and retries it while it is refused: a new control leader grants
// no tokens at first.
func execUntilAdmitted(ctx context.Context, conn *pgx.Conn, sql string) error {
	deadline := time.Now().Add(prepareTimeout)
	for {
		_, err := conn.Exec(ctx, sql)
		if outcome, _ := outcomeOf(err); outcome != history.NotRun || time.Now().After(deadline) {
			return err
		}
		time.Sleep(reconnectDelay)
	}
}

// Do runs all sessions until ctx ends, then waits for their requests in flight.
func (r *Run) Do(ctx context.Context) {
	r.Recorder = history.NewRecorder()
	var wg sync.WaitGroup
	for _, s := range r.sessions {
		s.otherRows = r.rowsOfOthers(s)
		wg.Go(func() { s.loop(ctx) })
	}
	wg.Wait()
}

func (r *Run) rowsOfOthers(s *session) []string {
	var ids []string
	for _, o := range r.sessions {
		if o.service == s.service && o != s {
			for _, w := range o.rows {
				ids = append(ids, w.id)
			}
		}
	}
	return ids
}

// Events returns all events, including the inserts of the rows that existed before the run.
func (r *Run) Events() []history.Event {
	return append(append([]history.Event(nil), r.setupEvents...), r.Recorder.Events()...)
}

// Offered returns the number of statements of each team's demand, including skipped operations.
func (r *Run) Offered() map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]float64{}
	for team, n := range r.offered {
		out[team] = n
	}
	return out
}

// ErrorCounts returns the number of errors by operation, outcome and message.
func (r *Run) ErrorCounts() map[string]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]int{}
	for text, n := range r.errorCounts {
		out[text] = n
	}
	return out
}

// SetFactor multiplies the rate of a team.
func (r *Run) SetFactor(team string, f float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rateFactors[team] = f
}

// interarrivalTime draws the time until a session's next operation from an exponential distribution.
func (r *Run) interarrivalTime(s *session) time.Duration {
	r.mu.Lock()
	f, ok := r.rateFactors[s.team.Name]
	r.mu.Unlock()
	if !ok {
		f = 1
	}
	perSecond := s.team.Rate * f / float64(s.team.Sessions) / s.team.Mix.meanStatements()
	return time.Duration(s.rng.ExpFloat64() / perSecond * float64(time.Second))
}

func (r *Run) recordOffered(team string, statements int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.offered[team] += float64(statements)
}

func (r *Run) incrementError(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.errorCounts[fmt.Sprintf(format, args...)]++
}

// meanStatements returns the mean number of statements of an operation.
func (m Mix) meanStatements() float64 {
	keyed := m.Bookings * keyedFraction
	return 1 + keyed + m.Transactions*float64(transactionStatements-1)
}

func modeOf(r catalog.EffectivePolicy) (history.Mode, time.Duration) {
	switch r.Mode {
	case wire.ReadCurrent:
		return history.ModeCurrent, 0
	case wire.ReadMaxAge:
		return history.ModeMaxAge, r.MaxAge
	}
	return history.ModeSession, 0
}
