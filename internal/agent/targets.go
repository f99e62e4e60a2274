package agent

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronrun/citronrun/internal/pack"
	"github.com/citronrun/citronrun/internal/placement"
	"github.com/citronrun/citronrun/internal/wire"
)

// TargetLease is a host's lease of one target.
type TargetLease struct {
	wire.TargetGrant
	ExpiresAt time.Time // end of the lease's validity, exclusive
	Revoked   bool      // no longer renewed, but valid until ExpiresAt: running work may finish, no new work may start
}

// TargetTable is an immutable table of the routes to all targets.
type TargetTable struct {
	byTarget  map[string]wire.TargetRoute
	byService map[string][]wire.TargetRoute
	holders   map[string]bool // addresses of the hosts that hold a target
}

// IsHolder reports whether the host at an address holds a target.
func (t *TargetTable) IsHolder(addr string) bool { return t.holders[addr] }

// Service returns the routes to the targets of a service. The slice must not be changed.
func (t *TargetTable) Service(name string) []wire.TargetRoute { return t.byService[name] }

// Target returns the route to one target.
func (t *TargetTable) Target(name string) (wire.TargetRoute, bool) {
	r, ok := t.byTarget[name]
	return r, ok
}

func newTargetTable(routes []wire.TargetRoute) *TargetTable {
	t := &TargetTable{byTarget: map[string]wire.TargetRoute{}, byService: map[string][]wire.TargetRoute{}, holders: map[string]bool{}}
	for _, r := range routes {
		if r.Holder != "" {
			t.holders[r.Addr] = true
		}
		t.byTarget[r.Target] = r
		t.byService[r.Service] = append(t.byService[r.Service], r)
	}
	return t
}

// with returns a table that has changed routes instead of those to the same targets, and none to the removed targets.
func (t *TargetTable) with(changed []wire.TargetRoute, removed []string) *TargetTable {
	byTarget := maps.Clone(t.byTarget)
	for _, r := range changed {
		byTarget[r.Target] = r
	}
	for _, target := range removed {
		delete(byTarget, target)
	}
	return newTargetTable(slices.Collect(maps.Values(byTarget)))
}

// targetState is the agent's view of target leases; Agent.mu guards it.
type targetState struct {
	held          map[string]*heldTarget
	returned      map[string]uint64 // by target: highest returned epoch
	routesVersion uint64            // version of the target routes, as counted by the leader of the current term
}

// heldTarget is a target lease and what the agent reports about it.
type heldTarget struct {
	lease             TargetLease
	mayRunPrimaryWork bool // work that needs the target as the primary may be running, even if the latest grant has Primary unset
}

// OnTargetLeases sets the function that is called, from the goroutine of Run, with all target leases after
// each change to them other than of their expiry. It must be called before Run.
func (a *Agent) OnTargetLeases(f func([]TargetLease)) { a.onTargetLeases = f }

// SetHealthSource sets the function that provides, for each renewal, the held targets that aren't healthy.
func (a *Agent) SetHealthSource(f func() []wire.TargetHealth) { a.targetHealth = f }

// Targets returns the routes to all targets.
func (a *Agent) Targets() *TargetTable { return a.targetRoutes.Load() }

// TargetValid reports whether work under a target lease may proceed: the lease of the given epoch hasn't
// expired. If primary is set, its grant must also name the target as the primary of the given term. TargetValid
// takes no lock.
func (a *Agent) TargetValid(target string, epoch uint64, primary bool, term uint64) bool {
	l, ok := (*a.targetLeases.Load())[target]
	if !ok || l.Epoch != epoch || !a.Clock.Now().Before(l.ExpiresAt) {
		return false
	}
	return !primary || l.Primary && l.Term == term
}

// ReturnTargetLease returns a target lease and triggers a renewal that reports it to the leader. No work
// may be running under the lease any more.
func (a *Agent) ReturnTargetLease(target string, epoch uint64) {
	a.mu.Lock()
	a.targets.returned[target] = max(a.targets.returned[target], epoch)
	if h := a.targets.held[target]; h != nil && h.lease.Epoch <= epoch {
		delete(a.targets.held, target)
	}
	a.publishTargetLeases()
	a.mu.Unlock()
	a.RenewNow()
}

// ReleasePrimary reports to the leader that no work that needs the target as the primary is running under a
// lease any more. It has no effect while the latest grant of the lease still has Primary set.
func (a *Agent) ReleasePrimary(target string, epoch uint64) {
	a.mu.Lock()
	if h := a.targets.held[target]; h != nil && h.lease.Epoch == epoch && !h.lease.Primary {
		h.mayRunPrimaryWork = false
	}
	a.mu.Unlock()
	a.RenewNow()
}

// publishTargetLeases makes the target leases visible to TargetValid. a.mu must be held.
func (a *Agent) publishTargetLeases() {
	leases := make(map[string]TargetLease, len(a.targets.held))
	for name, h := range a.targets.held {
		leases[name] = h.lease
	}
	a.targetLeases.Store(&leases)
}

