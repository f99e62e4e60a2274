package spill

import (
	"container/heap"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	hostsPerPlace = 50
	tick          = 500 * time.Microsecond
	servicePerMs  = 0.4 // statements that a target completes, 4 slots of 10 ms
	homeTrip      = ms
	awayTrip      = 8 * ms
	trafficCost   = 60 * ms
	objective     = 250 * ms
	window        = 200 * ms
)

// message arrives at a target, or returns from it to its host, after half a round trip.
type message struct {
	at           time.Time
	from, host   int // place and number of the host
	target       int // place of the target
	declineAbove time.Duration
	declined     [2]time.Duration // waits told by the targets that have declined
	reply        bool
	wait         time.Duration
}

type messages []message

func (m messages) Len() int           { return len(m) }
func (m messages) Less(i, j int) bool { return m[i].at.Before(m[j].at) }
func (m messages) Swap(i, j int)      { m[i], m[j] = m[j], m[i] }
func (m *messages) Push(x any)        { *m = append(*m, x.(message)) }
func (m *messages) Pop() any {
	last := (*m)[len(*m)-1]
	*m = (*m)[:len(*m)-1]
	return last
}

// loop has two places with a target and many hosts each. A host knows the wait at a target only from the replies to its
// own statements, half a round trip and a queue wait after the holder has read its queue.
type loop struct {
	now       time.Time
	demand    [2]float64 // statements per ms of the hosts of a place
	due       [2]float64
	next      [2]int
	known     [2][hostsPerPlace][2]Announced
	backlog   [2]float64
	inTransit messages
	declining bool // holders decline
	// of the current window
	sent, left [2]float64
	longest    [2]time.Duration
}

func (l *loop) wait(target int) time.Duration {
	return time.Duration(l.backlog[target] / servicePerMs * float64(ms))
}

func trip(from, target int) time.Duration {
	if from == target {
		return homeTrip
	}
	return awayTrip
}

func (l *loop) send(m message) {
	var candidates []Candidate
	for target := range 2 {
		c := Candidate{Home: target == m.from}
		c.Path, c.Wait = trip(m.from, target), max(l.known[m.from][m.host][target].Wait(l.now), m.declined[target])
		if !c.Home {
			c.Parts = ChargeTraffic(c.Parts, trafficCost, objective)
		}
		candidates = append(candidates, c)
	}
	m.target, _ = Choose(candidates, objective)
	m.declineAbove = 0
	if l.declining && m.declined[m.target] == 0 {
		m.declineAbove = DeclineAbove(candidates, m.target)
	}
	m.reply, m.at = false, l.now.Add(trip(m.from, m.target)/2)
	heap.Push(&l.inTransit, m)
}

// arrive handles a message at a target.
func (l *loop) arrive(m message) {
	m.wait, m.reply = l.wait(m.target), true
	m.at = l.now.Add(trip(m.from, m.target) / 2)
	if Declines(m.wait, m.declineAbove) {
		m.declined[m.target] = m.wait
		heap.Push(&l.inTransit, m)
		return
	}
	l.backlog[m.target]++
	l.sent[m.from]++
	if m.target != m.from {
		l.left[m.from]++
	}
	l.longest[m.target] = max(l.longest[m.target], m.wait)
	m.at, m.declined = m.at.Add(m.wait), [2]time.Duration{}
	heap.Push(&l.inTransit, m)
}

// run runs the loop for some windows and returns the share of each place's statements that left it, and the longest
// waits at the targets, in each window.
func (l *loop) run(windows int) (left [][2]float64, longest [][2]time.Duration) {
	if l.now.IsZero() {
		l.now = time.Unix(1000, 0)
	}
	for range windows {
		l.sent, l.left, l.longest = [2]float64{}, [2]float64{}, [2]time.Duration{}
		for end := l.now.Add(window); l.now.Before(end); l.now = l.now.Add(tick) {
			l.step()
		}
		left = append(left, [2]float64{l.left[0] / max(l.sent[0], 1), l.left[1] / max(l.sent[1], 1)})
		longest = append(longest, l.longest)
	}
	return left, longest
}

func (l *loop) step() {
	for len(l.inTransit) > 0 && !l.inTransit[0].at.After(l.now) {
		m := heap.Pop(&l.inTransit).(message)
		switch {
		case !m.reply:
			l.arrive(m)
		case m.declined[m.target] > 0:
			l.send(m)
		default:
			l.known[m.from][m.host][m.target].Record(l.now, m.wait)
		}
	}
	stepMs := float64(tick) / float64(ms)
	for place := range 2 {
		l.backlog[place] = max(0, l.backlog[place]-servicePerMs*stepMs)
		for l.due[place] += l.demand[place] * stepMs; l.due[place] >= 1; l.due[place]-- {
			l.next[place] = (l.next[place] + 1) % hostsPerPlace
			l.send(message{from: place, host: l.next[place]})
		}
	}
}

// swing returns the least and the greatest share of place 0.
func swing(left [][2]float64) (least, most float64) {
	least = math.Inf(1)
	for _, share := range left {
		least, most = min(least, share[0]), max(most, share[0])
	}
	return least, most
}

// Load: one place has one and a half times the demand that its target can serve, the other a quarter, and the reports
// that hosts act on are late. Guards against a share that swings, against an other place that is overrun, and against
// statements that stay away once there is room at home.
func TestOverloadedPlaceSharesItsExcess(t *testing.T) {
	is := is.New(t)
	l := &loop{demand: [2]float64{0.6, 0.1}, declining: true}
	l.run(5)
	left, longest := l.run(20)
	least, most := swing(left)
	t.Logf("share that leaves: %.2f to %.2f", least, most)
	is.True(least > 1.0/3-0.07 && most < 1.0/3+0.07) // the excess is a third
	for _, w := range longest {
		is.True(w[0] <= trafficCost+2*awayTrip) // at home no one waits longer than leaving would cost
		is.True(w[1] <= awayTrip)               // the other place has room, and keeps it
	}
	l.demand[0] = 0.2
	l.run(2)
	left, _ = l.run(10)
	_, most = swing(left)
	is.Equal(most, 0.0)

	// The same hosts without declines follow late reports: the check above is able to fail.
	l = &loop{demand: [2]float64{0.6, 0.1}}
	l.run(5)
	left, _ = l.run(20)
	least, most = swing(left)
	t.Logf("share that leaves by reports only: %.2f to %.2f", least, most)
	is.True(most-least > 0.14)
}

// Load: both places have more demand than they can serve. Guards against two places that pass their excess back and
// forth.
func TestTwoOverloadedPlacesKeepTheirExcess(t *testing.T) {
	is := is.New(t)
	l := &loop{demand: [2]float64{0.6, 0.6}, declining: true}
	left, _ := l.run(10)
	for _, share := range left {
		is.True(share[0] < 0.05 && share[1] < 0.05)
	}
}
