package control

import (
	"errors"
	"fmt"
	"maps"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/lease"
	"github.com/citronrun/citronrun/internal/pack"
	"github.com/citronrun/citronrun/internal/wire"
)

// command is an entry of the replicated log; exactly one field is set.
type command struct {
	Barrier *barrier        `cbor:"1,keyasint,omitempty"`
	Change  *catalog.Change `cbor:"2,keyasint,omitempty"`
	Assign  *assign         `cbor:"3,keyasint,omitempty"`
	Elect   *elect          `cbor:"4,keyasint,omitempty"`
	Record  *record         `cbor:"5,keyasint,omitempty"`
	Join    *join           `cbor:"6,keyasint,omitempty"`
	Forget  *forget         `cbor:"7,keyasint,omitempty"`

	Register   *register   `cbor:"8,keyasint,omitempty"`
	Unregister *unregister `cbor:"9,keyasint,omitempty"`
	Order      *order      `cbor:"10,keyasint,omitempty"`
	Outcome    *outcome    `cbor:"11,keyasint,omitempty"`
	Seat       *seat       `cbor:"12,keyasint,omitempty"`
}

// barrier is the first command of a leader. It must be applied before the leader acts. Afterwards
// the machine refuses commands of earlier leaders, whose lease tables are outdated: such a command
// may be appended late, when its proposer has become leader again.
type barrier struct {
	Term uint64 `cbor:"1,keyasint"` // consensus term
}

// assign makes a host the owner in the epoch after From.
type assign struct {
	Leader  uint64 `cbor:"1,keyasint"` // consensus term of the proposer
	Service string `cbor:"2,keyasint"`
	From    uint64 `cbor:"3,keyasint"` // epoch whose lease has ended
	Host    string `cbor:"4,keyasint"`
	Boot    string `cbor:"5,keyasint"`
	Addr    string `cbor:"6,keyasint"`
	Term    uint64 `cbor:"7,keyasint"`
	Elect   bool   `cbor:"8,keyasint"`
}

