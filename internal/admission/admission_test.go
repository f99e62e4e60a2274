package admission

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/citronrun/citronrun/internal/clock"
	"github.com/citronrun/citronrun/internal/verdict"
)

var epoch = time.Unix(1_000_000, 0)

// teamLoad describes one team of the simulation.
type teamLoad struct {
	team        string
	share       float64
	callers     int           // concurrent callers, each with one request at a time
	thinkTime   time.Duration // pause of a caller between two requests
	serviceTime time.Duration // mean slot time
}

type event struct {
	at   time.Time
	id   uint64 // of the request that finishes; 0: a new request
	load int    // index of the team's load
}

// usage is the result of a simulation; the maps are by team.
type usage struct {
	slotTime map[string]time.Duration
	maxWait  map[string]time.Duration
	refused  int
}

// simulate runs closed-loop callers against one target of a Queue and returns what each team got.
func simulate(policy Policy, slots int, loads []teamLoad, length time.Duration, seed uint64) usage {
	rng := rand.New(rand.NewPCG(seed, 1))
	q := NewQueue(Config{Policy: policy})
	q.SetTarget("a", slots, 1000)
	result := usage{map[string]time.Duration{}, map[string]time.Duration{}, 0}
	var events []event
	for i, l := range loads {
		for range l.callers {
			events = append(events, event{at: epoch.Add(time.Duration(rng.Int64N(int64(time.Millisecond)))), load: i})
		}
	}
	enqueuedAt, loadOf := map[uint64]time.Time{}, map[uint64]int{}
	next := uint64(0)
	for {
		first := 0
		for i := range events {
			if events[i].at.Before(events[first].at) {
				first = i
			}
		}
		ev := events[first]
		events = append(events[:first], events[first+1:]...)
		if ev.at.Sub(epoch) > length {
			return result
		}
		l := loads[ev.load]
		if ev.id != 0 {
			q.Finish(ev.at, ev.id)
			q.ReleaseConn("a", l.team)
			events = append(events, event{at: ev.at.Add(l.thinkTime), load: ev.load})
		} else {
			next++
			enqueuedAt[next], loadOf[next] = ev.at, ev.load
			if q.Enqueue(ev.at, Request{ID: next, Target: "a", Team: l.team, Share: l.share}) != nil {
				result.refused++
			}
		}
		for _, id := range q.Grant(ev.at) {
			granted := loads[loadOf[id]]
			slotTime := granted.serviceTime/2 + time.Duration(rng.Int64N(int64(granted.serviceTime)))
			result.slotTime[granted.team] += slotTime
			result.maxWait[granted.team] = max(result.maxWait[granted.team], ev.at.Sub(enqueuedAt[id]))
			events = append(events, event{at: ev.at.Add(slotTime), id: id, load: loadOf[id]})
		}
	}
}

// Guards against shares that count requests instead of slot time. Neither slower statements nor more
// waiting requests may give a team more slot time than its share.
func TestSlotTimeFollowsShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var loads []teamLoad
		total := 0.0
		for i := range rapid.IntRange(2, 5).Draw(t, "teams") {
			share := float64(rapid.IntRange(1, 4).Draw(t, "share"))
			total += share
			loads = append(loads, teamLoad{
				team: string(rune('a' + i)), share: share,
				callers:     rapid.IntRange(8, 30).Draw(t, "callers"),
				serviceTime: time.Duration(rapid.IntRange(2, 20).Draw(t, "ms")) * time.Millisecond,
			})
		}
		slots := rapid.IntRange(1, 3).Draw(t, "slots")
		const length = 15 * time.Second
		result := simulate(Fair, slots, loads, length, rapid.Uint64().Draw(t, "seed"))
		for _, l := range loads {
			got := result.slotTime[l.team].Seconds() / (length.Seconds() * float64(slots))
			if want := l.share / total; got < 0.9*want || got > 1.1*want {
				t.Fatalf("team %s got %.3f of the slot time, want %.3f within 10%%", l.team, got, want)
			}
		}
	})
}

