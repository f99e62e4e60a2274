package consensus

import "slices"

type progressState uint8

const (
	probing      progressState = iota // one message at a time, until the match index is known
	replicating                       // appends are pipelined
	snapshotting                      // a snapshot was sent and is not acknowledged
)

// progress is the replication state of one member, as tracked by the leader.
type progress struct {
	state              progressState
	match              uint64   // highest index known to be persisted by the member
	next               uint64   // next index to send
	probeSent          bool     // a probe is unanswered
	inflight           []uint64 // last index of each unacknowledged append
	ticksSinceContact  int      // since the last reply
	ackedRound         uint64   // highest heartbeat round that the member has acknowledged
	ticksSinceSnapshot int      // since the last snapshot was sent
	snapshotIndex      uint64   // index of that snapshot
}

func (n *Node) tickLeader() {
	for id, pr := range n.progress {
		if id == n.id {
			continue
		}
		pr.ticksSinceContact++
		pr.ticksSinceSnapshot++
	}
	if !n.quorumActive(n.members, ElectionMinTicks) {
		n.becomeFollower(n.term, 0)
		return
	}
	n.tickTransfer()
	n.promoteLearner()
	n.heartbeatElapsed++
	if n.heartbeatElapsed >= HeartbeatTicks {
		n.heartbeatElapsed = 0
		n.startHeartbeatRound()
	}
}

// TicksSinceContact returns the number of ticks since the last reply of a member to this leader. It is 0
// for the leader itself, for unknown members, and on a member that is not the leader.
func (n *Node) TicksSinceContact(id uint64) int {
	if pr := n.progress[id]; pr != nil && id != n.id {
		return pr.ticksSinceContact
	}
	return 0
}

// quorumActive reports whether a quorum of the voters in members has replied within the given number of
// ticks.
func (n *Node) quorumActive(members []Member, within int) bool {
	voters, reachable := 0, 0
	for _, m := range members {
		if m.Learner {
			continue
		}
		voters++
		if pr := n.progress[m.ID]; pr != nil && pr.ticksSinceContact < within {
			reachable++
		}
	}
	return reachable > voters/2
}

// appendEntry appends an entry to the leader's log, at the next index and in the current term.
func (n *Node) appendEntry(e Entry) {
	e.Index = n.log.last() + 1
	e.Term = n.term
	n.log.append(e)
	if e.Kind == EntryMembership {
		n.setMembers(e.Members, e.Index)
	}
}

// replicateAll sends new entries to all members. It runs once per Ready, which batches proposals that
// arrive together.
func (n *Node) replicateAll() {
	for _, m := range n.members {
		if m.ID != n.id {
			n.replicate(m.ID, false)
		}
	}
}

// replicate sends entries to one member as far as flow control allows, or a snapshot if the log no longer holds
// the entries that the member needs. With allowEmpty it sends an append even if there are no new entries.
func (n *Node) replicate(to uint64, allowEmpty bool) {
	pr := n.progress[to]
	for pr != nil && pr.state != snapshotting && !pr.probeSent && len(pr.inflight) < maxInflight {
		prevTerm, ok := n.log.term(pr.next - 1)
		if !ok {
			n.sendSnapshot(to, pr)
			return
		}
		entries := n.log.slice(pr.next, n.log.last())
		if len(entries) == 0 && !allowEmpty {
			return
		}
		allowEmpty = false
		n.send(Message{
			Kind: MsgAppend, To: to, Index: pr.next - 1, LogTerm: prevTerm,
			Commit: n.log.commit, Entries: entries,
		})
		if pr.state == probing {
			pr.probeSent = true
			return
		}
		if len(entries) > 0 {
			pr.next += uint64(len(entries))
			pr.inflight = append(pr.inflight, pr.next-1)
		}
	}
}

// handleAppendReply handles the reply to an append or a snapshot. Index is the last index at which the
// member's log matches the leader's or, in a rejection, the Index of the rejected append.
func (n *Node) handleAppendReply(m Message) {
	pr := n.progress[m.From]
	if n.role != Leader || pr == nil {
		return
	}
	pr.ticksSinceContact = 0
	if m.Reject {
		n.handleAppendRejection(m, pr)
		return
	}
	if m.Index > n.log.last() {
		return
	}
	pr.match = max(pr.match, m.Index)
	pr.next = max(pr.next, pr.match+1)
	pr.inflight = slices.DeleteFunc(pr.inflight, func(end uint64) bool { return end <= pr.match })
	if pr.state == probing || pr.state == snapshotting && pr.match >= pr.snapshotIndex {
		pr.state = replicating
		pr.probeSent = false
		pr.inflight = nil
		pr.next = pr.match + 1
	}
	n.advanceCommit()
	n.continueTransfer(m.From)
}

func (n *Node) handleAppendRejection(m Message, pr *progress) {
	if pr.state == snapshotting || m.Index <= pr.match {
		return
	}
	if pr.state == probing && m.Index != pr.next-1 {
		return
	}
	pr.next = max(pr.match+1, min(m.Index, m.Hint+1, n.log.last()+1))
	pr.state = probing
	pr.probeSent = false
	pr.inflight = nil
	n.replicate(m.From, true)
}

// advanceOwnMatch advances the leader's own match index to its last persisted entry.
func (n *Node) advanceOwnMatch() {
	pr := n.progress[n.id]
	if pr == nil {
		return
	}
	pr.match = n.log.persisted
	pr.next = pr.match + 1
	n.advanceCommit()
}

// advanceCommit commits the entries that a quorum has persisted. Only entries of the current term are
// committed by counting replicas; earlier entries are committed along with them.
func (n *Node) advanceCommit() {
	index := n.quorumValue(func(pr *progress) uint64 { return pr.match })
	term, ok := n.log.term(index)
	if index <= n.log.commit || !ok || term != n.term {
		return
	}
	n.log.commit = index
	n.stepDownIfRemoved()
}

// quorumValue returns the highest value that a quorum of voters has reached.
func (n *Node) quorumValue(value func(*progress) uint64) uint64 {
	var values []uint64
	for _, m := range n.members {
		if m.Learner {
			continue
		}
		v := uint64(0)
		if pr := n.progress[m.ID]; pr != nil {
			v = value(pr)
		}
		values = append(values, v)
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// committedInTerm reports whether the leader has committed an entry in its own term. Until then its
// commit index may lag behind that of an earlier leader.
func (n *Node) committedInTerm() bool {
	term, ok := n.log.term(n.log.commit)
	return ok && term == n.term
}
