package agent

import (
	"context"
	"time"

	"github.com/citronrun/citronrun/internal/relay"
	"github.com/citronrun/citronrun/internal/transport"
	"github.com/citronrun/citronrun/internal/wire"
)

const (
	// forwarderPatience is how long a forwarder may know no leader before another control host is asked: longer than an
	// election takes.
	forwarderPatience = 1500 * time.Millisecond
	// forwarderAvoidance is how long a forwarder that didn't answer is not called. It is shorter than for other hosts of the
	// place: after an outage of all control hosts, hosts that call the leader instead need a connection each.
	forwarderAvoidance = time.Second
	// noLeaderRetryInterval is the time until the next renewal after a forwarder knew no leader.
	noLeaderRetryInterval = 250 * time.Millisecond
)

var (
	// callPatience bounds a call to a control host.
	callPatience = transport.Patience{Silence: attemptTimeout, Limit: patientTimeout}
	// firstPatience bounds the first calls of a process. After a restart of all hosts they wait for handshakes, and a host that
	// gave up would dial the next control host too.
	firstPatience = transport.Patience{Silence: patientTimeout, Limit: patientTimeout}
)

// controlTarget is the control host to call next.
type controlTarget struct {
	addr     string
	forwards bool // it forwards calls to the leader for as long as it answers
	first    bool // this host has not renewed yet: whichever control host it is, it forwards the call
	detour   bool // it is an entry host
}

// asksToForward reports whether the call asks a control host that doesn't lead to forward it.
func (to controlTarget) asksToForward() bool { return to.forwards || to.first }

// nextControlTarget returns a control host of this place that forwards calls, if the leader has named one and it has not
// just failed, and otherwise the presumed leader. If no control host has answered lately, it returns another entry host.
func (a *Agent) nextControlTarget() controlTarget {
	now := a.Clock.Now()
	if via := a.detour(now); via != "" {
		return controlTarget{addr: via, forwards: true, detour: true}
	}
	a.mu.Lock()
	usable := func(addr string) bool { return !a.failedWithin(now, addr, forwarderAvoidance) }
	addr := relay.Choose(a.forwarders, a.Addr, usable)
	a.mu.Unlock()
	if addr != "" {
		return controlTarget{addr: addr, forwards: true}
	}
	return controlTarget{addr: a.nextControlAddr(), first: a.Entry && a.lastRenewal.Load() == nil}
}

// callControl calls a control host.
func (a *Agent) callControl(ctx context.Context, to controlTarget, kind wire.Kind, req, reply any) error {
	patience := callPatience
	switch {
	case to.detour:
		patience = detourPatience
	case to.first:
		patience = firstPatience
	}
	return a.Transport.CallPatient(ctx, to.addr, patience, kind, req, reply)
}

// recordUnanswered records that a control host didn't answer.
func (a *Agent) recordUnanswered(to controlTarget) {
	a.recordUnansweredCall(to)
	switch {
	case to.detour:
	case to.forwards:
		a.RecordPeerFailure(to.addr)
	default:
		a.recordNoAnswer(to.addr)
	}
}

// recordNotLeading records that a control host isn't the leader, and the address of the presumed leader; empty if unknown. It
// reports whether the leader may be found now: a forwarder is asked again later, unless it has known no leader for
// forwarderPatience.
func (a *Agent) recordNotLeading(to controlTarget, leader string) (retry bool) {
	a.recordAnsweredCall(to, false)
	if to.detour {
		return false
	}
	if !to.forwards {
		a.recordRedirect(to.addr, leader)
		return true
	}
	now := a.Clock.Now()
	a.mu.Lock()
	if a.noLeaderSince.IsZero() {
		a.noLeaderSince = now
	}
	lost := now.Sub(a.noLeaderSince) >= forwarderPatience
	if lost {
		a.noLeaderSince = time.Time{}
	}
	a.mu.Unlock()
	if lost {
		a.RecordPeerFailure(to.addr)
	}
	return lost
}

// recordForwarders stores the forwarders of a reply. a.mu must be held.
func (a *Agent) recordForwarders(reply *wire.RenewReply) {
	a.noLeaderSince = time.Time{}
	if len(reply.Forwarders) > 0 {
		a.forwarders = reply.Forwarders
	}
	a.forwardersVersion = reply.ForwardersVersion
}
