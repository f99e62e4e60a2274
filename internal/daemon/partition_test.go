package daemon

import (
	"context"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/consensus"
	"github.com/citronrun/citronrun/internal/entry"
	"github.com/citronrun/citronrun/internal/settings"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

// requireRecovery checks that writes are acknowledged again after a fault, and that the gap without
// acknowledgements stays within failoverBound.
func (load *bookingLoad) requireRecovery(t *testing.T, fault string) {
	t.Helper()
	load.awaitAcknowledged(t, 50, failoverBound)
	gap := load.resetGap()
	t.Logf("%s: longest gap %s", fault, gap.Round(time.Millisecond))
	if gap > failoverBound {
		t.Errorf("%s: gap %s exceeds %s", fault, gap, failoverBound)
	}
}

// Guards against lost acknowledged writes, false NotRun verdicts and long gaps when the control leader is
// killed and restarts, or is silently partitioned for the rest of the test in one or both directions.
func TestControlLeaderFaults(t *testing.T) {
	t.Parallel()
	faults := map[string]func(cluster *testCluster, victim int){
		"killed":        func(cluster *testCluster, victim int) { cluster.controls[victim].Kill() },
		"isolated":      func(cluster *testCluster, victim int) { cluster.isolate(controlName(victim), true, true) },
		"can't send":    func(cluster *testCluster, victim int) { cluster.isolate(controlName(victim), true, false) },
		"can't receive": func(cluster *testCluster, victim int) { cluster.isolate(controlName(victim), false, true) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			cluster, ctx := startCluster(t)
			load := cluster.startBookings(ctx, 6)
			load.awaitAcknowledged(t, 50, loadStartBound)
			load.resetGap()
			victim := cluster.awaitLeader(-1)
			fault(cluster, victim)
			cluster.awaitLeader(victim)
			load.requireRecovery(t, "leader "+name)
			cluster.eventually(failoverBound, "the former leader steps down", func() bool { return !cluster.controls[victim].control.Leading() })
			if name == "killed" {
				cluster.restartControl(victim)
				cluster.awaitControlsCaughtUp()
				load.requireRecovery(t, "leader restarted")
			}
			load.stopAndCheck(ctx, t, cluster.demo, 0)
		})
	}
}

// awaitControlsCaughtUp waits until all control hosts have applied the leader's commit index.
func (cluster *testCluster) awaitControlsCaughtUp() {
	cluster.t.Helper()
	cluster.eventually(failoverBound, "all control hosts have caught up", func() bool {
		leader := cluster.leader()
		if leader < 0 {
			return false
		}
		want := cluster.controls[leader].replica.Status()
		for _, c := range cluster.controls {
			if s := c.replica.Status(); s.Term != want.Term || s.Applied < want.Commit {
				return false
			}
		}
		return true
	})
}

// Guards against lost acknowledged writes and a gap above the bound when the primary and the control
// leader die at the same time.
func TestPrimaryAndControlLeaderLost(t *testing.T) {
	t.Parallel()
	cluster, ctx := startCluster(t)
	load := cluster.startBookings(ctx, 6)
	load.awaitAcknowledged(t, 50, loadStartBound)
	load.resetGap()
	cluster.controls[cluster.awaitLeader(-1)].Kill()
	cluster.groups[0].Primary().Kill()
	load.requireRecovery(t, "primary and control leader lost")
	load.stopAndCheck(ctx, t, cluster.demo, 0)
}

// Guards against acknowledgements by an owner whose lease has expired while it can still reach the
// targets, as after a process pause, and against services that it still owns when it returns.
func TestOwnerCutOff(t *testing.T) {
	t.Parallel()
	cluster, ctx := startCluster(t)
	load := cluster.startBookings(ctx, 6)
	load.awaitAcknowledged(t, 50, loadStartBound)
	load.resetGap()
	victim := cluster.owner(t)
	other := (victim + 1) % len(cluster.entries)
	cluster.isolate(cluster.entries[victim].settings.Host, true, true)
	cluster.eventually(failoverBound, "the service has another owner", func() bool {
		r, ok := cluster.entries[other].agent.Route("bookings")
		return ok && r.Owner != cluster.entries[victim].settings.Host
	})
	load.requireRecovery(t, "owner isolated")
	cluster.net.heal()
	load.requireRecovery(t, "owner returned")
	load.stopAndCheck(ctx, t, cluster.demo, other)
}

func (cluster *testCluster) openURL(host int) string {
	return "postgres://open@" + cluster.entries[host].CallerAddr().String() + "/" + openService + "?sslmode=disable"
}

