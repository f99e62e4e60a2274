package catalog

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"k8s.io/apimachinery/pkg/labels"

	"github.com/citronrun/citronrun/internal/pack"
	"github.com/citronrun/citronrun/internal/wire"
)

// The values of Policy.Reads.
const (
	ReadsSession = "session"
	ReadsCurrent = "current"
	ReadsMaxAge  = "max_age"
)

// Snapshot is an immutable catalog with compiled selectors. It is safe for concurrent use.
type Snapshot struct {
	catalog   Catalog
	policies  []compiledPolicy // highest priority first, those of the same priority by name
	effective sync.Map         // teamService to EffectivePolicy, filled on demand
	index     *Index           // of the deployment; never nil
}

// compiledPolicy is a policy with its parsed selectors.
type compiledPolicy struct {
	Policy
	teams, services labels.Selector
}

type teamService struct{ team, service string }

// NewSnapshot compiles a catalog, which must not be modified afterwards.
func NewSnapshot(c Catalog) (*Snapshot, error) {
	names := make([]string, 0, len(c.Policies))
	for name := range c.Policies {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		byPriority := cmp.Compare(c.Policies[b].Priority, c.Policies[a].Priority)
		return cmp.Or(byPriority, cmp.Compare(a, b))
	})
	s := &Snapshot{catalog: c, index: NewIndex(c.Deployment)}
	for _, name := range names {
		p, err := compile(c.Policies[name])
		if err != nil {
			return nil, fmt.Errorf("policy %q: %w", name, err)
		}
		s.policies = append(s.policies, p)
	}
	return s, nil
}

// DecodeSnapshot compiles a catalog that was encoded with Snapshot.Encode and may have been compressed with
// pack.Compress.
func DecodeSnapshot(data []byte) (*Snapshot, error) {
	c := emptyCatalog()
	data, err := pack.Decompress(data, wire.MaxSnapshotBytes)
	if err != nil {
		return nil, fmt.Errorf("decompress catalog: %w", err)
	}
	if err := wire.Unmarshal(data, &c); err != nil {
		return nil, fmt.Errorf("decode catalog: %w", err)
	}
	return NewSnapshot(c)
}

// Encode returns the catalog in the form that DecodeSnapshot reads.
func (s *Snapshot) Encode() ([]byte, error) { return wire.Marshal(s.catalog) }

func compile(p Policy) (compiledPolicy, error) {
	teams, err := labels.Parse(p.Teams)
	if err != nil {
		return compiledPolicy{}, fmt.Errorf("parse team selector %q: %w", p.Teams, err)
	}
	services, err := labels.Parse(p.Services)
	if err != nil {
		return compiledPolicy{}, fmt.Errorf("parse service selector %q: %w", p.Services, err)
	}
	return compiledPolicy{Policy: p, teams: teams, services: services}, nil
}

// Catalog returns the catalog, which must not be modified.
func (s *Snapshot) Catalog() Catalog { return s.catalog }

// Revision returns the catalog's revision.
func (s *Snapshot) Revision() uint64 { return s.catalog.Revision }

// Deployment returns the index of the deployment. It is empty if there is no deployment.
func (s *Snapshot) Deployment() *Index { return s.index }

// Team returns a team by name.
func (s *Snapshot) Team(name string) (Team, bool) {
	t, ok := s.catalog.Teams[name]
	return t, ok
}

// Service returns a service by name.
func (s *Snapshot) Service(name string) (Service, bool) {
	svc, ok := s.catalog.Services[name]
	return svc, ok
}

// KeyValid reports whether a key of a team exists and has not been withdrawn.
func (s *Snapshot) KeyValid(team, id string) bool {
	k, ok := s.catalog.Teams[team].Keys[id]
	return ok && !k.Withdrawn
}

// IsOpen reports whether callers of a service need no key, because a policy with Open set selects the service.
// The team selectors of policies are ignored, since callers without a key all belong to OpenTeam.
func (s *Snapshot) IsOpen(service string) bool {
	svc, ok := s.catalog.Services[service]
	if !ok {
		return false
	}
	for _, p := range s.policies {
		if p.Open && p.services.Matches(labels.Set(svc.Labels)) {
			return true
		}
	}
	return false
}

// EffectivePolicy returns the policy for a team and a service. Each of its settings is taken from the first
// policy that selects both and sets it, in the order of priority and name.
func (s *Snapshot) EffectivePolicy(team, service string) EffectivePolicy {
	key := teamService{team, service}
	if policy, ok := s.effective.Load(key); ok {
		return policy.(EffectivePolicy)
	}
	policy := s.combinePolicies(team, service)
	s.effective.Store(key, policy)
	return policy
}

func (s *Snapshot) combinePolicies(team, service string) EffectivePolicy {
	effective := EffectivePolicy{Share: DefaultShare}
	var readsSet, shareSet bool
	for _, p := range s.policies {
		if !s.matches(p, team, service) {
			continue
		}
		if p.Reads != "" && !readsSet {
			effective.Mode, effective.MaxAge, readsSet = readMode(p.Reads), time.Duration(p.MaxAge), true
		}
		if p.Share > 0 && !shareSet {
			effective.Share, shareSet = p.Share, true
		}
		if effective.TargetSelector == "" {
			effective.TargetSelector = p.Targets
		}
	}
	return effective
}

func (s *Snapshot) matches(p compiledPolicy, team, service string) bool {
	return p.teams.Matches(labels.Set(s.catalog.Teams[team].Labels)) &&
		p.services.Matches(labels.Set(s.catalog.Services[service].Labels))
}

// RateLimit returns a team's rate in statements/s and its burst in statements, over all hosts. A team of the
// deployment has the Rate and Burst of its DeployedTeam; the caller must check whether it is Unlimited. Other
// teams have those of the first policy that sets a rate and selects the team, or else the defaults. The service
// selectors of policies are ignored, since one rate covers all services.
func (s *Snapshot) RateLimit(team string) (rate, burst float64) {
	if t, ok := s.index.Team(team); ok {
		return t.Rate, t.Burst
	}
	set := labels.Set(s.catalog.Teams[team].Labels)
	for _, p := range s.policies {
		if p.Rate > 0 && p.teams.Matches(set) {
			return p.Rate, p.Burst
		}
	}
	return DefaultRate, DefaultBurst
}

func readMode(reads string) wire.ReadMode {
	switch reads {
	case ReadsCurrent:
		return wire.ReadCurrent
	case ReadsMaxAge:
		return wire.ReadMaxAge
	default:
		return wire.ReadSession
	}
}
