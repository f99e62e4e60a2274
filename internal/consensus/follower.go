package consensus

import "fmt"

// handleAppend appends entries after the entry with Index and LogTerm, or rejects them if the log does
// not hold that entry.
func (n *Node) handleAppend(m Message) error {
	if m.Index < n.log.commit {
		n.send(Message{Kind: MsgAppendReply, To: m.From, Index: n.log.commit})
		return nil
	}
	if term, ok := n.log.term(m.Index); !ok || term != m.LogTerm {
		hint := n.rejectHint(m.Index, m.LogTerm)
		n.send(Message{Kind: MsgAppendReply, To: m.From, Reject: true, Index: m.Index, Hint: hint})
		return nil
	}
	if err := n.mergeEntries(m.Entries); err != nil {
		return err
	}
	end := m.Index + uint64(len(m.Entries))
	n.commitTo(min(m.Commit, end))
	n.send(Message{Kind: MsgAppendReply, To: m.From, Index: end})
	return nil
}

// rejectHint returns an index below index at which the leader's log may agree with this one: the
// highest one whose term is at most term, but at least the commit index.
func (n *Node) rejectHint(index, term uint64) uint64 {
	hint := min(index-1, n.log.last())
	for hint > n.log.commit {
		if t, ok := n.log.term(hint); ok && t <= term {
			break
		}
		hint--
	}
	return hint
}

// mergeEntries appends the entries that the log does not hold yet, after it has truncated the log at the
// first conflicting entry.
func (n *Node) mergeEntries(entries []Entry) error {
	for i, e := range entries {
		term, ok := n.log.term(e.Index)
		if ok && term == e.Term {
			continue
		}
		if e.Index <= n.log.commit {
			return fmt.Errorf("append of entry %d of term %d, but the commit index is %d: %w", e.Index, e.Term, n.log.commit, ErrConflict)
		}
		if ok {
			n.log.truncate(e.Index)
		}
		n.log.append(entries[i:]...)
		n.reloadMembers()
		return nil
	}
	return nil
}

func (n *Node) commitTo(index uint64) {
	n.log.commit = max(n.log.commit, min(index, n.log.last()))
}

// handleHeartbeat advances the commit index. The leader caps Commit at the index up to which this
// member's log is known to match its own.
func (n *Node) handleHeartbeat(m Message) {
	n.commitTo(m.Commit)
	n.send(Message{Kind: MsgHeartbeatReply, To: m.From, Round: m.Round})
}
