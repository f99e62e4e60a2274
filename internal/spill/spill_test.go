package spill

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// Guards against a saving that does not pay for the traffic, and against a statement that is late at home although
// another place would serve it in time, whatever the operator's cost.
func TestChoose(t *testing.T) {
	away := func(p Parts, cost, objective time.Duration) Candidate {
		return Candidate{Parts: ChargeTraffic(p, cost, objective)}
	}
	home := func(p Parts) Candidate { return Candidate{Parts: p, Home: true} }
	for _, c := range []struct {
		name       string
		candidates []Candidate
		objective  time.Duration
		want       int
		reason     Reason
	}{
		{"equal waits", []Candidate{away(Parts{Path: 8 * ms}, 50*ms, 200*ms), home(Parts{Path: ms})}, 200 * ms, 1, Home},
		{"saves less than the cost", []Candidate{away(Parts{Path: 8 * ms}, 50*ms, 200*ms), home(Parts{Wait: 55 * ms})}, 200 * ms, 1, Home},
		{"saves more than the cost", []Candidate{away(Parts{Path: 8 * ms}, 50*ms, 200*ms), home(Parts{Wait: 60 * ms})}, 200 * ms, 0, Sooner},
		{"late at home", []Candidate{away(Parts{Path: 8 * ms}, time.Hour, 200*ms), home(Parts{Wait: 201 * ms})}, 200 * ms, 0, Late},
		{"late everywhere", []Candidate{away(Parts{Wait: 210 * ms}, 50*ms, 200*ms), home(Parts{Wait: 220 * ms})}, 200 * ms, 1, Home},
		{"fails at home", []Candidate{away(Parts{Path: 8 * ms}, 50*ms, 200*ms), home(Parts{Failures: time.Second})}, 0, 0, Failing},
		{"none at home", []Candidate{away(Parts{Path: 8 * ms}, 50*ms, 200*ms), away(Parts{Path: 3 * ms}, 50*ms, 200*ms)}, 200 * ms, 1, NoHome},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			best, reason := Choose(c.candidates, c.objective)
			is.Equal(best, c.want)
			is.Equal(reason, c.reason)
		})
	}
}

// Guards against a declined statement that comes back to the holder that has declined it for its wait, while another
// target is still cheaper.
func TestDeclinedStatementGoesElsewhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := func(name string) time.Duration {
			return time.Duration(rapid.Int64Range(0, int64(500*ms)).Draw(t, name))
		}
		var candidates []Candidate
		for range rapid.IntRange(2, 5).Draw(t, "candidates") {
			c := Candidate{Parts: Parts{Path: duration("path"), Wait: duration("wait")}, Home: rapid.Bool().Draw(t, "home")}
			if !c.Home {
				c.Parts = ChargeTraffic(c.Parts, duration("cost"), duration("objective"))
			}
			candidates = append(candidates, c)
		}
		chosen, _ := Choose(candidates, 0)
		above := DeclineAbove(candidates, chosen)
		if above < candidates[chosen].Wait {
			t.Fatalf("declined above %v at a target with the wait %v that was known before", above, candidates[chosen].Wait)
		}
		candidates[chosen].Wait = above + 1
		if next, _ := Choose(candidates, 0); next == chosen {
			t.Fatalf("chosen again after a decline above %v: %+v", above, candidates)
		}
	})
}

// Guards against a line for each small change of the share, and against a strong change that no line shows.
func TestStrongChangesOfShare(t *testing.T) {
	is := is.New(t)
	var s Share
	now := time.Unix(1000, 0)
	lines := 0
	for i, leaving := range []int{0, 10, 20, 60, 70, 60, 0, 10} { // percent, for 20 s each
		for n := range 400 {
			now = now.Add(50 * ms)
			if _, strong := s.Record(now, n%100 < leaving); strong {
				lines++
				is.True(i == 3 || i == 6)
			}
		}
	}
	is.Equal(lines, 2)
}

// Guards against a slow round trip that is remembered for ever, and against one that hides the way's own time.
func TestPath(t *testing.T) {
	is := is.New(t)
	var p Path
	now := time.Unix(1000, 0)
	is.Equal(p.RoundTrip(now), time.Duration(0))
	p.Record(now, 8*ms)
	p.Record(now, 90*ms)
	is.Equal(p.RoundTrip(now), 8*ms)
	now = now.Add(Window / 2)
	p.Record(now, 30*ms)
	is.Equal(p.RoundTrip(now), 8*ms)
	now = now.Add(Window / 2)
	is.Equal(p.RoundTrip(now), 30*ms)
	is.Equal(p.RoundTrip(now.Add(Window)), time.Duration(0))
}
