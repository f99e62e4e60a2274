package control

import (
	"errors"
	"maps"

	"github.com/citronrun/citronrun/internal/placement"
	"github.com/citronrun/citronrun/internal/promotion"
)

// Group is the replicated state of the targets of a deployed service. Values are immutable; a change
// replaces them.
type Group struct {
	Primary   string                 `cbor:"1,keyasint,omitempty"`
	Candidate string                 `cbor:"2,keyasint,omitempty"` // target of the pending promotion order; empty if none is pending
	Token     uint64                 `cbor:"3,keyasint,omitempty"` // fencing token of the last promotion order
	Members   map[string]GroupMember `cbor:"4,keyasint,omitempty"`
}

// GroupMember is a registered target.
type GroupMember struct {
	Addr      string `cbor:"1,keyasint"`
	Place     string `cbor:"2,keyasint"`
	Slots     int    `cbor:"3,keyasint"`
	StartedMs uint64 `cbor:"4,keyasint"` // start time of the target process, Unix time in ms
}

func (g Group) record() promotion.Record {
	return promotion.Record{Primary: g.Primary, Candidate: g.Candidate, Token: g.Token}
}

// registerTarget makes a target a member of a group, or updates its entry.
type register struct {
	Service string      `cbor:"1,keyasint"`
	Target  string      `cbor:"2,keyasint"`
	Member  GroupMember `cbor:"3,keyasint"`
}

// unregisterTarget removes a target unless a process that started after StartedMs has registered.
type unregister struct {
	Service string `cbor:"1,keyasint"`
	Target  string `cbor:"2,keyasint"`
	Born    uint64 `cbor:"3,keyasint"`
}

// orderPromotion records the fencing token and the target of a promotion. It is committed before the
// order is sent.
type order struct {
	Leader  uint64 `cbor:"1,keyasint"` // consensus term of the proposer
	Service string `cbor:"2,keyasint"`
	Token   uint64 `cbor:"3,keyasint"` // must be the recorded token plus one
	Target  string `cbor:"4,keyasint"`
}

// recordPromotion records the primary that resulted from a promotion order, or the first primary of a
// group.
type outcome struct {
	Leader  uint64 `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Token   uint64 `cbor:"3,keyasint"` // recorded token: that of the order; 0 before the first order
	Target  string `cbor:"4,keyasint"`
}

// assignTarget records the process that is about to receive the lease of a target as its holder.
type seat struct {
	Leader uint64           `cbor:"1,keyasint"` // consensus term of the proposer
	Target string           `cbor:"2,keyasint"`
	Record placement.Record `cbor:"3,keyasint"`
}

var errNewer = errors.New("a target process with a later start time is registered")

// Group returns the state of a service's group, or the zero value if none is recorded.
func (m *Machine) Group(service string) Group {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if g := m.groups[service]; g != nil {
		return *g
	}
	return Group{}
}

// GroupNames returns the services that have a recorded group, unordered.
func (m *Machine) Groups() []string {
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
	return maps.Clone(m.seats)
}

func (m *Machine) seat(s *seat) error {
	if s.Leader != m.leaderTerm || s.Record.Epoch <= m.seats[s.Target].Epoch {
		return errStale
	}
	m.seats[s.Target] = s.Record
	return nil
}

// editGroup returns a copy of a group for modification, and a function that stores it.
func (m *Machine) editGroup(service string) (*Group, func()) {
	g := Group{}
	if old := m.groups[service]; old != nil {
		g = *old
	}
	g.Members = maps.Clone(g.Members)
	if g.Members == nil {
		g.Members = map[string]GroupMember{}
	}
	return &g, func() { m.groups[service] = &g }
}

// registerTarget also removes every other target registered at the same address: the address belongs to the
// process that started last.
func (m *Machine) register(r *register) error {
	g, store := m.editGroup(r.Service)
	if old, ok := g.Members[r.Target]; ok && old.StartedMs > r.Member.StartedMs {
		return errNewer
	}
	for service, other := range m.groups {
		for name, member := range other.Members {
			if member.Addr != r.Member.Addr || name == r.Target {
				continue
			}
			if member.StartedMs > r.Member.StartedMs {
				return errNewer
			}
			if service != r.Service {
				m.drop(service, name)
				continue
			}
			delete(g.Members, name)
			delete(m.seats, name)
		}
	}
	g.Members[r.Target] = r.Member
	store()
	return nil
}

func (m *Machine) drop(service, target string) {
	g, store := m.editGroup(service)
	delete(g.Members, target)
	delete(m.seats, target)
	store()
}

func (m *Machine) unregister(u *unregister) error {
	g, _ := m.editGroup(u.Service)
	member, ok := g.Members[u.Target]
	if !ok {
		return errMember
	}
	if member.StartedMs > u.Born {
		return errNewer
	}
	m.drop(u.Service, u.Target)
	return nil
}

func (m *Machine) order(o *order) error {
	g, store := m.editGroup(o.Service)
	if o.Leader != m.leaderTerm || o.Token != g.Token+1 {
		return errStale
	}
	g.Token = o.Token
	g.Candidate = o.Target
	store()
	return nil
}

func (m *Machine) outcome(o *outcome) error {
	g, store := m.editGroup(o.Service)
	first := g.Primary == "" && g.Candidate == "" && o.Token == g.Token
	if o.Leader != m.leaderTerm || !first && (o.Token != g.Token || o.Target != g.Candidate) {
		return errStale
	}
	g.Primary = o.Target
	g.Candidate = ""
	store()
	return nil
}
