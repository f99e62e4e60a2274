package history

import "github.com/anishathalye/porcupine"

// checkRows checks that each row is a linearizable register of its version for writes and current
// reads, and that the final version contains every acknowledged write and nothing else.
func checkRows(x *index, r *Report) {
	for _, k := range sorted(x.rows, rowParts) {
		before := r.StaleReads
		checkCurrent(x, k, r)
		if classify(x, k, r) || r.StaleReads > before {
			continue
		}
		switch result, detail := orderRow(x, k); result {
		case porcupine.Unknown:
			r.fail(&r.Undecided, "row %s/%s: search timed out", k.service, k.row)
		case porcupine.Illegal:
			r.fail(&r.NotLinearizable, "row %s/%s: no order explains %s", k.service, k.row, detail)
		}
	}
}

// rowHistory is the history of the version of one row, in which acknowledged writes may have an
// unknown version; 0 means that the row doesn't exist.
func rowHistory(x *index, k rowKey) []porcupine.Operation {
	var ops []porcupine.Operation
	for _, w := range x.rows[k] {
		if s := writeStep(w); s != nil {
			ops = append(ops, operation(w.start, w.end, s))
		}
	}
	for _, e := range x.reads[k] {
		if e.Outcome == OK && e.Mode == ModeCurrent {
			ops = append(ops, operation(e.Start, e.End, expect(max(e.Version, 0))))
		}
	}
	return append(ops, operation(never, never, expect(x.final[k].Version)))
}

func writeStep(w *write) step {
	switch {
	case w.outcome == OK && w.version == Absent:
		return expect(0) // an update that found no row
	case w.outcome == OK && w.version > 0:
		return move(w.version-1, w.version)
	case w.outcome == OK:
		return advance(w)
	case w.outcome == MayHaveRun && w.version > 0:
		return maybe(move(w.version-1, w.version))
	case w.outcome == MayHaveRun:
		return maybe(advance(w))
	}
	return nil
}

// advance is a write of unknown version. Only an insert finds no row.
func advance(w *write) step {
	op := w.event.Op
	return func(state int64) []int64 {
		if op == Insert && state != 0 || op == Update && state == 0 {
			return nil
		}
		return []int64{state + 1}
	}
}

// classify says which guarantee the writes of a row violate, and reports whether it found one.
// A booking without any row is counted by checkBooking.
func classify(x *index, k rowKey, r *Report) bool {
	writes := x.rows[k]
	final := x.final[k].Version
	found := false
	for _, w := range writes {
		if w.outcome != OK || w.version <= 0 {
			continue
		}
		missing := w.version > final
		if missing || x.versions[k][w.version] != w {
			found = true
		}
		if missing && !x.unbooked(w) {
			r.fail(&r.LostAcknowledged, "row %s/%s: final version is %d; lost %s",
				k.service, k.row, final, describe(w.event))
		} else if x.versions[k][w.version] != w {
			r.fail(&r.LostAcknowledged, "row %s/%s: version %d was acknowledged twice; second %s",
				k.service, k.row, w.version, describe(w.event))
		}
	}
	return classifyExtra(x, k, r) || found
}

// unbooked reports whether a write created a booking that has no row in the final state.
func (x *index) unbooked(w *write) bool {
	e := w.event
	return e.Op != Update && e.Booking != "" && len(x.booked[bookingKey{e.Service, e.Booking}]) == 0
}

// classifyExtra finds rows whose version is higher than the requests that may have run explain.
func classifyExtra(x *index, k rowKey, r *Report) bool {
	writes := x.rows[k]
	final := x.final[k].Version
	ran := count(writes, OK) + count(writes, MayHaveRun)
	if final <= int64(ran) {
		return false
	}
	if ran == 0 && writes[0].event.Op != Update && writes[0].event.Booking != "" {
		return true // counted by checkBooking
	}
	for _, w := range writes {
		if !w.mayRun() {
			r.fail(&r.NotRunButRan, "row %s/%s: final version is %d after %d writes; also sent %s",
				k.service, k.row, final, ran, describe(w.event))
			return true
		}
	}
	r.fail(&r.RepeatedRequests, "row %s/%s: final version is %d after %d writes; last %s",
		k.service, k.row, final, ran, describe(writes[len(writes)-1].event))
	return true
}
