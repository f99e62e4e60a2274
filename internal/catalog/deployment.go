package catalog

import (
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/citronrun/citronrun/internal/wire"
)

// Deployment is a configuration that is replaced as a whole. Its version is chosen by its author;
// the highest version is in force. Values are immutable.
type Deployment struct {
	Version  uint64            `cbor:"1,keyasint" json:"version"`
	Routes   []Route           `cbor:"2,keyasint" json:"routes"`
	Services []DeployedService `cbor:"3,keyasint" json:"services"`
	Teams    []DeployedTeam    `cbor:"4,keyasint" json:"teams"`
	// BlockIdleTimeout is how long a block may stay idle before it is rolled back; 0: no limit.
	BlockIdleTimeout time.Duration `cbor:"5,keyasint" json:"block_idle"`
	// Source is the author's document, which can be read back whole. It may hold keys and stays at control
	// hosts.
	Source []byte `cbor:"6,keyasint" json:"-"`
}

// Route leads callers that ask for a database name to a service.
type Route struct {
	Name             string        `cbor:"1,keyasint" json:"name"`
	Database         string        `cbor:"2,keyasint" json:"database"` // as callers name it
	Path             string        `cbor:"3,keyasint,omitempty" json:"path,omitempty"`
	Service          string        `cbor:"4,keyasint" json:"service"`
	Mode             wire.ReadMode `cbor:"5,keyasint" json:"mode"`
	MaxAge           time.Duration `cbor:"6,keyasint,omitempty" json:"max_age,omitempty"` // 0: reads need the primary
	Timeout          time.Duration `cbor:"7,keyasint" json:"timeout"`                     // of one statement
	LatencyObjective time.Duration `cbor:"8,keyasint,omitempty" json:"target,omitempty"`  // latency objective of an operation
	Priority         int           `cbor:"9,keyasint,omitempty" json:"priority,omitempty"`
	Open             bool          `cbor:"10,keyasint,omitempty" json:"open,omitempty"` // needs no key
}

// DeployedService is a group of targets that routes lead to.
type DeployedService struct {
	Name         string `cbor:"1,keyasint" json:"name"`
	Connections  int    `cbor:"2,keyasint" json:"connections"`   // of one target, from all hosts together
	SyncReplicas int    `cbor:"3,keyasint" json:"sync_replicas"` // replicas that receive a commit before it is acknowledged
}

// DeployedTeam is a team of a deployment with the digests of its keys.
type DeployedTeam struct {
	Name  string      `cbor:"1,keyasint" json:"name"`
	Keys  []KeyDigest `cbor:"2,keyasint" json:"-"`
	Rate  float64     `cbor:"3,keyasint" json:"rate"`  // operations/s over the fleet
	Burst float64     `cbor:"4,keyasint" json:"burst"` // operations
	// Unlimited teams have no rate.
	Unlimited bool `cbor:"5,keyasint,omitempty" json:"unlimited,omitempty"`
}

// KeyDigest is the SHA-256 of an opaque key. Such keys are random and long, so that a fast digest
// suffices; the keys that people choose are stored as SCRAM verifiers.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Check returns the first fault of a deployment, or nil.
func (d *Deployment) Check() error {
	services := map[string]bool{}
	for i, s := range d.Services {
		switch {
		case s.Name == "":
			return fmt.Errorf("services[%d]: the name is empty", i)
		case services[s.Name]:
			return fmt.Errorf("services[%d]: %q stands twice", i, s.Name)
		case s.Connections < 0 || s.SyncReplicas < 0:
			return fmt.Errorf("services[%d]: a number is negative", i)
		}
		services[s.Name] = true
	}
	if err := d.checkRoutes(services); err != nil {
		return err
	}
	return d.checkTeams()
}

func (d *Deployment) checkRoutes(services map[string]bool) error {
	places := map[[2]string]bool{}
	for i, r := range d.Routes {
		place := [2]string{r.Database, r.Path}
		switch {
		case r.Database == "":
			return fmt.Errorf("routes[%d]: the database name is empty", i)
		case !services[r.Service]:
			return fmt.Errorf("routes[%d]: service %q does not exist", i, r.Service)
		case places[place]:
			return fmt.Errorf("routes[%d]: database %q stands twice", i, r.Database)
		case r.Timeout <= 0:
			return fmt.Errorf("routes[%d]: the timeout is %s, want more than 0", i, r.Timeout)
		case r.MaxAge < 0 || r.LatencyObjective < 0:
			return fmt.Errorf("routes[%d]: a duration is negative", i)
		}
		places[place] = true
	}
	return nil
}

func (d *Deployment) checkTeams() error {
	names := map[string]bool{}
	keys := map[KeyDigest]string{}
	for i, t := range d.Teams {
		switch {
		case t.Name == "":
			return fmt.Errorf("teams[%d]: the name is empty", i)
		case names[t.Name]:
			return fmt.Errorf("teams[%d]: %q stands twice", i, t.Name)
		case t.Rate < 0 || t.Burst < 0:
			return fmt.Errorf("teams[%d]: rate or burst is negative", i)
		}
		names[t.Name] = true
		for _, k := range t.Keys {
			if other, used := keys[k]; used && other != t.Name {
				return fmt.Errorf("teams[%d]: a key belongs to team %q already", i, other)
			}
			keys[k] = t.Name
		}
	}
	return nil
}

// Index finds routes, services and teams of a deployment. It is immutable.
type Index struct {
	deployment *Deployment
	routes     map[string]*Route
	services   map[string]*DeployedService
	teams      map[string]*DeployedTeam
	keys       map[KeyDigest]string // to team names
}

// NewIndex indexes a deployment, which must not be modified afterwards; nil gives an empty one.
func NewIndex(d *Deployment) *Index {
	x := &Index{
		deployment: d,
		routes:     map[string]*Route{},
		services:   map[string]*DeployedService{},
		teams:      map[string]*DeployedTeam{},
		keys:       map[KeyDigest]string{},
	}
	if d == nil {
		return x
	}
	for i := range d.Routes {
		x.routes[d.Routes[i].Database] = &d.Routes[i]
	}
	for i := range d.Services {
		x.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Teams {
		t := &d.Teams[i]
		x.teams[t.Name] = t
		for _, k := range t.Keys {
			x.keys[k] = t.Name
		}
	}
	return x
}

// Deployment returns the indexed deployment, or nil.
func (x *Index) Deployment() *Deployment { return x.deployment }

// Version returns the deployment's version, 0 without one.
func (x *Index) Version() uint64 {
	if x.deployment == nil {
		return 0
	}
	return x.deployment.Version
}

// Route returns the route of a database name.
func (x *Index) Route(database string) (*Route, bool) {
	r, ok := x.routes[database]
	return r, ok
}

// Service returns a service by name.
func (x *Index) Service(name string) (*DeployedService, bool) {
	s, ok := x.services[name]
	return s, ok
}

// Team returns a team by name.
func (x *Index) Team(name string) (*DeployedTeam, bool) {
	t, ok := x.teams[name]
	return t, ok
}

// TeamOf returns the team that holds a key.
func (x *Index) TeamOf(k KeyDigest) (string, bool) {
	name, ok := x.keys[k]
	return name, ok
}
