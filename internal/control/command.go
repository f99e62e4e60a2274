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
	Barrier        *barrier        `cbor:"1,keyasint,omitempty"`
	Change         *catalog.Change `cbor:"2,keyasint,omitempty"`
	AssignOwner    *assignOwner    `cbor:"3,keyasint,omitempty"`
	OrderElection  *orderElection  `cbor:"4,keyasint,omitempty"`
	RecordElection *recordElection `cbor:"5,keyasint,omitempty"`
	AddTarget      *addTarget      `cbor:"6,keyasint,omitempty"`
	RemoveTarget   *removeTarget   `cbor:"7,keyasint,omitempty"`

	RegisterTarget   *registerTarget   `cbor:"8,keyasint,omitempty"`
	DeregisterTarget *deregisterTarget `cbor:"9,keyasint,omitempty"`
	OrderPromotion   *orderPromotion   `cbor:"10,keyasint,omitempty"`
	RecordPromotion  *recordPromotion  `cbor:"11,keyasint,omitempty"`
	AssignHolder     *assignHolder     `cbor:"12,keyasint,omitempty"`
	PauseGroup       *pauseGroup       `cbor:"13,keyasint,omitempty"`
	SettleDeparted   *settleDeparted   `cbor:"14,keyasint,omitempty"`
	ReleaseTarget    *releaseTarget    `cbor:"15,keyasint,omitempty"`
}

// barrier is the first command that a new leader commits. The leader grants nothing before the barrier
// is applied. From then on the state machine rejects commands proposed in earlier consensus terms, because
// they are based on outdated lease tables. Such a command can be appended late, after its proposer has
// become leader again.
type barrier struct {
	Term uint64 `cbor:"1,keyasint"` // consensus term
}

// assignOwner makes a host the owner of a service in epoch PreviousEpoch+1.
type assignOwner struct {
	LeaderTerm      uint64 `cbor:"1,keyasint"` // consensus term of the proposer
	Service         string `cbor:"2,keyasint"`
	PreviousEpoch   uint64 `cbor:"3,keyasint"` // epoch whose lease has ended
	Host            string `cbor:"4,keyasint"`
	BootID          string `cbor:"5,keyasint"`
	Addr            string `cbor:"6,keyasint"`
	PrimaryTerm     uint64 `cbor:"7,keyasint"` // term of the service's primary
	ElectionPending bool   `cbor:"8,keyasint"` // the new owner has to elect a primary at PrimaryTerm
}

// orderElection orders the owner to elect a primary at PrimaryTerm.
type orderElection struct {
	LeaderTerm      uint64 `cbor:"1,keyasint"`
	Service         string `cbor:"2,keyasint"`
	Epoch           uint64 `cbor:"3,keyasint"`
	PrimaryTerm     uint64 `cbor:"4,keyasint"` // must exceed the recorded term
	PreferredTarget string `cbor:"5,keyasint"` // target to promote in a switchover, if it is up to date; empty: any
}

// recordElection records the primary elected at PrimaryTerm and ends the pending election.
type recordElection struct {
	LeaderTerm  uint64 `cbor:"1,keyasint"`
	Service     string `cbor:"2,keyasint"`
	Epoch       uint64 `cbor:"3,keyasint"`
	PrimaryTerm uint64 `cbor:"4,keyasint"`
	Primary     string `cbor:"5,keyasint"`
}

// addTarget makes a target a member of a catalog service, or updates its address and place.
type addTarget struct {
	Service string `cbor:"1,keyasint"`
	Target  string `cbor:"2,keyasint"`
	Member  Member `cbor:"3,keyasint"`
}

// removeTarget removes a target from a service. The target becomes a member again if it announces or registers
// itself later.
type removeTarget struct {
	Service string `cbor:"1,keyasint"`
	Target  string `cbor:"2,keyasint"`
}

var (
	// errStale means that a command was proposed on the basis of an earlier state, or repeats an earlier command.
	errStale              = errors.New("leader term, epoch, primary term or fencing token of the command doesn't match the replicated state")
	errUnknownService     = errors.New("service is not in the catalog")
	errIsPrimary          = errors.New("target is the primary and cannot be removed")
	errNotTargetOfService = errors.New("target is not a member of the service")
)

// serviceFullError means that a service already has at least as many members as databases are configured for
// it. Its value is that configured number.
type serviceFullError int

func (e serviceFullError) Error() string {
	return fmt.Sprintf("service already has at least as many members as configured databases (%d)", int(e))
}

