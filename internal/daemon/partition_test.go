package daemon

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/consensus"
	"github.com/citronrun/citronrun/internal/entry"
	"github.com/citronrun/citronrun/internal/settings"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

// through makes sure that writes are acknowledged after a fault, and logs the gap that it caused.
func (b *bookers) through(t *testing.T, fault string) {
	t.Helper()
	b.await(t, 50, failoverBound)
	gap := b.resetGap()
	t.Logf("%s: longest gap %s", fault, gap.Round(time.Millisecond))
	if gap > failoverBound {
		t.Errorf("%s: gap %s exceeds %s", fault, gap, failoverBound)
	}
}

// Guards against lost acknowledgements, false refusals and long gaps while the control leader is
// killed and returns, or is cut off silently for the rest of the test, in both directions or in one.
func TestControlLeaderFaults(t *testing.T) {
	t.Parallel()
	faults := map[string]func(f *fleet, victim int){
		"killed":        func(f *fleet, victim int) { f.controls[victim].Kill() },
		"isolated":      func(f *fleet, victim int) { f.isolate(controlName(victim), true, true) },
		"can't send":    func(f *fleet, victim int) { f.isolate(controlName(victim), true, false) },
		"can't receive": func(f *fleet, victim int) { f.isolate(controlName(victim), false, true) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, ctx := startFleet(t)
			b := f.startBookers(ctx, 6)
			b.await(t, 50, startBound)
			b.resetGap()
			victim := f.awaitLeader(-1)
			fault(f, victim)
			f.awaitLeader(victim)
			b.through(t, "leader "+name)
			f.eventually(failoverBound, "the lost leader steps down", func() bool { return !f.controls[victim].control.Leading() })
			if name == "killed" {
				f.restartControl(victim)
				f.awaitInStep()
				b.through(t, "leader returned")
			}
			b.check(ctx, t, f.demo, 0)
		})
	}
}

// awaitInStep waits until all control hosts have applied what the leader has committed.
func (f *fleet) awaitInStep() {
	f.t.Helper()
	f.eventually(failoverBound, "control hosts in step", func() bool {
		leader := f.leader()
		if leader < 0 {
			return false
		}
		want := f.controls[leader].replica.Status()
		for _, c := range f.controls {
			if s := c.replica.Status(); s.Term != want.Term || s.Applied < want.Commit {
				return false
			}
		}
		return true
	})
}

// Guards against lost acknowledgements and a gap above the bound when the primary and the control
// leader are lost at the same moment.
func TestPrimaryAndControlLeaderLost(t *testing.T) {
	t.Parallel()
	f, ctx := startFleet(t)
	b := f.startBookers(ctx, 6)
	b.await(t, 50, startBound)
	b.resetGap()
	f.controls[f.awaitLeader(-1)].Kill()
	f.groups[0].Primary().Kill()
	b.through(t, "primary and control leader lost")
	b.check(ctx, t, f.demo, 0)
}

// Guards against acknowledgements by an owner whose lease has lapsed while it still reaches the
// targets, as after a pause, and against services that it keeps when it returns.
func TestOwnerCutOff(t *testing.T) {
	t.Parallel()
	f, ctx := startFleet(t)
	b := f.startBookers(ctx, 6)
	b.await(t, 50, startBound)
	b.resetGap()
	victim := f.owner(t)
	other := (victim + 1) % len(f.entries)
	f.isolate(f.entries[victim].settings.Host, true, true)
	f.eventually(failoverBound, "another owner", func() bool {
		r, ok := f.entries[other].agent.Route("bookings")
		return ok && r.Owner != f.entries[victim].settings.Host
	})
	b.through(t, "owner cut off")
	f.net.heal()
	b.through(t, "owner returned")
	b.check(ctx, t, f.demo, other)
}

func code(err error) string {
	if e, ok := errors.AsType[*pgconn.PgError](err); ok {
		return e.Code
	}
	return ""
}

func (f *fleet) openURL(host int) string {
	return "postgres://open@" + f.entries[host].CallerAddr().String() + "/" + openService + "?sslmode=disable"
}

