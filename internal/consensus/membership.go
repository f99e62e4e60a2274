package consensus

import "slices"

// AddLearner proposes to add a member as a learner. The leader promotes it to a voter once it has caught
// up. A member with the same address must be removed first; otherwise a host that lost its disk would
// count twice towards the quorum size.
func (n *Node) AddLearner(m Member) (index, term uint64, err error) {
	if err := n.checkMembershipChange(); err != nil {
		return 0, 0, err
	}
	conflicts := func(o Member) bool { return o.ID == m.ID || o.Addr == m.Addr }
	if m.ID == 0 || slices.ContainsFunc(n.members, conflicts) {
		return 0, 0, ErrMemberExists
	}
	m.Learner = true
	members := append(slices.Clone(n.members), m)
	return n.proposeMembers(members)
}

// RemoveMember proposes to remove a member. It returns ErrQuorumAtRisk if the remaining voters that are
// reachable would not form a quorum.
func (n *Node) RemoveMember(id uint64) (index, term uint64, err error) {
	if err := n.checkMembershipChange(); err != nil {
		return 0, 0, err
	}
	remaining := slices.DeleteFunc(slices.Clone(n.members), func(m Member) bool { return m.ID == id })
	if len(remaining) == len(n.members) {
		return 0, 0, ErrUnknownMember
	}
	if !n.quorumActive(remaining, activeQuorumTicks) {
		return 0, 0, ErrQuorumAtRisk
	}
	return n.proposeMembers(remaining)
}

// checkMembershipChange returns an error unless a membership change may be proposed: one at a time, and
// none before the leader has committed an entry in its term. Otherwise two leaders could change the same
// membership in different ways, and their quorums might not overlap.
func (n *Node) checkMembershipChange() error {
	if n.role != Leader {
		return ErrNotLeader
	}
	if n.transferee != 0 {
		return ErrTransferring
	}
	if n.membersIndex > n.log.commit || !n.committedInTerm() {
		return ErrChangePending
	}
	return nil
}

func (n *Node) proposeMembers(members []Member) (index, term uint64, err error) {
	n.appendEntry(Entry{Kind: EntryMembership, Members: members})
	return n.log.last(), n.term, nil
}

// promoteLearner proposes to make one learner that has caught up a voter.
func (n *Node) promoteLearner() {
	if n.checkMembershipChange() != nil {
		return
	}
	for i, m := range n.members {
		pr := n.progress[m.ID]
		if !m.Learner || pr == nil || pr.match < n.membersIndex || pr.match+maxPromotionLag < n.log.commit {
			continue
		}
		members := slices.Clone(n.members)
		members[i].Learner = false
		if pr.ticksSinceContact < activeQuorumTicks && n.quorumActive(members, activeQuorumTicks) {
			n.proposeMembers(members)
			return
		}
	}
}

// stepDownIfRemoved makes a leader step down once its own removal is committed.
func (n *Node) stepDownIfRemoved() {
	if n.membersIndex <= n.log.commit && !n.isVoter(n.id) {
		n.broadcastHeartbeat()
		n.becomeFollower(n.term, 0)
	}
}

// setMembers makes a membership effective. A membership is effective as soon as its entry is appended,
// not only once it is committed.
func (n *Node) setMembers(members []Member, index uint64) {
	n.members = members
	n.membersIndex = index
	if n.role == Leader {
		n.syncProgress()
	}
}

// reloadMembers makes the latest membership in the log or the snapshot effective.
func (n *Node) reloadMembers() {
	members, index := n.membersAt(n.log.last())
	n.setMembers(members, index)
}

// membersAt returns the membership after the entry at index, and the index of the entry or snapshot that
// holds it.
func (n *Node) membersAt(index uint64) ([]Member, uint64) {
	for i := len(n.log.entries) - 1; i >= 0; i-- {
		e := n.log.entries[i]
		if e.Index > index {
			continue
		}
		if e.Index <= n.snapshot.Index {
			break
		}
		if e.Kind == EntryMembership {
			return e.Members, e.Index
		}
	}
	return n.snapshot.Members, n.snapshot.Index
}

// syncProgress starts to track the progress of new members and drops that of removed ones.
func (n *Node) syncProgress() {
	current := map[uint64]*progress{}
	for _, m := range n.members {
		pr := n.progress[m.ID]
		if pr == nil {
			pr = &progress{next: n.log.last() + 1}
		}
		current[m.ID] = pr
	}
	n.progress = current
	if own := current[n.id]; own != nil {
		own.match = n.log.persisted
	}
}

func (n *Node) isVoter(id uint64) bool { return isVoterIn(n.members, id) }

func isVoterIn(members []Member, id uint64) bool {
	return slices.ContainsFunc(members, func(m Member) bool { return m.ID == id && !m.Learner })
}

// quorum returns the number of voters in a majority.
func (n *Node) quorum() int {
	voters := 0
	for _, m := range n.members {
		if !m.Learner {
			voters++
		}
	}
	return voters/2 + 1
}
