package control

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronrun/citronrun/internal/promotion"
)

// inspect pauses the replicas, queries the state of the primary, and decides what follows. Targets in emptied places are
// left alone, and count as not answering, if the others suffice for the choice of one of them.
func (s *Server) inspect(ctx context.Context, leader *leaderState, service string, record Group, leaving map[string]bool, commitsStalled bool) promotion.Decision {
	inspection := promotion.Inspection{
		Primary: record.Primary, Pending: promotion.Pending{Target: record.Candidate, Received: record.CandidateReceived, Contested: record.Contested},
		SyncReplicas: s.syncReplicas(service), Departed: record.lostLogs(), CommitsStalled: commitsStalled,
	}
	var first, inEmptied []string
	for target, member := range record.Members {
		switch {
		case target != record.Primary && member.Released:
		case s.emptied(member) && target != record.Candidate:
			inEmptied = append(inEmptied, target)
		default:
			first = append(first, target)
		}
	}
	reports := s.queryTargets(ctx, leader, service, record, leaving, first)
	inspection.Reports = reports
	for _, target := range inEmptied {
		inspection.Reports = append(inspection.Reports, promotion.Report{Target: target, Leaving: leaving[target]})
	}
	d := inspection.Decide()
	suffices := d.Order.Target != "" && !leaving[d.Order.Target] || d.StillPrimary && !commitsStalled
	if len(inEmptied) > 0 && !suffices {
		s.mu.Lock()
		leader.groupState(s.Clock.Now(), service).emptiedPaused = true
		s.mu.Unlock()
		inspection.Reports = append(reports, s.queryTargets(ctx, leader, service, record, leaving, inEmptied)...)
		d = inspection.Decide()
	}
	_ = level.Info(s.Logger).Log("msg", "promotion considered", "service", service, "primary", record.Primary,
		"candidate", record.Candidate, "choice", d.Order.Target, "still_primary", d.StillPrimary, "successor", d.Successor, "emptied", len(inEmptied))
	return d
}

// queryTargets pauses the replicas among some targets of a service, and queries the state of all of them.
func (s *Server) queryTargets(ctx context.Context, leader *leaderState, service string, record Group, leaving map[string]bool, targets []string) []promotion.Report {
	pause := func(ctx context.Context, t TargetRef) (TargetState, error) { return s.pause(ctx, leader, t) }
	var mu sync.Mutex
	var wg sync.WaitGroup
	reports := make([]promotion.Report, 0, len(record.Members))
	queryTarget := func(target string, timeout time.Duration, query func(context.Context, TargetRef) (TargetState, error)) {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			targetState, err := query(ctx, TargetRef{Service: service, Target: target, Addr: record.Members[target].Addr})
			r := promotion.Report{Target: target, Leaving: leaving[target]}
			if err == nil {
				r.Answered, r.Primary, r.Paused = true, targetState.Primary, !targetState.Primary
				r.Term, r.Received = targetState.Term, targetState.Received
			}
			_ = level.Info(s.Logger).Log("msg", "target inspected", "service", service, "target", target,
				"primary", targetState.Primary, "term", targetState.Term, "received", targetState.Received, "leaving", r.Leaving, "err", err)
			mu.Lock()
			defer mu.Unlock()
			reports = append(reports, r)
		})
	}
	for _, target := range targets {
		if target == record.Primary {
			queryTarget(target, inspectPrimaryTimeout, func(ctx context.Context, t TargetRef) (TargetState, error) {
				t.Direct = true // a primary that only other hosts reach stays fenced
				return s.TargetControl.State(ctx, t)
			})
		} else {
			queryTarget(target, inspectTimeout, pause)
		}
	}
	wg.Wait()
	return reports
}
