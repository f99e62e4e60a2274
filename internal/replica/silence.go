package replica

import (
	"time"

	"github.com/citronrun/citronrun/internal/consensus"
)

// silenceLimitTicks is how long a member must be silent before the leader may remove it: 8 s.
const silenceLimitTicks = 8000 / consensus.TickMillis

// removeSilentMember removes the member that has been silent for longest, if that is at least silenceLimitTicks
// and MinVoters voters are answering. Each lost member that stays increases the quorum by up to one vote that
// nobody can give. The limit holds for each member on its own: several may be lost before the first is removed. A
// removed host that returns asks to be added again.
func (r *Replica) removeSilentMember() {
	status := r.node.Status()
	if r.cfg.MinVoters == 0 || status.Role != consensus.Leader {
		return
	}
	silent, answering := r.contact(status.Members)
	silentFor := r.node.TicksSinceContact(silent.ID)
	if silentFor < silenceLimitTicks {
		return
	}
	if answering < r.cfg.MinVoters {
		r.logKeptMember(silent.Addr, len(status.Members), answering)
		return
	}
	if _, _, err := r.node.RemoveMember(silent.ID); err == nil {
		_ = r.cfg.Logger.Log("msg", "silent member removed", "addr", silent.Addr, "silent", time.Duration(silentFor)*tickInterval,
			"members", len(status.Members), "answering_voters", answering)
	}
}

// contact returns the member that has been silent for longest, and the number of voters that answer this leader,
// itself included.
func (r *Replica) contact(members []Member) (silent Member, answering int) {
	for _, m := range members {
		if r.node.TicksSinceContact(m.ID) > r.node.TicksSinceContact(silent.ID) {
			silent = m
		}
		if !m.Learner && r.node.TicksSinceContact(m.ID) < discoveryTicks {
			answering++
		}
	}
	return silent, answering
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
