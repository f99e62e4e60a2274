// Package control implements the control plane on top of a replicated log. The leader answers lease
// renewals, assigns owners of services and holders of targets, lends rate-limit tokens to hosts, and
// decides on failover and promotion.
//
// There are two kinds of services:
//
//   - A service of the catalog (Service) has an owner: the one host that runs its transactions. When
//     its primary is lost, the leader orders an election, in which the owner promotes one of the targets.
//   - A deployed service (Group) is defined by the catalog's deployment. It has no owner. Each target has a
//     lease of its own, whose holder is the one host that runs statements on that target. When its primary
//     is lost, the leader itself chooses a candidate and orders its promotion.
//
// Elections and terms of a primary are unrelated to the leader elections and consensus terms of the
// control hosts.
//
// Machine holds the replicated records. Server holds the leader's volatile state, which is discarded at
// the end of its consensus term.
package control

import (
	"fmt"
	"slices"
	"sync"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/lease"
	"github.com/citronrun/citronrun/internal/pack"
	"github.com/citronrun/citronrun/internal/placement"
	"github.com/citronrun/citronrun/internal/wire"
)

// Configuration is the state machine of the catalog. It is part of the Machine, which applies catalog
// changes to it. It is unrelated to Config, the settings of a Server.
type Configuration interface {
	Apply(catalog.Change) catalog.Result
	Catalog() catalog.Catalog
	Encode() ([]byte, error)
}

// DecodeFunc decodes the output of Configuration.Encode.
type DecodeFunc func([]byte) (Configuration, error)

// Service is the replicated record of a catalog service. Values are immutable; a change replaces them.
type Service struct {
	Owner            lease.Owner       `cbor:"1,keyasint"`
	Addr             string            `cbor:"2,keyasint"` // QUIC address of the owner
	Term             uint64            `cbor:"3,keyasint"` // term of the service's primary
	Primary          string            `cbor:"4,keyasint"` // of Term; empty while ElectionPending is set
	ElectionPending  bool              `cbor:"5,keyasint"` // the owner has to elect a primary at Term
	PreferredTarget  string            `cbor:"6,keyasint"` // target to promote in a switchover, if it is up to date; empty: any
	Members          map[string]Member `cbor:"7,keyasint"`
	OwnerChangeIndex uint64            `cbor:"8,keyasint"` // log index of the last change of owner
}

// Member is a target that belongs to a catalog service.
type Member struct {
	Addr  string `cbor:"1,keyasint"`
	Place string `cbor:"2,keyasint"`
}

// Machine is the replicated state machine of the control plane: it contains the catalog, the records of
// all services and the holders of target leases. Apply is deterministic. A Machine is safe for concurrent
// use.
type Machine struct {
	mu            sync.RWMutex
	config        Configuration
	decodeConfig  DecodeFunc
	services      map[string]*Service
	groups        map[string]*Group           // by service
	targetHolders map[string]placement.Record // by target
	leaderTerm    uint64                      // highest consensus term whose barrier has been applied
	routesVersion uint64                      // log index of the last change of any owner
	view          CatalogView
	earlier       []encodedCatalog // of the latest revisions before that of view, oldest first
}

// maxEarlierCatalogs is the number of earlier catalogs that are kept. Hosts renew about once a second, so that they
// have one of these unless changes come in quick succession.
const maxEarlierCatalogs = 6

// encodedCatalog is an earlier catalog as hosts have it.
type encodedCatalog struct {
	revision uint64
	checksum uint64
	data     []byte
	delta    []byte // from data to that of the current view; nil until it is needed
}

// maxDecompressedSnapshotBytes bounds a snapshot after decompression. The compressed snapshot is bounded
// by wire.MaxSnapshotBytes.
const maxDecompressedSnapshotBytes = 16 << 20

// CatalogView is an immutable copy of the catalog.
type CatalogView struct {
	Catalog catalog.Catalog
	Encoded []byte // compressed CBOR of Catalog without Deployment.Source, as sent to hosts
	plain   []byte // Encoded before compression
}

// NewMachine returns a machine without service records, with the given state of the catalog.
func NewMachine(config Configuration, decode DecodeFunc) (*Machine, error) {
	m := &Machine{config: config, decodeConfig: decode, services: map[string]*Service{}, groups: map[string]*Group{}, targetHolders: map[string]placement.Record{}}
	if err := m.refreshView(); err != nil {
		return nil, err
	}
	return m, nil
}