// Guards against a light team that waits behind the queue of a heavy one, whose 50 callers demand far more
// than its share: the light team must not wait longer than the longest statement takes, which is 30 ms. Logs
// the figures of both policies.
func TestLightTeamWaitsForOneStatement(t *testing.T) {
	loads := []teamLoad{
		{team: "heavy", share: 1, callers: 50, serviceTime: 20 * time.Millisecond},
		{team: "light", share: 1, callers: 1, thinkTime: 80 * time.Millisecond, serviceTime: 10 * time.Millisecond},
		{team: "other", share: 1, callers: 1, thinkTime: 80 * time.Millisecond, serviceTime: 10 * time.Millisecond},
	}
	for seed := range uint64(10) {
		fair := simulate(Fair, 2, loads, 60*time.Second, seed)
		fifo := simulate(FIFO, 2, loads, 60*time.Second, seed)
		if fair.maxWait["light"] > 30*time.Millisecond {
			t.Fatalf("seed %d: light team waited up to %v, want at most 30ms", seed, fair.maxWait["light"])
		}
		if seed == 0 {
			t.Logf("slot time of the light team: fair %v, FIFO %v; longest wait: fair %v, FIFO %v",
				fair.slotTime["light"], fifo.slotTime["light"], fair.maxWait["light"], fifo.maxWait["light"])
		}
	}
}

// Guards against requests of a team ahead of its share that wait until their deadline has passed, although the queues that are
// served before them are known. The estimate is compared with the wait.
func TestExpectedWait(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue(Config{})
		q.SetTarget("a", 1, 1000)
		now, id := epoch, uint64(0)
		times := map[string]time.Duration{"x": 2 * time.Millisecond, "y": 10 * time.Millisecond, "z": 30 * time.Millisecond, "last": 20 * time.Millisecond}
		shares := map[string]float64{}
		for name := range times {
			shares[name] = float64(int(1) << rapid.IntRange(0, 3).Draw(t, "share"))
		}
		teamOf := map[uint64]string{}
		enqueue := func(team string) {
			id++
			teamOf[id] = team
			if err := q.Enqueue(now, Request{ID: id, Target: "a", Team: team, Share: shares[team]}); err != nil {
				t.Fatal(err)
			}
		}
		serve := func() (served uint64) { // the next request, to its end
			for _, served = range q.Grant(now) {
				now = now.Add(times[teamOf[served]])
				q.Finish(now, served)
				q.ReleaseConn("a", teamOf[served])
			}
			return served
		}
		for name := range times {
			for range 40 { // so that the mean times are known
				enqueue(name)
				serve()
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "queued") {
			enqueue(rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "team"))
		}
		used := rapid.IntRange(0, 20).Draw(t, "used") // by the last team, so that it is ahead of its share
		for range used {
			enqueue("last")
		}
		for q.targets["a"].team("last").waiting() > 0 {
			serve()
		}
		expected := q.expectedWait(now, q.targets["a"], q.targets["a"].team("last"), Request{Share: shares["last"]})
		start := now
		enqueue("last")
		for last := id; ; {
			before := now
			if serve() != last {
				continue
			}
			actual := before.Sub(start)
			// Each other team may have a statement more or less ahead, and no statement is running, as is assumed.
			if diff := (expected - actual).Abs(); diff > 2*(times["x"]+times["y"]+times["z"]) {
				t.Fatalf("expected wait %v, waited %v", expected, actual)
			}
			return
		}
	})
}

// Guards against teams that are starved by those with more callers: of teams with equal shares that together
// demand more than the slots, the worst-served one must get 95% of an equal part. Logs the figures of both
// policies.
func TestWorstServedTeam(t *testing.T) {
	is := is.New(t)
	var loads []teamLoad
	for i := range 8 {
		l := teamLoad{team: string(rune('a' + i)), share: 1, callers: 10, serviceTime: 10 * time.Millisecond}
		if i < 2 {
			l.callers = 50 // 5 times as many as the other teams have
		}
		loads = append(loads, l)
	}
	const length, slots = 20 * time.Second, 2
	worst := func(policy Policy) float64 {
		result := simulate(policy, slots, loads, length, 7)
		lowest := 1.0
		for _, l := range loads {
			lowest = min(lowest, result.slotTime[l.team].Seconds()*float64(len(loads))/(length.Seconds()*slots))
		}
		return lowest
	}
	fair, fifo := worst(Fair), worst(FIFO)
	t.Logf("worst-served team gets %.2f of an equal part, %.2f with FIFO", fair, fifo)
	is.True(fair > 0.95)
	is.True(fifo < fair)
}

