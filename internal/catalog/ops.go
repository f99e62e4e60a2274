package catalog

import (
	"fmt"
	"maps"
	"math"
	"regexp"
	"time"

	"k8s.io/apimachinery/pkg/labels"
)

// Limits of the configuration.
const (
	maxNameBytes     = 63
	maxLabels        = 64
	maxLabelBytes    = 63
	maxKeysPerTeam   = 32 // the key of a connecting caller is tried against each
	maxDatabases     = 15
	maxSlots         = 1024
	maxConnections   = 10_000
	maxRate          = 1e9 // statements/s
	maxShare         = 1e6
	minSaltBytes     = 16
	minIterations    = 4096 // of PBKDF2, the minimum for SCRAM-SHA-256
	verifierKeyBytes = 32
	maxReadAge       = 24 * time.Hour
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)

// opError says which field makes an operation invalid, and why.
type opError struct{ field, message string }

func invalidf(field, format string, args ...any) *opError {
	return &opError{field: field, message: fmt.Sprintf(format, args...)}
}

// apply applies one operation to c and modifies its maps. After an error c must be discarded: setLabels
// checks the merged labels after it has stored them.
func (c *Catalog) apply(op Op) *opError {
	if n := op.operationCount(); n != 1 {
		return invalidf("", "sets %d operations, want exactly 1", n)
	}
	switch {
	case op.PutTeam != nil:
		return c.putTeam(op.PutTeam)
	case op.DeleteTeam != "":
		return remove(c.Teams, "delete_team", op.DeleteTeam)
	case op.PutService != nil:
		return c.putService(op.PutService)
	case op.DeleteService != "":
		return remove(c.Services, "delete_service", op.DeleteService)
	case op.PutPolicy != nil:
		return c.putPolicy(op.PutPolicy)
	case op.DeletePolicy != "":
		return remove(c.Policies, "delete_policy", op.DeletePolicy)
	case op.SetLabels != nil:
		return c.setLabels(op.SetLabels)
	case op.GrantKey != nil:
		return c.grantKey(op.GrantKey)
	default:
		return c.withdrawKey(op.WithdrawKey)
	}
}

// operationCount returns the number of fields that are set.
func (op Op) operationCount() int {
	n := 0
	for _, set := range []bool{
		op.PutTeam != nil, op.DeleteTeam != "", op.PutService != nil, op.DeleteService != "",
		op.PutPolicy != nil, op.DeletePolicy != "", op.SetLabels != nil, op.GrantKey != nil, op.WithdrawKey != nil,
	} {
		if set {
			n++
		}
	}
	return n
}

// remove deletes a named object, or returns an error for the field if there is none.
func remove[V any](m map[string]V, field, name string) *opError {
	if _, ok := m[name]; !ok {
		return invalidf(field, "%q does not exist", name)
	}
	delete(m, name)
	return nil
}

func (c *Catalog) putTeam(p *PutTeam) *opError {
	if err := checkName("put_team.name", p.Name); err != nil {
		return err
	}
	if err := checkLabels("put_team.labels", p.Labels); err != nil {
		return err
	}
	team, exists := c.Teams[p.Name]
	if !exists {
		if len(p.Salt) < minSaltBytes {
			return invalidf("put_team.salt", "has %d bytes, want at least %d", len(p.Salt), minSaltBytes)
		}
		if p.Iterations < minIterations {
			return invalidf("put_team.iterations", "is %d, want at least %d", p.Iterations, minIterations)
		}
		team = Team{Salt: p.Salt, Iterations: p.Iterations}
	}
	team.Labels = maps.Clone(p.Labels)
	c.Teams[p.Name] = team
	return nil
}

func (c *Catalog) putService(p *PutService) *opError {
	if err := checkName("put_service.name", p.Name); err != nil {
		return err
	}
	s := p.Service
	if err := checkLabels("put_service.labels", s.Labels); err != nil {
		return err
	}
	for _, f := range []struct {
		name       string
		value, max int
	}{
		{"databases", s.Databases, maxDatabases},
		{"slots", s.Slots, maxSlots},
		{"connections", s.Connections, maxConnections},
	} {
		if f.value < 1 || f.value > f.max {
			return invalidf("put_service.service."+f.name, "is %d, want 1 to %d", f.value, f.max)
		}
	}
	if s.Connections < s.Slots {
		return invalidf("put_service.service.connections", "is %d, want at least the %d slots", s.Connections, s.Slots)
	}
	c.Services[p.Name] = s
	return nil
}

func (c *Catalog) putPolicy(p *PutPolicy) *opError {
	if err := checkName("put_policy.name", p.Name); err != nil {
		return err
	}
	if err := p.Policy.check(); err != nil {
		return invalidf("put_policy.policy."+err.field, "%s", err.message)
	}
	c.Policies[p.Name] = p.Policy
	return nil
}

func (p Policy) check() *opError {
	for _, s := range []struct{ field, selector string }{
		{"teams", p.Teams}, {"services", p.Services}, {"targets", p.Targets},
	} {
		if _, err := labels.Parse(s.selector); err != nil {
			return invalidf(s.field, "is not a label selector: %v", err)
		}
	}
	switch p.Reads {
	case "", ReadsSession, ReadsCurrent:
		if p.MaxAge != 0 {
			return invalidf("max_age", "is %s, want none unless reads is %q; reads is %q", time.Duration(p.MaxAge), ReadsMaxAge, p.Reads)
		}
	case ReadsMaxAge:
		if p.MaxAge <= 0 || time.Duration(p.MaxAge) > maxReadAge {
			return invalidf("max_age", "is %s, want more than 0 and at most %s", time.Duration(p.MaxAge), maxReadAge)
		}
	default:
		return invalidf("reads", "is %q, want %q, %q or %q", p.Reads, ReadsSession, ReadsCurrent, ReadsMaxAge)
	}
	return p.checkNumbers()
}

