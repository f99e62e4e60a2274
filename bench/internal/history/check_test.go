package history

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var highLimits = map[string]Limit{
	"team0": {Rate: 1000, Burst: 100},
	"team1": {Rate: 1000, Burst: 100},
	"team2": {Rate: 1000, Burst: 100},
}

// Guards against false alarms on correct histories.
func TestCorrectHistoryPasses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := generate(rapid.Uint64().Draw(t, "seed"), 300)
		r := Check(g.events, g.final(), highLimits)
		if !r.OK() || len(r.Failures) > 0 {
			t.Fatalf("%+v", r)
		}
	})
}

// Guards against a false alarm when both an insert and a transaction may have created the first version
// of a row, and the transaction created the second one. TestCorrectHistoryPasses found it with this seed.
func TestInsertBeforeTransaction(t *testing.T) {
	is := is.New(t)
	g := generate(0x75e78, 300)
	r := Check(g.events, g.final(), highLimits)
	is.Equal(r.Failures, nil)
	is.True(r.OK())
}

func isInsert(e Event) bool {
	return e.Op == Insert && e.Outcome == OK && e.RequestKey == ""
}

func isNewTxRow(e Event) bool {
	return e.Op == Tx && e.Outcome == OK && e.Version == 1
}

func isWrite(e Event) bool { return e.Op != Read && e.Outcome == OK }

func finalIndex(f Final, row string) int {
	return slices.IndexFunc(f["rota"], func(r Row) bool { return r.ID == row })
}

func dropRow(f Final, row string) {
	i := finalIndex(f, row)
	f["rota"] = slices.Delete(f["rota"], i, i+1)
}

// appendStaleRead appends a read, one second after an acknowledged write, that returns the version
// before it.
func appendStaleRead(g *generator, mode Mode) {
	e := g.events[lastIndex(g.events, isWrite)]
	e.Op = Read
	e.Mode = mode
	e.MaxAge = 20 * ms
	e.Version--
	e.Tag, e.Booking, e.RequestKey = "", "", ""
	e.Start = e.End + time.Second
	e.End = e.Start + ms
	g.events = append(g.events, e)
}

