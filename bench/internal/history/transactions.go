package history

import (
	"cmp"
	"slices"
)

// presence says whether a row shows the write of a transaction.
type presence uint8

const (
	unclear presence = iota // overwritten, and the versions below have no known writer
	present
	absent
)

// checkTransactions checks that the rows of each transaction are all there or none, that no row
// has the tag of another transaction, and that no snapshot contains a part of a transaction.
func checkTransactions(x *index, r *Report) {
	seen := x.seenTags()
	for _, k := range sorted(x.tags, tagParts) {
		checkAtomic(x, k, seen, r)
	}
	for _, k := range sorted(x.final, rowParts) {
		row := x.final[k]
		if why := x.foreign(k, row.Version, row.Tag); why != "" {
			r.fail(&r.MixedTransactions, "final row %s/%s version %d tag %q: %s",
				k.service, k.row, row.Version, row.Tag, why)
		}
	}
	for i := range x.events {
		checkReadTag(x, &x.events[i], r)
	}
	checkSnapshots(x, r)
}

type seenKey struct {
	row rowKey
	tag string
}

// seenTags returns the tags that the final state or a read shows, by row.
func (x *index) seenTags() map[seenKey]bool {
	seen := map[seenKey]bool{}
	for k, row := range x.final {
		seen[seenKey{k, row.Tag}] = true
	}
	for k, reads := range x.reads {
		for _, e := range reads {
			if e.Outcome == OK {
				seen[seenKey{k, e.Tag}] = true
			}
		}
	}
	return seen
}

func checkAtomic(x *index, k tagKey, seen map[seenKey]bool, r *Report) {
	writes := x.tags[k]
	var shown, missing *write
	for _, w := range writes {
		switch x.presence(w, seen) {
		case present:
			shown = w
		case absent:
			missing = w
		}
	}
	if shown == nil {
		return
	}
	if missing != nil {
		r.fail(&r.MixedTransactions, "tag %s/%s: row %q has the transaction, row %q does not; %s",
			k.service, k.tag, shown.key.row, missing.key.row, describe(shown.event))
	}
	if count(writes, OK)+count(writes, MayHaveRun) == 0 {
		r.fail(&r.NotRunButRan, "tag %s/%s is on row %q; %s",
			k.service, k.tag, shown.key.row, describe(shown.event))
	}
}

func (x *index) presence(w *write, seen map[seenKey]bool) presence {
	if w.key.row == "" && w.event.Booking == "" {
		return unclear
	}
	final, ok := x.final[w.key]
	if !ok || final.Version < w.version {
		return absent // even if a read saw it earlier
	}
	if seen[seenKey{w.key, w.event.Tag}] || x.versions[w.key][w.version] == w {
		return present
	}
	if final.Tag == "" {
		return unclear // tags aren't recorded for this row
	}
	if w.version > 0 && final.Version == w.version {
		return absent // the version has another tag
	}
	if x.explained(w.key, final.Version) {
		return absent
	}
	return unclear
}

// explained reports whether every version of a row has a known acknowledged writer.
func (x *index) explained(k rowKey, final int64) bool {
	return int64(len(x.versions[k])) >= final
}

// foreign says why a row version can't have a tag; it returns "" when it can.
func (x *index) foreign(k rowKey, version int64, tag string) string {
	if tag == "" {
		return ""
	}
	w := x.versions[k][version]
	if w != nil && w.event.Tag != "" && w.event.Tag != tag {
		return "the version was written by " + describe(w.event)
	}
	owners := x.tags[tagKey{k.service, tag}]
	if len(owners) == 0 {
		return "no request wrote the tag"
	}
	for _, o := range owners {
		if o.key == k || o.key.row == "" {
			return ""
		}
	}
	return "the tag belongs to " + describe(owners[0].event)
}

func checkReadTag(x *index, e *Event, r *Report) {
	if e.Op != Read || e.Outcome != OK {
		return
	}
	if why := x.foreign(rowKey{e.Service, e.Row}, e.Version, e.Tag); why != "" {
		r.fail(&r.MixedTransactions, "%s; %s", describe(e), why)
	}
}

// checkSnapshots checks that a snapshot which shows a transaction in one row shows it, or a later
// version, in all rows.
func checkSnapshots(x *index, r *Report) {
	snapshots := map[tagKey][]*Event{}
	for i := range x.events {
		e := &x.events[i]
		if e.Op == Read && e.Outcome == OK && e.Snapshot != "" {
			k := tagKey{e.Service, e.Snapshot}
			snapshots[k] = append(snapshots[k], e)
		}
	}
	for _, k := range sorted(snapshots, tagParts) {
		if a, b := x.fractured(snapshots[k]); a != nil {
			r.fail(&r.MixedTransactions, "snapshot %s/%s shows a transaction in %s, but not in %s",
				k.service, k.tag, describe(a), describe(b))
		}
	}
}

// fractured returns two reads of a snapshot of which the first shows a transaction and the second
// an earlier version than the transaction wrote, or nil.
func (x *index) fractured(reads []*Event) (shows, lacks *Event) {
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
		for _, w := range x.tags[tagKey{e.Service, e.Tag}] {
			other := byRow[w.key.row]
			if other != nil && w.mayRun() && max(other.Version, 0) < w.version {
				return e, other
			}
		}
	}
	return nil, nil
}
