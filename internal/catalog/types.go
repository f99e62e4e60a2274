// Package catalog holds the replicated configuration: teams and their keys, services, labels of targets,
// policies, and the deployment. Machine is the deterministic state machine that applies changes; Snapshot
// is the read-only form that hosts use.
package catalog

import (
	"fmt"
	"time"

	"github.com/citronrun/citronrun/internal/wire"
)

// OpenTeam is the team of callers on open routes, who authenticate without a key.
const OpenTeam = "open"

// Catalog is the complete configuration at one revision.
type Catalog struct {
	Revision uint64             `cbor:"1,keyasint" json:"revision"`
	Teams    map[string]Team    `cbor:"2,keyasint" json:"teams"`
	Services map[string]Service `cbor:"3,keyasint" json:"services"`
	Targets  map[string]Target  `cbor:"4,keyasint" json:"targets"`
	Policies map[string]Policy  `cbor:"5,keyasint" json:"policies"`
	// Deployment is versioned on its own; nil: none.
	Deployment *Deployment `cbor:"6,keyasint,omitempty" json:"deployment,omitempty"`
	// Places holds the places that operators have emptied or refilled, by name.
	Places map[string]Place `cbor:"7,keyasint,omitempty" json:"places,omitempty"`
}

// Team is a tenant. Its callers share its rate limit and its share of the targets.
type Team struct {
	Labels     map[string]string `cbor:"1,keyasint" json:"labels,omitempty"`
	Salt       []byte            `cbor:"2,keyasint" json:"-"` // shared by all keys of the team
	Iterations int               `cbor:"3,keyasint" json:"-"` // of PBKDF2, for all keys of the team
	Keys       map[string]Key    `cbor:"4,keyasint" json:"keys,omitempty"`
}

// Key is a SCRAM-SHA-256 verifier. The key itself is stored nowhere.
type Key struct {
	StoredKey []byte `cbor:"1,keyasint" json:"-"`
	ServerKey []byte `cbor:"2,keyasint" json:"-"`
	Withdrawn bool   `cbor:"3,keyasint" json:"withdrawn,omitempty"`
}

// Service is a group of targets that hold the same data: a primary and its replicas.
type Service struct {
	Labels      map[string]string `cbor:"1,keyasint" json:"labels,omitempty"`
	Databases   int               `cbor:"2,keyasint" json:"databases"`   // number of targets, from which majorities are computed
	Slots       int               `cbor:"3,keyasint" json:"slots"`       // concurrent statements per target
	Connections int               `cbor:"4,keyasint" json:"connections"` // connections per target
}

// Target holds the labels that operators put on a target.
type Target struct {
	Labels map[string]string `cbor:"1,keyasint" json:"labels,omitempty"`
}

// Policy applies to the teams and services that its selectors match. An empty selector matches
// everything. If several policies set the same field for a team and a service, the one with the highest
// Priority wins; of several with the same Priority, the one whose name sorts first.
type Policy struct {
	Priority int    `cbor:"1,keyasint" json:"priority,omitempty"`
	Teams    string `cbor:"2,keyasint" json:"teams,omitempty"`    // label selector
	Services string `cbor:"3,keyasint" json:"services,omitempty"` // label selector
	Targets  string `cbor:"4,keyasint" json:"targets,omitempty"`  // label selector of the targets that may serve reads

	Reads  string   `cbor:"5,keyasint" json:"reads,omitempty"` // session, current, or max_age
	MaxAge Duration `cbor:"6,keyasint" json:"max_age,omitempty"`
	Share  float64  `cbor:"7,keyasint" json:"share,omitempty"` // weight in the fair queue; 0: not set
	Rate   float64  `cbor:"8,keyasint" json:"rate,omitempty"`  // statements/s over all hosts; 0: not set
	Burst  float64  `cbor:"9,keyasint" json:"burst,omitempty"` // statements
	Open   bool     `cbor:"10,keyasint" json:"open,omitempty"` // the services need no key
}

// Duration is a time.Duration that operators write as a string such as "1.5s".
type Duration time.Duration

// MarshalText writes a duration string.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads a duration string.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("invalid duration %q: want a form such as \"1.5s\"", text)
	}
	*d = Duration(v)
	return nil
}

// Defaults for a team and service without a matching policy.
const (
	DefaultShare = 1.0
	DefaultRate  = 100.0 // statements/s
	DefaultBurst = 200.0 // statements
)

// EffectivePolicy holds the settings of the policies that apply to one team and service, see
// Snapshot.EffectivePolicy.
type EffectivePolicy struct {
	Mode           wire.ReadMode
	MaxAge         time.Duration
	Share          float64
	TargetSelector string // empty: any target
}

