package consensus

// entryLog holds the entries of the replicated log after baseIndex. Earlier entries are compacted;
// baseTerm is the term of the last of them.
type entryLog struct {
	baseIndex uint64
	baseTerm  uint64
	entries   []Entry
	commit    uint64 // highest index that is known to be committed
	applied   uint64 // index of the last entry that is in the driver's state machine or in a snapshot handed to it
	persisted uint64 // index of the last entry that the driver has persisted
}

func (l *entryLog) last() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.baseTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term of the entry at index, or false if index is neither the base nor an entry of the log.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

// slice returns the entries first to last, both included, but stops before their total size exceeds
// MaxAppendBytes. It returns the first entry however large it is.
func (l *entryLog) slice(first, last uint64) []Entry {
	if first <= l.baseIndex || first > last || first > l.last() {
		return nil
	}
	start := first - l.baseIndex - 1
	end := start
	size := 0
	for end < uint64(len(l.entries)) && l.entries[end].Index <= last {
		size += l.entries[end].size()
		if size > MaxAppendBytes && end > start {
			break
		}
		end++
	}
	return l.entries[start:end:end]
}

func (l *entryLog) append(entries ...Entry) { l.entries = append(l.entries, entries...) }

// truncate removes the entries from index on. It clips the capacity, so that a later append copies the
// entries instead of overwriting those in slices returned earlier.
func (l *entryLog) truncate(index uint64) {
	keep := index - l.baseIndex - 1
	l.entries = l.entries[:keep:keep]
	l.persisted = min(l.persisted, index-1)
}

// compact drops the entries up to and including index, if the log holds the entry at index.
func (l *entryLog) compact(index uint64) {
	term, ok := l.term(index)
	if !ok || index <= l.baseIndex {
		return
	}
	kept := l.entries[index-l.baseIndex:]
	l.entries = append([]Entry(nil), kept...)
	l.baseIndex = index
	l.baseTerm = term
}

// reset empties the log and sets its base to the index and term of a snapshot. The entries that the snapshot
// covers count as committed, applied and persisted.
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{baseIndex: index, baseTerm: term, commit: index, applied: index, persisted: index}
}

// notAheadOf reports whether this log is not ahead of a log whose last entry has the given index and term:
// that log ends in a later term, or in the same term and is at least as long.
func (l *entryLog) notAheadOf(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}
