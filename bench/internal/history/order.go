package history

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// versioned is an operation that is possible at one version of a row only: a write that makes the
// version, or a read that sees it.
type versioned struct {
	version    int64
	write      bool
	start, end time.Duration
	name       string
}

func (v versioned) step() step {
	if v.write {
		return move(v.version-1, v.version)
	}
	return expect(v.version)
}

// before orders operations as every sequential order must: a write before the reads that see it.
func before(a, b versioned) int {
	if a.version != b.version {
		return cmp.Compare(a.version, b.version)
	}
	if a.write != b.write && a.write {
		return -1
	}
	if a.write != b.write {
		return 1
	}
	return cmp.Compare(a.start, b.start)
}

// orderRow searches for an order of the writes and current reads of a row that has no other
// violation. The detail names the operations that can't be ordered.
func orderRow(x *index, k rowKey) (result porcupine.CheckResult, detail string) {
	if hasUnknownOK(x.rows[k]) {
		return linearize(0, rowHistory(x, k)), "its writes and current reads"
	}
	// A transaction can make any version, an insert the first one only. If both may have run, either can
	// be the one that leaves the other versions to the right writes.
	for _, insertFirst := range []bool{false, true} {
		result, detail = orderVersions(x, k, insertFirst)
		if result != porcupine.Illegal {
			return result, detail
		}
	}
	return result, detail
}

// orderVersions searches for an order in which the first version, if nobody knows who made it, was made
// by the earliest write, or by the earliest insert.
func orderVersions(x *index, k rowKey, insertFirst bool) (result porcupine.CheckResult, detail string) {
	ops, detail := versionedHistory(x, k, insertFirst)
	if detail != "" {
		return porcupine.Illegal, detail
	}
	slices.SortFunc(ops, before)
	if detail := tighten(ops); detail != "" {
		return porcupine.Illegal, detail
	}
	return linearizeVersions(ops), "its writes and current reads"
}

func hasUnknownOK(writes []*write) bool {
	return slices.ContainsFunc(writes, func(w *write) bool {
		return w.outcome == OK && w.version == UnknownVersion
	})
}

// versionedHistory lists the operations of a row. Versions without an acknowledged writer are
// given to the writes that may have run, in order of their start, or to an insert first: since these may
// take effect at any time after their start, no other assignment explains more.
func versionedHistory(x *index, k rowKey, insertFirst bool) (ops []versioned, detail string) {
	final := x.final[k].Version
	ops = append(ops, versioned{version: final, start: never, end: never, name: "the final state"})
	for _, w := range x.rows[k] {
		if w.outcome == OK {
			ops = append(ops, versioned{max(w.version, 0), w.version > 0, w.start, w.end, describe(w.event)})
		}
	}
	for _, e := range x.reads[k] {
		if e.Outcome == OK && e.Mode == ModeCurrent {
			ops = append(ops, versioned{max(e.Version, 0), false, e.Start, e.End, describe(e)})
		}
	}
	unknown := slices.DeleteFunc(slices.Clone(x.rows[k]), func(w *write) bool { return w.outcome != MayHaveRun })
	slices.SortStableFunc(unknown, func(a, b *write) int {
		if aInsert, bInsert := a.event.Op == Insert, b.event.Op == Insert; insertFirst && aInsert != bInsert {
			if aInsert {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.start, b.start)
	})
	for v := int64(1); v <= final; v++ {
		if x.versions[k][v] != nil {
			continue
		}
		i := candidate(unknown, v)
		if i < 0 {
			return nil, fmt.Sprintf("version %d, which no request wrote", v)
		}
		w := unknown[i]
		unknown = slices.Delete(unknown, i, i+1)
		ops = append(ops, versioned{v, true, w.start, w.end, describe(w.event)})
	}
	return ops, ""
}

// candidate returns the index of the first write that can have made a version, or -1. A write
// that is known to have made it comes first.
func candidate(unknown []*write, version int64) int {
	exact := slices.IndexFunc(unknown, func(w *write) bool { return w.version == version })
	if exact >= 0 {
		return exact
	}
	fits := func(op Op) bool { return op == Tx || (op == Insert) == (version == 1) }
	return slices.IndexFunc(unknown, func(w *write) bool {
		return w.version == UnknownVersion && fits(w.event.Op)
	})
}

// tighten narrows the interval of each operation to the times that the operations which must come
// before and after it leave. It changes no answer, but spares the search from trying orders
// that can't be. The detail names an operation that no time is left for.
func tighten(ops []versioned) (detail string) {
	// Reads of one version are in any order, so only operations of lower rank bound them.
	bound, next := -1, -1
	for i := range ops {
		if i > 0 && (ops[i].version != ops[i-1].version || ops[i-1].write) {
			bound = next
		}
		if bound >= 0 && ops[bound].start > ops[i].start {
			if ops[bound].start > ops[i].end {
				return fmt.Sprintf("%s before %s", ops[bound].name, ops[i].name)
			}
			ops[i].start = ops[bound].start
		}
		if next < 0 || ops[i].start > ops[next].start {
			next = i
		}
	}
	end := never
	following := never
	for i := len(ops) - 1; i >= 0; i-- {
		if i < len(ops)-1 && (ops[i].version != ops[i+1].version || ops[i].write) {
			end = following
		}
		ops[i].end = min(ops[i].end, end)
		following = min(following, ops[i].end)
	}
	return ""
}

// linearizeVersions checks operations in the order of a possible history. Events at one time are
// in the order of the operations, with calls first, so that the search finds an order at once.
func linearizeVersions(ops []versioned) porcupine.CheckResult {
	type boundary struct {
		at    time.Duration
		event porcupine.Event
	}
	var calls, all []boundary
	for i, o := range ops {
		call := porcupine.Event{Kind: porcupine.CallEvent, Value: o.step(), Id: i}
		end := porcupine.Event{Kind: porcupine.ReturnEvent, Id: i}
		calls = append(calls, boundary{o.start, call})
		all = append(all, boundary{o.end, end})
	}
	all = append(calls, all...)
	slices.SortStableFunc(all, func(a, b boundary) int { return cmp.Compare(a.at, b.at) })
	events := make([]porcupine.Event, len(all))
	for i, b := range all {
		events[i] = b.event
	}
	return porcupine.CheckEventsTimeout(model(0), events, searchTimeout)
}
