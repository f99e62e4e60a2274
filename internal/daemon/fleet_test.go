package daemon

import (
	"context"
	"fmt"
	"path/filepath"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/pki"
	"github.com/citronrun/citronrun/internal/settings"
)

const (
	fleetControls = 3
	fleetTimeout  = 20 * time.Second // until the fleet serves
	openService   = "notices"
)

// fleet is a demo with three control hosts, whose hosts reach each other through a network that can
// be cut. The service bookings is keyed, notices is open.
type fleet struct {
	*demo
	t        testing.TB
	net      *network
	relays   map[string]*relay
	controls []*Daemon
	dirs     []string
}

// fleetSlots bounds the fleets that run at once. Each has up to ten daemons, and under the race
// detector more of them slow each other down until bounds of real time are missed.
var fleetSlots = make(chan struct{}, 2)

// newFleet starts control hosts and entry hosts, without targets.
func newFleet(t testing.TB, entries int) (*fleet, context.Context) {
	t.Helper()
	return newFleetWith(t, entries, Options{})
}

// newFleetWith is newFleet with options of all hosts.
func newFleetWith(t testing.TB, entries int, o Options) (*fleet, context.Context) {
	t.Helper()
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	d := newDemo(log.NewNopLogger())
	d.options = o
	f := &fleet{demo: d, t: t, net: newNetwork(), relays: map[string]*relay{}}
	t.Cleanup(func() {
		cancel()
		d.killAll()
		for _, c := range f.controls {
			c.Kill()
		}
	})
	var err error
	if f.authority, err = pki.NewAuthority(time.Now(), pki.HostLifetime); err != nil {
		t.Fatal(err)
	}
	f.services = []string{"bookings", openService}
	for i := range fleetControls {
		name := controlName(i)
		f.relays[name] = f.net.relay(t, name)
		f.dirs = append(f.dirs, filepath.Join(t.TempDir(), "data"))
	}
	for i := range fleetControls {
		f.controls = append(f.controls, f.startControlHost(i))
	}
	f.control = f.controls[0]
	for range entries {
		f.addEntry()
	}
	f.eventually(fleetTimeout, "three voters", func() bool { return f.voters() == fleetControls })
	return f, ctx
}

// startFleet starts a fleet that serves both services.
func startFleet(t testing.TB) (*fleet, context.Context) {
	t.Helper()
	f, ctx := newFleet(t, demoEntryHosts)
	bounded, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	for _, step := range []func(context.Context) error{f.configure, f.openNotices, f.startTargets, f.awaitService} {
		if err := step(bounded); err != nil {
			t.Fatal(err)
		}
	}
	return f, ctx
}

func controlName(i int) string { return fmt.Sprint("control-", i+1) }

func (f *fleet) controlAddrs() []string {
	var addrs []string
	for i := range fleetControls {
		addrs = append(addrs, f.relays[controlName(i)].addr())
	}
	return addrs
}

// boot starts a host behind its relay.
func (f *fleet) boot(s *settings.Settings) *Daemon {
	f.t.Helper()
	r := f.relays[s.Host]
	s.Listen.PeersAdvertised = r.addr()
	s.Control = f.controlAddrs()
	d, err := f.host(s)
	if err != nil {
		f.t.Fatal(err)
	}
	r.attach(d)
	return d
}

func (f *fleet) startControlHost(i int) *Daemon {
	f.t.Helper()
	s := f.demo.settings(controlName(i), settings.RoleControl)
	s.DataDir = f.dirs[i]
	s.Bootstrap = i == 0
	return f.boot(s)
}

func (f *fleet) restartControl(i int) {
	f.t.Helper()
	f.controls[i] = f.startControlHost(i)
	if i == 0 {
		f.control = f.controls[0]
	}
}

func (f *fleet) addEntry() *Daemon {
	f.t.Helper()
	name := fmt.Sprintf("entry-%d", len(f.entries)+1)
	if f.relays[name] == nil {
		f.relays[name] = f.net.relay(f.t, name)
	}
	e := f.boot(f.demo.settings(name, settings.RoleEntry))
	f.entries = append(f.entries, e)
	return e
}

func (f *fleet) openNotices(ctx context.Context) error {
	r, err := f.control.Agent().Change(ctx, catalog.Change{ID: "open", Base: 1, Ops: []catalog.Op{
		{SetLabels: &catalog.SetLabels{Kind: "service", Name: openService, Set: map[string]string{"open": "yes"}}},
		policy("open", catalog.Policy{Services: "open=yes", Open: true}),
	}})
	if err == nil && r.Code != catalog.CodeAccepted {
		err = fmt.Errorf("open policy is %s: %s: %s", r.Code, r.Field, r.Message)
	}
	return err
}

// leader returns the number of the control host that leads in the highest term and acts as leader,
// or -1.
func (f *fleet) leader() int {
	found, term := -1, uint64(0)
	for i, c := range f.controls {
		if s := c.replica.Status(); c.control.Leading() && s.Term > term {
			found, term = i, s.Term
		}
	}
	return found
}

func (f *fleet) awaitLeader(other int) int {
	f.t.Helper()
	leader := -1
	f.eventually(failoverBound, "a control leader", func() bool {
		leader = f.leader()
		return leader >= 0 && leader != other
	})
	return leader
}

// voters returns the number of voters as the leader knows them.
func (f *fleet) voters() int {
	leader, n := f.leader(), 0
	if leader < 0 {
		return 0
	}
	for _, m := range f.controls[leader].replica.Status().Members {
		if !m.Learner {
			n++
		}
	}
	return n
}

// names returns the names of all hosts.
func (f *fleet) names() []string {
	var names []string
	for name := range f.relays {
		names = append(names, name)
	}
	return names
}

// isolate cuts a host off from all others, in one direction or both.
func (f *fleet) isolate(host string, outgoing, incoming bool) {
	for _, other := range f.names() {
		if other == host {
			continue
		}
		if outgoing {
			f.net.cut(host, other)
		}
		if incoming {
			f.net.cut(other, host)
		}
	}
}

// part cuts the hosts of side off from all others, in both directions.
func (f *fleet) part(side ...string) {
	inside := map[string]bool{}
	for _, name := range side {
		inside[name] = true
	}
	for _, a := range f.names() {
		for _, b := range f.names() {
			if inside[a] != inside[b] {
				f.net.cut(a, b)
			}
		}
	}
}

// eventually polls a condition until it holds.
func (f *fleet) eventually(bound time.Duration, what string, ok func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(bound); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.t.Fatalf("not within %s: %s", bound, what)
		}
	}
}

// resetGap forgets the gap so far, and returns it.
func (b *bookers) resetGap() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	gap := max(b.gap, time.Since(b.last))
	b.gap, b.last = 0, time.Now()
	return gap
}
