package agent

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/citronrun/citronrun/internal/placement"
	"github.com/citronrun/citronrun/internal/wire"
)

// TargetLease is a host's lease of one target.
type TargetLease struct {
	wire.TargetGrant
	ExpiresAt time.Time // the lease is valid before
	Revoked   bool      // no longer renewed; running work may end until Until
}

// TargetTable holds the routes to targets by service. It is immutable.
type TargetTable struct {
	byTarget  map[string]wire.TargetRoute
	byService map[string][]wire.TargetRoute
}

// Service returns the routes to the targets of a service. The slice must not be changed.
func (t *TargetTable) Service(name string) []wire.TargetRoute { return t.byService[name] }

// Target returns the route to one target.
func (t *TargetTable) Target(name string) (wire.TargetRoute, bool) {
	r, ok := t.byTarget[name]
	return r, ok
}

func newTargetTable(routes []wire.TargetRoute) *TargetTable {
	t := &TargetTable{byTarget: map[string]wire.TargetRoute{}, byService: map[string][]wire.TargetRoute{}}
	for _, r := range routes {
		t.byTarget[r.Target] = r
		t.byService[r.Service] = append(t.byService[r.Service], r)
	}
	return t
}

// targetState is the agent's view of target leases; Agent.mu guards it.
type targetState struct {
	held     map[string]*heldTarget
	returned map[string]uint64 // highest epoch given back, by target
	version  uint64            // of the routes, in the leader's term
}

type heldTarget struct {
	lease      TargetLease
	hasPrimary bool // work that needs the primary may be running
}

// OnTargetLeases sets the function that is called with all target leases, from the goroutine of Run, after
// each change other than of their ends. It must be set before Run.
func (a *Agent) OnTargetLeases(f func([]TargetLease)) { a.onTargets = f }

// SetHealthSource sets the function that reports the held targets that aren't well, for each renewal.
func (a *Agent) SetHealthSource(f func() []wire.TargetHealth) { a.health = f }

// Targets returns the routes to all targets.
func (a *Agent) Targets() *TargetTable { return a.targetRoutes.Load() }

// TargetValid reports whether work under a target lease may go on, and with primary set whether that
// includes work that needs the primary in the given term. It takes no lock.
func (a *Agent) TargetValid(target string, epoch uint64, primary bool, term uint64) bool {
	l, ok := (*a.targetLeases.Load())[target]
	if !ok || l.Epoch != epoch || !a.Clock.Now().Before(l.ExpiresAt) {
		return false
	}
	return !primary || l.Primary && l.Term == term
}

// ReturnTargetLease gives a target lease back and tells the leader at once. No work may run under it any
// more.
func (a *Agent) ReturnTargetLease(target string, epoch uint64) {
	a.mu.Lock()
	a.targetView.returned[target] = max(a.targetView.returned[target], epoch)
	if h := a.targetView.held[target]; h != nil && h.lease.Epoch <= epoch {
		delete(a.targetView.held, target)
	}
	a.publishTargets()
	a.mu.Unlock()
	a.RenewNow()
}

// ReleasePrimary tells the leader that no work that needs the primary runs any more under a lease from
// which the leader has taken the primary back.
func (a *Agent) ReleasePrimary(target string, epoch uint64) {
	a.mu.Lock()
	if h := a.targetView.held[target]; h != nil && h.lease.Epoch == epoch && !h.lease.Primary {
		h.hasPrimary = false
	}
	a.mu.Unlock()
	a.RenewNow()
}

// publishTargets makes the leases visible to TargetValid. a.mu is held.
func (a *Agent) publishTargets() {
	leases := make(map[string]TargetLease, len(a.targetView.held))
	for name, h := range a.targetView.held {
		leases[name] = h.lease
	}
	a.targetLeases.Store(&leases)
}

