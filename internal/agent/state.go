package agent

import (
	"time"

	"github.com/citronrun/citronrun/internal/wire"
)

// State is the agent's part of the JSON state dump.
type State struct {
	Host         string                `json:"host"`
	BootID       string                `json:"boot"`
	LeaderAddr   string                `json:"leader"` // presumed leader
	LeaderTerm   uint64                `json:"leader_term"`
	ConfirmedAge float64               `json:"confirmed_s"` // seconds since the last successful renewal was sent; -1: never
	Revision     uint64                `json:"catalog_revision"`
	Draining     bool                  `json:"draining"`
	Routes       map[string]wire.Route `json:"routes"`
	Leases       map[string]LeaseState `json:"leases"`
}

// LeaseState describes a held lease.
type LeaseState struct {
	Epoch           uint64  `json:"epoch"`
	Term            uint64  `json:"term"`
	Primary         string  `json:"primary"`
	ElectionPending bool    `json:"elect"`
	Revoked         bool    `json:"revoked"`
	Remaining       float64 `json:"left_s"` // seconds until the lease expires
}

// State returns a copy of the agent's state. It contains no secrets.
func (a *Agent) State() any {
	now := a.Clock.Now()
	state := State{Host: a.Host, BootID: a.bootID, ConfirmedAge: -1, Leases: map[string]LeaseState{}}
	if at := a.lastRenewal.Load(); at != nil {
		state.ConfirmedAge = now.Sub(*at).Seconds()
	}
	state.Revision = revision(a.catalog.Load())
	state.Routes = *a.routes.Load()
	a.mu.Lock()
	defer a.mu.Unlock()
	state.LeaderAddr = a.leaderAddr
	state.LeaderTerm = a.leaderTerm
	state.Draining = a.draining
	for service, held := range a.serviceLeases.Leases() {
		g := a.grants[service]
		state.Leases[service] = LeaseState{
			Epoch: held.Epoch, Term: g.Term, Primary: g.Primary, ElectionPending: g.ElectionPending,
			Revoked: held.Revoked, Remaining: held.ExpiresAt.Sub(now).Round(time.Millisecond).Seconds(),
		}
	}
	return state
}
