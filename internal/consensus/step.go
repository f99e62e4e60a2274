package consensus

import "fmt"

// Step handles a message from another member. It ignores a vote request without Force while a recent leader
// is known and, after a restart, for LeaseTicks. If it returns an error, the message had no effect on the
// log.
func (n *Node) Step(m Message) error {
	if err := validateMessage(m); err != nil {
		return err
	}
	if m.To != n.id {
		return ErrWrongMember
	}
	isVoteRequest := m.Kind == MsgPreVote || m.Kind == MsgVote
	if isVoteRequest && !m.Force && (n.hasRecentLeader() || n.ticksSinceStart < LeaseTicks) {
		return nil
	}
	if m.Term < n.term {
		n.rejectOldTerm(m)
		return nil
	}
	if isLeaderMessage(m.Kind) {
		if err := n.acceptLeader(m); err != nil {
			return err
		}
	} else if m.Term > n.term {
		n.becomeFollower(m.Term, 0)
	}
	return n.dispatch(m)
}

func isLeaderMessage(kind MessageKind) bool {
	return kind == MsgAppend || kind == MsgHeartbeat || kind == MsgSnapshot
}

func (n *Node) acceptLeader(m Message) error {
	if m.Term == n.term && n.role == Leader {
		return fmt.Errorf("two leaders in term %d: members %x and %x: %w", m.Term, n.id, m.From, ErrConflict)
	}
	if m.Term > n.term || n.role != Follower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.resetElectionTimer()
	n.ticksSinceLeader = 0
	return nil
}

// rejectOldTerm answers a request of an earlier term with a rejection that carries the current term. Without
// it, a leader would never learn that a returning member has a higher term, and could not replicate to it.
func (n *Node) rejectOldTerm(m Message) {
	switch m.Kind {
	case MsgAppend, MsgHeartbeat, MsgSnapshot:
		n.send(Message{Kind: MsgAppendReply, To: m.From, Reject: true})
	case MsgPreVote:
		n.send(Message{Kind: MsgPreVoteReply, To: m.From, Reject: true})
	case MsgVote:
		n.send(Message{Kind: MsgVoteReply, To: m.From, Reject: true})
	}
}

func (n *Node) dispatch(m Message) error {
	switch m.Kind {
	case MsgPreVote:
		n.handlePreVote(m)
	case MsgVote:
		n.handleVote(m)
	case MsgPreVoteReply, MsgVoteReply:
		n.handleVoteReply(m)
	case MsgAppend:
		return n.handleAppend(m)
	case MsgAppendReply:
		n.handleAppendReply(m)
	case MsgHeartbeat:
		n.handleHeartbeat(m)
	case MsgHeartbeatReply:
		n.handleHeartbeatReply(m)
	case MsgSnapshot:
		n.handleSnapshot(m)
	case MsgTimeoutNow:
		n.handleTimeoutNow(m)
	}
	return nil
}

// validateMessage returns an error that wraps ErrMalformed for a message that no correct member sends.
func validateMessage(m Message) error {
	if m.Kind < MsgPreVote || m.Kind > MsgTimeoutNow || m.From == 0 || m.From == m.To || m.Term == 0 {
		return malformed(m, "invalid header, sent to member %x in term %d", m.To, m.Term)
	}
	if m.LogTerm > m.Term {
		return malformed(m, "log term %d is above the message's term %d", m.LogTerm, m.Term)
	}
	if m.Kind == MsgSnapshot {
		if m.Snapshot == nil || m.Snapshot.Index == 0 || m.Snapshot.Term > m.Term || len(m.Snapshot.Members) == 0 {
			return malformed(m, "snapshot is missing, or its index, term or members are invalid")
		}
	}
	if m.Index+uint64(len(m.Entries)) < m.Index {
		return malformed(m, "%d entries after index %d exceed the highest index", len(m.Entries), m.Index)
	}
	term := m.LogTerm
	for i, e := range m.Entries {
		inOrder := e.Index == m.Index+uint64(i)+1 && e.Term >= term && e.Term <= m.Term
		membersFitKind := (e.Kind == EntryMembership) == (len(e.Members) > 0)
		if !inOrder || !membersFitKind || e.Kind > EntryMembership {
			return malformed(m, "entry %d of kind %d has index %d, term %d and %d members, want index %d and a term of %d to %d",
				i, e.Kind, e.Index, e.Term, len(e.Members), m.Index+uint64(i)+1, term, m.Term)
		}
		term = e.Term
	}
	return nil
}

// malformed returns an error that wraps ErrMalformed and names the kind and the sender of m.
func malformed(m Message, format string, args ...any) error {
	return fmt.Errorf("%w: kind %d from member %x: %s", ErrMalformed, m.Kind, m.From, fmt.Sprintf(format, args...))
}
