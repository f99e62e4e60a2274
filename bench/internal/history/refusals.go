package history

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

// codeRateExceeded is the SQLSTATE of a request that was refused because of the team's rate.
const codeRateExceeded = "53400"

// checkRefusals counts requests that were refused although the team's demand was within its limit.
func checkRefusals(events []Event, limits map[string]Limit, r *Report) {
	teams := byTeam(events)
	for _, team := range sortedKeys(limits, func(k string) (string, string) { return k, "" }) {
		d := newDemandCurve(teams[team], limits[team].Rate)
		for _, e := range teams[team] {
			if e.Outcome == OK || e.Code != codeRateExceeded {
				continue
			}
			if level := d.maxLevel(e.Start, e.End); level <= limits[team].Burst {
				r.recordViolation(&r.WrongfulRefusals, "refused at a demand of %.2f statements, within the burst of %g: %s",
					level, limits[team].Burst, describe(e))
			}
		}
	}
}

// demandCurve is the level of a leaky bucket that leaks at the rate of a team and counts all its
// requests, including refused ones. It holds one level per request start.
//
// A request takes its tokens at an unknown time between Start and End. The level is the highest
// possible for any choice of these times: a request counts in full while it is in flight and starts
// to leak at its End. A refusal counts as wrongful only if even this level is within the burst.
type demandCurve struct {
	times  []time.Duration
	levels []float64
}

type demandEdge struct {
	at      time.Duration
	isStart bool
	cost    float64
}

func newDemandCurve(events []*Event, rate float64) *demandCurve {
	edges := make([]demandEdge, 0, 2*len(events))
	for _, e := range events {
		edges = append(edges, demandEdge{e.Start, true, tokenCost(e)}, demandEdge{e.End, false, tokenCost(e)})
	}
	slices.SortFunc(edges, func(a, b demandEdge) int {
		if a.at != b.at {
			return cmp.Compare(a.at, b.at)
		}
		return cmp.Compare(edgeOrder(a), edgeOrder(b))
	})
	d := &demandCurve{}
	var bucket, inFlight float64
	var last time.Duration
	for _, edge := range edges {
		bucket = max(0, bucket-rate*(edge.at-last).Seconds())
		last = edge.at
		if !edge.isStart {
			inFlight -= edge.cost
			bucket += edge.cost
			continue
		}
		inFlight += edge.cost
		d.times = append(d.times, edge.at)
		d.levels = append(d.levels, bucket+inFlight)
	}
	return d
}

// edgeOrder sorts starts before ends at the same time, which gives the higher level.
func edgeOrder(edge demandEdge) int {
	if edge.isStart {
		return 0
	}
	return 1
}

// maxLevel returns the highest level at the request starts between from and to, inclusive.
func (d *demandCurve) maxLevel(from, to time.Duration) float64 {
	i := sort.Search(len(d.times), func(i int) bool { return d.times[i] >= from })
	level := 0.0
	for ; i < len(d.times) && d.times[i] <= to; i++ {
		level = max(level, d.levels[i])
	}
	return level
}
