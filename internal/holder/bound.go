package holder

import (
	"time"

	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/wire"
)

// ackBound is an upper bound of the positions of the acknowledged commits of a service. The holder of its primary keeps
// it from the target's responses. While a host has the primary right, all commits pass through it. A target may acknowledge
// a commit whose response is late or lost, so that the bound holds only up to the start of the oldest commit without a
// response; without such a commit it needs no answer from the target to stay valid.
type ackBound struct {
	held bool // this host has the primary right
	pos  position.Position
	// provenFrom is the time after which a request must have been sent for its response to show the commits of earlier
	// holders, and those of which no position is known.
	provenFrom time.Time
	proven     bool      // pos covers all acknowledged commits
	validAt    time.Time // last time up to which pos covers them; zero: never
}

// gain starts a new bound for a primary right that was gained at now.
func (b *ackBound) gain(now time.Time) {
	*b = ackBound{held: true, provenFrom: now}
}

// lose ends the primary right. What was proven stays true.
func (b *ackBound) lose() { b.held = false }

// observe records a response to a request that was sent at sentAt. It must be called before a commit is acknowledged.
// pos is zero if the response names no position; committed tells whether the request can have committed something.
func (b *ackBound) observe(now, sentAt time.Time, pos position.Position, committed bool) {
	switch {
	case !b.held:
	case !pos.IsZero():
		b.pos = b.pos.Max(pos)
		b.proven = b.proven || sentAt.After(b.provenFrom)
	case committed:
		b.proven, b.provenFrom = false, now
	}
}

// confirm records that the primary right was valid at a time, and that no commit sent before it is without a response.
func (b *ackBound) confirm(at time.Time) {
	if b.held && b.proven && at.After(b.validAt) {
		b.validAt = at
	}
}

// sample returns the newest statement that was proven, and whether there is one.
func (b *ackBound) sample(now time.Time) (wire.Sample, bool) {
	if b.validAt.IsZero() {
		return wire.Sample{}, false
	}
	return wire.Sample{Position: b.pos, Age: now.Sub(b.validAt)}, true
}
