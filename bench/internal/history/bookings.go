package history

import "github.com/anishathalye/porcupine"

// codeUniqueViolation is the SQLSTATE of an insert whose booking exists already.
const codeUniqueViolation = "23505"

// checkBookings checks that each booking has at most one row, that acknowledged ones have one and
// that those which were not run have none.
func checkBookings(x *index, r *Report) {
	for _, k := range sorted(x.bookings, bookingParts) {
		checkBooking(k, x.bookings[k], x.booked[k], r)
	}
	for _, k := range sorted(x.booked, bookingParts) {
		if len(x.bookings[k]) == 0 {
			r.fail(&r.NotRunButRan, "booking %s/%s: row %q exists, but no request created it",
				k.service, k.booking, x.booked[k][0].ID)
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
		r.fail(&r.Undecided, "booking %s/%s: search timed out; first %s", k.service, k.booking, first)
	case len(rows) > 1:
		r.fail(&r.DuplicateBookings, "booking %s/%s: %d rows, %q and %q; first %s",
			k.service, k.booking, len(rows), rows[0].ID, rows[1].ID, first)
	case len(rows) == 0 && count(writes, OK) > 0:
		r.fail(&r.LostAcknowledged, "booking %s/%s: acknowledged, but has no row; first %s",
			k.service, k.booking, first)
	case len(rows) == 1 && count(writes, OK)+count(writes, MayHaveRun) == 0:
		r.fail(&r.NotRunButRan, "booking %s/%s: row %q exists, but no attempt ran; first %s",
			k.service, k.booking, rows[0].ID, first)
	case len(rows) == 1 && count(writes, OK) > 1:
		r.fail(&r.LostAcknowledged, "booking %s/%s: acknowledged %d times, but has one row; first %s",
			k.service, k.booking, count(writes, OK), first)
	default:
		r.fail(&r.NotLinearizable, "booking %s/%s: no order explains %d requests; first %s",
			k.service, k.booking, len(writes), first)
	}
}

// bookingHistory is the history of the number of rows of one booking.
func bookingHistory(writes []*write, rows []Row) []porcupine.Operation {
	ops := make([]porcupine.Operation, 0, len(writes)+1)
	for _, w := range writes {
		switch {
		case w.outcome == OK:
			ops = append(ops, operation(w.start, w.end, move(0, 1)))
		case w.outcome == MayHaveRun:
			ops = append(ops, operation(w.start, w.end, maybe(move(0, 1))))
		case w.outcome == Denied && w.denied == codeUniqueViolation:
			ops = append(ops, operation(w.start, w.end, expect(1)))
		}
	}
	return append(ops, operation(never, never, expect(int64(len(rows)))))
}

func count(writes []*write, o Outcome) int {
	n := 0
	for _, w := range writes {
		if w.outcome == o {
			n++
		}
	}
	return n
}
