package consensus

// entryLog holds the entries of the replicated log after baseIndex. Earlier entries are compacted;
// baseTerm is the term of the last of them.
type entryLog struct {
	baseIndex uint64
	baseTerm  uint64
	entries   []Entry
	commit    uint64
	applied   uint64 // last index that the driver has applied
	stable    uint64 // last index that the driver has persisted
}

func (l *entryLog) last() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.baseTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term of the entry at index, or false if the log doesn't hold it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.last() {
		return 0, false
	}
	return l.entries[index-l.baseIndex-1].Term, true
}

// slice returns the entries with indexes from through to, limited to MaxAppendBytes in total.
func (l *entryLog) slice(from, to uint64) []Entry {
	if from <= l.baseIndex || from > to || from > l.last() {
		return nil
	}
	start := from - l.baseIndex - 1
	end := start
	size := 0
	for end < uint64(len(l.entries)) && l.entries[end].Index <= to {
		size += l.entries[end].size()
		if size > MaxAppendBytes && end > start {
			break
		}
		end++
	}
	return l.entries[start:end:end]
}

func (l *entryLog) append(entries ...Entry) { l.entries = append(l.entries, entries...) }

// truncate removes the entries from index on. It clips the capacity so that a later append does not
// overwrite the array that slices returned earlier share.
func (l *entryLog) truncate(index uint64) {
	keep := index - l.baseIndex - 1
	l.entries = l.entries[:keep:keep]
	l.stable = min(l.stable, index-1)
}

// compact drops the entries up to index.
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

// reset empties the log and sets its base to the index and term of a snapshot.
func (l *entryLog) reset(index, term uint64) {
	*l = entryLog{baseIndex: index, baseTerm: term, commit: index, applied: index, stable: index}
}

// isUpToDate reports whether a log whose last entry has the given index and term is at least as up to
// date as this log.
func (l *entryLog) isUpToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}
