package consensus

// pendingRead waits until a quorum has answered heartbeat round or a later one.
type pendingRead struct {
	id    uint64
	index uint64
	round uint64
}

// ConfirmRead asks for proof that this member was leader after the call. The id appears in
// Ready.Reads or Ready.FailedReads later.
func (n *Node) ConfirmRead(id uint64) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	n.waiting = append(n.waiting, id)
	return nil
}

// startReadRound assigns the waiting reads to a new heartbeat round. At most one round started by
// reads is in flight; reads that arrive meanwhile share the next one. force starts a round even if
// the previous one is unanswered, because its messages may be lost.
func (n *Node) startReadRound(force bool) {
	if len(n.waiting) == 0 || !n.committedInTerm() {
		return
	}
	if len(n.reads) > 0 && !force {
		return
	}
	n.round++
	for _, id := range n.waiting {
		n.reads = append(n.reads, pendingRead{id: id, index: n.log.commit, round: n.round})
	}
	n.waiting = nil
	n.confirmReads()
	if len(n.reads) > 0 {
		n.broadcastHeartbeat()
	}
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