// requestTargets fills in the part of a renewal that is about targets. a.mu is held.
func (a *Agent) requestTargets(req *wire.Renew, now time.Time) {
	a.sequence++
	req.Sequence = a.sequence
	req.Uptime = now.Sub(a.started)
	req.TargetsVersion = a.targetView.version
	for name, h := range a.targetView.held {
		if !now.Before(h.lease.ExpiresAt) {
			continue // expired: no work runs under it
		}
		req.Targets = append(req.Targets, wire.HeldTarget{Target: name, Epoch: h.lease.Epoch, Primary: h.hasPrimary})
	}
}

// takeTargets applies the target grants and routes of an answer. It reports whether a lease changed in
// more than its end. a.mu is held.
func (a *Agent) takeTargets(sent time.Time, reply *wire.RenewReply) (changed bool) {
	if reply.TargetsFull {
		a.targetRoutes.Store(newTargetTable(reply.TargetRoutes))
	}
	a.targetView.version = reply.TargetsVersion
	until := sent.Add(placement.TTL)
	granted := map[string]bool{}
	for _, g := range reply.TargetGrants {
		h := a.targetView.held[g.Target]
		if g.Epoch <= a.targetView.returned[g.Target] || h != nil && g.Epoch < h.lease.Epoch {
			continue
		}
		isNew := h == nil || h.lease.Epoch != g.Epoch
		if isNew && a.draining || !isNew && h.lease.Revoked {
			continue
		}
		granted[g.Target] = true
		if isNew {
			h = &heldTarget{}
			a.targetView.held[g.Target] = h
		}
		changed = changed || h.lease.TargetGrant != g
		h.lease.TargetGrant = g
		if until.After(h.lease.ExpiresAt) {
			h.lease.ExpiresAt = until
		}
		h.hasPrimary = h.hasPrimary || g.Primary
	}
	for name, h := range a.targetView.held {
		if !granted[name] && !h.lease.Revoked {
			h.lease.Revoked = true
			changed = true
		}
	}
	a.publishTargets()
	return changed
}

// leases returns all target leases. a.mu is held.
func (a *Agent) leasesOfTargets() []TargetLease {
	var out []TargetLease
	for _, h := range a.targetView.held {
		out = append(out, h.lease)
	}
	return out
}

// controls returns the addresses of the control hosts: those of the settings first, then those that
// a leader has named. a.mu is held.
func (a *Agent) controls() []string {
	all := slices.Clone(a.ControlSeeds)
	for _, addr := range a.learned {
		if !slices.Contains(all, addr) {
			all = append(all, addr)
		}
	}
	return all
}

// SetControlAddrs replaces the control hosts of the settings. Those that a leader has named are kept.
func (a *Agent) SetControlAddrs(addrs []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ControlSeeds = slices.Clone(addrs)
}

// ControlAddrs returns the addresses of all known control hosts.
func (a *Agent) ControlAddrs() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controls()
}

var errRefused = errors.New("the leader refused the request")

// Register passes on what a target says of itself. It returns nil once the leader has noted it.
func (a *Agent) Register(ctx context.Context, r wire.Registration) error {
	var reply wire.RegistrationReply
	err := a.ask(ctx, func(ctx context.Context, addr string) (referral, error) {
		reply = wire.RegistrationReply{}
		err := a.Transport.Call(ctx, addr, wire.KindRegister, r, &reply)
		return referral{reply.NotLeader, reply.LeaderAddr}, err
	})
	if err != nil {
		return fmt.Errorf("register target: %w", err)
	}
	if !reply.OK {
		return fmt.Errorf("register target: %w: %s", errRefused, reply.Message)
	}
	return nil
}

// Deployment returns the author's document of the newest deployment and its version, confirmed by a
// quorum after the call began. Version 0 means that there is none.
func (a *Agent) Deployment(ctx context.Context) (version uint64, source []byte, err error) {
	var reply wire.DeploymentReply
	err = a.ask(ctx, func(ctx context.Context, addr string) (referral, error) {
		reply = wire.DeploymentReply{}
		err := a.Transport.Call(ctx, addr, wire.KindDeployment, wire.DeploymentQuery{}, &reply)
		return referral{reply.NotLeader, reply.LeaderAddr}, err
	})
	if err != nil {
		return 0, nil, fmt.Errorf("read deployment: %w", err)
	}
	return reply.Version, reply.Source, nil
}
