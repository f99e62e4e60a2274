package history

import (
	"cmp"
	"math"
	"slices"
	"sort"
	"time"
)

// rateTolerance allows for rounding errors of rate*time, in statements.
const rateTolerance = 1e-6

// tokenCost returns the number of rate tokens that an event costs.
func tokenCost(e *Event) float64 {
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

// checkRates checks that no team exceeds its rate and burst in any window.
func checkRates(events []Event, limits map[string]Limit, r *Report) {
	teams := byTeam(events)
	for _, team := range sortedKeys(limits, func(k string) (string, string) { return k, "" }) {
		w := worstWindow(teams[team], limits[team])
		w.Team = team
		if w.Excess <= rateTolerance {
			continue
		}
		r.OverRate += int(math.Ceil(w.Excess - rateTolerance))
		if w.Excess > r.WorstWindow.Excess {
			r.WorstWindow = w
		}
		r.addFailure("team %s: %d statements admitted from %v to %v, %.2f more than rate %g/s and burst %g allow",
			team, w.Admitted, w.From, w.To, w.Excess, limits[team].Rate, limits[team].Burst)
	}
}

// worstWindow returns the window with the largest excess over Rate*(To-From)+Burst.
//
// A statement is admitted at an unknown time between its Start and its End, so it counts for a
// window only if the window contains both. Counting by Start alone gives false alarms when
// statements sent together are admitted one after another; counting by End alone gives them when
// statements admitted one after another are answered together. Counting contained intervals gives
// no false alarms; with instant responses it is equal to the leaky bucket. The worst window begins
// at a Start and ends at an End, so a sweep over End that keeps the best Start takes O(n log n)
// time. Only statements with outcome OK or Denied are certain to have been admitted.
func worstWindow(events []*Event, limit Limit) Window {
	var admitted []*Event
	for _, e := range events {
		if (e.Outcome == OK || e.Outcome == Denied) && tokenCost(e) > 0 {
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
		tree.activate(i, limit.Rate*e.Start.Seconds())
		tree.add(i, tokenCost(e))
		excess := tree.max() - limit.Rate*e.End.Seconds() - limit.Burst
		if excess > worst.Excess {
			worst = Window{From: starts[tree.argmax()], To: e.End, Excess: excess}
		}
	}
	worst.Admitted = countContained(admitted, worst)
	return worst
}

func countContained(admitted []*Event, w Window) int {
	n := 0.0
	for _, e := range admitted {
		if e.Start >= w.From && e.End <= w.To {
			n += tokenCost(e)
		}
	}
	return int(n)
}

// maxTree is a segment tree that keeps a value for each window start and finds the largest. The
// value of a start that is not yet active is minus infinity. Node i has the children 2i and 2i+1.
type maxTree struct {
	leaves int
	best   []float64 // maximum of the subtree, including the additions at and below the node
	added  []float64 // pending addition to the entire subtree
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

// activate sets the base value of leaf i, to which its earlier additions apply. A second call has no
// effect.
func (t *maxTree) activate(i int, base float64) {
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

// argmax returns the index of a leaf with the largest value.
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
