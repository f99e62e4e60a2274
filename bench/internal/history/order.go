package history

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/anishathalye/porcupine"
)

// versionedOp is an operation that is possible at one version of a row only: a write that creates
// the version, or a read that returns it.
type versionedOp struct {
	version     int64
	isWrite     bool
	start, end  time.Duration
	description string
}

func (v versionedOp) step() step {
	if v.isWrite {
		return transition(v.version-1, v.version)
	}
	return requireState(v.version)
}

// compareOps sorts operations as in every sequential order: by version, and the write that creates a
// version before the reads that return it. Reads of one version are sorted by start.
func compareOps(a, b versionedOp) int {
	if a.version != b.version {
		return cmp.Compare(a.version, b.version)
	}
	if a.isWrite != b.isWrite && a.isWrite {
		return -1
	}
	if a.isWrite != b.isWrite {
		return 1
	}
	return cmp.Compare(a.start, b.start)
}

// noSequentialOrder is the detail of a search that tried all orders.
const noSequentialOrder = "no sequential order explains its writes and current reads"

// findRowOrder searches for a sequential order of the writes and current reads of a row without other
// violations. If there is none, the detail gives the reason.
func findRowOrder(x *index, k rowKey) (result porcupine.CheckResult, detail string) {
	if hasAckedUnknownVersion(x.writesByRow[k]) {
		return linearize(0, rowHistory(x, k)), noSequentialOrder
	}
	// A transaction can create any version, an insert only the first. If one of each may have run, either
	// may have created the first version, so both assignments are tried.
	for _, insertFirst := range []bool{false, true} {
		result, detail = findVersionOrder(x, k, insertFirst)
		if result != porcupine.Illegal {
			return result, detail
		}
	}
	return result, detail
}

// findVersionOrder searches for a sequential order. A first version without an acknowledged writer is
// assigned to the earliest insert if insertFirst is set, and to the earliest write otherwise.
func findVersionOrder(x *index, k rowKey, insertFirst bool) (result porcupine.CheckResult, detail string) {
	ops, detail := versionedHistory(x, k, insertFirst)
	if detail != "" {
		return porcupine.Illegal, detail
	}
	slices.SortFunc(ops, compareOps)
	if detail := narrowIntervals(ops); detail != "" {
		return porcupine.Illegal, detail
	}
	return linearizeVersions(ops), noSequentialOrder
}

func hasAckedUnknownVersion(writes []*write) bool {
	return slices.ContainsFunc(writes, func(w *write) bool {
		return w.outcome == OK && w.version == UnknownVersion
	})
}

// versionedHistory lists the operations of a row. Versions without an acknowledged writer are
// assigned to the writes that may have run, in order of their start, with inserts first if insertFirst
// is set. These writes may take effect at any time after their start, so no other assignment
// explains more histories.
func versionedHistory(x *index, k rowKey, insertFirst bool) (ops []versionedOp, detail string) {
	final := x.finalRows[k].Version
	ops = append(ops, versionedOp{version: final, start: never, end: never, description: "the final state"})
	for _, w := range x.writesByRow[k] {
		if w.outcome == OK {
			ops = append(ops, versionedOp{max(w.version, 0), w.version > 0, w.start, w.end, describe(w.event)})
		}
	}
	for _, e := range x.readsByRow[k] {
		if e.Outcome == OK && e.Mode == ModeCurrent {
			ops = append(ops, versionedOp{max(e.Version, 0), false, e.Start, e.End, describe(e)})
		}
	}
	unresolved := slices.DeleteFunc(slices.Clone(x.writesByRow[k]), func(w *write) bool { return w.outcome != MayHaveRun })
	slices.SortStableFunc(unresolved, func(a, b *write) int {
		if aInsert, bInsert := a.event.Op == Insert, b.event.Op == Insert; insertFirst && aInsert != bInsert {
			if aInsert {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.start, b.start)
	})
	for v := int64(1); v <= final; v++ {
		if x.ackedByVersion[k][v] != nil {
			continue
		}
		i := candidateWriter(unresolved, v)
		if i < 0 {
			return nil, fmt.Sprintf("no request can have written version %d", v)
		}
		w := unresolved[i]
		unresolved = slices.Delete(unresolved, i, i+1)
		ops = append(ops, versionedOp{v, true, w.start, w.end, describe(w.event)})
	}
	return ops, ""
}

// candidateWriter returns the index of the first write that can have created a version, or -1. A write
// that is known to have this version takes precedence.
func candidateWriter(unresolved []*write, version int64) int {
	known := slices.IndexFunc(unresolved, func(w *write) bool { return w.version == version })
	if known >= 0 {
		return known
	}
	canWrite := func(op Op) bool { return op == Tx || (op == Insert) == (version == 1) }
	return slices.IndexFunc(unresolved, func(w *write) bool {
		return w.version == UnknownVersion && canWrite(w.event.Op)
	})
}

// narrowIntervals narrows the interval of each operation, given in the order of compareOps, to the
// times that the preceding and following operations permit. It doesn't change the result of the
// search, but keeps it from trying impossible orders. If an interval becomes empty, the detail
// names the two operations that contradict each other.
func narrowIntervals(ops []versionedOp) (detail string) {
	// Reads of one version may take effect in any order, so only the write of this version and
	// operations of lower versions bound them.
	lowerBound, latestStart := -1, -1
	for i := range ops {
		if i > 0 && (ops[i].version != ops[i-1].version || ops[i-1].isWrite) {
			lowerBound = latestStart
		}
		if lowerBound >= 0 && ops[lowerBound].start > ops[i].start {
			if ops[lowerBound].start > ops[i].end {
				return fmt.Sprintf("%s must precede %s, which ended before its start",
					ops[lowerBound].description, ops[i].description)
			}
			ops[i].start = ops[lowerBound].start
		}
		if latestStart < 0 || ops[i].start > ops[latestStart].start {
			latestStart = i
		}
	}
	upperBound := never
	earliestEnd := never
	for i := len(ops) - 1; i >= 0; i-- {
		if i < len(ops)-1 && (ops[i].version != ops[i+1].version || ops[i].isWrite) {
			upperBound = earliestEnd
		}
		ops[i].end = min(ops[i].end, upperBound)
		earliestEnd = min(earliestEnd, ops[i].end)
	}
	return ""
}

// linearizeVersions searches for a sequential order of operations given in the order of compareOps.
// Events with equal times keep this order, calls before returns, so that the search finds a valid order
// without backtracking.
func linearizeVersions(ops []versionedOp) porcupine.CheckResult {
	type boundary struct {
		at    time.Duration
		event porcupine.Event
	}
	var calls, returns []boundary
	for i, o := range ops {
		call := porcupine.Event{Kind: porcupine.CallEvent, Value: o.step(), Id: i}
		end := porcupine.Event{Kind: porcupine.ReturnEvent, Id: i}
		calls = append(calls, boundary{o.start, call})
		returns = append(returns, boundary{o.end, end})
	}
	returns = append(calls, returns...)
	slices.SortStableFunc(returns, func(a, b boundary) int { return cmp.Compare(a.at, b.at) })
	events := make([]porcupine.Event, len(returns))
	for i, b := range returns {
		events[i] = b.event
	}
	return porcupine.CheckEventsTimeout(sequentialModel(0), events, searchTimeout)
}
