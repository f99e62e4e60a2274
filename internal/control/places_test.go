package control

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/clock"
	"github.com/citronrun/citronrun/internal/placement"
)

// countingControl counts what is sent to each target.
type countingControl struct {
	*groupControl
	sent map[string]int
}

func (c *countingControl) count(t TargetRef) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent[t.Target]++
}

func (c *countingControl) State(ctx context.Context, t TargetRef) (TargetState, error) {
	c.count(t)
	return c.groupControl.State(ctx, t)
}

func (c *countingControl) Pause(ctx context.Context, t TargetRef, confirm func(context.Context) error) (TargetState, error) {
	c.count(t)
	return c.groupControl.Pause(ctx, t, confirm)
}

func (c *countingControl) Resume(ctx context.Context, t TargetRef) error {
	c.count(t)
	return c.groupControl.Resume(ctx, t)
}

// placesTest is a service with the primary p in place x, and the replicas a in y and b in z.
type placesTest struct {
	*Server
	leader  *leaderState
	clock   *clock.Fake
	targets *countingControl
	index   uint64
}

func newPlacesTest(t *testing.T) *placesTest {
	clk := clock.NewFake(time.Unix(1000, 0))
	targets := &countingControl{
		groupControl: &groupControl{primary: "p", unreachable: map[string]bool{}, paused: map[string]bool{}, behind: map[string]bool{}},
		sent:         map[string]int{},
	}
	s, leader := newGroupServer(t, clk, targets)
	r := &placesTest{Server: s, leader: leader, clock: clk, targets: targets, index: 100}
	for target, place := range map[string]string{"p": "x", "a": "y", "b": "z"} {
		member := s.Machine.Group("s").Members[target]
		member.Place = place
		r.apply(t, command{RegisterTarget: &registerTarget{Service: "s", Target: target, Member: member}})
	}
	return r
}

func (r *placesTest) apply(t *testing.T, c command) {
	r.index++
	for _, member := range r.Log.(testMember).consensus.members {
		if err, failed := apply(t, member.Machine, r.index, c).(error); failed {
			t.Fatal(err)
		}
	}
}

// empty makes exactly these places the emptied ones.
func (r *placesTest) empty(t *testing.T, places ...string) {
	for _, member := range r.Log.(testMember).consensus.members {
		current := map[string]catalog.Place{}
		for _, place := range places {
			current[place] = catalog.Place{Emptied: true, Orders: 1}
		}
		member.Machine.config.(*testConfig).Current.Places = current
	}
	r.apply(t, command{Change: &catalog.Change{ID: "c"}})
}

// run steps the promotion for a few seconds and returns the primary, or "" if none is served.
func (r *placesTest) run() string {
	for range 30 {
		r.step(r.leader)
		r.clock.Advance(100 * time.Millisecond)
	}
	if !r.leader.groups["s"].promotion.Serving() {
		return ""
	}
	return r.Machine.Group("s").Primary
}

// Guards against a primary that stays in an emptied place, against a promotion within the emptied place or that sends anything
// to it without need, and against one that a change of leader loses.
func TestPrimaryLeavesEmptiedPlace(t *testing.T) {
	is := is.New(t)
	r := newPlacesTest(t)
	r.empty(t, "x")
	r.step(r.leader)
	r.leader = takeOver(r.Server)
	is.Equal(r.run(), "a")
	is.Equal(r.targets.sent["p"], 1) // resumed: the leader before may have paused it
	r.targets.sent = map[string]int{}
	r.empty(t, "y")
	is.Equal(r.run(), "b")
	is.Equal(r.targets.sent["a"], 0)
	r.empty(t, "x", "z") // what p has received must be known for the choice of a
	is.Equal(r.run(), "a")
	is.Equal(len(r.targets.paused), 0)
}

// Guards against a primary that is moved from one emptied place to another, again and again, and against one that stays there
// when a place is refilled.
func TestAllTargetsInEmptiedPlaces(t *testing.T) {
	is := is.New(t)
	r := newPlacesTest(t)
	r.empty(t, "x", "y", "z")
	is.Equal(r.run(), "p")
	is.Equal(len(r.targets.sent), 0)
	r.empty(t, "x", "y")
	is.Equal(r.run(), "b")
}

// Guards against the loss of an acknowledged commit that only a replica in an emptied place has received: it becomes the primary
// until another replica has what it had.
func TestOnlyReplicaInEmptiedPlaceHasCommits(t *testing.T) {
	is := is.New(t)
	r := newPlacesTest(t)
	r.empty(t, "z")
	r.targets.unreachable["p"], r.targets.behind["a"] = true, true
	r.mu.Lock()
	r.leader.groupState(r.clock.Now(), "s").promotion.RecordProbe(false)
	r.mu.Unlock()
	r.apply(t, command{DeregisterTarget: &deregisterTarget{Service: "s", Target: "p", StartedMs: 100}})
	for r.Machine.Group("s").Primary != "b" {
		r.step(r.leader)
		r.clock.Advance(100 * time.Millisecond)
		if r.clock.Now().After(time.Unix(1010, 0)) {
			t.Fatal("b was not promoted")
		}
	}
	r.targets.behind["a"] = false
	is.Equal(r.run(), "a")
}

