package history

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"
)

// never is the return time of a request without a response, which may take effect at any later time.
const never = time.Duration(math.MaxInt64 - 1)

type rowKey struct{ service, row string }

type bookingKey struct{ service, booking string }

type tagKey struct{ service, tag string }

// write is one logical write of one row: all attempts with the same request key, or a single
// attempt without a key.
type write struct {
	event      *Event // the first attempt
	key        rowKey
	attempts   int
	outcome    Outcome
	deniedCode string // SQLSTATE when the outcome is Denied
	version    int64
	// start and end bound the time at which the write took effect. The end is the constant never
	// unless the outcome is OK or Denied.
	start, end time.Duration
}

func (w *write) mayHaveRun() bool {
	return w.outcome == OK || w.outcome == MayHaveRun
}

// index gives access to the events of a run and the final state by row, booking and tag.
type index struct {
	events          []Event
	writes          []*write
	writesByRow     map[rowKey][]*write
	writesByBooking map[bookingKey][]*write
	writesByTag     map[tagKey][]*write
	readsByRow      map[rowKey][]*Event
	ackedByVersion  map[rowKey]map[int64]*write // acknowledged writes by version
	finalRows       map[rowKey]Row
	finalByBooking  map[bookingKey][]Row
}

func newIndex(events []Event, final Final, r *Report) *index {
	x := &index{
		events:          slices.Clone(events),
		writesByRow:     map[rowKey][]*write{},
		writesByBooking: map[bookingKey][]*write{},
		writesByTag:     map[tagKey][]*write{},
		readsByRow:      map[rowKey][]*Event{},
		ackedByVersion:  map[rowKey]map[int64]*write{},
		finalRows:       map[rowKey]Row{},
		finalByBooking:  map[bookingKey][]Row{},
	}
	slices.SortStableFunc(x.events, func(a, b Event) int { return cmp.Compare(a.Start, b.Start) })
	x.addFinal(final)
	x.addEvents(r)
	for _, w := range x.writes {
		x.addWrite(w)
	}
	return x
}

func (x *index) addFinal(final Final) {
	for service, rows := range final {
		for _, row := range rows {
			x.finalRows[rowKey{service, row.ID}] = row
			if row.Booking != "" {
				k := bookingKey{service, row.Booking}
				x.finalByBooking[k] = append(x.finalByBooking[k], row)
			}
		}
	}
}

// addEvents fills readsByRow and merges the attempts of each logical write.
func (x *index) addEvents(r *Report) {
	type attemptKey struct{ team, service, request, item string }
	merged := map[attemptKey]*write{}
	for i := range x.events {
		e := &x.events[i]
		x.resolveRow(e)
		k := rowKey{e.Service, e.Row}
		if e.Op == Read {
			x.readsByRow[k] = append(x.readsByRow[k], e)
			continue
		}
		if e.RequestKey == "" {
			w := &write{event: e, key: k, start: never, end: never, outcome: NotRun}
			w.merge(e, r)
			x.writes = append(x.writes, w)
			continue
		}
		writtenItem := "row " + e.Row
		if e.Booking != "" {
			writtenItem = "booking " + e.Booking
		}
		attempt := attemptKey{e.Team, e.Service, e.RequestKey, writtenItem}
		w := merged[attempt]
		if w == nil {
			w = &write{event: e, key: k, start: never, end: never, outcome: NotRun}
			merged[attempt] = w
			x.writes = append(x.writes, w)
		}
		w.merge(e, r)
	}
}

// resolveRow sets the row of an insert whose response, and with it the row ID, was lost.
func (x *index) resolveRow(e *Event) {
	if e.Row != "" || e.Booking == "" {
		return
	}
	rows := x.finalByBooking[bookingKey{e.Service, e.Booking}]
	if len(rows) == 1 {
		e.Row = rows[0].ID
	}
}

// merge adds an attempt. A logical write is acknowledged if any of its attempts was acknowledged;
// otherwise it may have run if any of them may have run.
func (w *write) merge(e *Event, r *Report) {
	w.attempts++
	switch e.Outcome {
	case OK:
		w.mergeOK(e, r)
	case MayHaveRun:
		w.start = min(w.start, e.Start)
		if w.outcome != OK {
			w.outcome = MayHaveRun
		}
		if w.version == UnknownVersion {
			w.version = e.Version
		}
	case Denied:
		if w.outcome == NotRun {
			w.outcome = Denied
			w.deniedCode = e.Code
			w.start = e.Start
			w.end = e.End
		}
	}
	if w.outcome == MayHaveRun {
		w.end = never
	}
}

func (w *write) mergeOK(e *Event, r *Report) {
	k := rowKey{e.Service, e.Row}
	if w.outcome == OK && (w.version != e.Version || w.key != k) {
		r.recordViolation(&r.RepeatedRequests, "request key %q: acknowledged twice, as row %q version %d and as %s",
			e.RequestKey, w.key.row, w.version, describe(e))
		return
	}
	if w.outcome != OK {
		w.end = e.End
	}
	if w.outcome == Denied {
		w.start = e.Start
	}
	w.start = min(w.start, e.Start)
	w.end = min(w.end, e.End)
	w.outcome = OK
	w.version = e.Version
	w.key = k
}

func (x *index) addWrite(w *write) {
	e := w.event
	if e.Op != Update && e.Booking != "" {
		k := bookingKey{e.Service, e.Booking}
		x.writesByBooking[k] = append(x.writesByBooking[k], w)
	}
	if e.Tag != "" {
		k := tagKey{e.Service, e.Tag}
		x.writesByTag[k] = append(x.writesByTag[k], w)
	}
	if w.key.row == "" {
		return
	}
	x.writesByRow[w.key] = append(x.writesByRow[w.key], w)
	if w.outcome != OK || w.version <= 0 {
		return
	}
	if x.ackedByVersion[w.key] == nil {
		x.ackedByVersion[w.key] = map[int64]*write{}
	}
	if x.ackedByVersion[w.key][w.version] == nil {
		x.ackedByVersion[w.key][w.version] = w
	}
}

// describe returns the fields that identify an event among the events of a run.
func describe(e *Event) string {
	s := e.Op.String() + " of " + e.Service + "/" + e.Row
	s += " version " + strconv.FormatInt(e.Version, 10)
	if e.Booking != "" {
		s += " booking " + e.Booking
	}
	if e.Tag != "" {
		s += " tag " + e.Tag
	}
	if e.Op == Read {
		s += " mode " + e.Mode.String()
	}
	s += " by team " + e.Team + " session " + e.Session
	s += " from " + e.Start.String() + " to " + e.End.String()
	return s + ": " + e.Outcome.String() + " " + e.Code
}

// sortedKeys returns the keys of a map in order, so that equal inputs produce equal reports.
func sortedKeys[K comparable, V any](m map[K]V, sortKey func(K) (string, string)) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b K) int {
		a1, a2 := sortKey(a)
		b1, b2 := sortKey(b)
		return cmp.Or(cmp.Compare(a1, b1), cmp.Compare(a2, b2))
	})
	return keys
}

func rowSortKey(k rowKey) (string, string) { return k.service, k.row }

func bookingSortKey(k bookingKey) (string, string) { return k.service, k.booking }

func tagSortKey(k tagKey) (string, string) { return k.service, k.tag }
