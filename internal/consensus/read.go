package consensus

// pendingRead is a read that is confirmed once a quorum has acknowledged heartbeat round or a later one.
type pendingRead struct {
	id    uint64
	index uint64 // commit index when the round started
	round uint64
}

// ReadIndex starts a linearizable read: a quorum has to confirm that this member is still the leader after
// the call. A later Ready returns the id in Reads or FailedReads.
func (n *Node) ReadIndex(id uint64) error {
	if n.role != Leader {
		return ErrNotLeader
	}
	n.queuedReads = append(n.queuedReads, id)
	return nil
}

// startReadRound starts a heartbeat round for the queued reads. At most one such round is in flight;
// reads that arrive in the meantime share the next one.
func (n *Node) startReadRound() {
	if len(n.queuedReads) == 0 || !n.committedInTerm() || len(n.pendingReads) > 0 {
		return
	}
	n.heartbeatRound++
	n.assignReads()
	if len(n.pendingReads) > 0 {
		n.broadcastHeartbeat()
	}
}

// startHeartbeatRound starts the periodic heartbeat round. Queued reads join it even if an earlier round is
// still unacknowledged, because the messages of that round may be lost.
func (n *Node) startHeartbeatRound() {
	n.heartbeatRound++
	if n.committedInTerm() {
		n.assignReads()
	}
	n.broadcastHeartbeat()
}

func (n *Node) assignReads() {
	for _, id := range n.queuedReads {
		n.pendingReads = append(n.pendingReads, pendingRead{id: id, index: n.log.commit, round: n.heartbeatRound})
	}
	n.queuedReads = nil
	n.confirmReads()
}

// HeartbeatRound returns the number of the last heartbeat round that this leader started in its term.
func (n *Node) HeartbeatRound() uint64 { return n.heartbeatRound }

// ConfirmedRound returns the latest heartbeat round that a quorum has acknowledged. No other member can be
// elected for LeaseTicks from the moment that this round was sent. It returns 0 if there is no such round,
// if this member is not the leader or has not committed an entry in its term, and after an attempted
// leadership transfer, because voters don't ignore the forced election that the receiver may start.
func (n *Node) ConfirmedRound() uint64 {
	if n.role != Leader || n.transferAttempted || !n.committedInTerm() {
		return 0
	}
	if own := n.progress[n.id]; own != nil {
		own.ackedRound = n.heartbeatRound
	}
	return n.quorumValue(func(pr *progress) uint64 { return pr.ackedRound })
}

func (n *Node) broadcastHeartbeat() {
	for _, m := range n.members {
		pr := n.progress[m.ID]
		if m.ID == n.id || pr == nil {
			continue
		}
		commit := min(n.log.commit, pr.match)
		n.send(Message{Kind: MsgHeartbeat, To: m.ID, Commit: commit, Round: n.heartbeatRound})
	}
}

func (n *Node) handleHeartbeatReply(m Message) {
	pr := n.progress[m.From]
	if n.role != Leader || pr == nil || m.Round > n.heartbeatRound {
		return
	}
	pr.ticksSinceContact = 0
	pr.ackedRound = max(pr.ackedRound, m.Round)
	n.confirmReads()
	n.resumeAfterHeartbeat(m.From, pr)
}

// resumeAfterHeartbeat recovers from lost messages: it resends probes and snapshots, and sends an append
// that the member rejects if it has missed an earlier one.
func (n *Node) resumeAfterHeartbeat(id uint64, pr *progress) {
	pr.probeSent = false
	if pr.state == snapshotting && pr.ticksSinceSnapshot >= snapshotRetryTicks {
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

// confirmReads confirms the reads whose round a quorum has acknowledged. The leader counts itself as
// having acknowledged the current round.
func (n *Node) confirmReads() {
	if own := n.progress[n.id]; own != nil {
		own.ackedRound = n.heartbeatRound
	}
	acked := n.quorumValue(func(pr *progress) uint64 { return pr.ackedRound })
	count := 0
	for count < len(n.pendingReads) && n.pendingReads[count].round <= acked {
		read := n.pendingReads[count]
		n.confirmedReads = append(n.confirmedReads, Read{ID: read.id, Index: read.index})
		count++
	}
	n.pendingReads = n.pendingReads[count:]
}

// failReads fails all unconfirmed reads.
func (n *Node) failReads() {
	for _, read := range n.pendingReads {
		n.failedReads = append(n.failedReads, read.id)
	}
	n.failedReads = append(n.failedReads, n.queuedReads...)
	n.pendingReads = nil
	n.queuedReads = nil
}
