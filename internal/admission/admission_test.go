package admission

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/citronrun/citronrun/internal/clock"
	"github.com/citronrun/citronrun/internal/verdict"
)

var epoch = time.Unix(1_000_000, 0)

// load describes one team of the simulation.
type load struct {
	team    string
	share   float64
	callers int           // concurrent callers, each with one request at a time
	think   time.Duration // pause of a caller between two requests
	service time.Duration // mean slot time
}

type event struct {
	at   time.Time
	id   uint64 // of the request that finishes; 0: a new request
	load int
}

type usage struct {
	used    map[string]time.Duration // slot time
	maxWait map[string]time.Duration
	refused int
}

// simulate runs closed-loop callers against one lane of a queue.
func simulate(p Policy, slots int, loads []load, length time.Duration, seed uint64) usage {
	rnd := rand.New(rand.NewPCG(seed, 1))
	q := New(Config{Policy: p})
	q.SetTarget("a", slots, 1000)
	u := usage{map[string]time.Duration{}, map[string]time.Duration{}, 0}
	var events []event
	for i, l := range loads {
		for range l.callers {
			events = append(events, event{at: epoch.Add(time.Duration(rnd.Int64N(int64(time.Millisecond)))), load: i})
		}
	}
	offered, owner := map[uint64]time.Time{}, map[uint64]int{}
	next := uint64(0)
	for {
		first := 0
		for i := range events {
			if events[i].at.Before(events[first].at) {
				first = i
			}
		}
		e := events[first]
		events = append(events[:first], events[first+1:]...)
		if e.at.Sub(epoch) > length {
			return u
		}
		l := loads[e.load]
		if e.id != 0 {
			q.Finish(e.at, e.id)
			q.ReleaseConn("a", l.team)
			events = append(events, event{at: e.at.Add(l.think), load: e.load})
		} else {
			next++
			offered[next], owner[next] = e.at, e.load
			if q.Enqueue(e.at, Request{ID: next, Target: "a", Team: l.team, Share: l.share}) != nil {
				u.refused++
			}
		}
		for _, id := range q.Grants(e.at) {
			o := loads[owner[id]]
			d := o.service/2 + time.Duration(rnd.Int64N(int64(o.service)))
			u.used[o.team] += d
			u.maxWait[o.team] = max(u.maxWait[o.team], e.at.Sub(offered[id]))
			events = append(events, event{at: e.at.Add(d), id: id, load: owner[id]})
		}
	}
}

// Guards against shares by request count: teams with slow statements must not get more slot time, and
// a team that keeps more requests in the queue must not either.
func TestSlotTimeFollowsShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var loads []load
		total := 0.0
		for i := range rapid.IntRange(2, 5).Draw(t, "teams") {
			share := float64(rapid.IntRange(1, 4).Draw(t, "share"))
			total += share
			loads = append(loads, load{
				team: string(rune('a' + i)), share: share,
				callers: rapid.IntRange(8, 30).Draw(t, "callers"),
				service: time.Duration(rapid.IntRange(2, 20).Draw(t, "ms")) * time.Millisecond,
			})
		}
		slots := rapid.IntRange(1, 3).Draw(t, "slots")
		const length = 15 * time.Second
		u := simulate(Fair, slots, loads, length, rapid.Uint64().Draw(t, "seed"))
		for _, l := range loads {
			got := u.used[l.team].Seconds() / (length.Seconds() * float64(slots))
			if want := l.share / total; got < 0.9*want || got > 1.1*want {
				t.Fatalf("team %s got %.3f of the slot time, want %.3f", l.team, got, want)
			}
		}
	})
}

// Guards against a light team that waits behind the queue of a team with 5 times its share: the wait
// must stay within one of the longest statements. Prints the figures of both policies.
func TestLightTeamWaitsForOneStatement(t *testing.T) {
	loads := []load{
		{team: "heavy", share: 1, callers: 50, service: 20 * time.Millisecond},
		{team: "light", share: 1, callers: 1, think: 80 * time.Millisecond, service: 10 * time.Millisecond},
		{team: "other", share: 1, callers: 1, think: 80 * time.Millisecond, service: 10 * time.Millisecond},
	}
	for seed := range uint64(10) {
		fair := simulate(Fair, 2, loads, 60*time.Second, seed)
		base := simulate(FIFO, 2, loads, 60*time.Second, seed)
		if fair.maxWait["light"] > 30*time.Millisecond {
			t.Fatalf("seed %d: light team waited %v", seed, fair.maxWait["light"])
		}
		if seed == 0 {
			t.Logf("slot time of the light team: fair %v, first come %v; longest wait: fair %v, first come %v",
				fair.used["light"], base.used["light"], fair.maxWait["light"], base.maxWait["light"])
		}
	}
}