// refreshView replaces the view by a deep copy of the catalog, since later changes modify the catalog's
// maps in place.
func (m *Machine) refreshView() error {
	c := m.config.Catalog()
	full, err := wire.Marshal(c)
	if err != nil {
		return fmt.Errorf("encode catalog: %w", err)
	}
	var view CatalogView
	if err := wire.Unmarshal(full, &view.Catalog); err != nil {
		return fmt.Errorf("copy catalog: %w", err)
	}
	if c.Deployment != nil {
		d := *c.Deployment
		d.Source = nil // hosts don't use the source document
		c.Deployment = &d
	}
	if view.plain, err = wire.MarshalDeterministic(c); err != nil {
		return fmt.Errorf("encode catalog for hosts: %w", err)
	}
	if view.Encoded, err = pack.Compress(view.plain); err != nil {
		return fmt.Errorf("compress catalog for hosts: %w", err)
	}
	m.keepEarlier(m.view)
	m.view = view
	return nil
}

// keepEarlier keeps a catalog that is about to be replaced.
func (m *Machine) keepEarlier(old CatalogView) {
	for i := range m.earlier {
		m.earlier[i].delta = nil
	}
	if old.plain == nil {
		return
	}
	m.earlier = append(m.earlier, encodedCatalog{revision: old.Catalog.Revision, checksum: pack.Checksum(old.plain), data: old.plain})
	if n := len(m.earlier) - maxEarlierCatalogs; n > 0 {
		m.earlier = slices.Delete(m.earlier, 0, n)
	}
}

// CatalogDelta returns the changes from the encoded catalog of an earlier revision to that of the current one, or nil if
// the earlier one isn't known or differs from the one with the checksum.
func (m *Machine) CatalogDelta(revision, checksum uint64) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range m.earlier {
		e := &m.earlier[i]
		if e.revision != revision || e.checksum != checksum {
			continue
		}
		if e.delta == nil {
			delta, err := pack.Delta(e.data, m.view.plain)
			if err != nil {
				return nil
			}
			e.delta = delta
		}
		return e.delta
	}
	return nil
}

// Catalog returns the current catalog.
func (m *Machine) Catalog() CatalogView {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.view
}

// Service returns the record of a catalog service, or the zero value if there is none.
func (m *Machine) Service(name string) Service {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if s := m.services[name]; s != nil {
		return *s
	}
	return Service{}
}

// LeaderTerm returns the highest consensus term whose barrier has been applied.
func (m *Machine) LeaderTerm() uint64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.leaderTerm
}

// ServiceNames returns, unordered, the services in the catalog and those with a Service record, which may
// have been deleted from the catalog.
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
	return m.routesVersion
}

// RoutesSince returns the routes that changed after the given version, and the current version.
func (m *Machine) RoutesSince(version uint64) ([]wire.Route, uint64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if version == m.routesVersion {
		return nil, m.routesVersion
	}
	var routes []wire.Route
	for name, s := range m.services {
		if s.OwnerChangeIndex > version {
			routes = append(routes, wire.Route{Service: name, Owner: s.Owner.Host, Addr: s.Addr, Epoch: s.Owner.Epoch})
		}
	}
	return routes, m.routesVersion
}

// catalogServiceOfTarget returns the catalog service that a target is a member of, or "".
func (m *Machine) catalogServiceOfTarget(target string) string {
	for name, s := range m.services {
		if _, ok := s.Members[target]; ok {
			return name
		}
	}
	return ""
}

type snapshot struct {
	Config        []byte              `cbor:"1,keyasint"`
	Services      map[string]*Service `cbor:"2,keyasint"`
	LeaderTerm    uint64              `cbor:"3,keyasint"`
	RoutesVersion uint64              `cbor:"4,keyasint"`
	Groups        map[string]*Group   `cbor:"5,keyasint"`

	TargetHolders map[string]placement.Record `cbor:"6,keyasint"`
}

// Snapshot encodes the complete state as compressed CBOR.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	config, err := m.config.Encode()
	if err != nil {
		return nil, fmt.Errorf("encode catalog state: %w", err)
	}
	data, err := wire.Marshal(snapshot{
		Config: config, Services: m.services, Groups: m.groups, TargetHolders: m.targetHolders, LeaderTerm: m.leaderTerm, RoutesVersion: m.routesVersion,
	})
	if err != nil {
		return nil, err
	}
	return pack.Compress(data)
}

// Restore replaces the complete state by that of a snapshot.
func (m *Machine) Restore(data []byte) error {
	var s snapshot
	data, err := pack.Decompress(data, maxDecompressedSnapshotBytes)
	if err != nil {
		return fmt.Errorf("decompress control snapshot: %w", err)
	}
	if err := wire.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("decode control snapshot: %w", err)
	}
	config, err := m.decodeConfig(s.Config)
	if err != nil {
		return fmt.Errorf("decode catalog state of control snapshot: %w", err)
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
	m.targetHolders = s.TargetHolders
	if m.targetHolders == nil {
		m.targetHolders = map[string]placement.Record{}
	}
	m.leaderTerm = s.LeaderTerm
	m.routesVersion = s.RoutesVersion
	return m.refreshView()
}
