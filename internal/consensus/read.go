package consensus

// pendingRead waits until a quorum has answered heartbeat round or a later one.
type pendingRead struct {
	id    uint64
	index uint64
	round uint64
}

// ReadIndex asks for proof that this member was leader after the call. The id appears in
// Ready.Reads or Ready.FailedReads later.
func (n *Node) ReadIndex(id uint64) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	n.waiting = append(n.waiting, id)
	return nil
}

// startReadRound assigns the waiting reads to a new heartbeat round. At most one round started by
// reads is in flight; reads that arrive meanwhile share the next one.
func (n *Node) startReadRound() {
	if len(n.waiting) == 0 || !n.committedInTerm() || len(n.reads) > 0 {
		return
	}
	n.round++
	n.assignReads()
	if len(n.reads) > 0 {
		n.broadcastHeartbeat()
	}
}

// beat starts the periodic heartbeat round. Reads that wait join it, also if an earlier round is
// unanswered, because its messages may be lost.
func (n *Node) beat() {
	n.round++
	if n.committedInTerm() {
		n.assignReads()
	}
	n.broadcastHeartbeat()
}

func (n *Node) assignReads() {
	for _, id := range n.waiting {
		n.reads = append(n.reads, pendingRead{id: id, index: n.log.commit, round: n.round})
	}
	n.waiting = nil
	n.confirmReads()
}

// HeartbeatRound returns the number of the last heartbeat round that this leader has started in its term.
func (n *Node) HeartbeatRound() uint64 { return n.round }

// ConfirmedRound returns the latest heartbeat round that a quorum has answered, for a leader whose commit
// index is current. For LeaseTicks from the moment that the round was sent no other member can have been
// elected. It is 0 without such a round, and after a transfer was tried: the receiver may start an
// election that nobody ignores.
func (n *Node) ConfirmedRound() uint64 {
	if n.role != Leader || n.transferred || !n.committedInTerm() {
		return 0
	}
	if own := n.progress[n.id]; own != nil {
		own.round = n.round
	}
	return n.quorumValue(func(pr *progress) uint64 { return pr.round })
}

func (n *Node) broadcastHeartbeat() {
	for _, m := range n.members {
		pr := n.progress[m.ID]
		if m.ID == n.id || pr == nil {
			continue
		}
		commit := min(n.log.commit, pr.match)
		n.send(Message{Kind: MsgHeartbeat, To: m.ID, Commit: commit, Round: n.round})
	}
}

func (n *Node) handleHeartbeatReply(m Message) {
	pr := n.progress[m.From]
	if n.role != Leader || pr == nil || m.Round > n.round {
		return
	}
	pr.silent = 0
	pr.round = max(pr.round, m.Round)
	n.confirmReads()
	n.resumeAfterHeartbeat(m.From, pr)
}

// resumeAfterHeartbeat repairs lost messages: it repeats probes and snapshots, and sends an append
// that the member rejects if an earlier one was lost.
func (n *Node) resumeAfterHeartbeat(id uint64, pr *progress) {
	pr.paused = false
	if pr.state == snapshotting && pr.waited >= snapshotRetryTicks {
		pr.state = probing
	}
	if pr.match >= n.log.last() {
		return
	}
	if len(pr.inflight) >= maxInflight {
		pr.inflight = pr.inflight[1:]
	}
	n.replicate(id, true)
}

// confirmReads releases the reads whose round a quorum has answered. The leader's own answer counts
// as given.
func (n *Node) confirmReads() {
	if own := n.progress[n.id]; own != nil {
		own.round = n.round
	}
	answered := n.quorumValue(func(pr *progress) uint64 { return pr.round })
	count := 0
	for count < len(n.reads) && n.reads[count].round <= answered {
		read := n.reads[count]
		n.confirmed = append(n.confirmed, Read{ID: read.id, Index: read.index})
		count++
	}
	n.reads = n.reads[count:]
}

// dropReads fails all unconfirmed reads.
func (n *Node) dropReads() {
	for _, read := range n.reads {
		n.failed = append(n.failed, read.id)
	}
	n.failed = append(n.failed, n.waiting...)
	n.reads = nil
	n.waiting = nil
}
