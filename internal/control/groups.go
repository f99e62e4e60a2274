package control

import (
	"errors"
	"maps"

	"github.com/citronrun/citronrun/internal/placement"
	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/promotion"
)

// Group is the replicated record of a deployed service: its primary, its promotion orders and its
// targets. Values are immutable; a change replaces them.
type Group struct {
	Primary   string                 `cbor:"1,keyasint,omitempty"`
	Candidate string                 `cbor:"2,keyasint,omitempty"` // target of the pending promotion order; empty if none is pending
	Token     uint64                 `cbor:"3,keyasint,omitempty"` // fencing token of the last promotion order
	Members   map[string]GroupMember `cbor:"4,keyasint,omitempty"`
	// CandidateReceived is the log position of Candidate when it was chosen.
	CandidateReceived position.Position `cbor:"5,keyasint,omitzero"`
	Paused            bool              `cbor:"6,keyasint,omitempty"` // replicas may be paused by an inspection
	// Departed are the replicas that have left, or are lost, and may have had acknowledged commits that no member has
	// except the primary. They get no work.
	Departed map[string]GroupMember `cbor:"7,keyasint,omitempty"`
	// Contested is set while orders for other targets than Candidate may be carried out as well.
	Contested bool `cbor:"8,keyasint,omitempty"`
	// Restarted has the start time, in Unix ms, of replicas that have started again under their name, and hold nothing of
	// before. What an earlier process had acknowledged may be at no member except the primary.
	Restarted map[string]uint64 `cbor:"9,keyasint,omitempty"`
}

// GroupMember is a registered target of a deployed service.
type GroupMember struct {
	Addr      string `cbor:"1,keyasint"`
	Place     string `cbor:"2,keyasint"`
	Slots     int    `cbor:"3,keyasint"`
	StartedMs uint64 `cbor:"4,keyasint"`           // start time of the target process, Unix time in ms
	Leaving   bool   `cbor:"5,keyasint,omitempty"` // this process has reported that it is leaving
	// Released replicas are leaving and paused, and the others have received all that they have: they no longer count.
	Released bool `cbor:"6,keyasint,omitempty"`
}

// lostLogs returns the number of replicas that have gone with their logs, and still count in promotions.
func (g Group) lostLogs() int { return len(g.Departed) + len(g.Restarted) }

func (g Group) promotionRecord() promotion.Record {
	return promotion.Record{Primary: g.Primary, Candidate: g.Candidate, Token: g.Token, Contested: g.Contested}
}

// registerTarget adds a target to a deployed service, or updates its entry.
type registerTarget struct {
	Service string      `cbor:"1,keyasint"`
	Target  string      `cbor:"2,keyasint"`
	Member  GroupMember `cbor:"3,keyasint"`
}

// deregisterTarget removes a target unless a process that started after StartedMs has registered.
type deregisterTarget struct {
	Service   string `cbor:"1,keyasint"`
	Target    string `cbor:"2,keyasint"`
	StartedMs uint64 `cbor:"3,keyasint"`
}

// orderPromotion records the fencing token and the candidate of a promotion. It is committed before the
// order is sent.
type orderPromotion struct {
	LeaderTerm uint64 `cbor:"1,keyasint"` // consensus term of the proposer
	Service    string `cbor:"2,keyasint"`
	Token      uint64 `cbor:"3,keyasint"` // must be the recorded token plus one
	Target     string `cbor:"4,keyasint"` // the candidate

	Received position.Position `cbor:"5,keyasint,omitzero"` // log position of the candidate
	// Contested means that orders for other targets may be carried out, although none of them is pending.
	Contested bool `cbor:"6,keyasint,omitempty"`
	// PreviousRefused means that the pending order, if there is one, was refused: it will not be carried out.
	PreviousRefused bool `cbor:"7,keyasint,omitempty"`
}

// recordPromotion records the primary that resulted from a promotion order, the first primary of a deployed service, or
// a target that has become the primary without an order.
type recordPromotion struct {
	LeaderTerm uint64 `cbor:"1,keyasint"`
	Service    string `cbor:"2,keyasint"`
	Token      uint64 `cbor:"3,keyasint"` // must be the recorded token: that of the order, or 0 before the first order
	Target     string `cbor:"4,keyasint"` // the new primary
	// Succeeds is the recorded primary that Target has replaced without an order. Empty: Target results from the order.
	Succeeds string `cbor:"5,keyasint,omitempty"`
}

// assignHolder records the next holder of a target's lease. It is committed before the lease is granted.
type assignHolder struct {
	LeaderTerm uint64           `cbor:"1,keyasint"` // consensus term of the proposer
	Target     string           `cbor:"2,keyasint"`
	Holder     placement.Record `cbor:"3,keyasint"`
}

var errNewerProcess = errors.New("a target process with a later start time is registered")

// Group returns the record of a deployed service, or the zero value if there is none.
func (m *Machine) Group(service string) Group {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if g := m.groups[service]; g != nil {
		return *g
	}
	return Group{}
}

// Groups returns the records of all deployed services.
func (m *Machine) Groups() map[string]Group {
	m.mu.RLock()
	defer m.mu.RUnlock()
	groups := make(map[string]Group, len(m.groups))
	for name, g := range m.groups {
		groups[name] = *g
	}
	return groups
}

// HasTargetAddr reports whether a target of a deployed service has the address.
func (m *Machine) HasTargetAddr(addr string) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	for _, group := range m.groups {
		for _, member := range group.Members {
			if member.Addr == addr {
				return true
			}
		}
	}
	return false
}

