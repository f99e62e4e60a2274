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
	controlHostCount    = 3
	clusterStartTimeout = 20 * time.Second // until all services are available
	openService         = "notices"
)

// testCluster is a demo with three control hosts. Its hosts reach each other through a network that can
// be partitioned. The service bookings requires a key, notices is open.
type testCluster struct {
	*demo
	t        testing.TB
	net      *network
	relays   map[string]*relay // by host name
	controls []*Daemon
	dirs     []string // data directories of the control hosts
}

// clusterSlots limits the number of clusters that run at once. Each has up to ten daemons; under the race
// detector, more clusters slow each other down until tests exceed their time bounds.
var clusterSlots = make(chan struct{}, 2)

// newCluster starts three control hosts and the given number of entry hosts, without targets.
func newCluster(t testing.TB, entries int) (*testCluster, context.Context) {
	t.Helper()
	return newClusterWithOptions(t, entries, Options{})
}

// newClusterWithOptions is newCluster with options for all hosts.
func newClusterWithOptions(t testing.TB, entries int, o Options) (*testCluster, context.Context) {
	t.Helper()
	clusterSlots <- struct{}{}
	t.Cleanup(func() { <-clusterSlots })
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	d := newDemo(log.NewNopLogger())
	d.options = o
	cluster := &testCluster{demo: d, t: t, net: newNetwork(), relays: map[string]*relay{}}
	t.Cleanup(func() {
		cancel()
		d.killAll()
		for _, c := range cluster.controls {
			c.Kill()
		}
	})
	var err error
	if cluster.authority, err = pki.NewAuthority(time.Now(), pki.HostLifetime); err != nil {
		t.Fatal(err)
	}
	cluster.services = []string{"bookings", openService}
	for i := range controlHostCount {
		name := controlName(i)
		cluster.relays[name] = cluster.net.newRelay(t, name)
		cluster.dirs = append(cluster.dirs, filepath.Join(t.TempDir(), "data"))
	}
	for i := range controlHostCount {
		cluster.controls = append(cluster.controls, cluster.startControlHost(i))
	}
	cluster.control = cluster.controls[0]
	for range entries {
		cluster.addEntry()
	}
	cluster.eventually(clusterStartTimeout, "all control hosts are voters", func() bool { return cluster.voters() == controlHostCount })
	return cluster, ctx
}

// startCluster starts a cluster and waits until both services are available.
func startCluster(t testing.TB) (*testCluster, context.Context) {
	t.Helper()
	cluster, ctx := newCluster(t, demoEntryHosts)
	startCtx, cancel := context.WithTimeout(ctx, clusterStartTimeout)
	defer cancel()
	for _, step := range []func(context.Context) error{cluster.configure, cluster.openNoticesService, cluster.startTargets, cluster.awaitServices} {
		if err := step(startCtx); err != nil {
			t.Fatal(err)
		}
	}
	return cluster, ctx
}

func controlName(i int) string { return fmt.Sprint("control-", i+1) }

func (cluster *testCluster) controlAddrs() []string {
	var addrs []string
	for i := range controlHostCount {
		addrs = append(addrs, cluster.relays[controlName(i)].addr())
	}
	return addrs
}

// startBehindRelay starts a host that advertises the address of its relay.
func (cluster *testCluster) startBehindRelay(s *settings.Settings) *Daemon {
	cluster.t.Helper()
	r := cluster.relays[s.Host]
	s.Listen.PeersAdvertised = r.addr()
	s.Control = cluster.controlAddrs()
	d, err := cluster.startHost(s)
	if err != nil {
		cluster.t.Fatal(err)
	}
	r.attach(d)
	return d
}

func (cluster *testCluster) startControlHost(i int) *Daemon {
	cluster.t.Helper()
	s := cluster.demo.settings(controlName(i), settings.RoleControl)
	s.DataDir = cluster.dirs[i]
	s.Bootstrap = i == 0
	return cluster.startBehindRelay(s)
}

