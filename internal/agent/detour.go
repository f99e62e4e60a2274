package agent

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/citronrun/citronrun/internal/relay"
	"github.com/citronrun/citronrun/internal/transport"
	"github.com/citronrun/citronrun/internal/wire"
)

// A host that reaches no control host, but other entry hosts, renews and borrows through one of them. Its callers are served
// as before, and its leases stay.

const (
	// detourAfter is the number of calls in a row, to control hosts that left them without any answer, after which another
	// entry host is asked. A lost leader alone is one such call.
	detourAfter = 2
	// directRetryInterval is the time between two direct calls while a detour is taken. Until one is found, direct calls
	// go on: control hosts that have restarted don't know the hosts that look for them.
	directRetryInterval = 2 * time.Second
	searchRetryInterval = 250 * time.Millisecond
)

// detourState is guarded by Agent.mu.
type detourState struct {
	unanswered int                  // calls to control hosts in a row without an answer
	triedAt    time.Time            // when a control host was last called directly without an answer, or is called now
	via        string               // address of the entry host through which control was reached; empty: none
	searches   int                  // number of entry hosts asked while via was empty
	refusedAt  map[string]time.Time // when entry hosts, by address, have last failed to forward a call
}

// detourAvoidance is how long an entry host that could not forward a call is not asked again. It stays in use as a relay and for
// admission.
const detourAvoidance = time.Second

// detourPatience bounds a call to an entry host. It acknowledges the call at once, however long it forwards it.
var detourPatience = transport.Patience{Silence: 150 * time.Millisecond, Limit: patientTimeout}

// detour returns the entry host to call instead of a control host, or "" if a control host should be called. Renewals
// alone look for a way and try the direct one again, so that no statement waits for a host that doesn't answer.
func (a *Agent) detour(now time.Time) string {
	holders := a.Targets().holders
	a.mu.Lock()
	d := &a.detours
	if !a.Detours || d.unanswered < detourAfter {
		a.mu.Unlock()
		return ""
	}
	interval := directRetryInterval
	if d.via == "" {
		interval = searchRetryInterval
	}
	if now.Sub(d.triedAt) >= interval {
		d.triedAt = now
		a.mu.Unlock()
		return ""
	}
	via, hosts := d.via, slices.Clone(a.hostAddrs)
	elsewhere := d.searches%2 == 1
	if via == "" {
		d.searches++
	}
	a.mu.Unlock()
	if via != "" {
		return via
	}
	connected := a.Transport.Connected
	if elsewhere { // a partition may have cut off the whole place
		here := hosts
		hosts = slices.DeleteFunc(slices.Collect(maps.Keys(holders)), func(addr string) bool { return slices.Contains(here, addr) })
		connected = func(string) bool { return true }
	}
	usable := func(host string) bool {
		if host == a.Addr || !connected(host) {
			return false
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		refusedAt, refused := a.detours.refusedAt[host]
		return !(refused && now.Sub(refusedAt) < detourAvoidance)
	}
	return relay.Choose(hosts, a.Addr, usable)
}

// recordUnansweredCall records that a control host, or the entry host of a detour, left a call without an answer.
func (a *Agent) recordUnansweredCall(to controlTarget) {
	now := a.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if to.detour {
		a.endDetour(now, to.addr)
		return
	}
	a.detours.unanswered++
	a.detours.triedAt = now
}

// recordAnsweredCall records an answer. leads means that it came from the leader.
func (a *Agent) recordAnsweredCall(to controlTarget, leads bool) {
	now := a.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case !to.detour:
		a.detours = detourState{}
	case leads:
		a.detours.via = to.addr
	default:
		a.endDetour(now, to.addr)
	}
}

// endDetour records that an entry host doesn't forward calls at present. a.mu must be held.
func (a *Agent) endDetour(now time.Time, addr string) {
	a.detours.via = ""
	if a.detours.refusedAt == nil {
		a.detours.refusedAt = map[string]time.Time{}
	}
	a.detours.refusedAt[addr] = now
}