// Apply applies the log entry at index. It returns a catalog.Result for a catalog change. For any
// other command it returns nil, or an error that says why the command had no effect.
func (m *Machine) Apply(index uint64, data []byte) any {
	var c command
	data, err := pack.Decompress(data, wire.MaxSnapshotBytes)
	if err != nil {
		return fmt.Errorf("decompress command: %w", err)
	}
	if err := wire.Unmarshal(data, &c); err != nil {
		return fmt.Errorf("decode command: %w", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.Change != nil {
		return m.applyChange(*c.Change)
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
	case c.AssignOwner != nil:
		return m.assignOwner(index, c.AssignOwner)
	case c.OrderElection != nil:
		return m.orderElection(c.OrderElection)
	case c.RecordElection != nil:
		return m.recordElection(c.RecordElection)
	case c.AddTarget != nil:
		return m.addTarget(c.AddTarget)
	case c.RemoveTarget != nil:
		return m.removeTarget(c.RemoveTarget)
	case c.RegisterTarget != nil:
		return m.registerTarget(c.RegisterTarget)
	case c.DeregisterTarget != nil:
		return m.deregisterTarget(c.DeregisterTarget)
	case c.OrderPromotion != nil:
		return m.orderPromotion(c.OrderPromotion)
	case c.RecordPromotion != nil:
		return m.recordPromotion(c.RecordPromotion)
	case c.AssignHolder != nil:
		return m.assignHolder(c.AssignHolder)
	case c.PauseGroup != nil:
		return m.pauseGroup(c.PauseGroup)
	case c.SettleDeparted != nil:
		return m.settleDeparted(c.SettleDeparted)
	case c.ReleaseTarget != nil:
		return m.releaseTarget(c.ReleaseTarget)
	default:
		return errors.New("command is empty, or its type is unknown to this version")
	}
}

func (m *Machine) applyChange(change catalog.Change) any {
	result := m.config.Apply(change)
	if result.Revision == m.view.Catalog.Revision {
		return result
	}
	if err := m.refreshView(); err != nil {
		return err
	}
	return result
}

// editService returns a copy of a service's record for modification, and a function that stores it.
func (m *Machine) editService(name string) (*Service, func()) {
	s := Service{}
	if old := m.services[name]; old != nil {
		s = *old
	}
	return &s, func() { m.services[name] = &s }
}

func (m *Machine) assignOwner(index uint64, cmd *assignOwner) error {
	s, store := m.editService(cmd.Service)
	if cmd.LeaderTerm != m.leaderTerm || cmd.PreviousEpoch != s.Owner.Epoch || cmd.PrimaryTerm < s.Term {
		return errStale
	}
	s.Owner = lease.Owner{Host: cmd.Host, BootID: cmd.BootID, Epoch: cmd.PreviousEpoch + 1}
	s.Addr = cmd.Addr
	s.OwnerChangeIndex = index
	if cmd.ElectionPending {
		if cmd.PrimaryTerm == s.Term {
			return errStale
		}
		s.Primary, s.PreferredTarget = "", ""
		s.ElectionPending = true
		s.Term = cmd.PrimaryTerm
	}
	m.routesVersion = index
	store()
	return nil
}

func (m *Machine) orderElection(cmd *orderElection) error {
	s, store := m.editService(cmd.Service)
	if cmd.LeaderTerm != m.leaderTerm || cmd.Epoch != s.Owner.Epoch || cmd.PrimaryTerm <= s.Term {
		return errStale
	}
	s.Term = cmd.PrimaryTerm
	s.Primary = ""
	s.PreferredTarget = cmd.PreferredTarget
	s.ElectionPending = true
	store()
	return nil
}

func (m *Machine) recordElection(cmd *recordElection) error {
	s, store := m.editService(cmd.Service)
	if cmd.LeaderTerm != m.leaderTerm || cmd.Epoch != s.Owner.Epoch || cmd.PrimaryTerm != s.Term || !s.ElectionPending {
		return errStale
	}
	s.Primary = cmd.Primary
	s.PreferredTarget = ""
	s.ElectionPending = false
	store()
	return nil
}

func (m *Machine) addTarget(cmd *addTarget) error {
	config, ok := m.view.Catalog.Services[cmd.Service]
	if !ok {
		return errUnknownService
	}
	if other := m.catalogServiceOfTarget(cmd.Target); other != "" && other != cmd.Service {
		return fmt.Errorf("target %q is already a member of service %q", cmd.Target, other)
	}
	s, store := m.editService(cmd.Service)
	if _, ok := s.Members[cmd.Target]; !ok && len(s.Members) >= config.Databases {
		return serviceFullError(config.Databases)
	}
	s.Members = maps.Clone(s.Members)
	if s.Members == nil {
		s.Members = map[string]Member{}
	}
	s.Members[cmd.Target] = cmd.Member
	store()
	return nil
}

// removeTarget rejects the removal of the primary, which may hold the only copy of acknowledged writes.
func (m *Machine) removeTarget(cmd *removeTarget) error {
	s, store := m.editService(cmd.Service)
	if _, ok := s.Members[cmd.Target]; !ok {
		return m.forgetGroupTarget(cmd)
	}
	if s.Primary == cmd.Target {
		return errIsPrimary
	}
	s.Members = maps.Clone(s.Members)
	delete(s.Members, cmd.Target)
	store()
	return nil
}