var mutations = map[string]struct {
	mutate  func(g *generator, f Final)
	counter func(r Report) int
}{
	"drop an acknowledged booking": {
		func(g *generator, f Final) { dropRow(f, g.events[lastIndex(g.events, isInsert)].Row) },
		func(r Report) int { return r.LostAcknowledged },
	},
	"lose an acknowledged update": {
		func(g *generator, f Final) {
			e := g.events[lastIndex(g.events, isWrite)]
			f["rota"][finalIndex(f, e.Row)].Version = e.Version - 1
		},
		func(r Report) int { return r.LostAcknowledged },
	},
	"acknowledge one version twice": {
		func(g *generator, f Final) {
			e := g.events[lastIndex(g.events, isWrite)]
			e.Op, e.Booking, e.RequestKey = Update, "", ""
			g.events = append(g.events, e)
		},
		func(r Report) int { return r.LostAcknowledged },
	},
	"duplicate a booking": {
		func(g *generator, f Final) {
			row := f["rota"][finalIndex(f, g.events[lastIndex(g.events, isInsert)].Row)]
			row.ID += "-copy"
			f["rota"] = append(f["rota"], row)
		},
		func(r Report) int { return r.DuplicateBookings },
	},
	"run a keyed request twice": {
		func(g *generator, f Final) {
			e := g.events[lastIndex(g.events, func(e Event) bool { return e.Outcome == OK && e.RequestKey != "" })]
			e.Version++
			g.events = append(g.events, e)
		},
		func(r Report) int { return r.RepeatedRequests },
	},
	"repeat an update": {
		func(g *generator, f Final) {
			e := g.events[lastIndex(g.events, isNewTxRow)]
			for i := range g.events {
				if g.events[i].Row == e.Row && g.events[i].Op != Read {
					g.events[i].Outcome = OK
				}
			}
			f["rota"][finalIndex(f, e.Row)].Version += 100
		},
		func(r Report) int { return r.RepeatedRequests },
	},
	"read an old version in session mode": {
		func(g *generator, f Final) { appendStaleRead(g, ModeSession) },
		func(r Report) int { return r.StaleReads },
	},
	"read an old version in current mode": {
		func(g *generator, f Final) { appendStaleRead(g, ModeCurrent) },
		func(r Report) int { return r.StaleReads },
	},
	"read an old version in max_age mode": {
		func(g *generator, f Final) { appendStaleRead(g, ModeMaxAge) },
		func(r Report) int { return r.StaleReads },
	},
	"read backwards in a session": {
		func(g *generator, f Final) {
			e := g.events[lastIndex(g.events, isWrite)]
			e.Session = "reader"
			e.Op = Read
			e.Mode = ModeSession
			e.Start = e.End + time.Second
			e.End = e.Start + ms
			later := e
			later.Start, later.End = e.End+ms, e.End+2*ms
			later.Version--
			later.Tag = ""
			g.events = append(g.events, e, later)
		},
		func(r Report) int { return r.StaleReads },
	},
	"read an unwritten version in current mode": {
		func(g *generator, f Final) {
			appendStaleRead(g, ModeCurrent)
			g.events[len(g.events)-1].Version += 100
		},
		func(r Report) int { return r.NotLinearizable },
	},
	"tag a row with another transaction": {
		func(g *generator, f Final) {
			e := g.events[lastIndex(g.events, isNewTxRow)]
			f["rota"][finalIndex(f, e.Row)].Tag = g.events[lastIndex(g.events, isInsert)].Tag
		},
		func(r Report) int { return r.MixedTransactions },
	},
	"keep a part of a transaction": {
		func(g *generator, f Final) { dropRow(f, g.events[lastIndex(g.events, isNewTxRow)].Row) },
		func(r Report) int { return r.MixedTransactions },
	},
	"show a part of a transaction in a snapshot": {
		func(g *generator, f Final) {
			e := g.events[lastIndex(g.events, isNewTxRow)]
			e.Op, e.Mode, e.MaxAge, e.Snapshot = Read, ModeMaxAge, time.Hour, "snapshot"
			other := e
			other.Row = g.events[lastIndex(g.events, func(o Event) bool {
				return o.Tag == e.Tag && o.Row != e.Row && isNewTxRow(o)
			})].Row
			other.Version, other.Tag = Absent, ""
			g.events = append(g.events, e, other)
		},
		func(r Report) int { return r.MixedTransactions },
	},
	"run a booking reported as not run": {
		func(g *generator, f Final) { g.events[lastIndex(g.events, isInsert)].Outcome = NotRun },
		func(r Report) int { return r.NotRunButRan },
	},
	"run a transaction reported as not run": {
		func(g *generator, f Final) {
			tag := g.events[lastIndex(g.events, isNewTxRow)].Tag
			for i := range g.events {
				if g.events[i].Tag == tag && g.events[i].Op == Tx {
					g.events[i].Outcome = NotRun
				}
			}
		},
		func(r Report) int { return r.NotRunButRan },
	},
	"exceed the rate in a short window": {
		func(g *generator, f Final) {
			e := g.events[lastIndex(g.events, func(e Event) bool { return e.Op == Read })]
			e.Mode, e.MaxAge = ModeMaxAge, time.Hour
			for range 150 {
				e.Start += 10 * time.Microsecond
				e.End = e.Start + ms
				g.events = append(g.events, e)
			}
		},
		func(r Report) int { return r.OverRate },
	},
}

// Guards against a violation that the checks miss: each mutation adds one to a correct history.
func TestMutationsAreFound(t *testing.T) {
	for name, mutation := range mutations {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				g := generate(rapid.Uint64().Draw(t, "seed"), 150)
				f := g.final()
				mutation.mutate(g, f)
				r := Check(g.events, f, highLimits)
				if mutation.counter(r) == 0 || r.OK() || len(r.Failures) == 0 {
					t.Fatalf("not found: %+v", r)
				}
			})
		})
	}
}

// Guards against checks that take too long for the history of a long run.
func TestLargeHistory(t *testing.T) {
	is := is.New(t)
	g := generate(1, 100_000)
	f := g.final()
	start := time.Now()
	r := Check(g.events, f, highLimits)
	elapsed := time.Since(start)
	t.Logf("checked %d events in %v", r.Events, elapsed)
	is.True(r.OK())
	is.True(elapsed < 30*time.Second)
}
