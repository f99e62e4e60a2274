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

// Gap holds the longest times without an acknowledged write, in milliseconds over services.
type Gap struct {
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Result is the outcome of one run. Counters of broken promises are 0 when all guarantees held.
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
	Broken    bool               `json:"broken"` // a guarantee was broken
	Failures  []string           `json:"failures"`
}

func (t *trial) result(ctx context.Context, final history.Final) *Result {
	events := t.load.Events()
	t.checkWithdrawn(events)
	lost := interrupted(events)
	if t.scenario.graceful && lost > 0 {
		t.fail("graceful shutdowns interrupted %d requests", lost)
	}
	report := history.Check(events, final, t.limits())
	r := &Result{
		Profile: t.options.profile, Scenario: t.options.scenario, Seed: t.options.seed,
		DurationS:         t.options.duration.Seconds(),
		StallMS:           float64(t.stall.Microseconds()) / 1000,
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
		Interrupted:       lost,
		Failures:          append(slices.Clone(t.failures), report.Failures...),
		Errors:            t.load.Odd(),
	}
	for _, target := range t.cluster.KeysSeen() {
		r.KeysSeen++
		r.Failures = append(r.Failures, "target "+target+" saw a team's key")
	}
	r.Broken = !report.OK() || r.KeysSeen > 0 || len(t.failures) > 0
	r.measure(events, t.options.duration)
	offered := t.load.Offered()
	for team := range t.gone {
		delete(offered, team) // it is owed nothing once its key is withdrawn
	}
	r.share(events, offered, t.limits(), t.options.duration)
	replica, primary := t.cluster.Reads(ctx)
	if n := replica + max(0, primary-currentReads(events)); n > 0 {
		r.ReplicaReadShare = replica / n
	}
	return r
}

// statements returns the number of statements that an event stands for.
func statements(e history.Event) int {
	switch {
	case e.Statements < 0:
		return 0
	case e.Statements == 0:
		return 1
	}
	return e.Statements
}

// interrupted counts the requests whose outcome is unknown, and transactions that were cut before
// their COMMIT.
func interrupted(events []history.Event) int {
	n := 0
	for _, e := range events {
		cut := e.Outcome == history.Denied && e.Code == verdict.CodeOutcomeUnknown
		if e.Statements >= 0 && (cut || e.Outcome == history.MayHaveRun) {
			n++
		}
	}
	return n
}

// currentReads counts the answered reads that only a primary may serve.
func currentReads(events []history.Event) float64 {
	n := 0.0
	for _, e := range events {
		if e.Op == history.Read && e.Outcome == history.OK && e.Mode == history.ModeCurrent {
			n++
		}
	}
	return n
}

func (r *Result) measure(events []history.Event, length time.Duration) {
	r.Outcomes = map[string]int{}
	latency := map[string][]time.Duration{}
	writes := map[string][]time.Duration{}
	for _, e := range events {
		r.Statements += statements(e)
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
	for team, l := range latency {
		slices.Sort(l)
		r.LatencyMS[team] = Latency{P50: percentile(l, 0.5), P99: percentile(l, 0.99)}
	}
	var gaps []time.Duration
	for _, ends := range writes {
		gaps = append(gaps, longestGap(ends, length))
	}
	slices.Sort(gaps)
	r.FailoverGapMS = Gap{P50: percentile(gaps, 0.5), P99: percentile(gaps, 0.99), Max: percentile(gaps, 1)}
}

// longestGap returns the longest time between neighbours of 0, ends and length.
func longestGap(ends []time.Duration, length time.Duration) time.Duration {
	slices.Sort(ends)
	var longest, last time.Duration
	for _, at := range append(ends, length) {
		longest = max(longest, at-last)
		last = at
	}
	return longest
}

// percentile returns a value of a sorted list in milliseconds.
func percentile(sorted []time.Duration, p float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	i := min(int(p*float64(len(sorted))), len(sorted)-1)
	return float64(sorted[i].Microseconds()) / 1000
}

// share finds the team that got the smallest part of what it was owed: its demand, at most its rate
// and burst.
func (r *Result) share(events []history.Event, offered map[string]float64, limits map[string]history.Limit, length time.Duration) {
	served := map[string]float64{}
	for _, e := range events {
		if e.Outcome == history.OK || e.Outcome == history.Denied {
			served[e.Team] += float64(statements(e))
		}
	}
	r.WorstTeamShare = 1
	for team, n := range offered {
		l := limits[team]
		owed := min(n, l.Rate*length.Seconds()+l.Burst)
		if share := served[team] / owed; owed > 0 && share < r.WorstTeamShare {
			r.WorstTeamShare, r.WorstTeam = share, team
		}
	}
}

// table prints the result for people.
func (r *Result) table(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	line := func(name string, value any) { fmt.Fprintf(w, "%s\t%v\n", name, value) }
	line("run", fmt.Sprintf("%s %s seed %d, %.0f s", r.Profile, r.Scenario, r.Seed, r.DurationS))
	line("statements", r.Statements)
	line("stall ms", fmt.Sprintf("%.0f", r.StallMS))
	line("replica read share", fmt.Sprintf("%.3f", r.ReplicaReadShare))
	line("failover gap ms", fmt.Sprintf("p50 %.0f, p99 %.0f, max %.0f", r.FailoverGapMS.P50, r.FailoverGapMS.P99, r.FailoverGapMS.Max))
	line("worst team share", fmt.Sprintf("%.3f %s", r.WorstTeamShare, r.WorstTeam))
	line("wrongful refusals", r.WrongfulRefusals)
	line("over rate", r.OverRate)
	line("lost acknowledged", r.LostAcknowledged)
	line("duplicate bookings", r.DuplicateBookings)
	line("repeated requests", r.RepeatedRequests)
	line("stale reads", r.StaleReads)
	line("mixed transactions", r.MixedTransactions)
	line("not run but ran", r.NotRunButRan)
	line("not linearizable", r.NotLinearizable)
	line("undecided", r.Undecided)
	line("keys seen by targets", r.KeysSeen)
	line("interrupted requests", r.Interrupted)
	for _, k := range sortedKeys(r.Outcomes) {
		line("outcome "+k, r.Outcomes[k])
	}
	for _, k := range sortedKeys(r.LatencyMS) {
		line("latency ms "+k, fmt.Sprintf("p50 %.1f, p99 %.1f", r.LatencyMS[k].P50, r.LatencyMS[k].P99))
	}
	for _, k := range sortedKeys(r.Errors) {
		line("error", fmt.Sprintf("%d x %s", r.Errors[k], k))
	}
	for _, f := range r.Failures {
		line("failure", f)
	}
	return w.Flush()
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
