package history

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const ms = time.Millisecond

// generator produces a correct history: each request takes effect at one point in time between its
// Start and End, in the order of generation.
type generator struct {
	rng    *rand.Rand
	now    time.Duration
	lastID int
	rows   []string
	tags   map[string][]string // by row: the tag of each version from 1 on
	acked  map[string][]ack    // by row: acknowledged versions
	events []Event
}

type ack struct {
	at      time.Duration
	version int64
	session string
}

func generate(seed uint64, n int) *generator {
	g := &generator{
		rng:   rand.New(rand.NewPCG(seed, 0)),
		now:   time.Second,
		tags:  map[string][]string{},
		acked: map[string][]ack{},
	}
	for range 3 {
		g.insert(OK)
		g.tx(OK)
	}
	for len(g.events) < n {
		g.now += time.Duration(g.rng.IntN(2000)) * time.Microsecond
		g.step()
	}
	return g
}

func (g *generator) step() {
	outcome := []Outcome{OK, OK, OK, OK, OK, OK, MayHaveRun, NotRun}[g.rng.IntN(8)]
	switch g.rng.IntN(10) {
	case 0, 1:
		g.insert(outcome)
	case 2, 3:
		g.update(outcome)
	case 4:
		g.tx(outcome)
	case 5:
		g.resend()
	default:
		g.read(Mode(g.rng.IntN(3)))
	}
}

func (g *generator) newID(prefix string) string {
	g.lastID++
	return fmt.Sprintf("%s%06d", prefix, g.lastID)
}

// newEvent returns an event whose interval contains the current time.
func (g *generator) newEvent(op Op, outcome Outcome) Event {
	session := g.rng.IntN(8)
	return Event{
		Session: fmt.Sprintf("session%d", session), Team: fmt.Sprintf("team%d", session%3),
		Service: "rota", Op: op, Outcome: outcome,
		Start: g.now - time.Duration(g.rng.IntN(5000))*time.Microsecond,
		End:   g.now + time.Duration(g.rng.IntN(5000))*time.Microsecond,
	}
}

// apply records a write and runs it as its outcome requires; a write with outcome MayHaveRun runs
// with probability 1/2.
func (g *generator) apply(e Event) Event {
	ran := e.Outcome == OK || e.Outcome == MayHaveRun && g.rng.IntN(2) == 0
	if ran {
		if len(g.tags[e.Row]) == 0 {
			g.rows = append(g.rows, e.Row)
		}
		g.tags[e.Row] = append(g.tags[e.Row], e.Tag)
	}
	if e.Outcome == OK {
		e.Version = int64(len(g.tags[e.Row]))
		g.acked[e.Row] = append(g.acked[e.Row], ack{e.End, e.Version, e.Session})
	}
	g.events = append(g.events, e)
	return e
}

func (g *generator) insert(outcome Outcome) {
	e := g.newEvent(Insert, outcome)
	e.Booking = g.newID("booking")
	e.Row = "row-" + e.Booking
	e.Tag = g.newID("tag")
	g.apply(e)
}

func (g *generator) update(outcome Outcome) {
	e := g.newEvent(Update, outcome)
	e.Row = g.pickRow()
	e.Tag = g.newID("tag")
	g.apply(e)
}

// tx writes two new rows and an existing row in one transaction.
func (g *generator) tx(outcome Outcome) {
	e := g.newEvent(Tx, outcome)
	e.Tag = g.newID("tag")
	rows := []string{g.newID("new"), g.newID("new"), g.pickRow()}
	if outcome == MayHaveRun && g.rng.IntN(2) == 0 {
		outcome = NotRun // one decision for all rows of the transaction
	}
	for _, row := range rows {
		e.Row = row
		if outcome != MayHaveRun {
			g.applyWithOutcome(e, outcome)
			continue
		}
		g.applyWithOutcome(e, OK)
		g.acked[row] = g.acked[row][:len(g.acked[row])-1]
	}
}

// applyWithOutcome runs a write as if its outcome were another one, but records its own.
func (g *generator) applyWithOutcome(e Event, simulated Outcome) {
	recorded := e.Outcome
	e.Outcome = simulated
	g.apply(e)
	last := &g.events[len(g.events)-1]
	last.Outcome = recorded
	if recorded != OK {
		last.Version = UnknownVersion
	}
}

// resend records a keyed insert that loses its response, its resend, and an insert of the same
// booking without a key, which is denied.
func (g *generator) resend() {
	e := g.newEvent(Insert, OK)
	e.Booking = g.newID("booking")
	e.Row = "row-" + e.Booking
	e.RequestKey = g.newID("key")
	e.Tag = g.newID("tag")
	g.applyWithOutcome(e, OK)
	first := &g.events[len(g.events)-1]
	second := *first
	first.Outcome, first.Row, first.Version = MayHaveRun, "", UnknownVersion
	second.Start = first.End + ms
	second.End = second.Start + ms
	g.acked[e.Row][0].at = second.End
	denied := second
	denied.RequestKey, denied.Row, denied.Tag, denied.Version = "", "other-"+e.Row, "", 0
	denied.Outcome, denied.Code = Denied, codeUniqueViolation
	g.events = append(g.events, second, denied)
}

func (g *generator) pickRow() string {
	if len(g.rows) == 0 {
		return g.newID("new")
	}
	recent := min(len(g.rows), 50)
	return g.rows[len(g.rows)-1-g.rng.IntN(recent)]
}

// read records a read that returns a random version between the oldest that its mode allows and the
// current one.
func (g *generator) read(mode Mode) {
	e := g.newEvent(Read, OK)
	e.Mode = mode
	e.MaxAge = 20 * ms
	e.Row = g.pickRow()
	current := int64(len(g.tags[e.Row]))
	lowest := current
	if mode != ModeCurrent {
		lowest = g.minVersion(e)
	}
	e.Version = lowest + g.rng.Int64N(current-lowest+1)
	if e.Version == 0 {
		e.Version = Absent
	} else {
		e.Tag = g.tags[e.Row][e.Version-1]
		g.acked[e.Row] = append(g.acked[e.Row], ack{never, e.Version, e.Session})
	}
	g.events = append(g.events, e)
}

// minVersion returns the lowest version that a session or max_age read may return. Here a read raises
// the minimum of its session immediately, which is stricter than the check.
func (g *generator) minVersion(e Event) int64 {
	lowest := int64(0)
	for _, a := range g.acked[e.Row] {
		ownAck := a.session == e.Session && e.Mode == ModeSession
		oldAck := a.at < e.Start-e.MaxAge && e.Mode == ModeMaxAge
		if ownAck || oldAck {
			lowest = max(lowest, a.version)
		}
	}
	return lowest
}

func (g *generator) final() Final {
	bookings := map[string]string{}
	for _, e := range g.events {
		if e.Booking != "" {
			bookings[e.Row] = e.Booking
		}
	}
	var rows []Row
	for _, k := range g.rows {
		tags := g.tags[k]
		rows = append(rows, Row{
			ID:      k,
			Booking: bookings[k],
			Version: int64(len(tags)),
			Tag:     tags[len(tags)-1],
		})
	}
	return Final{"rota": rows}
}

// lastIndex returns the index of the last event that satisfies a predicate.
func lastIndex(events []Event, match func(Event) bool) int {
	for i, e := range slices.Backward(events) {
		if match(e) {
			return i
		}
	}
	panic("the history has no event to mutate")
}
