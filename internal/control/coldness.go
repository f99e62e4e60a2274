package control

import (
	"time"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/wire"
)

// ColdTolerance is how far the statements that a cold target gets in any second may exceed its rate. Those of the leader
// itself are within it too.
type ColdTolerance struct {
	Factor     float64 // of the rate; 0: 1
	Statements float64 // added
}

const (
	// coldShare is the share of what a cold target bears that its holder may send. The rest is for the leader's queries.
	coldShare = 0.75
	// maxColdLimit is the greatest limit that is counted. A target that bears more than that in a second isn't protected.
	maxColdLimit = 100_000
	// coldConfirmInterval is the time between two queries of a promoted target of a service that limits what cold
	// targets get.
	coldConfirmInterval = 250 * time.Millisecond
)

// limit returns how many statements the holder of a cold target may send in any second, or 0 if there is no limit.
func (t ColdTolerance) limit(rate float64) int {
	if rate <= 0 {
		return 0
	}
	factor := t.Factor
	if factor <= 0 {
		factor = 1
	}
	limit := coldShare * (rate*factor + t.Statements)
	if limit > maxColdLimit {
		return 0
	}
	return max(1, int(limit))
}

// coldness returns what the holder of a target has to know of its start.
func (s *Server) coldness(leader *leaderState, now time.Time, service *catalog.DeployedService, target string) wire.Coldness {
	limit := s.ColdTolerance.limit(service.ColdRate)
	r := leader.registrations[target]
	if limit == 0 || r == nil {
		return wire.Coldness{Limit: limit}
	}
	return wire.Coldness{Limit: limit, Known: true, HeardAgo: now.Sub(r.receivedAt), Remaining: r.coldFor(now)}
}

// coldFor returns how long a target stays cold, at most.
func (r *registration) coldFor(now time.Time) time.Duration {
	return max(0, r.WarmupRemaining-now.Sub(r.receivedAt))
}

// isCold reports whether a target of a service that limits what cold targets get is known to be cold.
func (s *Server) isCold(leader *leaderState, now time.Time, service, target string) bool {
	r := leader.registrations[target]
	return r != nil && r.coldFor(now) > 0 && s.limitsCold(service)
}

// limitsCold reports whether a service limits what cold targets get.
func (s *Server) limitsCold(service string) bool {
	if d := s.Machine.Catalog().Catalog.Deployment; d != nil {
		for i := range d.Services {
			if d.Services[i].Name == service {
				return d.Services[i].ColdRate > 0
			}
		}
	}
	return false
}
