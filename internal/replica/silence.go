package replica

import (
	"time"

	"github.com/citronrun/citronrun/internal/consensus"
)

// silenceLimitTicks is how long a member must be silent before the leader may remove it: 8 s. A group that bears
// fewer losses than it should removes it after half of Config.CatchUpTime.
const silenceLimitTicks = 8000 / consensus.TickMillis

// removeSilentMember removes the member that has been silent for longest, if that is at least silenceLimit and
// MinVoters voters are answering. Each lost member that stays increases the quorum by up to one vote that
// nobody can give. The limit holds for each member on its own: several may be lost before the first is removed. A
// removed host that returns asks to be added again.
func (r *Replica) removeSilentMember() {
	status := r.node.Status()
	if r.cfg.MinVoters == 0 || status.Role != consensus.Leader {
		return
	}
	silent, answering := r.contact(status.Members)
	silentFor := r.node.TicksSinceContact(silent.ID)
	if silentFor < r.silenceLimit(status.Members, answering) {
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

// silenceLimit returns how long, in ticks, a member must be silent before it is removed. A lost host has to be made up
// for within CatchUpTime after its successor has started. If the group is too large by then to lose as many of its
// answering voters as MinVoters voters may, half of that time leaves the rest for an election, which starts the
// count again, and for the changes of the membership.
func (r *Replica) silenceLimit(members []Member, answering int) int {
	voters := 0
	for _, m := range members {
		if !m.Learner {
			voters++
		}
	}
	quorum, mustBear := voters/2+1, (r.cfg.MinVoters-1)/2
	if r.cfg.CatchUpTime > 0 && answering-mustBear < quorum {
		return min(silenceLimitTicks, int(r.cfg.CatchUpTime/2/tickInterval))
	}
	return silenceLimitTicks
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
