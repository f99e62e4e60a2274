package replica

import (
	"errors"
	"slices"

	"github.com/citronrun/citronrun/internal/consensus"
)

// leaderLostTicks is the time without a known leader after which a member asks to be added again, in
// case it was removed while it was unreachable: 3 s.
const leaderLostTicks = 3000 / consensus.TickMillis

// SetInitialAddrs replaces the addresses in Config.Initial.
func (r *Replica) SetInitialAddrs(addrs []string) {
	_ = r.enqueue(func(in *inputs) {
		in.calls = append(in.calls, func() { r.cfg.Initial = slices.Clone(addrs) })
	})
}

// joinContacts returns the addresses of other hosts that may belong to the group: the initial hosts, the
// members, and the leader according to the latest redirect.
func (r *Replica) joinContacts() []string {
	all := slices.Clone(r.cfg.Initial)
	for _, m := range r.node.Status().Members {
		all = append(all, m.Addr)
	}
	if r.redirectedTo != "" {
		all = append(all, r.redirectedTo)
	}
	slices.Sort(all)
	return slices.DeleteFunc(slices.Compact(all), func(addr string) bool { return addr == r.cfg.Addr })
}

// requestJoin asks all join contacts to be added if this host has never belonged to a group, or has known no
// leader for leaderLostTicks and may therefore have been removed from its group.
func (r *Replica) requestJoin() {
	if !r.cfg.Join || r.bootstrap != nil {
		return
	}
	if r.joined() && r.ticksWithoutLeader < leaderLostTicks {
		return
	}
	for _, addr := range r.joinContacts() {
		r.sendEnvelope(Member{Addr: addr}, envelope{Discovery: discoveryJoin})
	}
}

// handleJoin adds the sender if this member is the leader, and otherwise redirects it to the leader.
func (r *Replica) handleJoin(e envelope) {
	status := r.node.Status()
	if status.Role != consensus.Leader {
		if leader := r.memberByID(status.Leader, status.Members); leader.Addr != "" && leader.Addr != e.From.Addr {
			r.sendEnvelope(e.From, envelope{Discovery: discoveryRedirect, Leader: leader.Addr})
		}
		return
	}
	err := r.addHost(e.From, status.Members)
	if err != nil && !errors.Is(err, consensus.ErrChangePending) && !errors.Is(err, consensus.ErrMemberExists) {
		_ = r.cfg.Logger.Log("msg", "host not added", "addr", e.From.Addr, "err", err)
	}
}

// addHost adds a host as a learner. If a member with the same address has another id, the host has lost its
// disk. That member is removed first, so that the host can't vote again in a term in which it voted under
// the old id; the host is added when it asks again.
func (r *Replica) addHost(from Member, members []Member) error {
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

// handleRedirect records the leader's address from the answer to a join request.
func (r *Replica) handleRedirect(e envelope) {
	if len(e.Leader) <= maxAddrBytes {
		r.redirectedTo = e.Leader
	}
}
