package main

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"github.com/citronrun/citronrun/bench/internal/history"
	"github.com/citronrun/citronrun/bench/internal/network"
	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/ctl"
	"github.com/citronrun/citronrun/internal/standin"
)

const (
	// withdrawalBound is the time within which a withdrawn key stops working.
	withdrawalBound        = 6 * time.Second
	catalogPropagationTime = 2 * time.Second
	isolationFraction      = 0.4 // of the run
	churnInterval          = 200 * time.Millisecond
	restartInterval        = time.Second
	restartTimeout         = 35 * time.Second
	lossRate               = 0.02
	lossJitter             = 10 * time.Millisecond
	receiveLag             = 20 * time.Millisecond
	minApplyLag            = time.Second
	applyLagRange          = 2 * time.Second
)

func (t *trial) firstGroup() *standin.Group { return t.cluster.Groups[t.cluster.Services()[0]] }

// pause waits, and reports false when the run ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// lagReplicas lets replicas apply the log 1 to 3 s late. They receive it in time, so that commits
// are acknowledged.
func lagReplicas(_ context.Context, t *trial) error {
	for _, g := range t.cluster.Groups {
		for _, s := range g.Servers {
			if s == g.Primary() {
				continue
			}
			s.SetLag(receiveLag, minApplyLag+time.Duration(t.rng.Int64N(int64(applyLagRange))))
		}
	}
	return nil
}

func killPrimary(_ context.Context, t *trial) error {
	t.firstGroup().Primary().Kill()
	return nil
}

// isolatePrimary cuts the primary off from all callers for a part of the run.
func isolatePrimary(ctx context.Context, t *trial) error {
	p := t.firstGroup().Primary()
	p.Isolate(true)
	sleep(ctx, time.Duration(isolationFraction*float64(t.options.duration)))
	p.Isolate(false)
	return nil
}

func killOwner(_ context.Context, t *trial) error {
	h := t.cluster.Owner(t.cluster.Services()[0])
	if h == nil {
		return errors.New("the service has no owner")
	}
	h.Signal(syscall.SIGKILL)
	return nil
}

func isolateLeader(ctx context.Context, t *trial) error {
	h := t.cluster.Leader(ctx)
	if h == nil {
		return errors.New("no control host leads")
	}
	t.cluster.Net.Cut(h.Name, network.CutBoth)
	return nil
}

func injectLoss(loss float64) func(context.Context, *trial) error {
	return func(_ context.Context, t *trial) error {
		p := t.cluster.Profile
		t.cluster.Net.SetLink(network.Link{Delay: p.Delay, LocalDelay: p.Delay / 10, Jitter: lossJitter, Loss: loss})
		return nil
	}
}

// withdrawKey withdraws the key of the first large team.
func withdrawKey(ctx context.Context, t *trial) error {
	team := "clerks"
	if t.options.profile == "prys" {
		team = "hospitals"
	}
	if err := t.cluster.WithdrawKey(ctx, team); err != nil {
		return err
	}
	t.mu.Lock()
	t.keyWithdrawnAt[team] = time.Now()
	t.keyWithdrawnOffset = map[string]time.Duration{team: t.load.Recorder.Elapsed()}
	t.mu.Unlock()
	return nil
}

// checkWithdrawn reports requests that ran with a key withdrawn before the bound.
func (t *trial) checkWithdrawnKeys(events []history.Event) {
	for _, e := range events {
		at, ok := t.keyWithdrawnOffset[e.Team]
		if ok && e.Outcome == history.OK && e.Start > at+withdrawalBound {
			t.recordFailure("request of %s ran %s after its key was withdrawn", e.Team, (e.Start - at).Round(time.Millisecond))
		}
	}
}

// restartHosts ends each entry host gracefully and starts it again.
func restartHosts(ctx context.Context, t *trial) error {
	for _, h := range t.cluster.Entries {
		if ctx.Err() != nil {
			return nil
		}
		h.Signal(syscall.SIGTERM)
		if code := h.Wait(restartTimeout); code != 0 {
			t.recordFailure("%s ended with code %d after SIGTERM", h.Name, code)
		}
		if err := h.Start(); err != nil {
			return err
		}
		sleep(ctx, restartInterval)
	}
	return nil
}

// changeConfiguration changes labels and policies that don't affect the load, through one host after
// another, and checks the answers.
func changeConfiguration(ctx context.Context, t *trial) error {
	start := time.Now()
	var events []history.ConfigEvent
	base := t.catalog.Revision()
	for i := 0; sleep(ctx, churnInterval); i++ {
		h := t.cluster.Entries[i%len(t.cluster.Entries)]
		api, err := t.cluster.API(h)
		if err != nil {
			return err
		}
		c := catalog.Change{ID: fmt.Sprintf("churn-%d", i), Base: base, Operator: "bench", Ops: churnOps(i, t.teamByIndex(i))}
		e := history.ConfigEvent{Operator: "bench", Base: base, ChangeID: c.ID, Start: time.Since(start)}
		res, err := api.Change(ctx, c)
		if ctx.Err() != nil {
			break
		}
		e.End, e.Result, e.Revision = time.Since(start), configResult(res, err), res.Revision
		events = append(events, e)
		if e.Result == history.ConfigAccepted {
			base = res.Revision
		} else if current, err := api.Catalog(ctx); err == nil {
			base = current.Revision
		}
	}
	if ok, detail := history.CheckConfig(events); !ok {
		t.recordFailure("configuration: %s", detail)
	}
	return nil
}

func churnOps(i int, team string) []catalog.Op {
	return []catalog.Op{
		{SetLabels: &catalog.SetLabels{Kind: "team", Name: team, Set: map[string]string{"churn": fmt.Sprint(i)}}},
		{PutPolicy: &catalog.PutPolicy{Name: fmt.Sprintf("churn-%d", i%3), Policy: catalog.Policy{
			Priority: 1, Teams: "churn=none", Share: float64(1 + i%5),
		}}},
	}
}

func (t *trial) teamByIndex(i int) string {
	teams := sortedKeys(t.catalog.Catalog().Teams)
	return teams[i%len(teams)]
}

func configResult(res catalog.Result, err error) history.ConfigResult {
	refused, ok := errors.AsType[*ctl.APIError](err)
	switch {
	case err == nil && res.Code == catalog.CodeAccepted:
		return history.ConfigAccepted
	case ok && refused.Code == string(catalog.CodeConflict):
		return history.ConfigConflict
	case ok && refused.Code == string(catalog.CodeInvalid):
		return history.ConfigInvalid
	}
	return history.ConfigUnknown
}
