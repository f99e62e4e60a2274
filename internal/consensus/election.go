package consensus

func (n *Node) resetElectionTimer() {
	n.electionElapsed = 0
	n.electionTimeout = ElectionMinTicks + n.rng.IntN(ElectionMaxTicks-ElectionMinTicks+1)
}

// startElectionTimer starts the timer of a member that has just started. It is shorter than usual: pre-votes keep a member
// from disturbing a leader, and if all members have restarted none of them grants a vote before LeaseTicks.
func (n *Node) startElectionTimer() {
	n.resetElectionTimer()
	n.electionTimeout -= ElectionMinTicks - LeaseTicks - 1
}

// becomeFollower makes this member a follower in term, which must not be lower than the current term.
// leader is 0 if unknown.
func (n *Node) becomeFollower(term, leader uint64) {
	if term > n.term {
		n.term = term
		n.vote = 0
	}
	if n.role != Follower || leader == 0 {
		n.resetElectionTimer()
	}
	n.failReads()
	n.role = Follower
	n.leader = leader
	n.votes = nil
	n.progress = nil
	n.transferee = 0
}

// mayCampaign reports whether this member may start an election. Besides voters, this is a member whose
// own removal is in its log but not committed: it may be the only one with that entry and must be able to
// lead until the entry is committed, although its own vote doesn't count.
func (n *Node) mayCampaign() bool {
	if n.isVoter(n.id) {
		return true
	}
	committed, _ := n.membersAt(n.log.commit)
	return isVoterIn(committed, n.id)
}

// campaign requests pre-votes (role PreCandidate) or votes in a new term (role Candidate).
func (n *Node) campaign(role Role) {
	n.resetElectionTimer()
	n.role = role
	n.leader = 0
	n.votes = map[uint64]bool{n.id: true}
	kind := MsgPreVote
	if role == Candidate {
		kind = MsgVote
		n.term++
		n.vote = n.id
	} else {
		n.transferCampaign = false
	}
	if n.tallyVotes() {
		return
	}
	for _, m := range n.members {
		if m.Learner || m.ID == n.id {
			continue
		}
		n.send(Message{Kind: kind, To: m.ID, Index: n.log.last(), LogTerm: n.log.lastTerm(), Force: n.transferCampaign})
	}
}

// tallyVotes counts the granted votes. With a quorum of them, a pre-candidate starts the election and a
// candidate becomes leader. It reports whether there was a quorum.
func (n *Node) tallyVotes() bool {
	granted := 0
	for id := range n.votes {
		if n.isVoter(id) {
			granted++
		}
	}
	if granted < n.quorum() {
		return false
	}
	if n.role == PreCandidate {
		n.campaign(Candidate)
	} else {
		n.becomeLeader()
	}
	return true
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.id
	n.votes = nil
	n.progress = map[uint64]*progress{}
	n.heartbeatRound = 0
	n.heartbeatElapsed = 0
	n.transferee = 0
	n.transferAttempted = false
	n.syncProgress()
	n.appendEntry(Entry{Kind: EntryNoOp})
}

// hasRecentLeader reports whether this member is the leader or received a message from the leader within
// ElectionMinTicks.
func (n *Node) hasRecentLeader() bool {
	return n.role == Leader || n.leader != 0 && n.ticksSinceLeader < ElectionMinTicks
}

// handlePreVote replies whether this member would vote for the sender in the next term. Index and
// LogTerm are those of the last entry in the sender's log.
func (n *Node) handlePreVote(m Message) {
	granted := n.log.notAheadOf(m.Index, m.LogTerm)
	n.send(Message{Kind: MsgPreVoteReply, To: m.From, Reject: !granted})
}

// handleVote grants at most one vote per term, and only to a sender whose log is up to date. Index and
// LogTerm are those of the last entry in the sender's log.
func (n *Node) handleVote(m Message) {
	canVote := n.vote == 0 || n.vote == m.From
	granted := canVote && n.log.notAheadOf(m.Index, m.LogTerm)
	if granted {
		n.becomeFollower(n.term, 0)
		n.vote = m.From
	}
	n.send(Message{Kind: MsgVoteReply, To: m.From, Reject: !granted})
}

func (n *Node) handleVoteReply(m Message) {
	expectedRole := PreCandidate
	if m.Kind == MsgVoteReply {
		expectedRole = Candidate
	}
	if n.role != expectedRole || m.Reject {
		return
	}
	n.votes[m.From] = true
	n.tallyVotes()
}

// handleTimeoutNow starts an election without a pre-vote, as the target of a leadership transfer.
func (n *Node) handleTimeoutNow(m Message) {
	if n.role != Follower || m.From != n.leader || !n.isVoter(n.id) {
		return
	}
	n.transferCampaign = true
	n.campaign(Candidate)
}