// addTargetLeases adds the target leases to a renewal, with the fields by which the leader orders renewals (the
// sequence and the uptime) and the version of the known target routes. a.mu must be held.
func (a *Agent) addTargetLeases(req *wire.Renew, now time.Time) {
	a.sequence++
	req.Sequence = a.sequence
	req.Uptime = now.Sub(a.started)
	req.TargetsVersion = a.targets.routesVersion
	req.TargetChanges = true
	req.HostsVersion = a.hostsVersion
	for name, h := range a.targets.held {
		if !now.Before(h.lease.ExpiresAt) {
			continue // expired, so no work runs under it
		}
		req.Targets = append(req.Targets, wire.HeldTarget{Target: name, Epoch: h.lease.Epoch, Primary: h.mayRunPrimaryWork})
	}
}

// applyTargets applies the target grants and target routes of a reply. It reports whether anything but
// the expiry of a lease has changed. a.mu must be held.
func (a *Agent) applyTargets(sent time.Time, reply *wire.RenewReply) (changed bool) {
	routes, err := completeRoutes(reply)
	if err != nil {
		_ = level.Error(a.Logger).Log("msg", "routes not accepted", "err", err)
		reply.TargetsVersion = 0
	} else if reply.TargetsFull {
		a.targetRoutes.Store(newTargetTable(routes))
	}
	if len(reply.ChangedRoutes) > 0 || len(reply.RemovedTargets) > 0 {
		a.targetRoutes.Store(a.targetRoutes.Load().with(reply.ChangedRoutes, reply.RemovedTargets))
	}
	a.targets.routesVersion = reply.TargetsVersion
	expiresAt := sent.Add(placement.TTL)
	granted := map[string]bool{}
	for _, g := range reply.TargetGrants {
		h := a.targets.held[g.Target]
		if g.Epoch <= a.targets.returned[g.Target] || h != nil && g.Epoch < h.lease.Epoch {
			continue
		}
		isNew := h == nil || h.lease.Epoch != g.Epoch
		if isNew && a.draining || !isNew && h.lease.Revoked {
			continue
		}
		granted[g.Target] = true
		if isNew {
			h = &heldTarget{}
			a.targets.held[g.Target] = h
		}
		changed = changed || h.lease.TargetGrant != g
		h.lease.TargetGrant = g
		if expiresAt.After(h.lease.ExpiresAt) {
			h.lease.ExpiresAt = expiresAt
		}
		h.mayRunPrimaryWork = h.mayRunPrimaryWork || g.Primary
	}
	for name, h := range a.targets.held {
		if !granted[name] && !h.lease.Revoked {
			h.lease.Revoked = true
			changed = true
		}
	}
	a.publishTargetLeases()
	return changed
}

// completeRoutes returns the complete table of target routes of a reply that has one.
func completeRoutes(reply *wire.RenewReply) ([]wire.TargetRoute, error) {
	if len(reply.TargetTable) == 0 {
		return reply.TargetRoutes, nil
	}
	data, err := pack.Decompress(reply.TargetTable, wire.MaxSnapshotBytes)
	if err != nil {
		return nil, err
	}
	var routes []wire.TargetRoute
	err = wire.Unmarshal(data, &routes)
	return routes, err
}

// listTargetLeases returns all target leases. a.mu must be held.
func (a *Agent) listTargetLeases() []TargetLease {
	var out []TargetLease
	for _, h := range a.targets.held {
		out = append(out, h.lease)
	}
	return out
}

// controlAddrs returns the addresses of the known control hosts: first ControlSeeds, then further ones from
// the leader's replies. a.mu must be held.
func (a *Agent) controlAddrs() []string {
	all := slices.Clone(a.ControlSeeds)
	for _, addr := range a.advertisedControlAddrs {
		if !slices.Contains(all, addr) {
			all = append(all, addr)
		}
	}
	return all
}

// SetControlAddrs replaces ControlSeeds. The control hosts that the leader's replies have named are kept.
func (a *Agent) SetControlAddrs(addrs []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ControlSeeds = slices.Clone(addrs)
}

// ControlAddrs returns the addresses of all known control hosts.
func (a *Agent) ControlAddrs() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controlAddrs()
}

var errRegistrationRefused = errors.New("refused by the control leader")

// Register forwards a target's registration to the leader. It returns nil once the leader has recorded it, or
// has ignored it because it has recorded a later one.
func (a *Agent) Register(ctx context.Context, r wire.Registration) error {
	var reply wire.RegistrationReply
	err := a.callLeader(ctx, func(ctx context.Context, addr string) (redirect, error) {
		reply = wire.RegistrationReply{}
		err := a.Transport.Call(ctx, addr, wire.KindRegister, r, &reply)
		return redirect{reply.NotLeader, reply.LeaderAddr}, err
	})
	if err != nil {
		return fmt.Errorf("register target: %w", err)
	}
	if !reply.OK {
		return fmt.Errorf("register target: %w: %s", errRegistrationRefused, reply.Message)
	}
	return nil
}

// Deployment returns the source document of the latest deployment and its version. The read is
// linearizable: it reflects every deployment that was accepted before the call. Version 0 means that there is no
// deployment.
func (a *Agent) Deployment(ctx context.Context) (version uint64, source []byte, err error) {
	var reply wire.DeploymentReply
	err = a.callLeader(ctx, func(ctx context.Context, addr string) (redirect, error) {
		reply = wire.DeploymentReply{}
		err := a.Transport.Call(ctx, addr, wire.KindDeployment, wire.DeploymentQuery{}, &reply)
		return redirect{reply.NotLeader, reply.LeaderAddr}, err
	})
	if err != nil {
		return 0, nil, fmt.Errorf("read deployment: %w", err)
	}
	return reply.Version, reply.Source, nil
}
