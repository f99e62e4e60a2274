package consensus

import "fmt"

// NewSnapshot describes the state machine's state after the entry at index, which must be applied.
func (n *Node) NewSnapshot(index uint64, data []byte) (Snapshot, error) {
	term, ok := n.log.term(index)
	if !ok || index > n.log.applied {
		return Snapshot{}, fmt.Errorf("no applied entry %d to take a snapshot at", index)
	}
	members, _ := n.membersAt(index)
	return Snapshot{Index: index, Term: term, Members: members, Data: data}, nil
}

// Compact drops the entries that a persisted snapshot covers, except for the last tail ones, which
// are kept for slow followers. It returns the first index that is kept.
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
	pr.waited = 0
	pr.sent = snapshot.Index
	pr.inflight = nil
	n.send(Message{Kind: MsgSnapshot, To: to, Snapshot: &snapshot})
}

// handleSnapshot replaces log and state machine, unless the log already holds the snapshot's last
// entry.
func (n *Node) handleSnapshot(m Message) {
	s := m.Snapshot
	if term, ok := n.log.term(s.Index); s.Index > n.log.commit && ok && term == s.Term {
		n.commitTo(s.Index)
	}
	if s.Index > n.log.commit {
		n.snapshot = *s
		n.install = s
		n.log.reset(s.Index, s.Term)
		n.reloadMembers()
	}
	n.send(Message{Kind: MsgAppendReply, To: m.From, Index: n.log.commit})
}
