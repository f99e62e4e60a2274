package history

import "github.com/anishathalye/porcupine"

// codeUniqueViolation is the SQLSTATE of an insert whose booking exists already.
const codeUniqueViolation = "23505"

// checkBookings checks that each booking has at most one row, that an acknowledged booking has
// exactly one, and that a booking reported as not run has none.
func checkBookings(x *index, r *Report) {
	for _, k := range sortedKeys(x.writesByBooking, bookingSortKey) {
		checkBooking(k, x.writesByBooking[k], x.finalByBooking[k], r)
	}
	for _, k := range sortedKeys(x.finalByBooking, bookingSortKey) {
		if len(x.writesByBooking[k]) == 0 {
			r.recordViolation(&r.NotRunButRan, "booking %s/%s: row %q exists, but no recorded request inserts this booking",
				k.service, k.booking, x.finalByBooking[k][0].ID)
		}
	}
}

func checkBooking(k bookingKey, writes []*write, rows []Row, r *Report) {
	result := linearize(0, bookingHistory(writes, rows))
	if result == porcupine.Ok {
		return
	}
	first := describe(writes[0].event)
	switch {
	case result == porcupine.Unknown:
		r.recordViolation(&r.Undecided, "booking %s/%s: linearizability search timed out; first %s", k.service, k.booking, first)
	case len(rows) > 1:
		r.recordViolation(&r.DuplicateBookings, "booking %s/%s: got %d rows (including %q and %q), want at most 1; first %s",
			k.service, k.booking, len(rows), rows[0].ID, rows[1].ID, first)
	case len(rows) == 0 && countOutcome(writes, OK) > 0:
		r.recordViolation(&r.LostAcknowledged, "booking %s/%s: acknowledged, but has no row in the final state; first %s",
			k.service, k.booking, first)
	case len(rows) == 1 && countOutcome(writes, OK)+countOutcome(writes, MayHaveRun) == 0:
		r.recordViolation(&r.NotRunButRan, "booking %s/%s: row %q exists, but every attempt was reported as without effect; first %s",
			k.service, k.booking, rows[0].ID, first)
	case len(rows) == 1 && countOutcome(writes, OK) > 1:
		r.recordViolation(&r.LostAcknowledged, "booking %s/%s: acknowledged %d times, but has one row; first %s",
			k.service, k.booking, countOutcome(writes, OK), first)
	default:
		r.recordViolation(&r.NotLinearizable, "booking %s/%s: no sequential order explains its %d requests; first %s",
			k.service, k.booking, len(writes), first)
	}
}

// bookingHistory returns the operations on the number of rows of one booking, ending with the
// number of rows in the final state.
func bookingHistory(writes []*write, rows []Row) []porcupine.Operation {
	ops := make([]porcupine.Operation, 0, len(writes)+1)
	for _, w := range writes {
		switch {
		case w.outcome == OK:
			ops = append(ops, newOperation(w.start, w.end, transition(0, 1)))
		case w.outcome == MayHaveRun:
			ops = append(ops, newOperation(w.start, w.end, optional(transition(0, 1))))
		case w.outcome == Denied && w.deniedCode == codeUniqueViolation:
			ops = append(ops, newOperation(w.start, w.end, requireState(1)))
		}
	}
	return append(ops, newOperation(never, never, requireState(int64(len(rows)))))
}

func countOutcome(writes []*write, o Outcome) int {
	n := 0
	for _, w := range writes {
		if w.outcome == o {
			n++
		}
	}
	return n
}
