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
	Candidate string                 `cbor:"2,keyasint,omitempty"` // of an order whose outcome isn't recorded
	Token     uint64                 `cbor:"3,keyasint,omitempty"` // fencing token of the last order
	Members   map[string]GroupMember `cbor:"4,keyasint,omitempty"`
}

// GroupMember is a registered target.
type GroupMember struct {
	Addr      string `cbor:"1,keyasint"`
	Place     string `cbor:"2,keyasint"`
	Slots     int    `cbor:"3,keyasint"`
	StartedMs uint64 `cbor:"4,keyasint"` // start of its process, Unix ms
}

func (g Group) record() promotion.Record {
	return promotion.Record{Primary: g.Primary, Candidate: g.Candidate, Token: g.Token}
}

// register makes a target a member of a group, or updates it.
type register struct {
	Service string      `cbor:"1,keyasint"`
	Target  string      `cbor:"2,keyasint"`
	Member  GroupMember `cbor:"3,keyasint"`
}

// unregister removes a target whose process of start Born, or an earlier one, has ended.
type unregister struct {
	Service string `cbor:"1,keyasint"`
	Target  string `cbor:"2,keyasint"`
	Born    uint64 `cbor:"3,keyasint"`
}

// order records the fencing token and the target of a promotion before it is ordered.
type order struct {
	Leader  uint64 `cbor:"1,keyasint"` // consensus term of the proposer
	Service string `cbor:"2,keyasint"`
	Token   uint64 `cbor:"3,keyasint"` // one above the recorded one
	Target  string `cbor:"4,keyasint"`
}

// outcome records the primary that an order has led to, or the first primary of a group.
type outcome struct {
	Leader  uint64 `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Token   uint64 `cbor:"3,keyasint"` // of the order; 0 for the first primary
	Target  string `cbor:"4,keyasint"`
}

// seat records the process that gets the lease of a target.
type seat struct {
	Leader uint64           `cbor:"1,keyasint"` // consensus term of the proposer
	Target string           `cbor:"2,keyasint"`
	Record placement.Record `cbor:"3,keyasint"`
}

var errNewer = errors.New("a later process of the target is registered")

// Group returns the state of the targets of a service; the zero value if nothing is recorded.
func (m *Machine) Group(service string) Group {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if g := m.groups[service]; g != nil {
		return *g
	}
	return Group{}
}

// Groups returns the services that have a recorded group, unordered.
func (m *Machine) Groups() []string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	names := make([]string, 0, len(m.groups))
	for name := range m.groups {
		names = append(names, name)
	}
	return names
}

// TargetHolders returns the recorded holders of targets.
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

// editGroup returns a copy of a group to change, and a function that stores it.
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

// register removes members that had the same address before: an address belongs to the process that
// was started last.
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
