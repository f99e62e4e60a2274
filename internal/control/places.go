package control

import (
	"errors"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log/level"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/placement"
)

var placeOrders = metrics.NewCounter(`citron_control_place_orders_total`) // accepted orders to empty or refill a place

var errOwnedServices = errors.New("only the targets of deployed services can be kept without work; services of the catalog have owners")

// checkPlace returns an error if an order would have no effect: because this installation has no deployed services, or
// because neither the settings of the host that received it name its place, nor any target or host belongs to it.
func (s *Server) checkPlace(o *catalog.PlaceOrder) error {
	switch {
	case o == nil:
		return nil
	case s.TargetControl == nil:
		return errOwnedServices
	case o.Declared:
		return nil
	}
	for _, group := range s.Machine.Groups() {
		for _, member := range group.Members {
			if member.Place == o.Place {
				return nil
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader != nil {
		for _, h := range s.leader.hosts {
			if h.place == o.Place {
				return nil
			}
		}
	}
	return fmt.Errorf("%q does not exist: no settings, target or host names it", o.Place)
}

// voterPlacesWait is how long after its election a leader refuses changes because the voters it knows don't bear the loss of
// places. Later it accepts them: the control hosts then don't stand in such a way, or more of them are lost than is tolerated.
const voterPlacesWait = 8 * time.Second

var errVotersInOnePlace = errors.New("too many voters are in the places that may be lost, or their places aren't known yet")

// checkVoterPlaces returns an error while a change could be lost with places that may be lost.
func (s *Server) checkVoterPlaces() error {
	if s.PlacesToBear == 0 || s.VoterAddrs == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader == nil || s.Clock.Now().Sub(s.leader.readyAt) >= voterPlacesWait {
		return nil
	}
	places := map[string]string{} // by address
	for _, h := range s.leader.hosts {
		places[h.addr] = h.place
	}
	voters, unknown := map[string]int{}, 0
	for _, addr := range s.VoterAddrs() {
		if place, ok := places[addr]; ok {
			voters[place]++
		} else {
			unknown++
		}
	}
	if !placement.BearsLoss(voters, unknown, s.PlacesToBear) {
		return fmt.Errorf("%w: %v, %d unknown", errVotersInOnePlace, voters, unknown)
	}
	return nil
}

// placeOrdered lets all hosts learn of an accepted order, and starts the promotions that it requires.
func (s *Server) placeOrdered(o *catalog.PlaceOrder) {
	placeOrders.Inc()
	_ = level.Info(s.Logger).Log("msg", "place ordered", "place", o.Place, "emptied", o.Emptied)
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader == nil || !s.leader.ready || s.TargetControl == nil {
		return
	}
	for _, service := range s.Machine.GroupNames() {
		s.stepPromotion(s.leader, now, service)
	}
	s.sendRenewNowToEntryHosts(s.leader)
}

// emptied reports whether a target is in an emptied place.
func (s *Server) emptied(member GroupMember) bool {
	view := s.Machine.Catalog()
	return view.Catalog.PlaceEmptied(member.Place)
}

// givesWay reports whether the primary of a service is in an emptied place, and a replica elsewhere may take over. Without
// one the primary stays: a promotion would only move it from one emptied place to another.
func (s *Server) givesWay(leader *leaderState, now time.Time, record Group) bool {
	primary, ok := record.Members[record.Primary]
	return ok && s.emptied(primary) && s.hasOutside(leader, now, record)
}

// hasOutside reports whether a service has a replica outside of emptied places that may become the primary.
func (s *Server) hasOutside(leader *leaderState, now time.Time, record Group) bool {
	for target, member := range record.Members {
		if target != record.Primary && !member.Released && !s.emptied(member) && leader.leavingSince(target).IsZero() && leader.recentlyRegistered(now, target) {
			return true
		}
	}
	return false
}

// mustBeIdle reports whether a target must have no lease because its place is emptied. A primary that gives way keeps its
// lease until the promotion has ended: its holder then ends the work that needs it sooner than the lease would.
func (s *Server) mustBeIdle(leader *leaderState, now time.Time, record Group, target string) bool {
	if !s.emptied(record.Members[target]) {
		return false
	}
	return target != record.Primary || leader.targetLeases.Lease(target) == nil || !s.givesWay(leader, now, record)
}

// giveWayAsLeaving returns the targets of a service that a promotion treats like leaving ones: those that are leaving, and
// while there is a replica elsewhere, those in emptied places.
func (s *Server) giveWayAsLeaving(leader *leaderState, now time.Time, record Group) map[string]bool {
	leaving := map[string]bool{}
	outside := s.hasOutside(leader, now, record)
	for target, member := range record.Members {
		leaving[target] = !leader.leavingSince(target).IsZero() || outside && s.emptied(member)
	}
	return leaving
}
