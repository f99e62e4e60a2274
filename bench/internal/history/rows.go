package history

import "github.com/anishathalye/porcupine"

// checkRows checks that the version of each row is a linearizable register for writes and current
// reads, and that the final version reflects every acknowledged write and no unexplained one.
func checkRows(x *index, r *Report) {
	for _, k := range sortedKeys(x.writesByRow, rowSortKey) {
		before := r.StaleReads
		checkCurrent(x, k, r)
		if reportWriteViolations(x, k, r) || r.StaleReads > before {
			continue
		}
		switch result, detail := findRowOrder(x, k); result {
		case porcupine.Unknown:
			r.recordViolation(&r.Undecided, "row %s/%s: linearizability search timed out", k.service, k.row)
		case porcupine.Illegal:
			r.recordViolation(&r.NotLinearizable, "row %s/%s: not linearizable: %s", k.service, k.row, detail)
		}
	}
}

// rowHistory returns the operations on the version of one row; version 0 means that the row doesn't
// exist. The version of an acknowledged write may be unknown.
func rowHistory(x *index, k rowKey) []porcupine.Operation {
	var ops []porcupine.Operation
	for _, w := range x.writesByRow[k] {
		if s := writeStep(w); s != nil {
			ops = append(ops, newOperation(w.start, w.end, s))
		}
	}
	for _, e := range x.readsByRow[k] {
		if e.Outcome == OK && e.Mode == ModeCurrent {
			ops = append(ops, newOperation(e.Start, e.End, requireState(max(e.Version, 0))))
		}
	}
	return append(ops, newOperation(never, never, requireState(x.finalRows[k].Version)))
}

func writeStep(w *write) step {
	switch {
	case w.outcome == OK && w.version == Absent:
		return requireState(0) // an update that found no row
	case w.outcome == OK && w.version > 0:
		return transition(w.version-1, w.version)
	case w.outcome == OK:
		return increment(w)
	case w.outcome == MayHaveRun && w.version > 0:
		return optional(transition(w.version-1, w.version))
	case w.outcome == MayHaveRun:
		return optional(increment(w))
	}
	return nil
}

// increment returns the step of a write whose version is unknown. An insert requires that the row
// doesn't exist, and an update that it does.
func increment(w *write) step {
	op := w.event.Op
	return func(state int64) []int64 {
		if op == Insert && state != 0 || op == Update && state == 0 {
			return nil
		}
		return []int64{state + 1}
	}
}

// reportWriteViolations records which guarantee the writes of a row violate, and reports whether it
// found a violation. A booking without any row is counted by checkBooking.
func reportWriteViolations(x *index, k rowKey, r *Report) bool {
	writes := x.writesByRow[k]
	final := x.finalRows[k].Version
	found := false
	for _, w := range writes {
		if w.outcome != OK || w.version <= 0 {
			continue
		}
		missing := w.version > final
		if missing || x.ackedByVersion[k][w.version] != w {
			found = true
		}
		if missing && !x.bookingMissing(w) {
			r.recordViolation(&r.LostAcknowledged, "row %s/%s: final version is %d, which lacks the acknowledged %s",
				k.service, k.row, final, describe(w.event))
		} else if x.ackedByVersion[k][w.version] != w {
			r.recordViolation(&r.LostAcknowledged, "row %s/%s: version %d was acknowledged twice; second %s",
				k.service, k.row, w.version, describe(w.event))
		}
	}
	return reportUnexplainedVersion(x, k, r) || found
}

// bookingMissing reports whether a write created a booking that has no row in the final state.
func (x *index) bookingMissing(w *write) bool {
	e := w.event
	return e.Op != Update && e.Booking != "" && len(x.finalByBooking[bookingKey{e.Service, e.Booking}]) == 0
}

// reportUnexplainedVersion records a row whose final version is higher than the number of writes that
// may have run, and reports whether it is.
func reportUnexplainedVersion(x *index, k rowKey, r *Report) bool {
	writes := x.writesByRow[k]
	final := x.finalRows[k].Version
	ran := countOutcome(writes, OK) + countOutcome(writes, MayHaveRun)
	if final <= int64(ran) {
		return false
	}
	if ran == 0 && writes[0].event.Op != Update && writes[0].event.Booking != "" {
		return true // counted by checkBooking
	}
	for _, w := range writes {
		if !w.mayHaveRun() {
			r.recordViolation(&r.NotRunButRan, "row %s/%s: final version is %d, but at most %d writes may have run; one that was reported as without effect: %s",
				k.service, k.row, final, ran, describe(w.event))
			return true
		}
	}
	r.recordViolation(&r.RepeatedRequests, "row %s/%s: final version is %d, but at most %d writes were sent; last %s",
		k.service, k.row, final, ran, describe(writes[len(writes)-1].event))
	return true
}
