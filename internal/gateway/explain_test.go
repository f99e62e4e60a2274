package gateway

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/statement"
	"github.com/citronrun/citronrun/internal/wire"
)

// Guards against an explanation that differs from what happens to the operation: its target, what the holder may decline,
// and its refusal. Guards also against one that sends something or spends a rate token.
func TestExplanationIsWhatHappens(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(t)
		g, h, clock := newTestGateway(t)
		for i := range h.targets {
			h.targets[i].Leaving = rapid.Bool().Draw(rt, "leaving")
			if rapid.IntRange(0, 4).Draw(rt, "held") == 0 {
				h.targets[i].Holder = ""
			}
			target := h.targets[i]
			for range rapid.IntRange(0, 2).Draw(rt, "replies") {
				wait := time.Duration(rapid.IntRange(0, 40).Draw(rt, "wait")) * 10 * time.Millisecond
				g.router.recordSent(target.Target)
				g.router.recordReply(target, &wire.StatementReply{ExpectedQueueWait: wait, HeldFor: 1, Failing: rapid.Bool().Draw(rt, "failing")}, 8*time.Millisecond)
			}
			if rapid.IntRange(0, 2).Draw(rt, "busy") == 0 {
				g.router.recordBusy(target.Target, "t", 30*time.Millisecond, time.Duration(rapid.IntRange(1, 40).Draw(rt, "admitted after"))*10*time.Millisecond)
			}
			if rapid.IntRange(0, 2).Draw(rt, "behind") == 0 {
				g.router.recordBehind(target.Target, requirement{maxAge: maxAge}, &wire.StatementReply{RetryAfter: 300 * time.Millisecond})
			}
		}
		if rapid.IntRange(0, 4).Draw(rt, "emptied") == 0 {
			c := h.catalogSnapshot.Catalog()
			c.Places = map[string]catalog.Place{"x": {Emptied: true}, "y": {Emptied: rapid.Bool().Draw(rt, "both")}}
			h.catalogSnapshot, _ = catalog.NewSnapshot(c)
		}
		clock.Advance(time.Duration(rapid.IntRange(0, 400).Draw(rt, "later")) * time.Millisecond)
		database := rapid.SampledFrom([]string{"current", "aged", "own", "missing"}).Draw(rt, "database")
		kind := rapid.SampledFrom([]statement.Kind{statement.Read, statement.Write}).Draw(rt, "kind")
		tokens := h.rateTokens
		e, err := g.Explain(Query{Database: database, Team: "t", Kind: kind})
		is.NoErr(err)
		is.Equal(len(h.sent), 0)
		is.Equal(h.rateTokens, tokens)
		s, err := g.Open(database, "key")
		if err == nil {
			ctx, cancel := context.WithCancel(context.Background())
			cancel() // the fake clock doesn't end a wait for a usable target
			_, err = s.Do(ctx, statement.Statement{ID: "1", Kind: kind, Text: "x"})
		}
		is.Equal(e.Refusal != "", err != nil)
		if err != nil {
			is.Equal(e.Refusal, err.Error())
			return
		}
		is.Equal(e.Target, h.sent[0].sentTo)
		is.Equal(e.DeclineAboveMs > 0, h.sent[0].DeclineAbove > 0)
	})
}

// Guards against a floor or a limit that the explanation leaves out, and against an answer for another place.
func TestExplanationNamesLimits(t *testing.T) {
	is := is.New(t)
	g, h, _ := newTestGateway(t)
	floor := position.Position{Term: 2, Offset: 7}
	e, err := g.Explain(Query{Database: "own", Team: "t", Kind: statement.BeginRead, Floor: floor, Place: "x"})
	is.NoErr(err)
	is.Equal(e.Floor, "2/7")
	is.Equal(e.MaxAgeMs, 1500.0)
	is.Equal(e.Reason, "home")
	is.Equal(len(e.Targets), 3)
	var names []string
	for _, l := range e.Limits {
		names = append(names, l.Name)
	}
	is.True(strings.Contains(strings.Join(names, ";"), "rate of team t"))
	for _, target := range e.Targets {
		is.Equal(target.Traffic > 0, target.Place != "x")
	}
	e, err = g.Explain(Query{Database: "own", Kind: statement.Read}) // without a key
	is.NoErr(err)
	is.True(strings.Contains(e.Refusal, "28P01"))
	_, err = g.Explain(Query{Database: "own", Team: "t", Kind: statement.Read, Place: "y"})
	is.True(err != nil)
	_, err = g.Explain(Query{Database: "own", Team: "t", Kind: statement.Commit})
	is.True(err != nil)
	h.confirmedAge = time.Hour
	e, err = g.Explain(Query{Database: "own", Team: catalog.OpenTeam, Kind: statement.Read})
	is.NoErr(err)
	is.True(strings.Contains(e.Refusal, "57P03"))
}
