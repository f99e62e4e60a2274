package history

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const ms = time.Millisecond

// world generates a correct history: each request takes effect at one moment between its Start
// and End, in the order of generation.
type world struct {
	rng    *rand.Rand
	now    time.Duration
	next   int
	keys   []string
	tags   map[string][]string // by row: the tag of each version from 1 on
	acks   map[string][]stamp  // by row: acknowledged versions
	events []Event
}

type stamp struct {
	at      time.Duration
	version int64
	session string
}

func generate(seed uint64, n int) *world {
	w := &world{
		rng:  rand.New(rand.NewPCG(seed, 0)),
		now:  time.Second,
		tags: map[string][]string{},
		acks: map[string][]stamp{},
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

func (w *world) step() {
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

func (w *world) id(prefix string) string {
	w.next++
	return fmt.Sprintf("%s%06d", prefix, w.next)
}

// base returns an event around the present moment.
func (w *world) base(op Op, outcome Outcome) Event {
	session := w.rng.IntN(8)
	return Event{
		Session: fmt.Sprintf("session%d", session), Team: fmt.Sprintf("team%d", session%3),
		Service: "rota", Op: op, Outcome: outcome,
		Start: w.now - time.Duration(w.rng.IntN(5000))*time.Microsecond,
		End:   w.now + time.Duration(w.rng.IntN(5000))*time.Microsecond,
	}
}

// apply runs a write unless its outcome forbids it, and records it.
func (w *world) apply(e Event) Event {
	ran := e.Outcome == OK || e.Outcome == MayHaveRun && w.rng.IntN(2) == 0
	if ran {
		if len(w.tags[e.Row]) == 0 {
			w.keys = append(w.keys, e.Row)
		}
		w.tags[e.Row] = append(w.tags[e.Row], e.Tag)
	}
	if e.Outcome == OK {
		e.Version = int64(len(w.tags[e.Row]))
		w.acks[e.Row] = append(w.acks[e.Row], stamp{e.End, e.Version, e.Session})
	}
	w.events = append(w.events, e)
	return e
}

func (w *world) insert(outcome Outcome) {
	e := w.base(Insert, outcome)
	e.Booking = w.id("booking")
	e.Row = "row-" + e.Booking
	e.Tag = w.id("tag")
	w.apply(e)
}

func (w *world) update(outcome Outcome) {
	e := w.base(Update, outcome)
	e.Row = w.pick()
	e.Tag = w.id("tag")
	w.apply(e)
}

// tx writes two new rows and an existing one.
func (w *world) tx(outcome Outcome) {
	e := w.base(Tx, outcome)
	e.Tag = w.id("tag")
	rows := []string{w.id("new"), w.id("new"), w.pick()}
	if outcome == MayHaveRun && w.rng.IntN(2) == 0 {
		outcome = NotRun // decide once for all rows whether it runs
	}
	for _, row := range rows {
		e.Row = row
		if outcome != MayHaveRun {
			w.applyAs(e, outcome)
			continue
		}
		w.applyAs(e, OK)
		w.acks[row] = w.acks[row][:len(w.acks[row])-1]
	}
}

// applyAs runs a write as if its outcome were another one.
func (w *world) applyAs(e Event, as Outcome) {
	known := e.Outcome
	e.Outcome = as
	w.apply(e)
	last := &w.events[len(w.events)-1]
	last.Outcome = known
	if known != OK {
		last.Version = UnknownVersion
	}
}

// resend loses the response of a keyed insert and sends it again, then inserts it without a key.
func (w *world) resend() {
	e := w.base(Insert, OK)
	e.Booking = w.id("booking")
	e.Row = "row-" + e.Booking
	e.RequestKey = w.id("key")
	e.Tag = w.id("tag")
	w.applyAs(e, OK)
	first := &w.events[len(w.events)-1]
	second := *first
	first.Outcome, first.Row, first.Version = MayHaveRun, "", UnknownVersion
	second.Start = first.End + ms
	second.End = second.Start + ms
	w.acks[e.Row][0].at = second.End
	denied := second
	denied.RequestKey, denied.Row, denied.Tag, denied.Version = "", "other-"+e.Row, "", 0
	denied.Outcome, denied.Code = Denied, codeUniqueViolation
	w.events = append(w.events, second, denied)
}

func (w *world) pick() string {
	if len(w.keys) == 0 {
		return w.id("new")
	}
	recent := min(len(w.keys), 50)
	return w.keys[len(w.keys)-1-w.rng.IntN(recent)]
}

// read returns the oldest version that its mode allows or a newer one.
func (w *world) read(mode Mode) {
	e := w.base(Read, OK)
	e.Mode = mode
	e.MaxAge = 20 * ms
	e.Row = w.pick()
	current := int64(len(w.tags[e.Row]))
	floor := current
	if mode != ModeCurrent {
		floor = w.floor(e)
	}
	e.Version = floor + w.rng.Int64N(current-floor+1)
	if e.Version == 0 {
		e.Version = Absent
	} else {
		e.Tag = w.tags[e.Row][e.Version-1]
		w.acks[e.Row] = append(w.acks[e.Row], stamp{never, e.Version, e.Session})
	}
	w.events = append(w.events, e)
}

// floor returns the highest version that a session or max_age read must see. A read raises the
// floor of its session at once here, which is stricter than the check.
func (w *world) floor(e Event) int64 {
	floor := int64(0)
	for _, a := range w.acks[e.Row] {
		own := a.session == e.Session && e.Mode == ModeSession
		old := a.at < e.Start-e.MaxAge && e.Mode == ModeMaxAge
		if own || old {
			floor = max(floor, a.version)
		}
	}
	return floor
}

func (w *world) final() Final {
	bookings := map[string]string{}
	for _, e := range w.events {
		if e.Booking != "" {
			bookings[e.Row] = e.Booking
		}
	}
	var rows []Row
	for _, k := range w.keys {
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

// find returns the index of the last event that satisfies a predicate.
func find(events []Event, match func(Event) bool) int {
	for i, e := range slices.Backward(events) {
		if match(e) {
			return i
		}
	}
	panic("the history has no event to mutate")
}
