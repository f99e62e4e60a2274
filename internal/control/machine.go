// Package control is the work of the control leader on top of a replicated log: it answers
// renewals, assigns owners, grants leases, lends rate tokens and decides on failover.
//
// Machine is the replicated state. Server holds the volatile tables of the leader, which live for
// one consensus term.
package control

import (
	"fmt"
	"sync"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/lease"
	"github.com/citronrun/citronrun/internal/pack"
	"github.com/citronrun/citronrun/internal/placement"
	"github.com/citronrun/citronrun/internal/wire"
)

// Configuration is the state machine of the catalog.
type Configuration interface {
	Apply(catalog.Change) catalog.Result
	Catalog() catalog.Catalog
	Encode() ([]byte, error)
}

// DecodeFunc reads what Configuration.Encode returned.
type DecodeFunc func([]byte) (Configuration, error)

// Service is the replicated state of a service. Values are immutable; a change replaces them.
type Service struct {
	Owner            lease.Owner       `cbor:"1,keyasint"`
	Addr             string            `cbor:"2,keyasint"` // QUIC address of the owner
	Term             uint64            `cbor:"3,keyasint"`
	Primary          string            `cbor:"4,keyasint"`
	ElectionPending  bool              `cbor:"5,keyasint"` // the owner is to promote a target at Term
	PreferredTarget  string            `cbor:"6,keyasint"` // for Elect
	Members          map[string]Member `cbor:"7,keyasint"`
	OwnerChangeIndex uint64            `cbor:"8,keyasint"` // log index of the last change of owner
}

// Member is a target that belongs to a service.
type Member struct {
	Addr  string `cbor:"1,keyasint"`
	Place string `cbor:"2,keyasint"`
}

// Machine is the replicated state machine. Apply is deterministic. It is safe for concurrent use.
type Machine struct {
	mu         sync.RWMutex
	config     Configuration
	decode     DecodeFunc
	services   map[string]*Service
	groups     map[string]*Group           // by service
	seats      map[string]placement.Record // by target
	leaderTerm uint64
	routes     uint64 // log index of the last change of any owner
	view       View
}

// maxStateBytes bounds the whole state once it is unpacked.
const maxStateBytes = 16 << 20

// View is an immutable copy of the catalog.
type View struct {
	Catalog catalog.Catalog
	Encoded []byte // CBOR of Catalog as hosts get it, packed
}

// NewMachine returns an empty machine around an empty configuration.
func NewMachine(config Configuration, decode DecodeFunc) (*Machine, error) {
	m := &Machine{config: config, decode: decode, services: map[string]*Service{}, groups: map[string]*Group{}, seats: map[string]placement.Record{}}
	if err := m.refresh(); err != nil {
		return nil, err
	}
	return m, nil
}

// refresh copies the catalog, so that readers never see maps that a later change modifies.
func (m *Machine) refresh() error {
	c := m.config.Catalog()
	whole, err := wire.Marshal(c)
	if err != nil {
		return fmt.Errorf("encode catalog: %w", err)
	}
	var view View
	if err := wire.Unmarshal(whole, &view.Catalog); err != nil {
		return fmt.Errorf("copy catalog: %w", err)
	}
	if c.Deployment != nil {
		d := *c.Deployment
		d.Source = nil // hosts need no document to read back
		c.Deployment = &d
	}
	lean, err := wire.Marshal(c)
	if err != nil {
		return fmt.Errorf("encode catalog for hosts: %w", err)
	}
	if view.Encoded, err = pack.Compress(lean); err != nil {
		return fmt.Errorf("pack catalog for hosts: %w", err)
	}
	m.view = view
	return nil
}

// Catalog returns the present catalog.
func (m *Machine) Catalog() View {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.view
}

// Service returns the state of a service; the zero value if nothing is recorded.
func (m *Machine) Service(name string) Service {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if s := m.services[name]; s != nil {
		return *s
	}
	return Service{}
}

// LeaderTerm returns the consensus term of the latest leader whose barrier was applied.
func (m *Machine) LeaderTerm() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.leaderTerm
}

// ServiceNames returns the services in the catalog and those that were recorded earlier, unordered.
func (m *Machine) ServiceNames() []string {
	m.mu.RLock()
	defer m.mu.RUnlock()
	names := make([]string, 0, len(m.view.Catalog.Services))
	for name := range m.view.Catalog.Services {
		names = append(names, name)
	}
	for name := range m.services {
		if _, ok := m.view.Catalog.Services[name]; !ok {
			names = append(names, name)
		}
	}
	return names
}

// RoutesVersion returns the log index of the last change of any owner.
func (m *Machine) RoutesVersion() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.routes
}

// RoutesSince returns the routes that changed after the given version, and the present version.
func (m *Machine) RoutesSince(version uint64) ([]wire.Route, uint64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if version == m.routes {
		return nil, m.routes
	}
	var routes []wire.Route
	for name, s := range m.services {
		if s.OwnerChangeIndex > version {
			routes = append(routes, wire.Route{Service: name, Owner: s.Owner.Host, Addr: s.Addr, Epoch: s.Owner.Epoch})
		}
	}
	return routes, m.routes
}

// serviceOf returns the service that a target is a member of, or "".
func (m *Machine) serviceOf(target string) string {
	for name, s := range m.services {
		if _, ok := s.Members[target]; ok {
			return name
		}
	}
	return ""
}

type snapshot struct {
	Config     []byte              `cbor:"1,keyasint"`
	Services   map[string]*Service `cbor:"2,keyasint"`
	LeaderTerm uint64              `cbor:"3,keyasint"`
	Routes     uint64              `cbor:"4,keyasint"`
	Groups     map[string]*Group   `cbor:"5,keyasint"`

	Seats map[string]placement.Record `cbor:"6,keyasint"`
}

// Snapshot encodes the whole state as CBOR.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	config, err := m.config.Encode()
	if err != nil {
		return nil, fmt.Errorf("encode catalog: %w", err)
	}
	data, err := wire.Marshal(snapshot{
		Config: config, Services: m.services, Groups: m.groups, Seats: m.seats, LeaderTerm: m.leaderTerm, Routes: m.routes,
	})
	if err != nil {
		return nil, err
	}
	return pack.Compress(data)
}

// Restore replaces the whole state by an encoded one.
func (m *Machine) Restore(data []byte) error {
	var s snapshot
	data, err := pack.Decompress(data, maxStateBytes)
	if err != nil {
		return fmt.Errorf("unpack control snapshot: %w", err)
	}
	if err := wire.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("decode control snapshot: %w", err)
	}
	config, err := m.decode(s.Config)
	if err != nil {
		return fmt.Errorf("restore catalog: %w", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.config = config
	m.services = s.Services
	if m.services == nil {
		m.services = map[string]*Service{}
	}
	m.groups = s.Groups
	if m.groups == nil {
		m.groups = map[string]*Group{}
	}
	m.seats = s.Seats
	if m.seats == nil {
		m.seats = map[string]placement.Record{}
	}
	m.leaderTerm = s.LeaderTerm
	m.routes = s.Routes
	return m.refresh()
}
