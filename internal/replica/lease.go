package replica

import (
	"time"

	"github.com/citronrun/citronrun/internal/consensus"
)

const (
	leaseTime = consensus.LeaseTicks * tickInterval
	// maxRounds covers leaseTime at one heartbeat round every two ticks.
	maxRounds = 8
)

// sentRound is a heartbeat round and a moment before it was sent. Rounds are counted in each term.
type sentRound struct {
	term, round uint64
	at          time.Time
}

// tickNode advances consensus by a tick and notes the heartbeat round that it starts. Rounds that reads
// start aren't noted: the moment of their sending isn't known here.
func (r *Replica) tickNode() {
	now := r.cfg.Clock.Now()
	before := r.node.HeartbeatRound()
	r.node.Tick()
	round := r.node.HeartbeatRound()
	if round <= before {
		return
	}
	r.rounds = append(r.rounds, sentRound{term: r.node.Status().Term, round: round, at: now})
	if len(r.rounds) > maxRounds {
		r.rounds = r.rounds[1:]
	}
}

// leased reports whether no other member can have been elected by now, so that a read needs no round of
// its own. The clock must go on while the machine is suspended.
func (r *Replica) leased() bool {
	round := r.node.ConfirmedRound()
	if round == 0 {
		return false
	}
	term, now := r.node.Status().Term, r.cfg.Clock.Now()
	for i := len(r.rounds) - 1; i >= 0; i-- {
		s := r.rounds[i]
		if s.term == term && s.round <= round {
			return now.Sub(s.at) < leaseTime
		}
	}
	return false
}
