package control

import (
	"time"

	"github.com/citronrun/citronrun/internal/position"
)

// Status is the leader's view for operators, encoded as JSON.
type Status struct {
	Leader   string                   `json:"leader"`
	Term     uint64                   `json:"consensus_term"`
	Revision uint64                   `json:"catalog_revision"`
	Hosts    map[string]HostStatus    `json:"hosts"`
	Services map[string]ServiceStatus `json:"services"`
	Members  any                      `json:"members,omitempty"`

	Deployment uint64                 `json:"deployment_version,omitempty"`
	Groups     map[string]GroupStatus `json:"groups,omitempty"` // deployed services
}

// GroupStatus describes a deployed service.
type GroupStatus struct {
	Primary   string                       `json:"primary"`
	Candidate string                       `json:"candidate,omitempty"` // of an order whose outcome isn't known
	Token     uint64                       `json:"token"`               // of the last order
	Phase     string                       `json:"phase"`
	Targets   map[string]GroupTargetStatus `json:"targets"`
}

// GroupTargetStatus describes a target of a deployed service.
type GroupTargetStatus struct {
	Addr      string  `json:"addr"`
	Place     string  `json:"place"`
	Holder    string  `json:"holder,omitempty"`
	Leaving   bool    `json:"leaving,omitempty"`
	SilentFor float64 `json:"silent_s"` // in its registrations at this leader; -1: none yet
}

// HostStatus describes a host that has renewed at this leader.
type HostStatus struct {
	Place     string  `json:"place"`
	Addr      string  `json:"addr"`
	Entry     bool    `json:"entry"`
	Draining  bool    `json:"draining"`
	SilentFor float64 `json:"silent_s"`
	Revision  uint64  `json:"catalog_revision"`
	Services  int     `json:"services"`
}

// ServiceStatus describes a service.
type ServiceStatus struct {
	Owner   string                  `json:"owner"`
	Epoch   uint64                  `json:"epoch"`
	Term    uint64                  `json:"term"`
	Primary string                  `json:"primary"`
	Phase   string                  `json:"phase"`
	Targets map[string]TargetStatus `json:"targets"`
}

// TargetStatus describes a member of a service, as announced and as its owner reports it.
type TargetStatus struct {
	Addr      string            `json:"addr"`
	Place     string            `json:"place"`
	Leaving   bool              `json:"leaving"`
	Role      string            `json:"role,omitempty"`
	Received  position.Position `json:"received"`
	Applied   position.Position `json:"applied"`
	SilentFor float64           `json:"silent_s"`
}

// Status returns the leader's view; only the replicated part is filled in elsewhere.
func (s *Server) Status() Status {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	st := Status{
		Revision: s.Machine.Catalog().Catalog.Revision,
		Hosts:    map[string]HostStatus{},
		Services: map[string]ServiceStatus{},
	}
	if s.Members != nil {
		st.Members = s.Members.Status()
	}
	lead := s.lead
	if lead == nil {
		lead = newLeader(now, 0, false)
	} else {
		st.Leader = s.Name
		st.Term = lead.term
	}
	owned := lead.ownedBy(s.Machine)
	for name, h := range lead.hosts {
		st.Hosts[name] = HostStatus{
			Place: h.place, Addr: h.addr, Entry: h.entry, Draining: h.draining || lead.drains[name] == h.boot,
			SilentFor: now.Sub(h.seen).Seconds(), Revision: h.revision, Services: len(owned[name]),
		}
	}
	for _, name := range s.Machine.ServiceNames() {
		st.Services[name] = s.serviceStatus(lead, now, name)
	}
	if d := s.Machine.Catalog().Catalog.Deployment; d != nil {
		st.Deployment = d.Version
		st.Groups = map[string]GroupStatus{}
		for _, name := range s.Machine.Groups() {
			st.Groups[name] = s.groupStatus(lead, now, name)
		}
	}
	return st
}

func (s *Server) groupStatus(lead *leader, now time.Time, name string) GroupStatus {
	state := s.Machine.Group(name)
	st := GroupStatus{
		Primary: state.Primary, Candidate: state.Candidate, Token: state.Token,
		Phase: lead.group(now, name).promotion.State(), Targets: map[string]GroupTargetStatus{},
	}
	for target, member := range state.Members {
		t := GroupTargetStatus{Addr: member.Addr, Place: member.Place, Leaving: !lead.leavingSince(target).IsZero(), SilentFor: -1}
		if r := lead.registered[target]; r != nil {
			t.SilentFor = now.Sub(r.seen).Seconds()
		}
		if seat := lead.seats.Lease(target); seat != nil {
			t.Holder = seat.Host
		}
		st.Targets[target] = t
	}
	return st
}

func (s *Server) serviceStatus(lead *leader, now time.Time, name string) ServiceStatus {
	state := s.Machine.Service(name)
	sv := lead.service(now, name, state)
	st := ServiceStatus{
		Owner: state.Owner.Host, Epoch: state.Owner.Epoch, Term: state.Term, Primary: state.Primary,
		Phase: sv.machine.Phase().String(), Targets: map[string]TargetStatus{},
	}
	for _, info := range lead.targetInfos(now, state, func(string) map[string]string { return nil }) {
		st.Targets[info.Target] = TargetStatus{Addr: info.Addr, Place: info.Place, Leaving: info.Leaving}
	}
	if sv.report == nil || sv.reportOf != state.Owner {
		return st
	}
	for _, r := range sv.report.Targets {
		if t, ok := st.Targets[r.Target]; ok {
			t.Role, t.Received, t.Applied, t.SilentFor = r.Role, r.Received, r.Applied, r.SilentFor.Seconds()
			st.Targets[r.Target] = t
		}
	}
	return st
}