func (p Policy) checkNumbers() *opError {
	for _, f := range []struct {
		field      string
		value, max float64
	}{{"share", p.Share, maxShare}, {"rate", p.Rate, maxRate}, {"burst", p.Burst, maxRate}} {
		if math.IsNaN(f.value) || f.value < 0 || f.value > f.max {
			return invalidf(f.field, "is %v, want 0 to %v", f.value, f.max)
		}
	}
	if (p.Rate > 0) != (p.Burst > 0) {
		return invalidf("burst", "rate and burst must be set together: rate is %v, burst is %v", p.Rate, p.Burst)
	}
	if p.Burst > 0 && p.Burst < 1 {
		return invalidf("burst", "is %v, want at least 1: a smaller burst admits no statement", p.Burst)
	}
	return nil
}

func (c *Catalog) setLabels(p *SetLabels) *opError {
	if err := checkLabels("set_labels.set", p.Set); err != nil {
		return err
	}
	switch p.Kind {
	case "team":
		t, ok := c.Teams[p.Name]
		if !ok {
			return invalidf("set_labels.name", "team %q does not exist", p.Name)
		}
		t.Labels = merge(t.Labels, p)
		c.Teams[p.Name] = t
		return checkMergedLabels(p, t.Labels)
	case "service":
		s, ok := c.Services[p.Name]
		if !ok {
			return invalidf("set_labels.name", "service %q does not exist", p.Name)
		}
		s.Labels = merge(s.Labels, p)
		c.Services[p.Name] = s
		return checkMergedLabels(p, s.Labels)
	case "target":
		if err := checkName("set_labels.name", p.Name); err != nil {
			return err
		}
		t := c.Targets[p.Name]
		t.Labels = merge(t.Labels, p)
		c.Targets[p.Name] = t
		return checkMergedLabels(p, t.Labels)
	default:
		return invalidf("set_labels.kind", "is %q, want team, service or target", p.Kind)
	}
}

// checkMergedLabels returns an error if the object that p changes would have invalid labels.
func checkMergedLabels(p *SetLabels, merged map[string]string) *opError {
	if len(merged) > maxLabels {
		return invalidf("set_labels.set", "%s %q would have %d labels, want at most %d", p.Kind, p.Name, len(merged), maxLabels)
	}
	return checkLabels("set_labels.set", merged)
}

// merge returns a copy of labels with the changes of p. A label that is both set and removed is removed.
func merge(old map[string]string, p *SetLabels) map[string]string {
	merged := make(map[string]string, len(old)+len(p.Set))
	maps.Copy(merged, old)
	maps.Copy(merged, p.Set)
	for _, k := range p.Remove {
		delete(merged, k)
	}
	return merged
}

func (c *Catalog) grantKey(p *GrantKey) *opError {
	team, ok := c.Teams[p.Team]
	if !ok {
		return invalidf("grant_key.team", "team %q does not exist", p.Team)
	}
	if p.Team == OpenTeam {
		return invalidf("grant_key.team", "team %q can't have keys", OpenTeam)
	}
	if err := checkName("grant_key.id", p.ID); err != nil {
		return err
	}
	if _, ok := team.Keys[p.ID]; ok {
		return invalidf("grant_key.id", "id %q was already used for a key of team %q", p.ID, p.Team)
	}
	if len(p.Key.StoredKey) != verifierKeyBytes || len(p.Key.ServerKey) != verifierKeyBytes {
		return invalidf("grant_key.key", "is not a SCRAM-SHA-256 verifier: stored key has %d bytes, server key %d, want %d each",
			len(p.Key.StoredKey), len(p.Key.ServerKey), verifierKeyBytes)
	}
	if team.activeKeys() >= maxKeysPerTeam {
		return invalidf("grant_key.team", "team %q already has %d keys, the maximum", p.Team, maxKeysPerTeam)
	}
	keys := maps.Clone(team.Keys)
	if keys == nil {
		keys = map[string]Key{}
	}
	keys[p.ID] = Key{StoredKey: p.Key.StoredKey, ServerKey: p.Key.ServerKey}
	team.Keys = keys
	c.Teams[p.Team] = team
	return nil
}

// activeKeys returns the number of keys that are not withdrawn.
func (t Team) activeKeys() int {
	n := 0
	for _, k := range t.Keys {
		if !k.Withdrawn {
			n++
		}
	}
	return n
}

func (c *Catalog) withdrawKey(p *WithdrawKey) *opError {
	team, ok := c.Teams[p.Team]
	if !ok {
		return invalidf("withdraw_key.team", "team %q does not exist", p.Team)
	}
	if _, ok := team.Keys[p.ID]; !ok {
		return invalidf("withdraw_key.id", "key %q of team %q does not exist", p.ID, p.Team)
	}
	keys := maps.Clone(team.Keys)
	keys[p.ID] = Key{Withdrawn: true} // drops the verifier
	team.Keys = keys
	c.Teams[p.Team] = team
	return nil
}

func checkName(field, name string) *opError {
	if len(name) > maxNameBytes || !namePattern.MatchString(name) {
		return invalidf(field, "%q is not a valid name: want 1 to %d lower-case letters, digits, dots, dashes or underscores, with a letter or digit first and last",
			name, maxNameBytes)
	}
	return nil
}

func checkLabels(field string, set map[string]string) *opError {
	if len(set) > maxLabels {
		return invalidf(field, "has %d labels, want at most %d", len(set), maxLabels)
	}
	for k, v := range set {
		if _, err := labels.ValidatedSelectorFromSet(labels.Set{k: v}); err != nil {
			return invalidf(field, "label %q: %v", k, err)
		}
	}
	return nil
}