// elect orders an election by the owner.
type elect struct {
	Leader  uint64 `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Epoch   uint64 `cbor:"3,keyasint"`
	Term    uint64 `cbor:"4,keyasint"` // above the recorded one
	Prefer  string `cbor:"5,keyasint"`
}

// record notes the outcome of the pending election of Term.
type record struct {
	Leader  uint64 `cbor:"1,keyasint"`
	Service string `cbor:"2,keyasint"`
	Epoch   uint64 `cbor:"3,keyasint"`
	Term    uint64 `cbor:"4,keyasint"`
	Primary string `cbor:"5,keyasint"`
}

// join makes a target a member of a service, or updates its address and place.
type join struct {
	Service string `cbor:"1,keyasint"`
	Target  string `cbor:"2,keyasint"`
	Member  Member `cbor:"3,keyasint"`
}

// forget removes a member that won't return.
type forget struct {
	Service string `cbor:"1,keyasint"`
	Target  string `cbor:"2,keyasint"`
}

var (
	errStale   = errors.New("the command builds on an outdated state")
	errService = errors.New("no such service")
	errFull    = errors.New("the service already has all its databases")
	errElse    = errors.New("the target belongs to another service")
	errPrimary = errors.New("the target is the primary")
	errMember  = errors.New("no such target in the service")
)

// Apply applies the log entry at index. It returns a catalog.Result for a change, else nil or an
// error that says why the command had no effect.
func (m *Machine) Apply(index uint64, data []byte) any {
	var c command
	data, err := pack.Decompress(data, wire.MaxSnapshotBytes)
	if err != nil {
		return fmt.Errorf("unpack command: %w", err)
	}
	if err := wire.Unmarshal(data, &c); err != nil {
		return fmt.Errorf("decode command: %w", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.Change != nil {
		return m.change(*c.Change)
	}
	if err := m.apply(index, c); err != nil {
		return err
	}
	return nil
}

func (m *Machine) apply(index uint64, c command) error {
	switch {
	case c.Barrier != nil:
		m.leaderTerm = max(m.leaderTerm, c.Barrier.Term)
		return nil
	case c.Assign != nil:
		return m.assign(index, c.Assign)
	case c.Elect != nil:
		return m.elect(c.Elect)
	case c.Record != nil:
		return m.record(c.Record)
	case c.Join != nil:
		return m.join(c.Join)
	case c.Forget != nil:
		return m.forget(c.Forget)
	case c.Register != nil:
		return m.register(c.Register)
	case c.Unregister != nil:
		return m.unregister(c.Unregister)
	case c.Order != nil:
		return m.order(c.Order)
	case c.Outcome != nil:
		return m.outcome(c.Outcome)
	case c.Seat != nil:
		return m.seat(c.Seat)
	default:
		return errors.New("command is empty or of a newer version")
	}
}

func (m *Machine) change(change catalog.Change) any {
	result := m.config.Apply(change)
	if result.Revision == m.view.Catalog.Revision {
		return result
	}
	if err := m.refresh(); err != nil {
		return err
	}
	return result
}

// edit returns a copy of a service's state to change, and a function that stores it.
func (m *Machine) edit(name string) (*Service, func()) {
	s := Service{}
	if old := m.services[name]; old != nil {
		s = *old
	}
	return &s, func() { m.services[name] = &s }
}

func (m *Machine) assign(index uint64, a *assign) error {
	s, store := m.edit(a.Service)
	if a.Leader != m.leaderTerm || a.From != s.Owner.Epoch || a.Term < s.Term {
		return errStale
	}
	s.Owner = lease.Owner{Host: a.Host, BootID: a.Boot, Epoch: a.From + 1}
	s.Addr = a.Addr
	s.OwnerChangeIndex = index
	if a.Elect {
		if a.Term == s.Term {
			return errStale
		}
		s.Primary, s.PreferredTarget = "", ""
		s.ElectionPending = true
		s.Term = a.Term
	}
	m.routes = index
	store()
	return nil
}

func (m *Machine) elect(e *elect) error {
	s, store := m.edit(e.Service)
	if e.Leader != m.leaderTerm || e.Epoch != s.Owner.Epoch || e.Term <= s.Term {
		return errStale
	}
	s.Term = e.Term
	s.Primary = ""
	s.PreferredTarget = e.Prefer
	s.ElectionPending = true
	store()
	return nil
}

func (m *Machine) record(r *record) error {
	s, store := m.edit(r.Service)
	if r.Leader != m.leaderTerm || r.Epoch != s.Owner.Epoch || r.Term != s.Term || !s.ElectionPending {
		return errStale
	}
	s.Primary = r.Primary
	s.PreferredTarget = ""
	s.ElectionPending = false
	store()
	return nil
}

func (m *Machine) join(j *join) error {
	config, ok := m.view.Catalog.Services[j.Service]
	if !ok {
		return errService
	}
	if other := m.serviceOf(j.Target); other != "" && other != j.Service {
		return errElse
	}
	s, store := m.edit(j.Service)
	if _, ok := s.Members[j.Target]; !ok && len(s.Members) >= config.Databases {
		return errFull
	}
	s.Members = maps.Clone(s.Members)
	if s.Members == nil {
		s.Members = map[string]Member{}
	}
	s.Members[j.Target] = j.Member
	store()
	return nil
}

// forget refuses to remove the primary: acknowledged writes may be nowhere else yet.
func (m *Machine) forget(f *forget) error {
	s, store := m.edit(f.Service)
	if _, ok := s.Members[f.Target]; !ok {
		return errMember
	}
	if s.Primary == f.Target {
		return errPrimary
	}
	s.Members = maps.Clone(s.Members)
	delete(s.Members, f.Target)
	store()
	return nil
}
