package consensus

// TransferLeadership hands leadership to the voter that is furthest along. Proposals are refused until the
// transfer has succeeded or an election timeout has passed.
func (n *Node) TransferLeadership() error {
	if n.role != Leader {
		return ErrNotLeader
	}
	if n.transferTo != 0 {
		return nil
	}
	best := uint64(0)
	for _, m := range n.members {
		pr := n.progress[m.ID]
		if m.Learner || m.ID == n.id || pr == nil || pr.silent >= ElectionMinTicks {
			continue
		}
		if best == 0 || pr.match > n.progress[best].match {
			best = m.ID
		}
	}
	if best == 0 {
		return ErrQuorumAtRisk
	}
	n.transferTo = best
	n.transferred = true
	n.transferTicks = 0
	n.continueTransfer(best)
	return nil
}

// continueTransfer asks the successor to start an election once it has the whole log.
func (n *Node) continueTransfer(id uint64) {
	if n.transferTo == 0 || n.transferTo != id {
		return
	}
	if pr := n.progress[id]; pr != nil && pr.match == n.log.last() {
		n.send(Message{Kind: MsgTimeoutNow, To: id})
	}
}

func (n *Node) tickTransfer() {
	if n.transferTo == 0 {
		return
	}
	n.transferTicks++
	if n.transferTicks >= ElectionMinTicks {
		n.transferTo = 0
	}
}
