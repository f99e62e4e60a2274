package consensus

import "fmt"

// Step handles a message from another member. An error means that the message was ignored.
func (n *Node) Step(m Message) error {
	if err := checkMessage(m); err != nil {
		return err
	}
	if m.To != n.id {
		return ErrWrongMember
	}
	isVote := m.Kind == MsgPreVote || m.Kind == MsgVote
	if isVote && !m.Force && (n.hearsLeader() || n.started < LeaseTicks) {
		return nil
	}
	if m.Term < n.term {
		n.answerOldTerm(m)
		return nil
	}
	if fromLeader(m.Kind) {
		if err := n.followLeader(m); err != nil {
			return err
		}
	} else if m.Term > n.term {
		n.becomeFollower(m.Term, 0)
	}
	return n.dispatch(m)
}

func fromLeader(kind MessageKind) bool {
	return kind == MsgAppend || kind == MsgHeartbeat || kind == MsgSnapshot
}

func (n *Node) followLeader(m Message) error {
	if m.Term == n.term && n.role == Leader {
		return fmt.Errorf("member %x also leads term %d: %w", m.From, m.Term, ErrConflict)
	}
	if m.Term > n.term || n.role != Follower || n.leader != m.From {
		n.becomeFollower(m.Term, m.From)
	}
	n.resetElectionTimer()
	n.sinceLeader = 0
	return nil
}

// answerOldTerm tells the sender of a request about the current term. Without this a leader whose
// term is lower than that of a returning member could never get that member's log in step.
func (n *Node) answerOldTerm(m Message) {
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

// checkMessage refuses messages that no correct member sends.
func checkMessage(m Message) error {
	if m.Kind < MsgPreVote || m.Kind > MsgTimeoutNow || m.From == 0 || m.From == m.To || m.Term == 0 {
		return ErrMalformed
	}
	if m.LogTerm > m.Term {
		return ErrMalformed
	}
	if m.Kind == MsgSnapshot {
		if m.Snapshot == nil || m.Snapshot.Index == 0 || m.Snapshot.Term > m.Term || len(m.Snapshot.Members) == 0 {
			return ErrMalformed
		}
	}
	if m.Index+uint64(len(m.Entries)) < m.Index {
		return ErrMalformed
	}
	term := m.LogTerm
	for i, e := range m.Entries {
		ordered := e.Index == m.Index+uint64(i)+1 && e.Term >= term && e.Term <= m.Term
		members := (e.Kind == EntryMembers) == (len(e.Members) > 0)
		if !ordered || !members || e.Kind > EntryMembers {
			return ErrMalformed
		}
		term = e.Term
	}
	return nil
}
