package replica

import (
	"time"

	"github.com/citronrun/citronrun/internal/consensus"
)

const (
	readLeaseDuration = consensus.LeaseTicks * tickInterval
	// maxRounds is the number of heartbeat rounds to keep. It covers readLeaseDuration
	// at one round every two ticks.
	maxRounds = 8
)

// sentRound is a heartbeat round and a time no later than when it was sent. Rounds are numbered within a
// consensus term.
type sentRound struct {
	term, round uint64
	at          time.Time
}

// tickNode advances consensus by a tick and records the heartbeat round that the tick starts. Rounds
// that are started by reads aren't recorded, because their send time isn't known here.
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

// hasReadLease reports whether this leader holds a read lease: a quorum answered a heartbeat round so
// recently that no other member can have been elected yet, and reads need no heartbeat round of their own.
// The clock must keep running while the host is suspended.
func (r *Replica) hasReadLease() bool {
	round := r.node.ConfirmedRound()
	if round == 0 {
		return false
	}
	term, now := r.node.Status().Term, r.cfg.Clock.Now()
	for i := len(r.rounds) - 1; i >= 0; i-- {
		s := r.rounds[i]
		if s.term == term && s.round <= round {
			return now.Sub(s.at) < readLeaseDuration
		}
	}
	return false
}
