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
	tags   map[string][]string       // by row: the tag of each version from 1 on
	acked  map[string][]ackedVersion // by row: acknowledged versions
	events []Event
}

type ackedVersion struct {
	at      time.Duration
	version int64
	session string
}

func generate(seed uint64, n int) *generator {
	w := &generator{
		rng:   rand.New(rand.NewPCG(seed, 0)),
		now:   time.Second,
		tags:  map[string][]string{},
		acked: map[string][]ackedVersion{},
	}
	for range 3 {
		w.insert(OK)
		w.tx(OK)
	}
	for len(w.events) < n {
		w.now += time.Duration(w.rng.IntN(2000)) * time.Microsecond
		w.step()
	}
	return w
}

func (w *generator) step() {
	outcome := []Outcome{OK, OK, OK, OK, OK, OK, MayHaveRun, NotRun}[w.rng.IntN(8)]
	switch w.rng.IntN(10) {
	case 0, 1:
		w.insert(outcome)
	case 2, 3:
		w.update(outcome)
	case 4:
		w.tx(outcome)
	case 5:
		w.resend()
	default:
		w.read(Mode(w.rng.IntN(3)))
	}
}

func (w *generator) newID(prefix string) string {
	w.lastID++
	return fmt.Sprintf("%s%06d", prefix, w.lastID)
}

// newEvent returns an event whose interval contains the current time.
func (w *generator) newEvent(op Op, outcome Outcome) Event {
	session := w.rng.IntN(8)
	return Event{
		Session: fmt.Sprintf("session%d", session), Team: fmt.Sprintf("team%d", session%3),
		Service: "rota", Op: op, Outcome: outcome,
		Start: w.now - time.Duration(w.rng.IntN(5000))*time.Microsecond,
		End:   w.now + time.Duration(w.rng.IntN(5000))*time.Microsecond,
	}
}

// apply records a write and runs it as its outcome requires; a write with outcome MayHaveRun runs
// with probability 1/2.
func (w *generator) apply(e Event) Event {
	ran := e.Outcome == OK || e.Outcome == MayHaveRun && w.rng.IntN(2) == 0
	if ran {
		if len(w.tags[e.Row]) == 0 {
			w.rows = append(w.rows, e.Row)
		}
		w.tags[e.Row] = append(w.tags[e.Row], e.Tag)
	}
	if e.Outcome == OK {
		e.Version = int64(len(w.tags[e.Row]))
		w.acked[e.Row] = append(w.acked[e.Row], ackedVersion{e.End, e.Version, e.Session})
	}
	w.events = append(w.events, e)
	return e
}

func (w *generator) insert(outcome Outcome) {
	e := w.newEvent(Insert, outcome)
	e.Booking = w.newID("booking")
	e.Row = "row-" + e.Booking
	e.Tag = w.newID("tag")
	w.apply(e)
}

func (w *generator) update(outcome Outcome) {
	e := w.newEvent(Update, outcome)
	e.Row = w.pickRow()
	e.Tag = w.newID("tag")
	w.apply(e)
}

// tx writes two new rows and an existing row in one transaction.
func (w *generator) tx(outcome Outcome) {
	e := w.newEvent(Tx, outcome)
	e.Tag = w.newID("tag")
	rows := []string{w.newID("new"), w.newID("new"), w.pickRow()}
	if outcome == MayHaveRun && w.rng.IntN(2) == 0 {
		outcome = NotRun // one decision for all rows of the transaction
	}
	for _, row := range rows {
		e.Row = row
		if outcome != MayHaveRun {
			w.applyWithOutcome(e, outcome)
			continue
		}
		w.applyWithOutcome(e, OK)
		w.acked[row] = w.acked[row][:len(w.acked[row])-1]
	}
}

// applyWithOutcome runs a write as if its outcome were another one, but records its own.
func (w *generator) applyWithOutcome(e Event, as Outcome) {
	known := e.Outcome
	e.Outcome = as
	w.apply(e)
	last := &w.events[len(w.events)-1]
	last.Outcome = known
	if known != OK {
		last.Version = UnknownVersion
	}
}

// resend records a keyed insert that loses its response, its resend, and an insert of the same
// booking without a key, which is denied.
func (w *generator) resend() {
	e := w.newEvent(Insert, OK)
	e.Booking = w.newID("booking")
	e.Row = "row-" + e.Booking
	e.RequestKey = w.newID("key")
	e.Tag = w.newID("tag")
	w.applyWithOutcome(e, OK)
	first := &w.events[len(w.events)-1]
	second := *first
	first.Outcome, first.Row, first.Version = MayHaveRun, "", UnknownVersion
	second.Start = first.End + ms
	second.End = second.Start + ms
	w.acked[e.Row][0].at = second.End
	denied := second
	denied.RequestKey, denied.Row, denied.Tag, denied.Version = "", "other-"+e.Row, "", 0
	denied.Outcome, denied.Code = Denied, codeUniqueViolation
	w.events = append(w.events, second, denied)
}

func (w *generator) pickRow() string {
	if len(w.rows) == 0 {
		return w.newID("new")
	}
	recent := min(len(w.rows), 50)
	return w.rows[len(w.rows)-1-w.rng.IntN(recent)]
}

// read records a read that returns a random version between the oldest that its mode allows and the
// current one.
func (w *generator) read(mode Mode) {
	e := w.newEvent(Read, OK)
	e.Mode = mode
	e.MaxAge = 20 * ms
	e.Row = w.pickRow()
	current := int64(len(w.tags[e.Row]))
	lowest := current
	if mode != ModeCurrent {
		lowest = w.minVersion(e)
	}
	e.Version = lowest + w.rng.Int64N(current-lowest+1)
	if e.Version == 0 {
		e.Version = Absent
	} else {
		e.Tag = w.tags[e.Row][e.Version-1]
		w.acked[e.Row] = append(w.acked[e.Row], ackedVersion{never, e.Version, e.Session})
	}
	w.events = append(w.events, e)
}

// minVersion returns the lowest version that a session or max_age read may return. Here a read raises
// the minimum of its session immediately, which is stricter than the check.
func (w *generator) minVersion(e Event) int64 {
	lowest := int64(0)
	for _, a := range w.acked[e.Row] {
		ownAck := a.session == e.Session && e.Mode == ModeSession
		oldAck := a.at < e.Start-e.MaxAge && e.Mode == ModeMaxAge
		if ownAck || oldAck {
			lowest = max(lowest, a.version)
		}
	}
	return lowest
}

func (w *generator) final() Final {
	bookings := map[string]string{}
	for _, e := range w.events {
		if e.Booking != "" {
			bookings[e.Row] = e.Booking
		}
	}
	var rows []Row
	for _, k := range w.rows {
		tags := w.tags[k]
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
