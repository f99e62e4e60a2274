package consensus

// TransferLeadership starts a transfer of leadership to the reachable voter with the most up-to-date log.
// Proposals are refused until the transfer has succeeded or ElectionMinTicks have passed. It returns
// ErrQuorumAtRisk if no other voter is reachable: without this member, the group would have no leader.
func (n *Node) TransferLeadership() error {
	if n.role != Leader {
		return ErrNotLeader
	}
	if n.transferee != 0 {
		return nil
	}
	best := uint64(0) // voter with the highest match index; 0 if none is reachable
	for _, m := range n.members {
		pr := n.progress[m.ID]
		if m.Learner || m.ID == n.id || pr == nil || pr.ticksSinceContact >= ElectionMinTicks {
			continue
		}
		if best == 0 || pr.match > n.progress[best].match {
			best = m.ID
		}
	}
	if best == 0 {
		return ErrQuorumAtRisk
	}
	n.transferee = best
	n.transferAttempted = true
	n.ticksSinceTransferStart = 0
	n.continueTransfer(best)
	return nil
}

// continueTransfer tells the transferee to start a leader election once its log matches this leader's.
func (n *Node) continueTransfer(id uint64) {
	if n.transferee == 0 || n.transferee != id {
		return
	}
	if pr := n.progress[id]; pr != nil && pr.match == n.log.last() {
		n.send(Message{Kind: MsgTimeoutNow, To: id})
	}
}

func (n *Node) tickTransfer() {
	if n.transferee == 0 {
		return
	}
	n.ticksSinceTransferStart++
	if n.ticksSinceTransferStart >= ElectionMinTicks {
		n.transferee = 0
	}
}