// lostAfter is the number of calls in a row, to control hosts that left them without any answer, after which control counts as
// lost: about a second.
const lostAfter = 3

var errControlLost = errors.New("no control host answers")

// ControlLost reports whether this host knows no way to control: several control hosts have left calls without any answer, and
// no other entry host forwards them. While control hosts answer that they know no leader, control isn't lost.
func (a *Agent) ControlLost() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.detours.unanswered >= lostAfter && a.detours.via == ""
}

// knownControlTarget returns where to send a request that must not wait until a way to control has been found. It returns false
// while none is known.
func (a *Agent) knownControlTarget() (controlTarget, bool) {
	a.mu.Lock()
	search, via := a.Detours && a.detours.unanswered >= detourAfter, a.detours.via
	a.mu.Unlock()
	switch {
	case !search:
		return a.nextControlTarget(), true
	case via != "":
		return controlTarget{addr: via, forwards: true, detour: true}, true
	default:
		return controlTarget{}, false
	}
}

// searchesControl reports whether this host knows no way to control and looks for one.
func (a *Agent) searchesControl() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.Detours && a.detours.unanswered >= detourAfter && a.detours.via == ""
}

// takesDetours reports whether this host asks other entry hosts because control hosts don't answer.
func (a *Agent) takesDetours() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.Detours && a.detours.unanswered >= detourAfter
}

// forwardTarget returns where this host forwards a call of another host that has taken a number of detours before, or false
// if it reaches no control host.
func (a *Agent) forwardTarget(detours uint8) (controlTarget, bool) {
	to, ok := a.knownControlTarget()
	return to, ok && (!to.detour || detours == 0)
}

// serveDetour forwards a renewal or a request for tokens of another host to the leader. The stream is reset if this host can't.
// header returns the fields of a request that say who sent it and how; finish completes a reply.
func serveDetour[Req, Reply any](a *Agent, kind wire.Kind, header func(*Req) detourHeader, finish func(reply *Reply, to controlTarget)) transport.Handler {
	return func(ctx context.Context, peer string, s transport.Stream) {
		var req Req
		if err := wire.Read(s, &req, wire.MaxMessageBytes); err != nil {
			s.Reset()
			return
		}
		h := header(&req)
		// With detours before this one, the sender is another entry host than the one that renews.
		if !*h.forward || *h.detours == 0 && h.host != peer {
			s.Reset()
			return
		}
		to, ok := a.forwardTarget(*h.detours)
		if !ok {
			s.Reset()
			return
		}
		if to.detour {
			*h.detours++
		}
		*h.forward = to.asksToForward()
		var reply Reply
		if err := a.callControl(ctx, to, kind, &req, &reply); err != nil {
			s.Reset()
			return
		}
		finish(&reply, to)
		if err := wire.Write(s, reply); err != nil {
			s.Reset()
		}
	}
}

// detourHeader is the part of a request that serveDetour reads and changes.
type detourHeader struct {
	host    string
	forward *bool
	detours *uint8
}

// handleDetours registers the handlers for other hosts' detours.
func (a *Agent) handleDetours() {
	a.Transport.Handle(wire.KindRenew, serveDetour(a, wire.KindRenew,
		func(req *wire.Renew) detourHeader { return detourHeader{req.Host, &req.Forward, &req.Detours} },
		func(reply *wire.RenewReply, to controlTarget) {
			if reply.LeaderAddr == "" && !reply.NotLeader {
				reply.LeaderAddr = to.addr
			}
		}))
	a.Transport.Handle(wire.KindBorrow, serveDetour(a, wire.KindBorrow,
		func(req *wire.Borrow) detourHeader { return detourHeader{req.Host, &req.Forward, &req.Detours} },
		func(*wire.TokenGrant, controlTarget) {}))
}
