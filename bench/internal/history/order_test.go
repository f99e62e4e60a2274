package history

import (
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a narrowing of intervals that changes the result of the search.
func TestNarrowIntervalsKeepsResult(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ops []versionedOp
		var fullIntervals []porcupine.Operation
		lastVersion := rapid.Int64Range(1, 4).Draw(t, "last")
		for i := range lastVersion + rapid.Int64Range(0, 5).Draw(t, "reads") {
			op := versionedOp{version: i + 1, isWrite: i < lastVersion}
			if !op.isWrite {
				op.version = rapid.Int64Range(0, lastVersion).Draw(t, "version")
			}
			at := rapid.IntRange(0, 3).Draw(t, "late") + 4*int(op.version)
			op.start = time.Duration(at)
			op.end = op.start + time.Duration(rapid.IntRange(0, 8).Draw(t, "duration"))
			ops = append(ops, op)
			fullIntervals = append(fullIntervals, newOperation(op.start, op.end, op.step()))
		}
		want := linearize(0, fullIntervals)
		slices.SortFunc(ops, compareOps)
		got := porcupine.Illegal
		if narrowIntervals(ops) == "" {
			got = linearizeVersions(ops)
		}
		if got != want {
			t.Fatalf("got %v, want %v", got, want)
		}
	})
}

// Guards against a search that times out when many requests access one row.
func TestHotRow(t *testing.T) {
	is := is.New(t)
	g := generate(2, 0)
	g.rows = g.rows[:1]
	for len(g.events) < 20_000 {
		g.now += 300 * time.Microsecond
		switch g.rng.IntN(300) {
		case 0:
			g.update(MayHaveRun)
		case 1, 2, 3, 4, 5, 6, 7, 8, 9, 10:
			g.update(OK)
		default:
			g.read(ModeCurrent)
		}
	}
	hot := g.rows[0]
	g.events = slices.DeleteFunc(g.events, func(e Event) bool { return e.Row != hot })
	f := g.final()
	r := Check(g.events, f, nil)
	is.True(r.OK())
	i := lastIndex(g.events[:10_000], func(e Event) bool { return e.Op == Read })
	g.events[i].Version += 20
	g.events[i].Tag = ""
	r = Check(g.events, f, nil)
	is.Equal(r.NotLinearizable, 1)
	is.Equal(r.Undecided, 0)
}
