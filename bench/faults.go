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

// sleep waits for d and reports whether it did so before ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-ctx.Done():
		return false
	}
}

// lagReplicas makes replicas apply the log 1 to 3 s late. They still receive it within 20 ms, so that
// commits are acknowledged.
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

// isolatePrimary isolates the primary of the first service for a fraction of the run.
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
		return fmt.Errorf("service %s has no owner", t.cluster.Services()[0])
	}
	h.Signal(syscall.SIGKILL)
	return nil
}

func isolateLeader(ctx context.Context, t *trial) error {
	h := t.cluster.Leader(ctx)
	if h == nil {
		return errors.New("no control host reports itself as leader")
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

// withdrawKey withdraws the key of one large team.
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

// checkWithdrawnKeys reports requests that started more than withdrawalBound after their team's key
// was withdrawn, but still ran.
func (t *trial) checkWithdrawnKeys(events []history.Event) {
	for _, e := range events {
		at, ok := t.keyWithdrawnOffset[e.Team]
		if ok && e.Outcome == history.OK && e.Start > at+withdrawalBound {
			t.recordFailure("request of team %s ran %s after the team's key was withdrawn", e.Team, (e.Start - at).Round(time.Millisecond))
		}
	}
}

// restartHosts restarts each entry host in turn, with a graceful shutdown.
func restartHosts(ctx context.Context, t *trial) error {
	for _, h := range t.cluster.Entries {
		if ctx.Err() != nil {
			return nil
		}
		h.Signal(syscall.SIGTERM)
		if code := h.Wait(restartTimeout); code != 0 {
			t.recordFailure("%s exited with code %d after SIGTERM, want 0", h.Name, code)
		}
		if err := h.Start(); err != nil {
			return err
		}
		sleep(ctx, restartInterval)
	}
	return nil
}

// changeConfiguration submits changes of labels and policies that don't affect the load, through the
// entry hosts in turn, and checks the responses.
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