// Guards against a team that is crowded out by large ones: the worst-served team must get most of its
// equal part, or all that it asks for. Prints the figures of both policies.
func TestWorstServedTeam(t *testing.T) {
	is := is.New(t)
	var loads []load
	for i := range 8 {
		l := load{team: string(rune('a' + i)), share: 1, callers: 10, service: 10 * time.Millisecond}
		if i < 2 {
			l.callers = 50 // 5 times its share
		}
		loads = append(loads, l)
	}
	const length, slots = 20 * time.Second, 2
	worst := func(p Policy) float64 {
		u := simulate(p, slots, loads, length, 7)
		least := 1.0
		for _, l := range loads {
			least = min(least, u.used[l.team].Seconds()*float64(len(loads))/(length.Seconds()*slots))
		}
		return least
	}
	fair, base := worst(Fair), worst(FIFO)
	t.Logf("worst-served team gets %.2f of its equal part, %.2f with first come", fair, base)
	is.True(fair > 0.95)
	is.True(base < fair)
}

// Guards against unbounded queues, lost requests and refusals of requests that already run.
func TestBoundsAndAccounting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := New(Config{MaxPerTeam: 4, MaxTotal: 6})
		q.SetTarget("a", 2, 6)
		now := epoch
		waiting, running := map[uint64]string{}, map[uint64]string{}
		next := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				next++
				team := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "team")
				r := Request{ID: next, Target: "a", Team: team, Share: 1}
				if rapid.Bool().Draw(t, "limited") {
					r.Deadline = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
				}
				err := q.Enqueue(now, r)
				if err == nil {
					waiting[next] = team
				} else if e := verdict.As(err); e.Verdict != verdict.NotRun || e.Code != verdict.CodeTooBusy {
					t.Fatalf("refusal %v", err)
				}
			},
			"grant": func(t *rapid.T) {
				for _, id := range q.Grants(now) {
					if _, ok := waiting[id]; !ok {
						t.Fatalf("request %d granted twice or after its end", id)
					}
					running[id] = waiting[id]
					delete(waiting, id)
				}
			},
			"finish": func(t *rapid.T) {
				for id, team := range running {
					q.Finish(now, id)
					q.ReleaseConn("a", team)
					delete(running, id)
					return
				}
			},
			"expire": func(t *rapid.T) {
				now = now.Add(10 * time.Millisecond)
				for _, id := range q.Expire(now) {
					if _, ok := waiting[id]; !ok {
						t.Fatalf("request %d expired while running", id)
					}
					delete(waiting, id)
				}
			},
			"": func(t *rapid.T) {
				n, _ := q.Load("a")
				if len(waiting) > 6 || len(running) > 2 || n != len(waiting)+len(running) {
					t.Fatalf("%d waiting, %d running, load %d", len(waiting), len(running), n)
				}
			},
		})
	})
}

// Guards against credit for idle time: a team that returns must not take all slots until it has made
// up for its absence.
func TestIdleTeamEarnsNoCredit(t *testing.T) {
	is := is.New(t)
	q := New(Config{})
	q.SetTarget("a", 1, 100)
	id, now := uint64(0), epoch
	var order []string
	team := map[uint64]string{}
	offer := func(name string) {
		id++
		team[id] = name
		is.NoErr(q.Enqueue(now, Request{ID: id, Target: "a", Team: name, Share: 1}))
	}
	step := func() {
		for _, g := range q.Grants(now) {
			order = append(order, team[g])
			now = now.Add(10 * time.Millisecond)
			q.Finish(now, g)
			q.ReleaseConn("a", team[g])
		}
	}
	for range 100 {
		offer("busy")
		step()
	}
	for range 10 {
		offer("busy")
		offer("back")
	}
	order = nil
	for range 10 {
		step()
	}
	got := 0
	for _, name := range order {
		if name == "back" {
			got++
		}
	}
	is.True(got >= 4 && got <= 6) // half of the grants
}

// Guards against a deadlock in which new work holds all slots while open blocks wait for theirs, and
// against slots that stay taken while a block is idle.
func TestBlockStatementsGoFirst(t *testing.T) {
	is := is.New(t)
	g := NewGate(Config{}, clock.NewFake(epoch))
	g.SetTarget("a", 1, 4)
	ctx := context.Background()
	block, err := g.Acquire(ctx, "x", "a", 1, time.Time{})
	is.NoErr(err)
	block.Pause()
	other, err := g.Acquire(ctx, "x", "a", 1, time.Time{})
	is.NoErr(err) // the paused block holds no slot
	done := make(chan error)
	go func() { done <- block.Resume(ctx) }()
	for n := 0; n < 2; n, _ = g.Load("a") {
	}
	ended, cancel := context.WithCancel(ctx)
	cancel()
	_, err = g.Acquire(ended, "x", "a", 1, time.Time{})
	is.Equal(verdict.Of(err), verdict.NotRun)
	other.Release()
	is.NoErr(<-done)
	block.Release()
	block.Release()
	n, _ := g.Load("a")
	is.Equal(n, 0)
}
