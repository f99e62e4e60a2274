package history

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func readsAt(times ...time.Duration) []Event {
	var events []Event
	for _, at := range times {
		events = append(events, Event{Team: "team", Op: Read, Mode: ModeMaxAge, Start: at, End: at + ms})
	}
	return events
}

// Guards against a short excess that goes undetected because the average over the run is low.
func TestBurstHiddenByAverageIsFound(t *testing.T) {
	is := is.New(t)
	var times []time.Duration
	for i := range 100 {
		times = append(times, time.Duration(i)*time.Second)
	}
	limits := map[string]Limit{"team": {Rate: 10, Burst: 5}}
	r := Check(readsAt(times...), nil, limits)
	is.Equal(r.OverRate, 0)
	for i := range 8 {
		times = append(times, 50*time.Second+time.Duration(i)*ms)
	}
	r = Check(readsAt(times...), nil, limits)
	is.Equal(r.OverRate, 4)
	is.Equal(r.WorstWindow.Admitted, 9)
	is.Equal(r.WorstWindow.From, 50*time.Second)
}

// Guards against false alarms for a team that a token bucket admits correctly, whatever the response
// times are.
func TestTokenBucketAdmissionsPass(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{Rate: 100, Burst: 5}
		tokens := limit.Burst
		now := time.Second
		var events []Event
		for range 200 {
			gap := time.Duration(rapid.IntRange(0, 20).Draw(t, "gap")) * ms
			now += gap
			tokens = min(limit.Burst, tokens+limit.Rate*gap.Seconds())
			if tokens < 1 {
				continue
			}
			tokens--
			e := readsAt(now - time.Duration(rapid.IntRange(0, 50).Draw(t, "sent"))*ms)[0]
			e.End = now + time.Duration(rapid.IntRange(0, 50).Draw(t, "response"))*ms
			events = append(events, e)
		}
		r := Check(events, nil, map[string]Limit{"team": limit})
		if r.OverRate != 0 {
			t.Fatalf("%+v", r)
		}
	})
}

// Guards against errors in the search for the worst window, by comparison with an exhaustive search.
func TestWorstWindowMatchesExhaustiveSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := Limit{Rate: 50, Burst: 2}
		var events []*Event
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			e := readsAt(time.Duration(rapid.IntRange(0, 300).Draw(t, "start")) * ms)[0]
			e.End = e.Start + time.Duration(rapid.IntRange(0, 30).Draw(t, "duration"))*ms
			events = append(events, &e)
		}
		want := 0.0
		for _, a := range events {
			for _, b := range events {
				n := countContained(events, Window{From: a.Start, To: b.End})
				if n > 0 {
					want = max(want, float64(n)-limit.Rate*(b.End-a.Start).Seconds()-limit.Burst)
				}
			}
		}
		got := worstWindow(events, limit)
		if math.Abs(got.Excess-want) > rateTolerance {
			t.Fatalf("got %+v, want an excess of %v", got, want)
		}
	})
}

// Guards against refusals counted as wrongful although the team's demand exceeded its burst, and
// against wrongful refusals that aren't counted.
func TestWrongfulRefusals(t *testing.T) {
	is := is.New(t)
	limits := map[string]Limit{"team": {Rate: 10, Burst: 3}}
	events := readsAt(0, 10*ms, 20*ms, 30*ms)
	events[3].Outcome, events[3].Code = NotRun, codeRateExceeded
	is.Equal(Check(events, nil, limits).WrongfulRefusals, 0)
	events[3].Start += time.Second
	events[3].End += time.Second
	r := Check(events, nil, limits)
	is.Equal(r.WrongfulRefusals, 1)
	is.True(r.OK())
}
