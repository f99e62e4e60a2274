package consensus

import "fmt"

// NewSnapshot returns a snapshot with data as the state of the state machine after the entry at index,
// which must have been applied.
func (n *Node) NewSnapshot(index uint64, data []byte) (Snapshot, error) {
	term, ok := n.log.term(index)
	if !ok || index > n.log.applied {
		return Snapshot{}, fmt.Errorf(
			"cannot take a snapshot at entry %d: it must be between %d (last compacted entry) and %d (last applied entry)",
			index, n.log.baseIndex, n.log.applied)
	}
	members, _ := n.membersAt(index)
	return Snapshot{Index: index, Term: term, Members: members, Data: data}, nil
}

// Compact drops the entries that a persisted snapshot covers, but keeps the last keep of them for slow
// followers. It ignores a snapshot that isn't newer than the current one or covers unapplied entries. It
// returns the index of the first entry that the log still holds.
func (n *Node) Compact(snapshot Snapshot, keep uint64) uint64 {
	if snapshot.Index <= n.snapshot.Index || snapshot.Index > n.log.applied {
		return n.log.baseIndex + 1
	}
	n.snapshot = snapshot
	if snapshot.Index > keep {
		n.log.compact(snapshot.Index - keep)
	}
	return n.log.baseIndex + 1
}

func (n *Node) sendSnapshot(to uint64, pr *progress) {
	snapshot := n.snapshot
	pr.state = snapshotting
	pr.ticksSinceSnapshot = 0
	pr.snapshotIndex = snapshot.Index
	pr.inflight = nil
	n.send(Message{Kind: MsgSnapshot, To: to, Snapshot: &snapshot})
}

// handleSnapshot replaces the log with the snapshot, which the next Ready passes to the driver to install in
// the state machine. If the log already holds the last entry that the snapshot covers, it only commits the
// entries up to that one. A snapshot of entries that are already committed is only answered.
func (n *Node) handleSnapshot(m Message) {
	s := m.Snapshot
	if term, ok := n.log.term(s.Index); s.Index > n.log.commit && ok && term == s.Term {
		n.commitTo(s.Index)
	}
	if s.Index > n.log.commit {
		n.snapshot = *s
		n.receivedSnapshot = s
		n.log.reset(s.Index, s.Term)
		n.reloadMembers()
	}
	n.send(Message{Kind: MsgAppendReply, To: m.From, Index: n.log.commit})
}
