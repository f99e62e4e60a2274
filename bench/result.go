package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/citronrun/citronrun/bench/internal/history"
	"github.com/citronrun/citronrun/internal/verdict"
)

// Latency holds percentiles in milliseconds.
type Latency struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
}

// Gap holds percentiles, over the services, of the longest time without an acknowledged write, in
// milliseconds.
type Gap struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Result is the outcome of one run. The counters of violations are 0 if all guarantees held.
type Result struct {
	Profile    string  `json:"profile"`
	Scenario   string  `json:"scenario"`
	Seed       uint64  `json:"seed"`
	DurationS  float64 `json:"duration_s"`
	Statements int     `json:"statements"`
	StallMS    float64 `json:"stall_ms"` // longest delay of the bench process's own timers

	ReplicaReadShare float64 `json:"replica_read_share"`
	FailoverGapMS    Gap     `json:"failover_gap_ms"`
	WorstTeamShare   float64 `json:"worst_team_share"`
	WorstTeam        string  `json:"worst_team"`
	WrongfulRefusals int     `json:"wrongful_refusals"`

	OverRate          int `json:"over_rate"`
	LostAcknowledged  int `json:"lost_acknowledged"`
	DuplicateBookings int `json:"duplicate_bookings"`
	RepeatedRequests  int `json:"repeated_requests"`
	StaleReads        int `json:"stale_reads"`
	MixedTransactions int `json:"mixed_transactions"`
	NotRunButRan      int `json:"not_run_but_ran"`
	NotLinearizable   int `json:"not_linearizable"`
	Undecided         int `json:"undecided"`
	KeysSeen          int `json:"keys_seen"`
	Interrupted       int `json:"interrupted"` // requests without a known outcome

	Outcomes  map[string]int     `json:"outcomes"`
	LatencyMS map[string]Latency `json:"latency_ms"`
	Errors    map[string]int     `json:"errors"` // by operation, outcome and message
	Broken    bool               `json:"broken"` // a guarantee was violated
	Failures  []string           `json:"failures"`
}

func (t *trial) result(ctx context.Context, final history.Final) *Result {
	events := t.load.Events()
	t.checkWithdrawnKeys(events)
	interruptedCount := countInterrupted(events)
	if t.scenario.noInterruptions && interruptedCount > 0 {
		t.recordFailure("graceful shutdowns interrupted %d requests", interruptedCount)
	}
	report := history.Check(events, final, t.rateLimits())
	r := &Result{
		Profile: t.options.profile, Scenario: t.options.scenario, Seed: t.options.seed,
		DurationS:         t.options.duration.Seconds(),
		StallMS:           float64(t.maxTimerDelay.Microseconds()) / 1000,
		OverRate:          report.OverRate,
		WrongfulRefusals:  report.WrongfulRefusals,
		LostAcknowledged:  report.LostAcknowledged,
		DuplicateBookings: report.DuplicateBookings,
		RepeatedRequests:  report.RepeatedRequests,
		StaleReads:        report.StaleReads,
		MixedTransactions: report.MixedTransactions,
		NotRunButRan:      report.NotRunButRan,
		NotLinearizable:   report.NotLinearizable,
		Undecided:         report.Undecided,
		Interrupted:       interruptedCount,
		Failures:          append(slices.Clone(t.failures), report.Failures...),
		Errors:            t.load.ErrorCounts(),
	}
	for _, target := range t.cluster.TargetsWithKeys() {
		r.KeysSeen++
		r.Failures = append(r.Failures, "target "+target+" received a team's key")
	}
	r.Broken = !report.OK() || r.KeysSeen > 0 || len(t.failures) > 0
	r.addMeasurements(events, t.options.duration)
	offered := t.load.Offered()
	for team := range t.keyWithdrawnAt {
		delete(offered, team) // it is entitled to nothing after its key was withdrawn
	}
	r.findWorstTeamShare(events, offered, t.rateLimits(), t.options.duration)
	replica, primary := t.cluster.ReadCounts(ctx)
	if n := replica + max(0, primary-countCurrentReads(events)); n > 0 {
		r.ReplicaReadShare = replica / n
	}
	return r
}

// statementCount returns the number of statements that an event represents.
func statementCount(e history.Event) int {
	switch {
	case e.Statements < 0:
		return 0
	case e.Statements == 0:
		return 1
	}
	return e.Statements
}

// countInterrupted counts requests with an unknown outcome and transactions that were interrupted
// before their COMMIT.
func countInterrupted(events []history.Event) int {
	n := 0
	for _, e := range events {
		aborted := e.Outcome == history.Denied && e.Code == verdict.CodeOutcomeUnknown
		if e.Statements >= 0 && (aborted || e.Outcome == history.MayHaveRun) {
			n++
		}
	}
	return n
}

// countCurrentReads counts the successful reads in current mode, which only a primary may serve.
func countCurrentReads(events []history.Event) float64 {
	n := 0.0
	for _, e := range events {
		if e.Op == history.Read && e.Outcome == history.OK && e.Mode == history.ModeCurrent {
			n++
		}
	}
	return n
}

