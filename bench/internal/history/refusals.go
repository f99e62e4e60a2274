package history

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

// codeRateExceeded is the SQLSTATE of a refusal because of the team's rate.
const codeRateExceeded = "53400"

// checkRefusals counts refusals of teams whose demand was within their limit.
func checkRefusals(events []Event, limits map[string]Limit, r *Report) {
	teams := byTeam(events)
	for _, team := range sorted(limits, func(k string) (string, string) { return k, "" }) {
		d := newDemand(teams[team], limits[team].Rate)
		for _, e := range teams[team] {
			if e.Outcome == OK || e.Code != codeRateExceeded {
				continue
			}
			if level := d.highest(e.Start, e.End); level <= limits[team].Burst {
				r.fail(&r.WrongfulRefusals, "demand was %.2f of burst %g: %s",
					level, limits[team].Burst, describe(e))
			}
		}
	}
}

// demand is the level of a bucket that leaks at the rate of a team and takes all its requests,
// also refused ones, at the start of each request.
//
// A request takes its tokens at an unknown time between Start and End. The level is the highest
// that any choice of these times gives: a request counts in full while it is in flight and starts
// to leak at its End. A refusal counts as wrongful only if even this level had room.
type demand struct {
	at    []time.Duration
	level []float64
}

type edge struct {
	at     time.Duration
	starts bool
	cost   float64
}

func newDemand(events []*Event, rate float64) *demand {
	edges := make([]edge, 0, 2*len(events))
	for _, e := range events {
		edges = append(edges, edge{e.Start, true, cost(e)}, edge{e.End, false, cost(e)})
	}
	slices.SortFunc(edges, func(a, b edge) int {
		if a.at != b.at {
			return cmp.Compare(a.at, b.at)
		}
		return cmp.Compare(order(a), order(b))
	})
	d := &demand{}
	var bucket, inFlight float64
	var last time.Duration
	for _, g := range edges {
		bucket = max(0, bucket-rate*(g.at-last).Seconds())
		last = g.at
		if !g.starts {
			inFlight -= g.cost
			bucket += g.cost
			continue
		}
		inFlight += g.cost
		d.at = append(d.at, g.at)
		d.level = append(d.level, bucket+inFlight)
	}
	return d
}

// order puts starts before ends at the same time, which gives the higher level.
func order(g edge) int {
	if g.starts {
		return 0
	}
	return 1
}

// highest returns the highest level from the request that starts at from until to.
func (d *demand) highest(from, to time.Duration) float64 {
	i := sort.Search(len(d.at), func(i int) bool { return d.at[i] >= from })
	level := 0.0
	for ; i < len(d.at) && d.at[i] <= to; i++ {
		level = max(level, d.level[i])
	}
	return level
}
