package replica

import (
	"time"

	"github.com/citronrun/citronrun/internal/consensus"
)

// silenceLimitTicks is how long a member must be silent before the leader may remove it: 8 s. If the group bears fewer
// losses than it should, half of Config.CatchUpTime is enough for a voter.
const silenceLimitTicks = 8000 / consensus.TickMillis

// removeSilentMember removes a member that has been silent for too long, if MinVoters voters are answering. Each lost
// voter that stays increases the quorum by up to one vote that nobody can give. The limit holds for each member on its
// own: several may be lost before the first is removed. A removed host that returns asks to be added again.
func (r *Replica) removeSilentMember() {
	status := r.node.Status()
	if r.cfg.MinVoters == 0 || status.Role != consensus.Leader {
		return
	}
	voters, answering := r.countVoters(status.Members)
	silent, ok := r.silentMember(status.Members, r.voterSilenceLimit(voters, answering))
	if !ok {
		return
	}
	if answering < r.cfg.MinVoters {
		r.logKeptMember(silent.Addr, len(status.Members), answering)
		return
	}
	silentFor := time.Duration(r.node.TicksSinceContact(silent.ID)) * tickInterval
	if _, _, err := r.node.RemoveMember(silent.ID); err == nil {
		_ = r.cfg.Logger.Log("msg", "silent member removed", "addr", silent.Addr, "silent", silentFor,
			"members", len(status.Members), "answering_voters", answering)
	}
}

// countVoters returns the number of voters, and of those that answer this leader, itself included.
func (r *Replica) countVoters(members []Member) (voters, answering int) {
	for _, m := range members {
		if m.Learner {
			continue
		}
		voters++
		if r.node.TicksSinceContact(m.ID) < discoveryTicks {
			answering++
		}
	}
	return voters, answering
}

// voterSilenceLimit returns how long, in ticks, a voter must be silent before it is removed. A lost host has to be made
// up for within CatchUpTime after its successor has started. If the group couldn't lose as many of its answering voters
// by then as MinVoters voters may, half of that time leaves the rest for an election, which starts the count again, and
// for the changes of the membership.
func (r *Replica) voterSilenceLimit(voters, answering int) int {
	quorum, mustBear := voters/2+1, (r.cfg.MinVoters-1)/2
	if r.cfg.CatchUpTime > 0 && answering-mustBear < quorum {
		return min(silenceLimitTicks, int(r.cfg.CatchUpTime/2/tickInterval))
	}
	return silenceLimitTicks
}

// silentMember returns the member that has been silent for longest, of those that have reached their limit.
func (r *Replica) silentMember(members []Member, voterLimit int) (silent Member, ok bool) {
	for _, m := range members {
		limit := voterLimit
		if m.Learner {
			limit = silenceLimitTicks
		}
		ticks := r.node.TicksSinceContact(m.ID)
		if ticks >= limit && (!ok || ticks > r.node.TicksSinceContact(silent.ID)) {
			silent, ok = m, true
		}
	}
	return silent, ok
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