// Guards against unbounded queues, against requests that are lost or granted twice, and against expiry of
// requests that already run.
func TestBoundsAndAccounting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue(Config{MaxPerTeam: 4, MaxTotal: 6})
		q.SetTarget("a", 2, 6)
		now := epoch
		waiting, running := map[uint64]string{}, map[uint64]string{}
		next := uint64(0)
		t.Repeat(map[string]func(*rapid.T){
			"enqueue": func(t *rapid.T) {
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
					t.Fatalf("Enqueue failed with %v, want verdict NotRun and code %s", err, verdict.CodeTooBusy)
				}
			},
			"grant": func(t *rapid.T) {
				for _, id := range q.Grant(now) {
					if _, ok := waiting[id]; !ok {
						t.Fatalf("request %d was granted although it is not waiting", id)
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
						t.Fatalf("request %d expired although it is not waiting", id)
					}
					delete(waiting, id)
				}
			},
			"": func(t *rapid.T) {
				n, _ := q.Load("a")
				if len(waiting) > 6 || len(running) > 2 || n != len(waiting)+len(running) {
					t.Fatalf("%d waiting (limit 6), %d running (limit 2), load %d", len(waiting), len(running), n)
				}
			},
		})
	})
}

// Guards against credit for idle time: a team that becomes active again must not get all slots for the time
// that its virtual time lags behind the others.
func TestIdleTeamEarnsNoCredit(t *testing.T) {
	is := is.New(t)
	q := NewQueue(Config{})
	q.SetTarget("a", 1, 100)
	id, now := uint64(0), epoch
	var order []string
	team := map[uint64]string{}
	enqueue := func(name string) {
		id++
		team[id] = name
		is.NoErr(q.Enqueue(now, Request{ID: id, Target: "a", Team: name, Share: 1}))
	}
	step := func() {
		for _, granted := range q.Grant(now) {
			order = append(order, team[granted])
			now = now.Add(10 * time.Millisecond)
			q.Finish(now, granted)
			q.ReleaseConn("a", team[granted])
		}
	}
	for range 100 {
		enqueue("busy")
		step()
	}
	for range 10 {
		enqueue("busy")
		enqueue("back")
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
	is.True(got >= 4 && got <= 6) // about half of the grants
}

// Guards against idle transaction blocks that keep their slot, against a deadlock in which new work holds
// all slots while open blocks wait for one, and against requests that still count after Release.
func TestPausedBlocks(t *testing.T) {
	is := is.New(t)
	gate := NewGate(Config{}, clock.NewFake(epoch))
	gate.SetTarget("a", 1, 4)
	ctx := context.Background()
	block, err := gate.Acquire(ctx, "x", "a", 1, time.Time{})
	is.NoErr(err)
	block.Pause()
	other, err := gate.Acquire(ctx, "x", "a", 1, time.Time{})
	is.NoErr(err) // the slot is free, as the block is paused
	done := make(chan error)
	go func() { done <- block.Resume(ctx) }()
	for n := 0; n < 2; n, _ = gate.Load("a") {
	}
	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	_, err = gate.Acquire(cancelled, "x", "a", 1, time.Time{})
	is.Equal(verdict.Of(err), verdict.NotRun)
	other.Release()
	is.NoErr(<-done)
	block.Release()
	block.Release()
	n, _ := gate.Load("a")
	is.Equal(n, 0)
}

// Load: many teams are refused, leave in vain or only ask for their wait. Guards against memory for teams that use nothing.
func TestRefusedTeamsAreForgotten(t *testing.T) {
	is := is.New(t)
	q := NewQueue(Config{})
	q.SetTarget("a", 1, 10)
	is.NoErr(q.Enqueue(epoch, Request{ID: 1, Target: "a", Team: "busy"}))
	is.Equal(len(q.Grant(epoch)), 1)
	now := epoch.Add(time.Second) // the target has stalled
	for id := uint64(2); id < 100; id++ {
		team := fmt.Sprint(id)
		q.ExpectedWait(now, Request{Target: "a", Team: team})
		is.True(q.Enqueue(now, Request{ID: id, Target: "a", Team: team, Deadline: now.Add(time.Millisecond)}) != nil)
		is.NoErr(q.Enqueue(now, Request{ID: id, Target: "a", Team: team}))
		is.True(q.Cancel(id))
	}
	is.Equal(len(q.targets["a"].teams), 1)
}
