package control

import (
	"maps"
	"slices"
	"time"

	"github.com/citronrun/citronrun/internal/position"
)

// Status is the leader's view of the cluster, shown to operators as JSON.
type Status struct {
	Leader   string                   `json:"leader"`
	Term     uint64                   `json:"consensus_term"`
	Revision uint64                   `json:"catalog_revision"`
	Hosts    map[string]HostStatus    `json:"hosts"`
	Services map[string]ServiceStatus `json:"services"`          // catalog services
	Members  any                      `json:"members,omitempty"` // consensus members

	Deployment uint64                 `json:"deployment_version,omitempty"`
	Groups     map[string]GroupStatus `json:"groups,omitempty"` // deployed services

	EmptiedPlaces []string `json:"emptied_places,omitempty"`
}

// GroupStatus describes a deployed service.
type GroupStatus struct {
	Primary   string                       `json:"primary"`
	Candidate string                       `json:"candidate,omitempty"` // target of the pending promotion order
	Token     uint64                       `json:"token"`               // fencing token of the last promotion order
	Phase     string                       `json:"phase"`
	Targets   map[string]GroupTargetStatus `json:"targets"`
	Departed  []string                     `json:"departed,omitempty"`  // targets that have gone and still count in promotions
	Restarted []string                     `json:"restarted,omitempty"` // targets whose earlier processes still count in promotions
	Paused    bool                         `json:"paused,omitempty"`    // replicas may be paused by an inspection
}

// GroupTargetStatus describes a target of a deployed service.
type GroupTargetStatus struct {
	Addr      string  `json:"addr"`
	Place     string  `json:"place"`
	Holder    string  `json:"holder,omitempty"`
	Leaving   bool    `json:"leaving,omitempty"`
	SilentFor float64 `json:"silent_s"` // seconds since its latest registration at this leader; -1: none yet
}

// HostStatus describes a host that has sent a renewal to this leader.
type HostStatus struct {
	Place     string  `json:"place"`
	Addr      string  `json:"addr"`
	Entry     bool    `json:"entry"`
	Draining  bool    `json:"draining"`
	SilentFor float64 `json:"silent_s"` // seconds since its latest renewal
	Revision  uint64  `json:"catalog_revision"`
	Services  int     `json:"services"`
}

// ServiceStatus describes a catalog service.
type ServiceStatus struct {
	Owner   string                  `json:"owner"`
	Epoch   uint64                  `json:"epoch"`
	Term    uint64                  `json:"term"`
	Primary string                  `json:"primary"`
	Phase   string                  `json:"phase"`
	Targets map[string]TargetStatus `json:"targets"`
}

// TargetStatus describes a target of a catalog service by its announcements and its owner's reports.
type TargetStatus struct {
	Addr      string            `json:"addr"`
	Place     string            `json:"place"`
	Leaving   bool              `json:"leaving"`
	Role      string            `json:"role,omitempty"`
	Received  position.Position `json:"received"`
	Applied   position.Position `json:"applied"`
	SilentFor float64           `json:"silent_s"` // seconds without a response to the owner, as of its latest report; 0 without a report
}

// Status returns the leader's view. On other consensus members it contains the replicated records only:
// Leader and Term are zero, Hosts is empty, and phases, Leaving and SilentFor carry no information.
func (s *Server) Status() Status {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	status := Status{
		Revision: s.Machine.Catalog().Catalog.Revision,
		Hosts:    map[string]HostStatus{},
		Services: map[string]ServiceStatus{},
	}
	view := s.Machine.Catalog()
	status.EmptiedPlaces = view.Catalog.EmptiedPlaces()
	if s.Members != nil {
		status.Members = s.Members.Status()
	}
	leader := s.leader
	if leader == nil {
		leader = newLeaderState(now, 0, false)
	} else {
		status.Leader = s.Name
		status.Term = leader.term
	}
	owned := leader.servicesByOwner(s.Machine)
	for name, h := range leader.hosts {
		status.Hosts[name] = HostStatus{
			Place: h.place, Addr: h.addr, Entry: h.entry, Draining: h.draining || leader.drainRequests[name] == h.bootID,
			SilentFor: now.Sub(h.renewedAt).Seconds(), Revision: h.catalogRevision, Services: len(owned[name]),
		}
	}
	for _, name := range s.Machine.ServiceNames() {
		status.Services[name] = s.serviceStatus(leader, now, name)
	}
	if d := s.Machine.Catalog().Catalog.Deployment; d != nil {
		status.Deployment = d.Version
		status.Groups = map[string]GroupStatus{}
		for _, name := range s.Machine.GroupNames() {
			status.Groups[name] = s.groupStatus(leader, now, name)
		}
	}
	return status
}

func (s *Server) groupStatus(leader *leaderState, now time.Time, service string) GroupStatus {
	record := s.Machine.Group(service)
	status := GroupStatus{
		Primary: record.Primary, Candidate: record.Candidate, Token: record.Token,
		Phase: leader.groupState(now, service).promotion.State(), Targets: map[string]GroupTargetStatus{},
		Departed: slices.Sorted(maps.Keys(record.Departed)), Restarted: slices.Sorted(maps.Keys(record.Restarted)), Paused: record.Paused,
	}
	for target, member := range record.Members {
		t := GroupTargetStatus{Addr: member.Addr, Place: member.Place, Leaving: !leader.leavingSince(target).IsZero(), SilentFor: -1}
		if r := leader.registrations[target]; r != nil {
			t.SilentFor = now.Sub(r.receivedAt).Seconds()
		}
		if targetLease := leader.targetLeases.Lease(target); targetLease != nil {
			t.Holder = targetLease.Host
		}
		status.Targets[target] = t
	}
	return status
}

func (s *Server) serviceStatus(leader *leaderState, now time.Time, service string) ServiceStatus {
	record := s.Machine.Service(service)
	svc := leader.serviceState(now, service, record)
	status := ServiceStatus{
		Owner: record.Owner.Host, Epoch: record.Owner.Epoch, Term: record.Term, Primary: record.Primary,
		Phase: svc.failover.Phase().String(), Targets: map[string]TargetStatus{},
	}
	for _, info := range leader.targetInfos(now, record, func(string) map[string]string { return nil }) {
		status.Targets[info.Target] = TargetStatus{Addr: info.Addr, Place: info.Place, Leaving: info.Leaving}
	}
	if svc.report == nil || svc.reportedBy != record.Owner {
		return status
	}
	for _, r := range svc.report.Targets {
		if t, ok := status.Targets[r.Target]; ok {
			t.Role, t.Received, t.Applied, t.SilentFor = r.Role, r.Received, r.Applied, r.SilentFor.Seconds()
			status.Targets[r.Target] = t
		}
	}
	return status
}
