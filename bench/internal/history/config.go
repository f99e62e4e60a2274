package history

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// ConfigResult is the response to a configuration change.
type ConfigResult uint8

const (
	// ConfigAccepted means that the change created a new revision.
	ConfigAccepted ConfigResult = iota
	// ConfigConflict means that the change was based on another revision than the current one.
	ConfigConflict
	// ConfigInvalid means that the change failed validation.
	ConfigInvalid
	// ConfigUnknown means that no response arrived.
	ConfigUnknown
)

// String returns the name of the result.
func (c ConfigResult) String() string {
	return nameOf(int(c), "accepted", "conflict", "invalid", "unknown")
}

// ConfigEvent is one submission of a configuration change by an operator, or a resend of one.
type ConfigEvent struct {
	Operator string
	// Base is the revision that the change is based on.
	Base uint64
	// ChangeID identifies the change; resends of the change have the same ID.
	ChangeID string
	Result   ConfigResult
	// Revision is the new revision after ConfigAccepted and the current revision reported with
	// ConfigConflict. It is not used for other results.
	Revision   uint64
	Start, End time.Duration
}

// maxConfigDetails limits the number of changes listed in a failure detail.
const maxConfigDetails = 10

// unknownRevision is the model state before the first change whose result reports the revision.
const unknownRevision int64 = -1

// CheckConfig reports whether one sequential order of the changes explains all responses: each
// accepted change directly follows its base, and a resend gets the response of the first
// submission. The events must contain every change submitted during the run. The detail describes
// the violation. A search that exceeds searchTimeout counts as a violation and is reported as a
// timeout.
func CheckConfig(events []ConfigEvent) (ok bool, detail string) {
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b ConfigEvent) int { return cmp.Compare(a.Start, b.Start) })
	changes, detail := mergeChanges(events)
	if detail != "" {
		return false, detail
	}
	if detail := findConflictingAccepts(changes); detail != "" {
		return false, detail
	}
	changed := map[uint64]bool{}
	for _, c := range changes {
		changed[c.Base] = changed[c.Base] || c.Result == ConfigAccepted
	}
	var ops []porcupine.Operation
	for _, c := range changes {
		if c.Result == ConfigUnknown && changed[c.Base] {
			continue // another change on the same base was accepted, so this one had no effect
		}
		ops = append(ops, newOperation(c.Start, c.End, configStep(c)))
	}
	switch linearize(unknownRevision, ops) {
	case porcupine.Ok:
		return true, ""
	case porcupine.Unknown:
		return false, fmt.Sprintf("search for a sequential order of %d changes timed out", len(changes))
	}
	return false, "no sequential order explains the changes:" + listChanges(changes)
}

// mergeChanges merges all submissions of each change into one event, which spans the time from the
// first submission to the first response. A submission with the same ID but another base is a
// different change.
func mergeChanges(events []ConfigEvent) (changes []ConfigEvent, detail string) {
	type changeKey struct {
		id   string
		base uint64
	}
	indexByKey := map[changeKey]int{}
	for _, e := range events {
		if e.Result == ConfigUnknown {
			e.End = never
		}
		k := changeKey{e.ChangeID, e.Base}
		i, known := indexByKey[k]
		if !known || e.ChangeID == "" {
			indexByKey[k] = len(changes)
			changes = append(changes, e)
			continue
		}
		first := &changes[i]
		if e.Result == ConfigUnknown {
			continue
		}
		if first.Result == ConfigUnknown {
			first.Result = e.Result
			first.Revision = e.Revision
		}
		if first.Result != e.Result || first.Revision != e.Revision {
			return nil, "a resend got a different response:" + listChanges([]ConfigEvent{*first, e})
		}
		first.End = min(first.End, e.End)
	}
	return changes, ""
}

// findConflictingAccepts looks for two accepted changes with the same base or the same ID and
// returns "" if there are none.
func findConflictingAccepts(changes []ConfigEvent) (detail string) {
	bases := map[uint64]ConfigEvent{}
	ids := map[string]ConfigEvent{}
	for _, c := range changes {
		if c.Result != ConfigAccepted {
			continue
		}
		if other, ok := bases[c.Base]; ok {
			return "two changes with the same base were accepted:" + listChanges([]ConfigEvent{other, c})
		}
		if other, ok := ids[c.ChangeID]; ok && c.ChangeID != "" {
			return "two changes with the same ID were accepted:" + listChanges([]ConfigEvent{other, c})
		}
		bases[c.Base] = c
		ids[c.ChangeID] = c
	}
	return ""
}

// configStep returns the transition of the current revision caused by a change.
func configStep(c ConfigEvent) step {
	base, revision := int64(c.Base), int64(c.Revision)
	return func(state int64) []int64 {
		isBase := state == base || state == unknownRevision
		switch c.Result {
		case ConfigAccepted:
			if isBase && revision == base+1 {
				return []int64{revision}
			}
			return nil
		case ConfigConflict:
			if state == base || revision == base || state != unknownRevision && state != revision {
				return nil
			}
			return []int64{revision}
		case ConfigUnknown:
			if isBase {
				return []int64{state, base + 1}
			}
		}
		return []int64{state}
	}
}

func listChanges(changes []ConfigEvent) string {
	var b strings.Builder
	for i, c := range changes {
		if i == maxConfigDetails {
			fmt.Fprintf(&b, " and %d more;", len(changes)-i)
			break
		}
		fmt.Fprintf(&b, " change %q by %s on base %d from %v to %v: %s, revision %d;",
			c.ChangeID, c.Operator, c.Base, c.Start, c.End, c.Result, c.Revision)
	}
	return b.String()
}