// GroupNames returns the services that have a Group record, unordered.
func (m *Machine) GroupNames() []string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	names := make([]string, 0, len(m.groups))
	for name := range m.groups {
		names = append(names, name)
	}
	return names
}

// TargetHolders returns the recorded lease holder of each target.
func (m *Machine) TargetHolders() map[string]placement.Record {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return maps.Clone(m.targetHolders)
}

func (m *Machine) assignHolder(cmd *assignHolder) error {
	if cmd.LeaderTerm != m.leaderTerm || cmd.Holder.Epoch <= m.targetHolders[cmd.Target].Epoch {
		return errStale
	}
	m.targetHolders[cmd.Target] = cmd.Holder
	return nil
}

// editGroup returns a copy of a service's Group for modification, and a function that stores it.
func (m *Machine) editGroup(service string) (*Group, func()) {
	group := Group{}
	if old := m.groups[service]; old != nil {
		group = *old
	}
	group.Members = maps.Clone(group.Members)
	if group.Members == nil {
		group.Members = map[string]GroupMember{}
	}
	group.Departed = maps.Clone(group.Departed)
	group.Restarted = maps.Clone(group.Restarted)
	return &group, func() { m.groups[service] = &group }
}

// registerTarget also removes every other target that is registered with the same address, since an
// address belongs to the process that started last.
func (m *Machine) registerTarget(cmd *registerTarget) error {
	group, store := m.editGroup(cmd.Service)
	if old, ok := group.Members[cmd.Target]; ok && old.StartedMs > cmd.Member.StartedMs {
		return errNewerProcess
	}
	for service, otherGroup := range m.groups {
		for name, member := range otherGroup.Members {
			if member.Addr != cmd.Member.Addr || name == cmd.Target {
				continue
			}
			if member.StartedMs > cmd.Member.StartedMs {
				return errNewerProcess
			}
			if service != cmd.Service {
				m.deleteTarget(service, name)
				continue
			}
			delete(group.Members, name) // not departed: the process at its address has its log
			delete(m.targetHolders, name)
		}
	}
	member := cmd.Member
	member.Released = false
	if old := group.Members[cmd.Target]; old.StartedMs == member.StartedMs {
		member.Leaving = member.Leaving || old.Leaving // a late registration doesn't revoke it
		member.Released = old.Released
	}
	if group.restartsWithoutLog(cmd.Target, member.StartedMs) {
		if group.Restarted == nil {
			group.Restarted = map[string]uint64{}
		}
		group.Restarted[cmd.Target] = member.StartedMs
	}
	group.Members[cmd.Target] = member
	delete(group.Departed, cmd.Target)
	store()
	return nil
}

// restartsWithoutLog reports whether a process that started at startedMs takes the name of an earlier one whose log counts. It
// holds nothing of before. Only a primary comes back with its log.
func (g *Group) restartsWithoutLog(target string, startedMs uint64) bool {
	if target == g.Primary {
		return false
	}
	earlier, known := g.Departed[target]
	if member, isMember := g.Members[target]; isMember {
		earlier, known = member, !member.Released
	}
	return known && earlier.StartedMs != 0 && earlier.StartedMs < startedMs
}

// deleteTarget removes a target and its recorded holder. A replica is recorded as departed unless it was released.
func (m *Machine) deleteTarget(service, target string) {
	group, store := m.editGroup(service)
	if target != group.Primary && !group.Members[target].Released {
		if group.Departed == nil {
			group.Departed = map[string]GroupMember{}
		}
		group.Departed[target] = group.Members[target]
	}
	delete(group.Members, target)
	delete(m.targetHolders, target)
	store()
}

func (m *Machine) deregisterTarget(cmd *deregisterTarget) error {
	group, _ := m.editGroup(cmd.Service)
	member, ok := group.Members[cmd.Target]
	if !ok {
		return errNotTargetOfService
	}
	if member.StartedMs > cmd.StartedMs {
		return errNewerProcess
	}
	m.deleteTarget(cmd.Service, cmd.Target)
	return nil
}

func (m *Machine) orderPromotion(cmd *orderPromotion) error {
	group, store := m.editGroup(cmd.Service)
	if cmd.LeaderTerm != m.leaderTerm || cmd.Token != group.Token+1 {
		return errStale
	}
	replacesOther := group.Candidate != "" && group.Candidate != cmd.Target && !cmd.PreviousRefused
	group.Contested = group.Contested || cmd.Contested || replacesOther
	group.Token = cmd.Token
	group.Candidate, group.CandidateReceived = cmd.Target, cmd.Received
	store()
	return nil
}

func (m *Machine) recordPromotion(cmd *recordPromotion) error {
	group, store := m.editGroup(cmd.Service)
	if cmd.LeaderTerm != m.leaderTerm || cmd.Token != group.Token {
		return errStale
	}
	_, isMember := group.Members[cmd.Target]
	isFirst := group.Primary == ""
	succeeds := cmd.Succeeds != "" && cmd.Succeeds == group.Primary && isMember
	if group.Candidate == "" && !isFirst && !succeeds || group.Candidate != "" && cmd.Target != group.Candidate {
		return errStale
	}
	for target, member := range group.Members { // a promotion ends all pauses
		member.Released = false
		group.Members[target] = member
	}
	group.Primary = cmd.Target
	group.Candidate, group.CandidateReceived, group.Contested = "", position.Position{}, false
	store()
	return nil
}
