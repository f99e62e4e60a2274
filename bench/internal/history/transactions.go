package history

import (
	"cmp"
	"slices"
)

// visibility is whether the write of a transaction is visible in a row.
type visibility uint8

const (
	visibilityUnknown visibility = iota // overwritten, and not all earlier versions have a known writer
	visible
	invisible
)

// checkTransactions checks that all or none of the writes of each transaction are visible, that no
// row has the tag of another transaction, and that no snapshot shows only a part of a transaction.
func checkTransactions(x *index, r *Report) {
	observed := x.observedTags()
	for _, k := range sortedKeys(x.writesByTag, tagSortKey) {
		checkAtomic(x, k, observed, r)
	}
	for _, k := range sortedKeys(x.finalRows, rowSortKey) {
		row := x.finalRows[k]
		if why := x.tagConflict(k, row.Version, row.Tag); why != "" {
			r.recordViolation(&r.MixedTransactions, "final row %s/%s version %d tag %q: %s",
				k.service, k.row, row.Version, row.Tag, why)
		}
	}
	for i := range x.events {
		checkReadTag(x, &x.events[i], r)
	}
	checkSnapshots(x, r)
}

type observedTag struct {
	row rowKey
	tag string
}

// observedTags returns the tags, by row, that occur in the final state or were returned by a read.
func (x *index) observedTags() map[observedTag]bool {
	observed := map[observedTag]bool{}
	for k, row := range x.finalRows {
		observed[observedTag{k, row.Tag}] = true
	}
	for k, reads := range x.readsByRow {
		for _, e := range reads {
			if e.Outcome == OK {
				observed[observedTag{k, e.Tag}] = true
			}
		}
	}
	return observed
}

func checkAtomic(x *index, k tagKey, observed map[observedTag]bool, r *Report) {
	writes := x.writesByTag[k]
	var visibleWrite, invisibleWrite *write
	for _, w := range writes {
		switch x.visibilityOf(w, observed) {
		case visible:
			visibleWrite = w
		case invisible:
			invisibleWrite = w
		}
	}
	if visibleWrite == nil {
		return
	}
	if invisibleWrite != nil {
		r.recordViolation(&r.MixedTransactions, "tag %s/%s: the transaction is visible in row %q, but not in row %q; %s",
			k.service, k.tag, visibleWrite.key.row, invisibleWrite.key.row, describe(visibleWrite.event))
	}
	if countOutcome(writes, OK)+countOutcome(writes, MayHaveRun) == 0 {
		r.recordViolation(&r.NotRunButRan, "tag %s/%s: the transaction is visible in row %q, but was reported as without effect; %s",
			k.service, k.tag, visibleWrite.key.row, describe(visibleWrite.event))
	}
}

func (x *index) visibilityOf(w *write, observed map[observedTag]bool) visibility {
	if w.key.row == "" && w.event.Booking == "" {
		return visibilityUnknown
	}
	final, ok := x.finalRows[w.key]
	if !ok || final.Version < w.version {
		return invisible // even if an earlier read returned it
	}
	if observed[observedTag{w.key, w.event.Tag}] || x.ackedByVersion[w.key][w.version] == w {
		return visible
	}
	if final.Tag == "" {
		return visibilityUnknown // tags aren't recorded for this row
	}
	if w.version > 0 && final.Version == w.version {
		return invisible // the version has another tag
	}
	if x.allVersionsAcked(w.key, final.Version) {
		return invisible
	}
	return visibilityUnknown
}

// allVersionsAcked reports whether every version of a row has an acknowledged writer.
func (x *index) allVersionsAcked(k rowKey, final int64) bool {
	return int64(len(x.ackedByVersion[k])) >= final
}

// tagConflict returns the reason why a row version can't have a tag, or "" if it can.
func (x *index) tagConflict(k rowKey, version int64, tag string) string {
	if tag == "" {
		return ""
	}
	w := x.ackedByVersion[k][version]
	if w != nil && w.event.Tag != "" && w.event.Tag != tag {
		return "the version was written by " + describe(w.event)
	}
	writers := x.writesByTag[tagKey{k.service, tag}]
	if len(writers) == 0 {
		return "no request wrote the tag"
	}
	for _, writer := range writers {
		if writer.key == k || writer.key.row == "" {
			return ""
		}
	}
	return "the tag was written by " + describe(writers[0].event)
}

func checkReadTag(x *index, e *Event, r *Report) {
	if e.Op != Read || e.Outcome != OK {
		return
	}
	if why := x.tagConflict(rowKey{e.Service, e.Row}, e.Version, e.Tag); why != "" {
		r.recordViolation(&r.MixedTransactions, "%s; %s", describe(e), why)
	}
}

// checkSnapshots checks that a snapshot that contains the write of a transaction in one row contains
// it, or a later version, in every row of the transaction that it reads.
func checkSnapshots(x *index, r *Report) {
	snapshots := map[tagKey][]*Event{}
	for i := range x.events {
		e := &x.events[i]
		if e.Op == Read && e.Outcome == OK && e.Snapshot != "" {
			k := tagKey{e.Service, e.Snapshot}
			snapshots[k] = append(snapshots[k], e)
		}
	}
	for _, k := range sortedKeys(snapshots, tagSortKey) {
		if a, b := x.findFracturedReads(snapshots[k]); a != nil {
			r.recordViolation(&r.MixedTransactions, "snapshot %s/%s shows a transaction in %s, but not in %s",
				k.service, k.tag, describe(a), describe(b))
		}
	}
}

// findFracturedReads returns two reads of one snapshot of which the first returned a write of a
// transaction and the second an earlier version than the transaction wrote, or nil.
func (x *index) findFracturedReads(reads []*Event) (shows, lacks *Event) {
	byRow := map[string]*Event{}
	for _, e := range reads {
		byRow[e.Row] = e
	}
	reads = slices.Clone(reads)
	slices.SortStableFunc(reads, func(a, b *Event) int { return cmp.Compare(a.Row, b.Row) })
	for _, e := range reads {
		if e.Tag == "" {
			continue
		}
		for _, w := range x.writesByTag[tagKey{e.Service, e.Tag}] {
			other := byRow[w.key.row]
			if other != nil && w.mayHaveRun() && max(other.Version, 0) < w.version {
				return e, other
			}
		}
	}
	return nil, nil
}
