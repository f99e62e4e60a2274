package daemon

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/anishathalye/porcupine"
	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/agent"
	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/wire"
)

const (
	operatorSeed  = 20
	operatorCount = 5
	operatorPause = 20 * time.Millisecond // between changes; it bounds the history
)

// sent is a send of a change.
type sent struct {
	id    string
	base  uint64
	valid bool
}

// decided is the answer to a change; the zero value means that it is unknown.
type decided struct {
	code     catalog.Code
	revision uint64
}

// configState is the state of the model: the revision and the answers given.
type configState struct {
	revision uint64
	answers  map[string]decided
}

var configModel = porcupine.Model{
	Init: func() any { return configState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(configState), input.(sent), output.(decided)
		known, ok := s.answers[in.id]
		if !ok {
			s, known = s.decide(in)
		}
		return out == decided{} || out == known, s
	},
	Equal: func(a, b any) bool {
		x, y := a.(configState), b.(configState)
		return x.revision == y.revision && maps.Equal(x.answers, y.answers)
	},
}

func (s configState) decide(in sent) (configState, decided) {
	answer := decided{catalog.CodeConflict, s.revision}
	if in.base == s.revision {
		answer.code = catalog.CodeInvalid
		if in.valid {
			answer = decided{catalog.CodeAccepted, s.revision + 1}
		}
	}
	next := configState{revision: s.revision, answers: maps.Clone(s.answers)}
	if next.answers == nil {
		next.answers = map[string]decided{}
	}
	next.answers[in.id] = answer
	if answer.code == catalog.CodeAccepted {
		next.revision++
	}
	return next, answer
}

// operators submit changes concurrently and record a history.
type operators struct {
	mu       sync.Mutex
	started  time.Time
	history  []porcupine.Operation
	accepted map[string]bool
	unknown  int
	latest   uint64 // highest revision in an answer
	stop     atomic.Bool
}

func (s sent) change() catalog.Change {
	op := policy(s.id, catalog.Policy{Share: 1})
	if !s.valid {
		op = catalog.Op{PutPolicy: &catalog.PutPolicy{Name: s.id, Policy: catalog.Policy{Teams: "=="}}}
	}
	return catalog.Change{ID: s.id, Base: s.base, Ops: []catalog.Op{op}}
}

// send submits a change once and records the answer. It reports whether the answer is known.
func (o *operators) send(ctx context.Context, client int, via *agent.Agent, s sent, limit time.Duration) bool {
	bounded, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	call := time.Since(o.started)
	r, err := via.Change(bounded, s.change())
	done := time.Since(o.started)
	out := decided{r.Code, r.Revision}
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil {
		out, done = decided{}, time.Hour // it may take effect at any later time
		o.unknown++
	} else if r.Code == catalog.CodeAccepted {
		o.accepted[s.id] = true
	}
	o.latest = max(o.latest, r.Revision)
	o.history = append(o.history, porcupine.Operation{
		ClientId: client, Input: s, Call: call.Nanoseconds(), Output: out, Return: done.Nanoseconds(),
	})
	return err == nil
}

// run submits changes through changing hosts. An answer that is late counts as lost, and the change
// is sent again through another host.
func (o *operators) run(ctx context.Context, client int, hosts []*agent.Agent) {
	rng := rand.New(rand.NewPCG(operatorSeed, uint64(client)))
	for i := 0; !o.stop.Load() && ctx.Err() == nil; i++ {
		via := hosts[rng.IntN(len(hosts))]
		s := sent{id: fmt.Sprintf("o%d-%d", client, i), valid: rng.IntN(10) > 0, base: o.base(rng, via)}
		limit := time.Duration(2+rng.IntN(100)) * time.Millisecond
		for !o.send(ctx, client, via, s, limit) && ctx.Err() == nil {
			via = hosts[rng.IntN(len(hosts))]
			limit = failoverBound
		}
		time.Sleep(operatorPause)
	}
}

