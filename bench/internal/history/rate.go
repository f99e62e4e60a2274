package history

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"
)

// rateTolerance absorbs the rounding of rate*time, in statements.
const rateTolerance = 1e-6

// cost returns the tokens that an event takes.
func cost(e *Event) float64 {
	switch {
	case e.Statements < 0:
		return 0
	case e.Statements == 0:
		return 1
	}
	return float64(e.Statements)
}

func byTeam(events []Event) map[string][]*Event {
	teams := map[string][]*Event{}
	for i := range events {
		e := &events[i]
		teams[e.Team] = append(teams[e.Team], e)
	}
	return teams
}

// checkRates checks the rate of every team over every window.
func checkRates(events []Event, limits map[string]Limit, r *Report) {
	teams := byTeam(events)
	for _, team := range sorted(limits, func(k string) (string, string) { return k, "" }) {
		w := worstWindow(teams[team], limits[team])
		w.Team = team
		if w.Excess <= rateTolerance {
			continue
		}
		r.OverRate += int(math.Ceil(w.Excess - rateTolerance))
		if w.Excess > r.WorstWindow.Excess {
			r.WorstWindow = w
		}
		r.note("team %s: %d statements admitted from %v to %v, %.2f beyond rate %g/s and burst %g",
			team, w.Admitted, w.From, w.To, w.Excess, limits[team].Rate, limits[team].Burst)
	}
}

// worstWindow returns the window with the most statements beyond rate*(To-From)+Burst.
//
// A statement is admitted at an unknown time between its Start and its End, so it is certain to
// be admitted in a window only if the window contains both. A count by Start alone would raise
// a false alarm when statements that are sent together are admitted one after another, and a
// count by End alone when statements admitted one after another are answered together. Counting
// the contained intervals has no false alarms; with instant responses it is the leaky bucket.
// The worst window begins at a Start and ends at an End, so a sweep over End that keeps the best
// Start takes n log n time. Only OK and Denied are certain to have been admitted.
func worstWindow(events []*Event, limit Limit) Window {
	var admitted []*Event
	for _, e := range events {
		if (e.Outcome == OK || e.Outcome == Denied) && cost(e) > 0 {
			admitted = append(admitted, e)
		}
	}
	slices.SortFunc(admitted, func(a, b *Event) int { return cmp.Compare(a.End, b.End) })
	starts := make([]time.Duration, 0, len(admitted))
	for _, e := range admitted {
		starts = append(starts, e.Start)
	}
	slices.Sort(starts)
	starts = slices.Compact(starts)
	tree := newMaxTree(len(starts))
	var worst Window
	for _, e := range admitted {
		i := sort.Search(len(starts), func(i int) bool { return starts[i] >= e.Start })
		tree.open(i, limit.Rate*e.Start.Seconds())
		tree.add(i, cost(e))
		excess := tree.max() - limit.Rate*e.End.Seconds() - limit.Burst
		if excess > worst.Excess {
			worst = Window{From: starts[tree.argmax()], To: e.End, Excess: excess}
		}
	}
	worst.Admitted = contained(admitted, worst)
	return worst
}

func contained(admitted []*Event, w Window) int {
	n := 0.0
	for _, e := range admitted {
		if e.Start >= w.From && e.End <= w.To {
			n += cost(e)
		}
	}
	return int(n)
}

// maxTree keeps a value for each window start, closed ones at minus infinity, and finds the
// largest. Node i has the children 2i and 2i+1.
type maxTree struct {
	leaves int
	best   []float64 // maximum of the subtree, with the additions at and below the node
	added  []float64 // addition to the whole subtree
}

func newMaxTree(n int) *maxTree {
	leaves := 1
	for leaves < n {
		leaves *= 2
	}
	t := &maxTree{leaves: leaves, best: make([]float64, 2*leaves), added: make([]float64, 2*leaves)}
	for i := range t.best {
		t.best[i] = math.Inf(-1)
	}
	return t
}

// open gives leaf i a base value, to which earlier additions apply. A second call has no effect.
func (t *maxTree) open(i int, base float64) {
	n := t.leaves + i
	if !math.IsInf(t.best[n], -1) {
		return
	}
	t.best[n] = base + t.added[n]
	t.update(n)
}

// add adds v to the leaves 0 to i.
func (t *maxTree) add(i int, v float64) {
	n := t.leaves + i
	t.addNode(n, v)
	for p := n; p > 1; p /= 2 {
		if p%2 == 1 {
			t.addNode(p-1, v)
		}
		parent := p / 2
		t.best[parent] = max(t.best[2*parent], t.best[2*parent+1]) + t.added[parent]
	}
}

func (t *maxTree) addNode(n int, v float64) {
	t.added[n] += v
	t.best[n] += v
}

func (t *maxTree) update(n int) {
	for p := n / 2; p >= 1; p /= 2 {
		t.best[p] = max(t.best[2*p], t.best[2*p+1]) + t.added[p]
	}
}

func (t *maxTree) max() float64 { return t.best[1] }

// argmax returns a leaf with the largest value.
func (t *maxTree) argmax() int {
	n := 1
	for n < t.leaves {
		n *= 2
		if t.best[n+1] > t.best[n] {
			n++
		}
	}
	return n - t.leaves
}
