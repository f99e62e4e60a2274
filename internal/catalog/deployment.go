package catalog

import (
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/citronrun/citronrun/internal/wire"
)

// Deployment is a configuration that is replaced as a whole. Its author chooses the version, and the
// highest version received takes effect. A Deployment must not be modified once it is applied.
type Deployment struct {
	Version  uint64            `cbor:"1,keyasint" json:"version"`
	Routes   []Route           `cbor:"2,keyasint" json:"routes"`
	Services []DeployedService `cbor:"3,keyasint" json:"services"`
	Teams    []DeployedTeam    `cbor:"4,keyasint" json:"teams"`
	// BlockIdleTimeout is how long a transaction block may stay idle before it is rolled back; 0: no limit.
	BlockIdleTimeout time.Duration `cbor:"5,keyasint" json:"block_idle"`
	// Source is the document that the author sent, kept so that it can be read back unchanged. It may
	// hold keys and is kept only at control hosts.
	Source []byte `cbor:"6,keyasint" json:"-"`
}

// Route directs callers that connect to a database name to a service.
type Route struct {
	Name     string `cbor:"1,keyasint" json:"name"`
	Database string `cbor:"2,keyasint" json:"database"` // name that callers connect to
	// Path distinguishes routes of the same database in the deployment. Callers connect without a path, so the
	// last of these routes applies to them.
	Path    string        `cbor:"3,keyasint,omitempty" json:"path,omitempty"`
	Service string        `cbor:"4,keyasint" json:"service"`
	Mode    wire.ReadMode `cbor:"5,keyasint" json:"mode"`
	// MaxAge bounds the age of the data that a read gets in any mode but ReadCurrent, whose reads always go to
	// the primary. 0: all reads go to the primary.
	MaxAge  time.Duration `cbor:"6,keyasint,omitempty" json:"max_age,omitempty"`
	Timeout time.Duration `cbor:"7,keyasint" json:"timeout"` // of one statement
	// LatencyObjective is the intended latency of a statement; 0: none. Its outer name can't change.
	LatencyObjective time.Duration `cbor:"8,keyasint,omitempty" json:"target,omitempty"`
	Priority         int           `cbor:"9,keyasint,omitempty" json:"priority,omitempty"` // at targets; 0 is the most urgent
	Open             bool          `cbor:"10,keyasint,omitempty" json:"open,omitempty"`    // needs no key
}

// DeployedService is a group of targets that routes refer to.
type DeployedService struct {
	Name         string `cbor:"1,keyasint" json:"name"`
	Connections  int    `cbor:"2,keyasint" json:"connections"`   // limit per target, over all hosts
	SyncReplicas int    `cbor:"3,keyasint" json:"sync_replicas"` // replicas that must receive a commit before it is acknowledged
	// ColdRate is the number of statements/s that a target bears while it is cold; 0: it has no limit.
	ColdRate float64 `cbor:"4,keyasint,omitempty" json:"cold_rate,omitempty"`
}

// DeployedTeam is a team of a deployment with the digests of its keys.
type DeployedTeam struct {
	Name  string      `cbor:"1,keyasint" json:"name"`
	Keys  []KeyDigest `cbor:"2,keyasint" json:"-"`
	Rate  float64     `cbor:"3,keyasint" json:"rate"`  // statements/s over all hosts
	Burst float64     `cbor:"4,keyasint" json:"burst"` // statements
	// Unlimited teams are not rate-limited.
	Unlimited bool `cbor:"5,keyasint,omitempty" json:"unlimited,omitempty"`
}

// KeyDigest is the SHA-256 digest of a key of a deployment. A fast hash suffices because these keys are
// long and random; keys that people choose are stored as SCRAM verifiers.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Check returns an error for the first invalid field of a deployment, or nil.
func (d *Deployment) Check() error {
	services := map[string]bool{}
	for i, s := range d.Services {
		switch {
		case s.Name == "":
			return fmt.Errorf("services[%d]: the name is empty", i)
		case services[s.Name]:
			return fmt.Errorf("services[%d]: duplicate service %q", i, s.Name)
		case s.Connections < 0 || s.SyncReplicas < 0 || s.ColdRate < 0:
			return fmt.Errorf("services[%d]: connections (%d), sync replicas (%d) and cold rate (%v) must not be negative", i, s.Connections, s.SyncReplicas, s.ColdRate)
		}
		services[s.Name] = true
	}
	if err := d.checkRoutes(services); err != nil {
		return err
	}
	return d.checkTeams()
}