// base returns the revision that a change builds on: that of the host, which may be outdated, or the
// latest that any operator has seen.
func (o *operators) base(rng *rand.Rand, via *agent.Agent) uint64 {
	c := via.Catalog()
	if c != nil && rng.IntN(2) == 0 {
		return c.Revision()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.latest
}

// await waits until more changes were accepted.
func (o *operators) await(f *fleet) {
	f.t.Helper()
	const more = 20
	count := func() int {
		o.mu.Lock()
		defer o.mu.Unlock()
		return len(o.accepted)
	}
	want := count() + more
	f.eventually(failoverBound, "accepted changes", func() bool { return count() >= want })
}

// watchRevisions reports a host whose revision goes back.
func watchRevisions(ctx context.Context, t *testing.T, hosts []*agent.Agent) {
	seen := make([]uint64, len(hosts))
	for ctx.Err() == nil {
		for i, a := range hosts {
			c := a.Catalog()
			if c == nil {
				continue
			}
			if c.Revision() < seen[i] {
				t.Errorf("host %s went from revision %d back to %d", a.Host, seen[i], c.Revision())
			}
			seen[i] = c.Revision()
		}
		time.Sleep(time.Millisecond)
	}
}

func (f *fleet) agents() []*agent.Agent {
	var agents []*agent.Agent
	for _, d := range append(append([]*Daemon{}, f.entries...), f.controls...) {
		agents = append(agents, d.Agent())
	}
	return agents
}

// checkKept makes sure that every accepted change is in force on all hosts.
func (f *fleet) checkKept(accepted map[string]bool, hosts []*agent.Agent) {
	f.t.Helper()
	for _, a := range hosts {
		f.eventually(failoverBound, "accepted changes in force at "+a.Host, func() bool {
			c := policiesOf(f.t, a)
			for id := range accepted {
				if _, ok := c[id]; !ok {
					return false
				}
			}
			return true
		})
	}
}

func policiesOf(t testing.TB, a *agent.Agent) map[string]catalog.Policy {
	t.Helper()
	s := a.Catalog()
	if s == nil {
		return nil
	}
	data, err := s.Encode()
	if err != nil {
		t.Fatal(err)
	}
	var c catalog.Catalog
	if err := wire.Unmarshal(data, &c); err != nil {
		t.Fatal(err)
	}
	return c.Policies
}

// Guards against two accepted changes of one revision, a resend that is decided anew, an accepted
// change that is lost and a host whose revision goes back, while control leaders change.
func TestConcurrentOperators(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := newFleet(t, 3)
	hosts := f.agents()
	watch, stop := context.WithCancel(ctx)
	var watcher, clients sync.WaitGroup
	watcher.Go(func() { watchRevisions(watch, t, hosts) })
	o := &operators{started: time.Now(), accepted: map[string]bool{}}
	for client := range operatorCount {
		clients.Go(func() { o.run(ctx, client, hosts) })
	}
	for i := range 3 { // in turn: both directions, sending, receiving
		o.await(f)
		victim := f.awaitLeader(-1)
		f.isolate(controlName(victim), i != 2, i != 1)
		f.awaitLeader(victim)
		f.net.heal()
		f.awaitInStep()
	}
	o.await(f)
	o.stop.Store(true)
	clients.Wait()
	f.checkKept(o.accepted, hosts)
	stop()
	watcher.Wait()
	result := porcupine.CheckOperationsTimeout(configModel, o.history, time.Minute)
	t.Logf("seed %d: %d sends, %d unknown, %d accepted, history %s", operatorSeed, len(o.history), o.unknown, len(o.accepted), result)
	is.Equal(result, porcupine.Ok)
	is.True(o.unknown > 0)
}

// change submits a policy as a change and notes that it is accepted.
func (f *fleet) change(ctx context.Context, accepted map[string]bool, via *agent.Agent, id, name string, base uint64) uint64 {
	f.t.Helper()
	r, err := via.Change(ctx, catalog.Change{ID: id, Base: base, Ops: []catalog.Op{policy(name, catalog.Policy{Share: 1})}})
	if err != nil || r.Code != catalog.CodeAccepted {
		f.t.Fatalf("change %s: %+v, %v", id, r, err)
	}
	accepted[name] = true
	return r.Revision
}

// Guards against changes and remembered answers that a restart of all control hosts loses once the
// log was compacted, and against a slow restart.
func TestRestartAfterManyChanges(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const changes = 250
	f, ctx := newFleetWith(t, 1, Options{SnapshotEntries: 50})
	accepted := map[string]bool{}
	revision := f.manyChanges(ctx, accepted, changes)
	restarted := f.restartAllControls(revision)
	t.Logf("all hosts confirmed %s after the restart", restarted.Round(time.Millisecond))
	f.checkKept(accepted, f.agents())
	again, err := f.entries[0].Agent().Change(ctx, catalog.Change{ID: "c7", Base: 7, Ops: []catalog.Op{policy("p7", catalog.Policy{Share: 1})}})
	is.NoErr(err)
	is.Equal(again, catalog.Result{Code: catalog.CodeAccepted, Revision: 8}) // the first answer
}

func (f *fleet) manyChanges(ctx context.Context, accepted map[string]bool, changes int) uint64 {
	f.t.Helper()
	revision := uint64(0)
	for i := range changes {
		revision = f.change(ctx, accepted, f.control.Agent(), fmt.Sprint("c", i), fmt.Sprint("p", i%100), revision)
	}
	return revision
}

// restartAllControls returns the time until all hosts are confirmed at the revision again.
func (f *fleet) restartAllControls(revision uint64) time.Duration {
	f.t.Helper()
	for _, c := range f.controls {
		c.Kill()
	}
	started := time.Now()
	for i := range f.controls {
		f.restartControl(i)
	}
	f.eventually(failoverBound, "revision on all hosts", func() bool {
		for _, a := range f.agents() {
			if c := a.Catalog(); c == nil || c.Revision() != revision || a.ConfirmedAge() > time.Since(started) {
				return false
			}
		}
		return true
	})
	return time.Since(started)
}

// Guards against accepted changes that are lost when a control host's disk is lost and a second host
// is lost right after the first one was replaced.
func TestWipedControlHost(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := newFleet(t, 2)
	accepted := map[string]bool{}
	revision := uint64(0)
	for i := range 20 {
		revision = f.change(ctx, accepted, f.entries[0].Agent(), fmt.Sprint("a", i), fmt.Sprint("a", i), revision)
	}
	leader := f.awaitLeader(-1)
	wiped := (leader + 1) % fleetControls
	old := f.controls[wiped].replica.Status().ID
	f.controls[wiped].Kill()
	is.NoErr(os.RemoveAll(f.dirs[wiped]))
	f.restartControl(wiped)
	is.True(f.controls[wiped].replica.Status().ID != old)
	is.NoErr(f.controls[leader].replica.RemoveMember(ctx, old))
	f.eventually(failoverBound, "three voters again", func() bool { return f.voters() == fleetControls })
	for i := range 20 {
		revision = f.change(ctx, accepted, f.entries[1].Agent(), fmt.Sprint("b", i), fmt.Sprint("b", i), revision)
	}
	f.controls[leader].Kill()
	is.NoErr(os.RemoveAll(f.dirs[leader]))
	started := time.Now()
	f.awaitLeader(leader)
	revision = f.change(ctx, accepted, f.entries[0].Agent(), "c", "c", revision)
	t.Logf("next change accepted %s after the second loss", time.Since(started).Round(time.Millisecond))
	var left []*agent.Agent
	for i, c := range f.controls {
		if i != leader {
			left = append(left, c.Agent())
		}
	}
	f.checkKept(accepted, append(left, f.entries[0].Agent(), f.entries[1].Agent()))
	is.Equal(revision, uint64(41))
}

// Guards against metrics and state that are missing, or that count nothing.
func TestControlMetrics(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := newFleet(t, 1)
	f.change(ctx, map[string]bool{}, f.entries[0].Agent(), "a", "a", 0)
	leader := f.controls[f.awaitLeader(-1)]
	var out strings.Builder
	leader.metrics.WritePrometheus(&out)
	metrics.WritePrometheus(&out, false)
	for _, name := range []string{
		"citron_control_leader 1", "citron_control_term", "citron_control_commit_index", "citron_control_applied_index",
		"citron_control_renewals_total", "citron_control_lots_refused_total", `citron_control_changes_total{result="accepted"}`,
		"citron_agent_confirmed_seconds", "citron_agent_leases", "citron_agent_renewals_total", "citron_agent_borrows_total",
		"citron_transport_sent_bytes_total", "citron_transport_received_bytes_total",
	} {
		if !strings.Contains(out.String(), name) {
			t.Errorf("no metric %s", name)
		}
	}
	before := leader.traffic()
	is.True(before.Sent > 0 && before.Received > 0 && before.Connections > 0)
	leader.endpoint.CloseConn(f.relays["entry-1"].addr())
	is.True(leader.traffic().Sent >= before.Sent) // closed connections still count
	is.True(leader.stateParts()["transport"]() != nil)
}