func (r *Result) addMeasurements(events []history.Event, duration time.Duration) {
	r.Outcomes = map[string]int{}
	latency := map[string][]time.Duration{}
	writes := map[string][]time.Duration{}
	for _, e := range events {
		r.Statements += statementCount(e)
		if e.Session == "setup" {
			if writes[e.Service] == nil {
				writes[e.Service] = []time.Duration{0} // a service without any write has a gap too
			}
			continue
		}
		r.Outcomes[e.Outcome.String()]++
		if e.Outcome != history.OK {
			continue
		}
		latency[e.Team] = append(latency[e.Team], e.End-e.Start)
		if e.Op != history.Read {
			writes[e.Service] = append(writes[e.Service], e.End)
		}
	}
	r.LatencyMS = map[string]Latency{}
	for team, sorted := range latency {
		slices.Sort(sorted)
		r.LatencyMS[team] = Latency{P50: percentile(sorted, 0.5), P99: percentile(sorted, 0.99)}
	}
	var gaps []time.Duration
	for _, ends := range writes {
		gaps = append(gaps, longestGap(ends, duration))
	}
	slices.Sort(gaps)
	r.FailoverGapMS = Gap{P50: percentile(gaps, 0.5), P99: percentile(gaps, 0.99), Max: percentile(gaps, 1)}
}

// longestGap returns the longest interval between consecutive times of 0, ends and duration.
func longestGap(ends []time.Duration, duration time.Duration) time.Duration {
	slices.Sort(ends)
	var longest, last time.Duration
	for _, at := range append(ends, duration) {
		longest = max(longest, at-last)
		last = at
	}
	return longest
}

// percentile returns the p-quantile, 0 to 1, of a sorted list in milliseconds.
func percentile(sorted []time.Duration, p float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	i := min(int(p*float64(len(sorted))), len(sorted)-1)
	return float64(sorted[i].Microseconds()) / 1000
}

// findWorstTeamShare finds the team that got the smallest fraction of the statements it was entitled
// to, which are its demand, limited by its rate and burst.
func (r *Result) findWorstTeamShare(events []history.Event, demand map[string]float64, limits map[string]history.Limit, duration time.Duration) {
	served := map[string]float64{}
	for _, e := range events {
		if e.Outcome == history.OK || e.Outcome == history.Denied {
			served[e.Team] += float64(statementCount(e))
		}
	}
	r.WorstTeamShare = 1
	for team, n := range demand {
		l := limits[team]
		entitled := min(n, l.Rate*duration.Seconds()+l.Burst)
		if share := served[team] / entitled; entitled > 0 && share < r.WorstTeamShare {
			r.WorstTeamShare, r.WorstTeam = share, team
		}
	}
}

// printTable prints the result as a table.
func (r *Result) printTable(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printLine := func(name string, value any) { fmt.Fprintf(table, "%s\t%v\n", name, value) }
	printLine("run", fmt.Sprintf("%s %s seed %d, %.0f s", r.Profile, r.Scenario, r.Seed, r.DurationS))
	printLine("statements", r.Statements)
	printLine("stall ms", fmt.Sprintf("%.0f", r.StallMS))
	printLine("replica read share", fmt.Sprintf("%.3f", r.ReplicaReadShare))
	printLine("failover gap ms", fmt.Sprintf("p50 %.0f, p99 %.0f, max %.0f", r.FailoverGapMS.P50, r.FailoverGapMS.P99, r.FailoverGapMS.Max))
	printLine("worst team share", fmt.Sprintf("%.3f %s", r.WorstTeamShare, r.WorstTeam))
	printLine("wrongful refusals", r.WrongfulRefusals)
	printLine("over rate", r.OverRate)
	printLine("lost acknowledged", r.LostAcknowledged)
	printLine("duplicate bookings", r.DuplicateBookings)
	printLine("repeated requests", r.RepeatedRequests)
	printLine("stale reads", r.StaleReads)
	printLine("mixed transactions", r.MixedTransactions)
	printLine("not run but ran", r.NotRunButRan)
	printLine("not linearizable", r.NotLinearizable)
	printLine("undecided", r.Undecided)
	printLine("keys seen by targets", r.KeysSeen)
	printLine("interrupted requests", r.Interrupted)
	for _, k := range sortedKeys(r.Outcomes) {
		printLine("outcome "+k, r.Outcomes[k])
	}
	for _, k := range sortedKeys(r.LatencyMS) {
		printLine("latency ms "+k, fmt.Sprintf("p50 %.1f, p99 %.1f", r.LatencyMS[k].P50, r.LatencyMS[k].P99))
	}
	for _, k := range sortedKeys(r.Errors) {
		printLine("error", fmt.Sprintf("%d x %s", r.Errors[k], k))
	}
	for _, f := range r.Failures {
		printLine("failure", f)
	}
	return table.Flush()
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