func (cluster *testCluster) restartControl(i int) {
	cluster.t.Helper()
	cluster.controls[i] = cluster.startControlHost(i)
	if i == 0 {
		cluster.control = cluster.controls[0]
	}
}

func (cluster *testCluster) addEntry() *Daemon {
	cluster.t.Helper()
	name := fmt.Sprintf("entry-%d", len(cluster.entries)+1)
	if cluster.relays[name] == nil {
		cluster.relays[name] = cluster.net.newRelay(cluster.t, name)
	}
	e := cluster.startBehindRelay(cluster.demo.settings(name, settings.RoleEntry))
	cluster.entries = append(cluster.entries, e)
	return e
}

func (cluster *testCluster) openNoticesService(ctx context.Context) error {
	r, err := cluster.control.Agent().Change(ctx, catalog.Change{ID: "open", Base: 1, Ops: []catalog.Op{
		{SetLabels: &catalog.SetLabels{Kind: "service", Name: openService, Set: map[string]string{"open": "yes"}}},
		putPolicy("open", catalog.Policy{Services: "open=yes", Open: true}),
	}})
	if err == nil && r.Code != catalog.CodeAccepted {
		err = fmt.Errorf("open policy was not accepted: code %s, field %q: %s", r.Code, r.Field, r.Message)
	}
	return err
}

// leader returns the index of the control host that acts as leader in the highest term, or -1.
func (cluster *testCluster) leader() int {
	found, term := -1, uint64(0)
	for i, c := range cluster.controls {
		if s := c.replica.Status(); c.control.Leading() && s.Term > term {
			found, term = i, s.Term
		}
	}
	return found
}

// awaitLeader waits for a leader other than the control host with the given index; -1 allows any.
func (cluster *testCluster) awaitLeader(except int) int {
	cluster.t.Helper()
	leader := -1
	cluster.eventually(failoverBound, "another control leader acts", func() bool {
		leader = cluster.leader()
		return leader >= 0 && leader != except
	})
	return leader
}

// voters returns the number of voters in the leader's view, or 0 without a leader.
func (cluster *testCluster) voters() int {
	leader, n := cluster.leader(), 0
	if leader < 0 {
		return 0
	}
	for _, m := range cluster.controls[leader].replica.Status().Members {
		if !m.Learner {
			n++
		}
	}
	return n
}

func (cluster *testCluster) hostNames() []string {
	var names []string
	for name := range cluster.relays {
		names = append(names, name)
	}
	return names
}

// isolate drops all packets between a host and all others, in one direction or both.
func (cluster *testCluster) isolate(host string, outgoing, incoming bool) {
	for _, other := range cluster.hostNames() {
		if other == host {
			continue
		}
		if outgoing {
			cluster.net.cut(host, other)
		}
		if incoming {
			cluster.net.cut(other, host)
		}
	}
}

// partition drops all packets between the hosts of side and all others, in both directions.
func (cluster *testCluster) partition(side ...string) {
	inside := map[string]bool{}
	for _, name := range side {
		inside[name] = true
	}
	for _, a := range cluster.hostNames() {
		for _, b := range cluster.hostNames() {
			if inside[a] != inside[b] {
				cluster.net.cut(a, b)
			}
		}
	}
}

// eventually polls a condition and fails the test if it isn't met within the bound.
func (cluster *testCluster) eventually(bound time.Duration, what string, ok func() bool) {
	cluster.t.Helper()
	for deadline := time.Now().Add(bound); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			cluster.t.Fatalf("condition not met within %s: %s", bound, what)
		}
	}
}

// resetGap returns the longest gap so far and starts a new measurement.
func (load *bookingLoad) resetGap() time.Duration {
	load.mu.Lock()
	defer load.mu.Unlock()
	gap := max(load.longestGap, time.Since(load.lastAcknowledged))
	load.longestGap, load.lastAcknowledged = 0, time.Now()
	return gap
}