// Guards against leases of targets in an emptied place that are renewed or assigned, also by a later leader.
func TestNoLeasesInEmptiedPlace(t *testing.T) {
	is := is.New(t)
	r := newPlacesTest(t)
	for _, member := range r.Log.(testMember).consensus.members {
		member.Machine.config.(*testConfig).Current.Deployment = &catalog.Deployment{Services: []catalog.DeployedService{{Name: "s"}}}
	}
	r.leader.targetLeases = placement.NewTable(r.clock.Now(), 5, nil)
	for _, place := range []string{"x", "y", "z"} {
		r.leader.hosts["host-"+place] = &hostState{bootID: "1", place: place, entry: true, renewedAt: r.clock.Now()}
	}
	place := func() {
		r.mu.Lock()
		r.placeTargets(r.leader, r.clock.Now())
		r.mu.Unlock()
		r.background.Wait()
	}
	r.empty(t, "z")
	r.clock.Advance(targetAssignmentDelay)
	place()
	is.True(r.leader.targetLeases.Lease("a") != nil)
	is.True(r.leader.targetLeases.Lease("b") == nil)
	r.empty(t, "x", "y")
	place()
	is.True(r.leader.targetLeases.Lease("a").Releasing())
	is.True(!r.leader.targetLeases.Lease("p").Releasing()) // it gives way first
	is.True(r.leader.targetLeases.Lease("b") != nil)
	r.empty(t, "x", "y", "z")
	place()
	is.True(r.leader.targetLeases.Lease("p").Releasing()) // nothing elsewhere can take over
}

// Guards against an order that would be acknowledged without effect: for a place that nobody knows, or without target leases.
func TestUnknownPlace(t *testing.T) {
	is := is.New(t)
	r := newPlacesTest(t)
	is.NoErr(r.checkPlace(&catalog.PlaceOrder{Place: "x"}))
	is.True(r.checkPlace(&catalog.PlaceOrder{Place: "w"}) != nil)
	is.NoErr(r.checkPlace(&catalog.PlaceOrder{Place: "w", Declared: true}))
	r.leader.hosts["host"] = &hostState{place: "w"}
	is.NoErr(r.checkPlace(&catalog.PlaceOrder{Place: "w"}))
	r.TargetControl = nil
	is.Equal(r.checkPlace(&catalog.PlaceOrder{Place: "x"}), errOwnedServices)
}

// Guards against a change that a majority in one place acknowledges, so that it is lost with the place, and against one that is
// refused for ever because the control hosts stand so.
func TestVotersInOnePlace(t *testing.T) {
	is := is.New(t)
	r := newPlacesTest(t)
	voters := []string{"x1", "x2", "x3", "y1", "z1"}
	r.PlacesToBear, r.VoterAddrs = 1, func() []string { return voters }
	r.leader.readyAt = r.clock.Now()
	is.True(r.checkVoterPlaces() != nil) // no place is known
	for _, addr := range []string{"x1", "x2", "x3", "y1", "z1", "z2", "y2"} {
		r.leader.hosts[addr] = &hostState{place: addr[:1], addr: addr}
	}
	is.True(r.checkVoterPlaces() != nil)
	voters = append(voters, "z2", "y2")
	is.NoErr(r.checkVoterPlaces())
	voters = voters[:5]
	r.clock.Advance(voterPlacesWait)
	is.NoErr(r.checkVoterPlaces())
}

// Guards against a primary that is cut off together with its holder, and gets another holder while the leader still probes it:
// that one would have to find out again that the primary doesn't answer, and get a lease that has to expire.
func TestCutPrimaryGetsNoHolderWhileProbed(t *testing.T) {
	t.Run("registered", func(t *testing.T) { testCutPrimary(t, true) })
	t.Run("at a new leader", func(t *testing.T) { testCutPrimary(t, false) })
}

func testCutPrimary(t *testing.T, registered bool) {
	is := is.New(t)
	r := newPlacesTest(t)
	for _, member := range r.Log.(testMember).consensus.members {
		member.Machine.config.(*testConfig).Current.Deployment = &catalog.Deployment{Services: []catalog.DeployedService{{Name: "s"}}}
	}
	r.empty(t)
	r.leader.targetLeases.Assign(r.clock.Now(), "p", placement.Record{Host: "host-x", BootID: "1", Epoch: 1})
	r.leader.targetLeases.Renew(r.clock.Now(), "p", "host-x", "1", true)
	r.leader.hosts["host-x"] = &hostState{bootID: "1", place: "x", entry: true, renewedAt: r.clock.Now()}
	for target := range r.Machine.Group("s").Members {
		if target == "p" && !registered {
			continue
		}
		r.leader.registrations[target] = &registration{receivedAt: r.clock.Now()}
	}
	advance := func(d time.Duration) { // only place x is cut
		r.clock.Advance(d)
		r.leader.hosts["host-y"] = &hostState{bootID: "1", place: "y", entry: true, renewedAt: r.clock.Now()}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.placeTargets(r.leader, r.clock.Now())
		r.leader.groupState(r.clock.Now(), "s").promotion.Step(r.promotionInput(r.leader, r.clock.Now(), r.Machine.Group("s"), r.leader.groups["s"]))
	}
	advance(registrationOverdue)
	is.Equal(r.leader.groups["s"].promotion.State(), "probing")
	advance(placement.ExpiryWait - registrationOverdue) // the lease has ended, and the probe isn't answered yet
	r.background.Wait()
	is.Equal(r.leader.targetLeases.Lease("p"), nil)
	advance(100 * time.Millisecond)
	r.background.Wait()
	is.Equal(r.leader.targetLeases.Lease("p"), nil)
	is.Equal(r.leader.groups["s"].promotion.State(), "probing")
	r.leader.groups["s"].promotion.RecordProbe(false)
	r.targets.unreachable["p"] = true
	is.True(r.run() == "a" || r.run() == "b")
}
