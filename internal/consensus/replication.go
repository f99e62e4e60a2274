package consensus

import "slices"

type progressState uint8

const (
	probing      progressState = iota // one message at a time until the logs agree
	replicating                       // messages are sent ahead of acknowledgements
	snapshotting                      // a snapshot is on its way
)

// progress is the leader's view of one member.
type progress struct {
	state    progressState
	match    uint64 // highest index known to be persisted by the member
	next     uint64 // next index to send
	paused   bool   // a probe is unanswered
	inflight []uint64
	silent   int // ticks since the last reply
	round    uint64
	waited   int    // ticks since a snapshot was sent
	sent     uint64 // index of that snapshot
}

func (n *Node) tickLeader() {
	for id, pr := range n.progress {
		if id == n.id {
			continue
		}
		pr.silent++
		pr.waited++
	}
	if !n.hasContact(n.members, ElectionMinTicks) {
		n.becomeFollower(n.term, 0)
		return
	}
	n.tickTransfer()
	n.promoteLearner()
	n.heartbeatTicks++
	if n.heartbeatTicks >= HeartbeatTicks {
		n.heartbeatTicks = 0
		n.beat()
	}
}

// TicksSinceContact returns the ticks since a member last replied to this leader. It is 0 for the leader itself, for
// members that aren't known, and on a follower.
func (n *Node) TicksSinceContact(id uint64) int {
	if pr := n.progress[id]; pr != nil && id != n.id {
		return pr.silent
	}
	return 0
}

// hasContact reports whether a quorum of the voters in members replied less than limit ticks ago.
func (n *Node) hasContact(members []Member, limit int) bool {
	voters, reached := 0, 0
	for _, m := range members {
		if m.Learner {
			continue
		}
		voters++
		if pr := n.progress[m.ID]; pr != nil && pr.silent < limit {
			reached++
		}
	}
	return reached > voters/2
}

// appendOwn adds an entry of the current term to the leader's log.
func (n *Node) appendOwn(e Entry) {
	e.Index = n.log.last() + 1
	e.Term = n.term
	n.log.append(e)
	if e.Kind == EntryMembers {
		n.setMembers(e.Members, e.Index)
	}
}

// replicateAll sends new entries to all members. It runs once per Ready, so that proposals that
// arrive together share messages.
func (n *Node) replicateAll() {
	for _, m := range n.members {
		if m.ID != n.id {
			n.replicate(m.ID, false)
		}
	}
}

// replicate sends entries to one member as far as flow control allows. With probe set it sends a
// message even if there are no new entries.
func (n *Node) replicate(to uint64, probe bool) {
	pr := n.progress[to]
	for pr != nil && pr.state != snapshotting && !pr.paused && len(pr.inflight) < maxInflight {
		prevTerm, ok := n.log.term(pr.next - 1)
		if !ok {
			n.sendSnapshot(to, pr)
			return
		}
		entries := n.log.slice(pr.next, n.log.last())
		if len(entries) == 0 && !probe {
			return
		}
		probe = false
		n.send(Message{
			Kind: MsgAppend, To: to, Index: pr.next - 1, LogTerm: prevTerm,
			Commit: n.log.commit, Entries: entries,
		})
		if pr.state == probing {
			pr.paused = true
			return
		}
		if len(entries) > 0 {
			pr.next += uint64(len(entries))
			pr.inflight = append(pr.inflight, pr.next-1)
		}
	}
}

// handleAppendReply handles the answer to an append or a snapshot. Index is the last index that the
// member has in common with the leader or, in a rejection, the Index of the rejected message.
func (n *Node) handleAppendReply(m Message) {
	pr := n.progress[m.From]
	if n.role != Leader || pr == nil {
		return
	}
	pr.silent = 0
	if m.Reject {
		n.handleReject(m, pr)
		return
	}
	if m.Index > n.log.last() {
		return
	}
	pr.match = max(pr.match, m.Index)
	pr.next = max(pr.next, pr.match+1)
	pr.inflight = slices.DeleteFunc(pr.inflight, func(end uint64) bool { return end <= pr.match })
	if pr.state == probing || pr.state == snapshotting && pr.match >= pr.sent {
		pr.state = replicating
		pr.paused = false
		pr.inflight = nil
		pr.next = pr.match + 1
	}
	n.advanceCommit()
	n.continueTransfer(m.From)
}

func (n *Node) handleReject(m Message, pr *progress) {
	if pr.state == snapshotting || m.Index <= pr.match {
		return
	}
	if pr.state == probing && m.Index != pr.next-1 {
		return
	}
	pr.next = max(pr.match+1, min(m.Index, m.Hint+1, n.log.last()+1))
	pr.state = probing
	pr.paused = false
	pr.inflight = nil
	n.replicate(m.From, true)
}

func (n *Node) advanceOwnMatch() {
	pr := n.progress[n.id]
	if pr == nil {
		return
	}
	pr.match = n.log.stable
	pr.next = pr.match + 1
	n.advanceCommit()
}

// advanceCommit commits what a quorum has persisted. Only entries of the current term are counted;
// earlier ones are committed with them.
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

// committedInTerm reports whether the leader has committed an entry of its own term. Until then it
// may not know the true commit index.
func (n *Node) committedInTerm() bool {
	term, ok := n.log.term(n.log.commit)
	return ok && term == n.term
}
