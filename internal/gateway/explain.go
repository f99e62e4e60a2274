package gateway

import (
	"fmt"
	"time"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/spill"
	"github.com/citronrun/citronrun/internal/statement"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

// Query describes an operation whose way is to be explained.
type Query struct {
	Database string
	Team     string            // empty: a caller without a key
	Kind     statement.Kind    // Read or Write, or Begin or BeginRead for a block
	Place    string            // of the entry host; empty: this one's
	Floor    position.Position // of the session's commits; zero: none
}

// RateStater is implemented by a Directory that can tell how it would decide on a team's next rate token.
type RateStater interface {
	// RateState describes where the team's next token would come from, or why it would be refused.
	RateState(team string) string
}

// Explanation tells where this host would send an operation now, and why.
type Explanation struct {
	Place    string  `json:"place"`
	Version  uint64  `json:"deployment_version"`
	Service  string  `json:"service,omitempty"`
	Primary  bool    `json:"needs_primary"`
	Floor    string  `json:"floor,omitempty"`      // position that a replica must have reached
	MaxAgeMs float64 `json:"max_age_ms,omitempty"` // of the data
	Refusal  string  `json:"refusal,omitempty"`    // with SQLSTATE and verdict; empty: it would be sent
	Target   string  `json:"target,omitempty"`     // where it would go
	Holder   string  `json:"holder,omitempty"`
	Reason   string  `json:"reason,omitempty"` // a spill.Reason
	// DeclineAboveMs is the queue wait beyond which the holder would decline the operation; 0: it would not.
	DeclineAboveMs float64           `json:"decline_above_ms,omitempty"`
	Limits         []Limit           `json:"limits"`
	Targets        []ExplainedTarget `json:"targets"`
}

// Limit is a limit that applies to the operation, and its state.
type Limit struct {
	Name  string `json:"name"`
	Bound string `json:"bound"`
	State string `json:"state"`
}

// ExplainedTarget is a target of the service with its cost in parts, in ms, or the reason why it can't be used.
type ExplainedTarget struct {
	Target   string  `json:"target"`
	Place    string  `json:"place"`
	Primary  bool    `json:"primary"`
	Unusable string  `json:"unusable,omitempty"`
	Total    float64 `json:"total_ms"`
	Path     float64 `json:"path_ms"`
	Wait     float64 `json:"wait_ms"`
	InFlight float64 `json:"in_flight_ms"`
	Failures float64 `json:"failures_ms"`
	Reserve  float64 `json:"reserve_ms"`
	Traffic  float64 `json:"traffic_ms"`
}

// Explain explains where an operation would go now, without sending it. An error means that the query makes no sense at
// this host.
func (g *Gateway) Explain(q Query) (Explanation, error) {
	e := Explanation{Place: g.cfg.Place, Version: g.index().Version()}
	switch q.Kind {
	case statement.Read, statement.Write, statement.Begin, statement.BeginRead:
	default:
		return e, fmt.Errorf("kind %q has no target of its own, want read, write, begin or begin_read", q.Kind)
	}
	if q.Place != "" && q.Place != g.cfg.Place {
		return e, fmt.Errorf("this host is in place %q: ask an entry host of place %q", g.cfg.Place, q.Place)
	}
	e.Limits = append(e.Limits, Limit{"confirmation of the deployment", g.cfg.MaxConfirmedAge.String(), g.cfg.Directory.ConfirmedAge().Round(time.Millisecond).String() + " old"})
	index, route, err := g.routeOf(q.Database)
	if err != nil {
		e.refuse(err)
		return e, nil
	}
	if _, known := index.Team(q.Team); !known {
		if q.Team != "" && q.Team != catalog.OpenTeam || !route.Open {
			e.refuse(errInvalidKey)
		}
		q.Team = catalog.OpenTeam
	}
	g.explainLimits(&e, index, route, q)
	g.explainTargets(&e, route, q)
	return e, nil
}

// refuse records the first reason for which the operation would be refused.
func (e *Explanation) refuse(err error) {
	if e.Refusal == "" {
		e.Refusal = verdict.As(err).Error()
	}
}

func (g *Gateway) explainLimits(e *Explanation, index *catalog.Index, route *catalog.Route, q Query) {
	if team, ok := index.Team(q.Team); ok && !team.Unlimited {
		limit := Limit{Name: "rate of team " + q.Team, Bound: fmt.Sprintf("%v/s, burst %v", team.Rate, team.Burst)}
		if rates, ok := g.cfg.Directory.(RateStater); ok {
			limit.State = rates.RateState(q.Team)
		}
		e.Limits = append(e.Limits, limit)
	}
	e.Limits = append(e.Limits,
		Limit{"timeout of the route", route.Timeout.String(), fmt.Sprintf("objective %v, priority %d", route.LatencyObjective, route.Priority)},
		Limit{"wait for a usable target", targetWaitLimit(route).String(), ""},
	)
}

func (g *Gateway) explainTargets(e *Explanation, route *catalog.Route, q Query) {
	req := requirementFor(route, q.Kind, q.Floor, false, g.cfg.TrafficCost)
	e.Service, e.Primary, e.MaxAgeMs = req.service, req.primary, ms(req.maxAge)
	if !req.minPosition.IsZero() {
		e.Floor = req.minPosition.String()
	}
	e.Limits = append(e.Limits, Limit{"saving that pays for leaving the place", req.trafficCost.String(), ""})
	run := &statementRun{session: &Session{gateway: g}, route: route, team: q.Team, st: statement.Statement{Kind: q.Kind}, arrived: g.cfg.Clock.Now()}
	excluded := g.router.excluded(req, run, nil)
	routes, candidates := g.router.candidates(req, excluded)
	costs := map[string]spill.Parts{}
	for i, r := range routes {
		costs[r.Target] = candidates[i].Parts
	}
	for _, r := range g.cfg.Directory.TargetsOf(req.service) {
		target := g.explainTarget(r, req, costs[r.Target])
		if target.Unusable == "" && excluded[r.Target] {
			target.Unusable = "too busy or behind, by its last refusal"
		}
		e.Targets = append(e.Targets, target)
	}
	if len(routes) == 0 {
		e.refuse(run.errNoTarget(g.router.untilAdmitted(run)))
		return
	}
	chosen := decide(req, routes, candidates)
	e.Target, e.Holder, e.Reason, e.DeclineAboveMs = chosen.Target, chosen.Holder, string(chosen.reason), ms(chosen.declineAbove)
}

func (g *Gateway) explainTarget(r wire.TargetRoute, req requirement, p spill.Parts) ExplainedTarget {
	return ExplainedTarget{
		Target: r.Target, Place: r.Place, Primary: r.Primary, Unusable: g.router.unusable(r, req), Total: ms(p.Total()),
		Path: ms(p.Path), Wait: ms(p.Wait), InFlight: ms(p.InFlight), Failures: ms(p.Failures), Reserve: ms(p.Reserve), Traffic: ms(p.Traffic),
	}
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
