package consensus

import "fmt"

// NewSnapshot returns a snapshot with data as the state of the state machine after the entry at index,
// which must have been applied.
func (n *Node) NewSnapshot(index uint64, data []byte) (Snapshot, error) {
	term, ok := n.log.term(index)
	if !ok || index > n.log.applied {
		return Snapshot{}, fmt.Errorf("cannot take a snapshot at entry %d: the log holds applied entries %d to %d",
			index, n.log.baseIndex, n.log.applied)
	}
	members, _ := n.membersAt(index)
	return Snapshot{Index: index, Term: term, Members: members, Data: data}, nil
}

// Compact drops the entries that a persisted snapshot covers, except for the last tail of them, which
// are kept for slow followers. It returns the index of the first entry that is kept.
func (n *Node) Compact(snapshot Snapshot, tail uint64) uint64 {
	if snapshot.Index <= n.snapshot.Index || snapshot.Index > n.log.applied {
		return n.log.baseIndex + 1
	}
	n.snapshot = snapshot
	if snapshot.Index > tail {
		n.log.compact(snapshot.Index - tail)
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

// handleSnapshot replaces the log and the state machine with the snapshot, unless the log already holds
// the last entry that the snapshot covers.
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