// Change is a list of operations that is applied atomically.
type Change struct {
	ID       string `cbor:"1,keyasint" json:"id"`             // idempotency key, chosen by the operator
	Base     uint64 `cbor:"2,keyasint" json:"base"`           // revision that the change is based on
	Ops      []Op   `cbor:"3,keyasint" json:"ops"`            // at least one
	Operator string `cbor:"4,keyasint" json:"operator"`       // for the log
	Note     string `cbor:"5,keyasint" json:"note,omitempty"` // free text
	// Deployment, if set, replaces the current deployment provided that its version is higher. ID, Base
	// and Ops are ignored then. A resend is accepted without effect.
	Deployment *Deployment `cbor:"6,keyasint,omitempty" json:"-"`
	// Place, if set, empties or refills a place. ID, Base and Ops are ignored then.
	Place *PlaceOrder `cbor:"7,keyasint,omitempty" json:"-"`
}

// Op is one operation. Exactly one field is set.
type Op struct {
	PutTeam       *PutTeam     `cbor:"1,keyasint,omitempty" json:"put_team,omitempty"`
	DeleteTeam    string       `cbor:"2,keyasint,omitempty" json:"delete_team,omitempty"`
	PutService    *PutService  `cbor:"3,keyasint,omitempty" json:"put_service,omitempty"`
	DeleteService string       `cbor:"4,keyasint,omitempty" json:"delete_service,omitempty"`
	PutPolicy     *PutPolicy   `cbor:"5,keyasint,omitempty" json:"put_policy,omitempty"`
	DeletePolicy  string       `cbor:"6,keyasint,omitempty" json:"delete_policy,omitempty"`
	SetLabels     *SetLabels   `cbor:"7,keyasint,omitempty" json:"set_labels,omitempty"`
	GrantKey      *GrantKey    `cbor:"8,keyasint,omitempty" json:"grant_key,omitempty"`
	WithdrawKey   *WithdrawKey `cbor:"9,keyasint,omitempty" json:"withdraw_key,omitempty"`
}

// PutTeam creates a team or replaces its labels. Salt and Iterations are filled in by the
// administration API for a new team and ignored for an existing one.
type PutTeam struct {
	Name       string            `cbor:"1,keyasint" json:"name"`
	Labels     map[string]string `cbor:"2,keyasint" json:"labels,omitempty"`
	Salt       []byte            `cbor:"3,keyasint,omitempty" json:"-"`
	Iterations int               `cbor:"4,keyasint,omitempty" json:"-"`
}

// PutService creates or replaces a service.
type PutService struct {
	Name    string  `cbor:"1,keyasint" json:"name"`
	Service Service `cbor:"2,keyasint" json:"service"`
}

// PutPolicy creates or replaces a policy.
type PutPolicy struct {
	Name   string `cbor:"1,keyasint" json:"name"`
	Policy Policy `cbor:"2,keyasint" json:"policy"`
}

// SetLabels sets and removes labels of one object.
type SetLabels struct {
	Kind   string            `cbor:"1,keyasint" json:"kind"` // team, service or target
	Name   string            `cbor:"2,keyasint" json:"name"`
	Set    map[string]string `cbor:"3,keyasint" json:"set,omitempty"`
	Remove []string          `cbor:"4,keyasint" json:"remove,omitempty"`
}

// GrantKey adds a key's verifier to a team.
type GrantKey struct {
	Team string `cbor:"1,keyasint" json:"team"`
	ID   string `cbor:"2,keyasint" json:"id"`
	Key  Key    `cbor:"3,keyasint" json:"-"`
	// Secret is the key in clear text, set only in a request to the administration API, which replaces
	// it with Key. It is never encoded for other hosts.
	Secret string `cbor:"-" json:"secret,omitempty"`
}

// WithdrawKey marks a key as withdrawn permanently. Its id can't be granted again.
type WithdrawKey struct {
	Team string `cbor:"1,keyasint" json:"team"`
	ID   string `cbor:"2,keyasint" json:"id"`
}

// Code is the outcome of a change.
type Code string

// The outcomes of a change.
const (
	CodeAccepted Code = "accepted"
	CodeConflict Code = "conflict" // Base is not the current revision, or not that of a place
	CodeInvalid  Code = "invalid"  // Field and Message say why
)

// Result is the reply to a change. A resend of a change with the same ID gets the same Result.
type Result struct {
	Code     Code   `cbor:"1,keyasint" json:"code"`
	Revision uint64 `cbor:"2,keyasint" json:"revision"` // the new one if accepted, otherwise the current one
	Field    string `cbor:"3,keyasint,omitempty" json:"field,omitempty"`
	Message  string `cbor:"4,keyasint,omitempty" json:"message,omitempty"`
}
