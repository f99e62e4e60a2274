package owner

import (
	"sort"

	"github.com/citronrun/citronrun/internal/wire"
)

// serviceDump is the debug dump of a service. The fault tests of internal/daemon match the names
// Active and Writers in the %+v text of the dump.
type serviceDump struct {
	Epoch    uint64              `json:"epoch"`
	Term     uint64              `json:"term"`
	AckTerm  uint64              `json:"ack_term"`
	Primary  string              `json:"primary"`
	Election string              `json:"election,omitempty"`
	Lease    bool                `json:"lease_valid"`
	Handover string              `json:"handover"`
	Active   int                 `json:"active"`
	Writers  int                 `json:"writers"`
	Waiting  int                 `json:"waiting_for_status"`
	Targets  []wire.TargetReport `json:"targets"`
	Load     map[string]int      `json:"load"`
}

func (s *service) dump() serviceDump {
	report := s.report()
	out := serviceDump{Epoch: s.epoch, Lease: s.leaseValid(), Targets: report.Targets, Load: map[string]int{}}
	for _, t := range report.Targets {
		out.Load[t.Target], _ = s.gate.Load(t.Target)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out.Term, out.AckTerm, out.Primary = s.group.Term, s.ackTerm, s.primary
	out.Handover, out.Active, out.Writers, out.Waiting = s.handover.State(), s.active, s.primaryTxs, s.statusWaiters
	if s.election != nil {
		out.Election = s.election.phase
	}
	return out
}

func sortReports(r []wire.TargetReport) {
	sort.Slice(r, func(i, j int) bool { return r[i].Target < r[j].Target })
}
