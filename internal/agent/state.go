package agent

import (
	"time"

	"github.com/citronrun/citronrun/internal/wire"
)

// State is what State returns, for a state dump as JSON.
type State struct {
	Host         string                `json:"host"`
	BootID       string                `json:"boot"`
	Leader       string                `json:"leader"`
	LeaderTerm   uint64                `json:"leader_term"`
	ConfirmedAge float64               `json:"confirmed_s"` // -1: never
	Revision     uint64                `json:"catalog_revision"`
	Draining     bool                  `json:"draining"`
	Routes       map[string]wire.Route `json:"routes"`
	Leases       map[string]LeaseState `json:"leases"`
}

// LeaseState describes a held lease.
type LeaseState struct {
	Epoch     uint64  `json:"epoch"`
	Term      uint64  `json:"term"`
	Primary   string  `json:"primary"`
	Elect     bool    `json:"elect"`
	Revoked   bool    `json:"revoked"`
	Remaining float64 `json:"left_s"`
}

// State returns a copy of the agent's state. It contains no keys.
func (a *Agent) State() any {
	now := a.Clock.Now()
	st := State{Host: a.Host, BootID: a.boot, ConfirmedAge: -1, Leases: map[string]LeaseState{}}
	if at := a.confirmed.Load(); at != nil {
		st.ConfirmedAge = now.Sub(*at).Seconds()
	}
	st.Revision = revision(a.catalog.Load())
	st.Routes = *a.routes.Load()
	a.mu.Lock()
	defer a.mu.Unlock()
	st.Leader = a.leaderAddr
	st.LeaderTerm = a.leaderTerm
	st.Draining = a.draining
	for service, held := range a.holder.Leases() {
		g := a.grants[service]
		st.Leases[service] = LeaseState{
			Epoch: held.Epoch, Term: g.Term, Primary: g.Primary, Elect: g.ElectionPending,
			Revoked: held.Revoked, Remaining: held.ExpiresAt.Sub(now).Round(time.Millisecond).Seconds(),
		}
	}
	return st
}