// Guards against split brain when the network between two regions is partitioned. An entry host without
// the control leader must refuse routes that need a key, but must serve open routes while their owner is
// reachable.
func TestRegionsApart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	cluster, ctx := startCluster(t)
	load := cluster.startBookings(ctx, 6)
	load.awaitAcknowledged(t, 50, loadStartBound)
	load.resetGap()
	// The far region has one control host and one entry host that owns no service.
	farControl := (cluster.awaitLeader(-1) + 1) % controlHostCount
	far := cluster.idleEntry()
	farHost := cluster.entries[far].settings.Host
	keyed := cluster.connect(ctx, t, "coordinators", far)
	open, err := pgx.Connect(ctx, cluster.openURL(far))
	is.NoErr(err)
	defer open.Close(context.Background())

	for i := range controlHostCount {
		if i != farControl {
			cluster.net.cut(farHost, controlName(i))
			cluster.net.cut(controlName(i), farHost)
		}
		cluster.partitionPair(controlName(farControl), controlName(i))
	}
	partitionedAt := time.Now()
	_, err = open.Exec(ctx, "SELECT 1")
	is.NoErr(err)
	for err == nil && time.Since(partitionedAt) < entry.MaxConfirmedAge+3*time.Second {
		_, err = keyed.Exec(ctx, "SELECT count(*) FROM booking")
	}
	t.Logf("keyed route refused %s after the partition: %v", time.Since(partitionedAt).Round(time.Millisecond), err)
	is.Equal(sqlState(err), "57P03")
	is.Equal(errorDetail(err), "verdict: NotRun")
	started := time.Now()
	for range 5 { // the owner is still reachable
		_, err = open.Exec(ctx, "SELECT count(*) FROM booking")
		is.NoErr(err)
	}
	t.Logf("5 statements on an open route took %s", time.Since(started).Round(time.Millisecond))
	load.requireRecovery(t, "regions apart, owner reachable")

	cluster.partition(controlName(farControl), farHost) // now the owner is unreachable too
	cluster.eventually(failoverBound, "the open route is refused without its owner", func() bool {
		bounded, cancel := context.WithTimeout(ctx, 3*time.Second)
		defer cancel()
		_, err = open.Exec(bounded, "SELECT count(*) FROM booking")
		return err != nil
	})
	is.True(!cluster.controls[farControl].control.Leading())
	load.requireRecovery(t, "regions apart")
	cluster.net.heal()
	cluster.eventually(failoverBound, "the keyed route is served again", func() bool {
		return connectAndQuery(ctx, cluster.connectionURL("coordinators", cluster.entries[far], "bookings")) == nil
	})
	load.stopAndCheck(ctx, t, cluster.demo, far)
}

// idleEntry returns an entry host that owns no service.
func (cluster *testCluster) idleEntry() int {
	cluster.t.Helper()
	idle := -1
	cluster.eventually(failoverBound, "an entry host owns no service", func() bool {
		for i, e := range cluster.entries {
			owns := false
			for _, s := range cluster.services {
				r, _ := e.agent.Route(s)
				owns = owns || r.Owner == e.settings.Host
			}
			if !owns {
				idle = i
			}
		}
		return idle >= 0
	})
	return idle
}

func (cluster *testCluster) partitionPair(a, b string) {
	if a != b {
		cluster.net.cut(a, b)
		cluster.net.cut(b, a)
	}
}

// Guards against a stale catalog that an isolated control host serves to a starting host.
func TestStartAtIsolatedControl(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	cluster, ctx := newCluster(t, 1)
	is.NoErr(cluster.configure(ctx))
	victim := cluster.awaitLeader(-1)
	cluster.relays["entry-2"] = cluster.net.newRelay(t, "entry-2")
	for i := range controlHostCount {
		cluster.partitionPair(controlName(victim), controlName(i))
		if i != victim {
			cluster.partitionPair("entry-2", controlName(i))
		}
	}
	// No other leader can exist before the isolated leader's lease expires, so its catalog is still the newest
	// until then.
	time.Sleep(consensus.LeaseTicks * consensus.TickMillis * time.Millisecond)
	late := cluster.addEntry()
	cluster.awaitLeader(victim)
	started := time.Now()
	for time.Since(started) < 2*time.Second { // several rounds of renewals
		is.True(late.Agent().Catalog() == nil)
		is.True(late.Ready() != nil)
		time.Sleep(20 * time.Millisecond)
	}
	cluster.net.heal()
	cluster.eventually(catalogPropagationBound, "the catalog arrives", func() bool { return late.Agent().Catalog() != nil })
}

// Guards against a control host that accepts consensus messages from a host without the control role.
func TestConsensusOnlyAmongControlHosts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	cluster, ctx := newCluster(t, 1)
	for i := range controlHostCount {
		to := cluster.relays[controlName(i)].addr()
		err := cluster.entries[0].endpoint.Call(ctx, to, wire.KindRaft, []byte{}, nil)
		is.True(err != nil)
		is.Equal(verdict.Of(err), verdict.NotRun) // refused before the handler ran
		is.NoErr(cluster.controls[(i+1)%controlHostCount].endpoint.Call(ctx, to, wire.KindRaft, []byte{}, nil))
	}
	s := cluster.demo.settings("entry-1", settings.RoleControl) // the control role with an entry host's certificate
	_, err := Start(s, cluster.logger, Options{PeerTLS: cluster.entries[0].options.PeerTLS})
	is.True(err != nil)
}
