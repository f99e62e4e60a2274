package replica

import "github.com/citronrun/citronrun/internal/consensus"

// silenceLimitTicks is how long a member must be silent before the leader may remove it: 8 s.
const silenceLimitTicks = 8000 / consensus.TickMillis

// removeSilentMember removes a member that has been silent for silenceLimitTicks, if all other members are
// answering voters and there are at least MinVoters of them. A removed host that returns asks to be added
// again.
func (r *Replica) removeSilentMember() {
	if r.cfg.MinVoters == 0 || r.node.Status().Role != consensus.Leader {
		return
	}
	members := r.node.Status().Members
	var silent *Member
	answering := 0
	for i, m := range members {
		switch {
		case r.node.TicksSinceContact(m.ID) >= silenceLimitTicks:
			silent = &members[i]
		case !m.Learner && r.node.TicksSinceContact(m.ID) < discoveryTicks:
			answering++
		}
	}
	if silent == nil {
		return
	}
	if answering < r.cfg.MinVoters || answering < len(members)-1 {
		r.logKeptMember(silent.Addr, len(members), answering)
		return
	}
	if _, _, err := r.node.RemoveMember(silent.ID); err == nil {
		_ = r.cfg.Logger.Log("msg", "silent member removed", "addr", silent.Addr)
	}
}

// logKeptMember logs that a silent member is not removed, once for each address and number of answering voters.
func (r *Replica) logKeptMember(addr string, members, answering int) {
	kept := keptMember{addr: addr, answering: answering}
	if r.lastKept == kept {
		return
	}
	r.lastKept = kept
	_ = r.cfg.Logger.Log("msg", "silent member kept", "addr", addr, "members", members, "answering_voters", answering,
		"min_voters", r.cfg.MinVoters)
}

// keptMember identifies a log entry of logKeptMember.
type keptMember struct {
	addr      string
	answering int
}
