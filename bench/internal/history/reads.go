package history

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

// ackedVersions is a step function of time: the highest version of a row acknowledged so far.
type ackedVersions struct {
	times   []time.Duration
	highest []int64
}

func newAckedVersions(writes []*write) ackedVersions {
	var acked []*write
	for _, w := range writes {
		if w.outcome == OK && w.version > 0 {
			acked = append(acked, w)
		}
	}
	slices.SortFunc(acked, func(a, b *write) int { return cmp.Compare(a.end, b.end) })
	var a ackedVersions
	highest := int64(0)
	for _, w := range acked {
		highest = max(highest, w.version)
		a.times = append(a.times, w.end)
		a.highest = append(a.highest, highest)
	}
	return a
}

// highestBefore returns the highest version acknowledged strictly before t, or 0.
func (a ackedVersions) highestBefore(t time.Duration) int64 {
	n := sort.Search(len(a.times), func(i int) bool { return a.times[i] >= t })
	if n == 0 {
		return 0
	}
	return a.highest[n-1]
}

// checkCurrent checks that each current read of a row sees all writes acknowledged before its start.
func checkCurrent(x *index, k rowKey, r *Report) {
	acks := newAckedVersions(x.writesByRow[k])
	for _, e := range x.readsByRow[k] {
		if e.Outcome == OK && e.Mode == ModeCurrent {
			checkMinVersion(e, acks.highestBefore(e.Start), "acknowledged before the read", r)
		}
	}
}

// checkAges checks that each max_age read sees all writes acknowledged more than MaxAge before its
// start.
func checkAges(x *index, r *Report) {
	for _, k := range sortedKeys(x.readsByRow, rowSortKey) {
		acks := newAckedVersions(x.writesByRow[k])
		for _, e := range x.readsByRow[k] {
			if e.Outcome == OK && e.Mode == ModeMaxAge {
				checkMinVersion(e, acks.highestBefore(e.Start-e.MaxAge), "acknowledged "+e.MaxAge.String()+" before the read", r)
			}
		}
	}
}

// checkSessions checks read-your-writes and monotonic reads. The minimum version of a session and
// row is raised by reads in every mode, but only reads in session mode are checked against it here;
// checkRows checks current reads.
func checkSessions(x *index, r *Report) {
	type sessionRow struct {
		session string
		row     rowKey
	}
	eventsBySessionRow := map[sessionRow][]*Event{}
	for i := range x.events {
		e := &x.events[i]
		if e.Outcome == OK && e.Version > 0 || e.Outcome == OK && e.Op == Read {
			k := sessionRow{e.Session, rowKey{e.Service, e.Row}}
			eventsBySessionRow[k] = append(eventsBySessionRow[k], e)
		}
	}
	sessionRows := sortedKeys(eventsBySessionRow, func(k sessionRow) (string, string) {
		return k.session, k.row.service + "/" + k.row.row
	})
	for _, k := range sessionRows {
		checkSessionRow(eventsBySessionRow[k], r)
	}
}

// checkSessionRow checks the events of one session on one row, given in order of Start.
func checkSessionRow(events []*Event, r *Report) {
	byEnd := slices.Clone(events)
	slices.SortStableFunc(byEnd, func(a, b *Event) int { return cmp.Compare(a.End, b.End) })
	minVersion := int64(0)
	completed := 0
	for _, e := range events {
		for completed < len(byEnd) && byEnd[completed].End < e.Start {
			minVersion = max(minVersion, byEnd[completed].Version)
			completed++
		}
		if e.Op == Read && e.Mode == ModeSession {
			checkMinVersion(e, minVersion, "written or read by the session before", r)
		}
	}
}

func checkMinVersion(e *Event, minVersion int64, reason string, r *Report) {
	if max(e.Version, 0) < minVersion {
		r.recordViolation(&r.StaleReads, "read returned an older version than %d, which was %s: %s", minVersion, reason, describe(e))
	}
}
