package owner

import (
	"slices"

	"github.com/citronrun/citronrun/internal/statechart"
)

// Events, states and actions of the state chart owner_handover.
const (
	eventGranted   = "granted"
	eventRevoked   = "revoked"
	eventWorkEnded = "work_ended"

	stateOwned = "owned"

	actionReturnLease = "return_lease"
)

var handoverChart = mustLoadChart("owner_handover")

// mustLoadChart loads a state chart that is embedded in the binary.
func mustLoadChart(name string) *statechart.Chart {
	c, err := statechart.Load(name)
	if err != nil {
		panic(err)
	}
	return c
}

// fire applies an event to the handover state. ok is false when the epoch has ended. mu must
// be held.
func (s *service) fire(event string) (actions []string, ok bool) {
	actions, err := s.handover.Fire(event)
	return actions, err == nil
}

// endIfDone ends a revoked epoch once it has no active transaction or its lease has expired. ended
// reports whether the lease must now be returned; changed is closed at the next state change.
func (s *service) endIfDone(leaseValid bool) (ended bool, changed <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.active > 0 && leaseValid {
		return false, s.stateChanged
	}
	actions, _ := s.fire(eventWorkEnded)
	return slices.Contains(actions, actionReturnLease), s.stateChanged
}
