package catalog

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"github.com/citronrun/citronrun/internal/wire"
)

// maxStoredResults bounds the number of stored results, so that a snapshot stays within
// wire.MaxSnapshotBytes. At 530 changes a day they reach back 18 days.
const maxStoredResults = 10_000

// Machine applies changes in the order of the replicated log. It is deterministic and isn't safe for
// concurrent use.
type Machine struct {
	catalog   Catalog
	results   map[string]storedResult // by change id
	resultIDs []string                // keys of results, oldest first
}

// storedResult is the stored result of a change. The digest distinguishes a resend from a different change
// with the same id.
type storedResult struct {
	Result Result   `cbor:"1,keyasint"`
	Digest [32]byte `cbor:"2,keyasint"`
}

// machineState is the encoded form of a Machine.
type machineState struct {
	Catalog   Catalog                 `cbor:"1,keyasint"`
	Results   map[string]storedResult `cbor:"2,keyasint"`
	ResultIDs []string                `cbor:"3,keyasint"`
}

// NewMachine returns a Machine with an empty catalog at revision 0.
func NewMachine() *Machine {
	return &Machine{catalog: emptyCatalog(), results: map[string]storedResult{}}
}

func emptyCatalog() Catalog {
	return Catalog{
		Teams:    map[string]Team{},
		Services: map[string]Service{},
		Targets:  map[string]Target{},
		Policies: map[string]Policy{},
	}
}

// Apply applies a change and returns its result. A change that was decided before, with the same id and content,
// gets its stored result; a different change with a known id is invalid. Changes of the deployment are ordered by
// their version instead, and those of places by their base; their ids are ignored. A change that isn't accepted leaves the catalog unchanged.
func (m *Machine) Apply(c Change) Result {
	if c.Deployment != nil {
		return m.applyDeployment(c.Deployment)
	}
	if c.Place != nil {
		return m.applyPlace(c.Place)
	}
	digest := c.digest()
	if stored, ok := m.results[c.ID]; ok {
		if stored.Digest != digest {
			return m.invalid("id", fmt.Sprintf("%q was already used for a different change", c.ID))
		}
		return stored.Result
	}
	result := m.applyOps(c)
	if c.ID != "" {
		m.storeResult(c.ID, storedResult{Result: result, Digest: digest})
	}
	return result
}

// applyDeployment replaces the deployment if the version of d is higher. A lower or equal version is accepted
// without effect, also if its content differs from that of the current one.
func (m *Machine) applyDeployment(d *Deployment) Result {
	if err := d.Check(); err != nil {
		return m.invalid("deployment", err.Error())
	}
	if old := m.catalog.Deployment; old != nil && d.Version <= old.Version {
		return Result{Code: CodeAccepted, Revision: m.catalog.Revision}
	}
	next := m.catalog.clone()
	next.Deployment = d
	next.Revision++
	m.catalog = next
	return Result{Code: CodeAccepted, Revision: next.Revision}
}

// applyOps validates a change and applies all of its operations or none.
func (m *Machine) applyOps(c Change) Result {
	if c.ID == "" {
		return m.invalid("id", "is empty")
	}
	if c.Base != m.catalog.Revision {
		return Result{
			Code:     CodeConflict,
			Revision: m.catalog.Revision,
			Message:  fmt.Sprintf("the change is based on revision %d, but the current one is %d", c.Base, m.catalog.Revision),
		}
	}
	if len(c.Ops) == 0 {
		return m.invalid("ops", "is empty")
	}
	next := m.catalog.clone()
	for i, op := range c.Ops {
		if err := next.apply(op); err != nil {
			return m.invalid(fmt.Sprintf("ops[%d].%s", i, err.field), err.message)
		}
	}
	next.Revision++
	m.catalog = next
	return Result{Code: CodeAccepted, Revision: next.Revision}
}

func (m *Machine) invalid(field, message string) Result {
	return Result{Code: CodeInvalid, Revision: m.catalog.Revision, Field: field, Message: message}
}

// storeResult stores the result of a change and removes the oldest one if there are too many.
func (m *Machine) storeResult(id string, stored storedResult) {
	if len(m.resultIDs) >= maxStoredResults {
		delete(m.results, m.resultIDs[0])
		m.resultIDs = m.resultIDs[1:]
	}
	m.results[id] = stored
	m.resultIDs = append(m.resultIDs, id)
}

// digest returns a hash of the content of a change. It leaves out salts and iterations: the
// administration API generates a new salt each time a change with a new team is sent, and the first one
// applied is kept.
func (c Change) digest() [32]byte {
	ops := slices.Clone(c.Ops)
	for i, op := range ops {
		if op.PutTeam == nil {
			continue
		}
		team := *op.PutTeam
		team.Salt, team.Iterations = nil, 0
		ops[i].PutTeam = &team
	}
	c.Ops = ops
	data, err := digestMode.Marshal(c)
	if err != nil {
		return [32]byte{} // can't happen: every Change can be encoded
	}
	return sha256.Sum256(data)
}

// digestMode encodes equal values to equal bytes: map keys are sorted.
var digestMode = mustDigestMode()

func mustDigestMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Catalog returns the current catalog, which must not be modified.
func (m *Machine) Catalog() Catalog { return m.catalog }

// Encode returns the complete state of the machine, for a snapshot.
func (m *Machine) Encode() ([]byte, error) {
	return wire.Marshal(machineState{Catalog: m.catalog, Results: m.results, ResultIDs: m.resultIDs})
}

// DecodeMachine restores a Machine from the result of Encode.
func DecodeMachine(data []byte) (*Machine, error) {
	s := machineState{Catalog: emptyCatalog(), Results: map[string]storedResult{}}
	if err := wire.Unmarshal(data, &s); err != nil {
		return nil, fmt.Errorf("decode catalog snapshot: %w", err)
	}
	return &Machine{catalog: s.Catalog, results: s.Results, resultIDs: s.ResultIDs}, nil
}

// clone copies the maps that operations modify. Their values are shared: operations replace them and
// never modify them in place.
func (c Catalog) clone() Catalog {
	return Catalog{
		Revision: c.Revision,
		Teams:    maps.Clone(c.Teams),
		Services: maps.Clone(c.Services),
		Targets:  maps.Clone(c.Targets),
		Policies: maps.Clone(c.Policies),

		Deployment: c.Deployment,
		Places:     maps.Clone(c.Places),
	}
}