func (d *Deployment) checkRoutes(services map[string]bool) error {
	seen := map[[2]string]bool{}
	for i, r := range d.Routes {
		key := [2]string{r.Database, r.Path}
		switch {
		case r.Database == "":
			return fmt.Errorf("routes[%d]: the database name is empty", i)
		case !services[r.Service]:
			return fmt.Errorf("routes[%d]: service %q does not exist", i, r.Service)
		case seen[key]:
			return fmt.Errorf("routes[%d]: duplicate database %q with path %q", i, r.Database, r.Path)
		case r.Timeout <= 0:
			return fmt.Errorf("routes[%d]: the timeout is %s, want more than 0", i, r.Timeout)
		case r.MaxAge < 0 || r.LatencyObjective < 0:
			return fmt.Errorf("routes[%d]: maximum age (%s) and latency objective (%s) must not be negative", i, r.MaxAge, r.LatencyObjective)
		}
		seen[key] = true
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
			return fmt.Errorf("teams[%d]: duplicate team %q", i, t.Name)
		case t.Rate < 0 || t.Burst < 0:
			return fmt.Errorf("teams[%d]: rate (%v) and burst (%v) must not be negative", i, t.Rate, t.Burst)
		}
		names[t.Name] = true
		for _, k := range t.Keys {
			if other, used := keys[k]; used && other != t.Name {
				return fmt.Errorf("teams[%d]: a key of team %q already belongs to team %q", i, t.Name, other)
			}
			keys[k] = t.Name
		}
	}
	return nil
}

// Index looks up routes, services and teams of a deployment. It is immutable.
type Index struct {
	deployment *Deployment
	routes     map[string]*Route           // by database name; of several routes the last
	services   map[string]*DeployedService // by name
	teams      map[string]*DeployedTeam    // by name
	keys       map[KeyDigest]string        // key to team name
}

// NewIndex indexes a deployment, which must not be modified afterwards. For nil the index is empty.
func NewIndex(d *Deployment) *Index {
	ix := &Index{
		deployment: d,
		routes:     map[string]*Route{},
		services:   map[string]*DeployedService{},
		teams:      map[string]*DeployedTeam{},
		keys:       map[KeyDigest]string{},
	}
	if d == nil {
		return ix
	}
	for i := range d.Routes {
		ix.routes[d.Routes[i].Database] = &d.Routes[i]
	}
	for i := range d.Services {
		ix.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Teams {
		t := &d.Teams[i]
		ix.teams[t.Name] = t
		for _, k := range t.Keys {
			ix.keys[k] = t.Name
		}
	}
	return ix
}

// Deployment returns the indexed deployment, or nil if there is none.
func (ix *Index) Deployment() *Deployment { return ix.deployment }

// Version returns the version of the deployment, or 0 if there is none.
func (ix *Index) Version() uint64 {
	if ix.deployment == nil {
		return 0
	}
	return ix.deployment.Version
}

// Route returns the route of a database name. If the name has routes with different paths, it is the last one
// of the deployment.
func (ix *Index) Route(database string) (*Route, bool) {
	r, ok := ix.routes[database]
	return r, ok
}

// Service returns a service by name.
func (ix *Index) Service(name string) (*DeployedService, bool) {
	s, ok := ix.services[name]
	return s, ok
}

// Team returns a team by name.
func (ix *Index) Team(name string) (*DeployedTeam, bool) {
	t, ok := ix.teams[name]
	return t, ok
}

// TeamOf returns the team that holds a key.
func (ix *Index) TeamOf(k KeyDigest) (string, bool) {
	name, ok := ix.keys[k]
	return name, ok
}