// Guards against two sides that both go on when two regions are apart, against keyed routes that stay
// open on a host without control, and against open routes that stop there although their owner can
// be reached.
func TestRegionsApart(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := startFleet(t)
	b := f.startBookers(ctx, 6)
	b.await(t, 50, startBound)
	b.resetGap()
	// The far region holds one control host and one entry host that owns nothing.
	farControl := (f.awaitLeader(-1) + 1) % fleetControls
	far := f.idleEntry()
	farHost := f.entries[far].settings.Host
	keyed := f.connect(ctx, t, "coordinators", far)
	open, err := pgx.Connect(ctx, f.openURL(far))
	is.NoErr(err)
	defer open.Close(context.Background())

	for i := range fleetControls {
		if i != farControl {
			f.net.cut(farHost, controlName(i))
			f.net.cut(controlName(i), farHost)
		}
		f.partPair(controlName(farControl), controlName(i))
	}
	cut := time.Now()
	_, err = open.Exec(ctx, "SELECT 1")
	is.NoErr(err)
	for err == nil && time.Since(cut) < entry.MaxConfirmedAge+3*time.Second {
		_, err = keyed.Exec(ctx, "SELECT count(*) FROM booking")
	}
	t.Logf("keyed route refused %s after the cut: %v", time.Since(cut).Round(time.Millisecond), err)
	is.Equal(code(err), "57P03")
	is.Equal(detail(err), "verdict: NotRun")
	started := time.Now()
	for range 5 { // the owner is still reachable
		_, err = open.Exec(ctx, "SELECT count(*) FROM booking")
		is.NoErr(err)
	}
	t.Logf("5 statements on an open route took %s", time.Since(started).Round(time.Millisecond))
	b.through(t, "regions apart, owner reachable")

	f.part(controlName(farControl), farHost) // now without the owner too
	f.eventually(failoverBound, "open route without owner is refused", func() bool {
		bounded, cancel := context.WithTimeout(ctx, 3*time.Second)
		defer cancel()
		_, err = open.Exec(bounded, "SELECT count(*) FROM booking")
		return err != nil
	})
	is.True(!f.controls[farControl].control.Leading())
	b.through(t, "regions apart")
	f.net.heal()
	f.eventually(failoverBound, "keyed route works again", func() bool {
		return query(ctx, f.url("coordinators", f.entries[far], "bookings")) == nil
	})
	b.check(ctx, t, f.demo, far)
}

// idleEntry returns an entry host that owns no service.
func (f *fleet) idleEntry() int {
	f.t.Helper()
	idle := -1
	f.eventually(failoverBound, "an entry host without a service", func() bool {
		for i, e := range f.entries {
			owns := false
			for _, s := range f.services {
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

func (f *fleet) partPair(a, b string) {
	if a != b {
		f.net.cut(a, b)
		f.net.cut(b, a)
	}
}

// Guards against an outdated configuration that a cut-off control host gives to a host that starts.
func TestStartAtIsolatedControl(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := newFleet(t, 1)
	is.NoErr(f.configure(ctx))
	victim := f.awaitLeader(-1)
	f.relays["entry-2"] = f.net.relay(t, "entry-2")
	for i := range fleetControls {
		f.partPair(controlName(victim), controlName(i))
		if i != victim {
			f.partPair("entry-2", controlName(i))
		}
	}
	// Until its lease ends no other leader can exist, and what the cut off one says is still the newest.
	time.Sleep(consensus.LeaseTicks * consensus.TickMillis * time.Millisecond)
	late := f.addEntry()
	f.awaitLeader(victim)
	asked := time.Now()
	for time.Since(asked) < 2*time.Second { // several rounds of renewals
		is.True(late.Agent().Catalog() == nil)
		is.True(late.Ready() != nil)
		time.Sleep(20 * time.Millisecond)
	}
	f.net.heal()
	f.eventually(withdrawalBound, "configuration arrives", func() bool { return late.Agent().Catalog() != nil })
}

// Guards against consensus messages that a control host accepts from a host without that role.
func TestConsensusOnlyAmongControlHosts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, ctx := newFleet(t, 1)
	for i := range fleetControls {
		to := f.relays[controlName(i)].addr()
		err := f.entries[0].endpoint.Call(ctx, to, wire.KindRaft, []byte{}, nil)
		is.True(err != nil)
		is.Equal(verdict.Of(err), verdict.NotRun) // no handler has seen the stream
		is.NoErr(f.controls[(i+1)%fleetControls].endpoint.Call(ctx, to, wire.KindRaft, []byte{}, nil))
	}
	s := f.demo.settings("entry-1", settings.RoleControl) // the role of a control host, without its certificate
	_, err := Start(s, f.logger, Options{PeerTLS: f.entries[0].options.PeerTLS})
	is.True(err != nil)
}
