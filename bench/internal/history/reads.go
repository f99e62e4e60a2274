package history

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

// acknowledged is a step function of time: the highest version acknowledged so far.
type acknowledged struct {
	at      []time.Duration
	highest []int64
}

func newAcknowledged(writes []*write) acknowledged {
	var oks []*write
	for _, w := range writes {
		if w.outcome == OK && w.version > 0 {
			oks = append(oks, w)
		}
	}
	slices.SortFunc(oks, func(a, b *write) int { return cmp.Compare(a.end, b.end) })
	var a acknowledged
	highest := int64(0)
	for _, w := range oks {
		highest = max(highest, w.version)
		a.at = append(a.at, w.end)
		a.highest = append(a.highest, highest)
	}
	return a
}

// before returns the highest version acknowledged strictly before t.
func (a acknowledged) before(t time.Duration) int64 {
	n := sort.Search(len(a.at), func(i int) bool { return a.at[i] >= t })
	if n == 0 {
		return 0
	}
	return a.highest[n-1]
}

// checkCurrent checks that current reads of a row see all that was acknowledged before them.
func checkCurrent(x *index, k rowKey, r *Report) {
	acks := newAcknowledged(x.rows[k])
	for _, e := range x.reads[k] {
		if e.Outcome == OK && e.Mode == ModeCurrent {
			checkFresh(e, acks.before(e.Start), "acknowledged before the read", r)
		}
	}
}

// checkAges checks that each max_age read sees all that was acknowledged MaxAge before its start.
func checkAges(x *index, r *Report) {
	for _, k := range sorted(x.reads, rowParts) {
		acks := newAcknowledged(x.rows[k])
		for _, e := range x.reads[k] {
			if e.Outcome == OK && e.Mode == ModeMaxAge {
				checkFresh(e, acks.before(e.Start-e.MaxAge), "acknowledged "+e.MaxAge.String()+" before the read", r)
			}
		}
	}
}

// checkSessions checks read-your-writes and monotonic reads. Only reads in session mode have a
// floor here, but reads of every mode raise it; checkRows covers current reads.
func checkSessions(x *index, r *Report) {
	type floorKey struct {
		session string
		row     rowKey
	}
	byFloor := map[floorKey][]*Event{}
	for i := range x.events {
		e := &x.events[i]
		if e.Outcome == OK && e.Version > 0 || e.Outcome == OK && e.Op == Read {
			k := floorKey{e.Session, rowKey{e.Service, e.Row}}
			byFloor[k] = append(byFloor[k], e)
		}
	}
	keys := sorted(byFloor, func(k floorKey) (string, string) {
		return k.session, k.row.service + "/" + k.row.row
	})
	for _, k := range keys {
		checkFloors(byFloor[k], r)
	}
}

// checkFloors goes through the events of one session on one row, which are in order of Start.
func checkFloors(events []*Event, r *Report) {
	ended := slices.Clone(events)
	slices.SortStableFunc(ended, func(a, b *Event) int { return cmp.Compare(a.End, b.End) })
	floor := int64(0)
	next := 0
	for _, e := range events {
		for next < len(ended) && ended[next].End < e.Start {
			floor = max(floor, ended[next].Version)
			next++
		}
		if e.Op == Read && e.Mode == ModeSession {
			checkFresh(e, floor, "written or read by the session before", r)
		}
	}
}

func checkFresh(e *Event, floor int64, reason string, r *Report) {
	if max(e.Version, 0) < floor {
		r.fail(&r.StaleReads, "version %d was %s: %s", floor, reason, describe(e))
	}
}
