package consensus

import "fmt"

// handleAppend adds entries after the entry (Index, LogTerm).
func (n *Node) handleAppend(m Message) error {
	if m.Index < n.log.commit {
		n.send(Message{Kind: MsgAppendReply, To: m.From, Index: n.log.commit})
		return nil
	}
	if term, ok := n.log.term(m.Index); !ok || term != m.LogTerm {
		hint := n.agreementHint(m.Index, m.LogTerm)
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

// agreementHint returns the highest index before index whose term isn't above term.
func (n *Node) agreementHint(index, term uint64) uint64 {
	hint := min(index-1, n.log.last())
	for hint > n.log.commit {
		if t, ok := n.log.term(hint); ok && t <= term {
			break
		}
		hint--
	}
	return hint
}

// mergeEntries appends the entries that the log doesn't hold, and removes conflicting ones.
func (n *Node) mergeEntries(entries []Entry) error {
	for i, e := range entries {
		term, ok := n.log.term(e.Index)
		if ok && term == e.Term {
			continue
		}
		if e.Index <= n.log.commit {
			return fmt.Errorf("entry %d of term %d: %w", e.Index, e.Term, ErrConflict)
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

// handleHeartbeat takes over the commit index, which the leader limits to what this member has.
func (n *Node) handleHeartbeat(m Message) {
	n.commitTo(m.Commit)
	n.send(Message{Kind: MsgHeartbeatReply, To: m.From, Round: m.Round})
}
