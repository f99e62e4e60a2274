package replica

import (
	"errors"
	"slices"

	"github.com/citronrun/citronrun/internal/consensus"
)

const (
	// lostTicks is the time without a leader after which a member asks to be added again, in case that
	// it was removed while it was away: 3 s.
	lostTicks = 3000 / consensus.TickMillis
	// pruneTicks is the silence after which a member may be removed for good: 8 s.
	pruneTicks = 8000 / consensus.TickMillis
)

// SetInitialAddrs replaces the addresses of hosts that are asked for a group.
func (r *Replica) SetInitialAddrs(addrs []string) {
	_ = r.enqueue(func(in *inputs) {
		in.calls = append(in.calls, func() { r.cfg.Initial = slices.Clone(addrs) })
	})
}

// contacts returns the addresses of hosts that may know the group: the initial ones, the members, and
// the leaders that others have named.
func (r *Replica) contacts() []string {
	all := slices.Clone(r.cfg.Initial)
	for _, m := range r.node.Status().Members {
		all = append(all, m.Addr)
	}
	if r.referredTo != "" {
		all = append(all, r.referredTo)
	}
	slices.Sort(all)
	return slices.DeleteFunc(slices.Compact(all), func(addr string) bool { return addr == r.cfg.Addr })
}

// askToJoin asks all contacts for admission if this host belongs to no group, or seems to have been
// removed from it.
func (r *Replica) askToJoin() {
	if !r.cfg.Join || r.founding != nil {
		return
	}
	if r.joined() && r.leaderless < lostTicks {
		return
	}
	for _, addr := range r.contacts() {
		r.sendEnvelope(Member{Addr: addr}, envelope{Hello: helloJoin})
	}
}

// handleJoin adds the sender as a learner, or names the leader to it. A member with the sender's address
// and another id has lost its disk: it is removed first, because the sender must not vote with what
// that member has promised.
func (r *Replica) handleJoin(e envelope) {
	status := r.node.Status()
	if status.Role != consensus.Leader {
		if leader := r.memberByID(status.Leader, status.Members); leader.Addr != "" && leader.Addr != e.From.Addr {
			r.sendEnvelope(e.From, envelope{Hello: helloRefer, Leader: leader.Addr})
		}
		return
	}
	err := r.admit(e.From, status.Members)
	if err != nil && !errors.Is(err, consensus.ErrChangePending) && !errors.Is(err, consensus.ErrMemberExists) {
		_ = r.cfg.Logger.Log("msg", "host not added", "addr", e.From.Addr, "err", err)
	}
}

func (r *Replica) admit(from Member, members []Member) error {
	for _, m := range members {
		if m.Addr == from.Addr && m.ID != from.ID {
			_, _, err := r.node.RemoveMember(m.ID)
			if err == nil {
				_ = r.cfg.Logger.Log("msg", "member removed: its host has lost its disk", "addr", m.Addr)
			}
			return err
		}
	}
	_, _, err := r.node.AddLearner(Member{ID: from.ID, Addr: from.Addr})
	if err == nil {
		_ = r.cfg.Logger.Log("msg", "host added as a learner", "addr", from.Addr)
	}
	return err
}

// handleReferral notes who leads the group that this host wants to join.
func (r *Replica) handleReferral(e envelope) {
	if len(e.Leader) <= maxAddrBytes {
		r.referredTo = e.Leader
	}
}

// prune removes one member that has been silent for long, if enough voters remain that all answer. A
// host that comes back later is added again.
func (r *Replica) prune() {
	if r.cfg.MinVoters == 0 || r.node.Status().Role != consensus.Leader {
		return
	}
	members := r.node.Status().Members
	var silent *Member
	answering := 0
	for i, m := range members {
		switch {
		case r.node.TicksSinceContact(m.ID) >= pruneTicks:
			silent = &members[i]
		case !m.Learner && r.node.TicksSinceContact(m.ID) < helloTicks:
			answering++
		}
	}
	if silent == nil || answering < r.cfg.MinVoters || answering < len(members)-1 {
		return
	}
	if _, _, err := r.node.RemoveMember(silent.ID); err == nil {
		_ = r.cfg.Logger.Log("msg", "silent member removed", "addr", silent.Addr)
	}
}
