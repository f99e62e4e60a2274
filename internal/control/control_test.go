package control

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/clock"
	"github.com/citronrun/citronrun/internal/lease"
	"github.com/citronrun/citronrun/internal/transport"
	"github.com/citronrun/citronrun/internal/wire"
)

// testConfig is a catalog that is filled in by the test.
type testConfig struct{ C catalog.Catalog }

func (c *testConfig) Apply(change catalog.Change) catalog.Result {
	c.C.Revision++
	return catalog.Result{Code: catalog.CodeAccepted, Revision: c.C.Revision}
}
func (c *testConfig) Catalog() catalog.Catalog { return c.C }
func (c *testConfig) Encode() ([]byte, error)  { return wire.Marshal(c) }

func decodeTestConfig(data []byte) (Configuration, error) {
	c := &testConfig{}
	return c, wire.Unmarshal(data, c)
}

func newTestMachine(t interface{ Fatal(...any) }) *Machine {
	c := &testConfig{C: catalog.Catalog{Services: map[string]catalog.Service{"s": {Databases: 1}}}}
	m, err := NewMachine(c, decodeTestConfig)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func apply(t *testing.T, m *Machine, index uint64, c command) any {
	t.Helper()
	data, err := wire.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	return m.Apply(index, data)
}

// Guards against commands that build on an outdated epoch, term or leader, and against state that
// a snapshot loses.
func TestMachine(t *testing.T) {
	is := is.New(t)
	m := newTestMachine(t)
	is.Equal(apply(t, m, 1, command{Barrier: &barrier{Term: 5}}), nil)
	move := assign{Leader: 5, Service: "s", Host: "a", Boot: "1"}
	is.Equal(apply(t, m, 2, command{Assign: &move}), nil)
	is.Equal(apply(t, m, 3, command{Assign: &move}), errStale) // epoch
	is.Equal(apply(t, m, 4, command{Elect: &elect{Leader: 5, Service: "s", Epoch: 1, Term: 1}}), nil)
	is.Equal(apply(t, m, 5, command{Elect: &elect{Leader: 5, Service: "s", Epoch: 1, Term: 1}}), errStale)
	is.Equal(apply(t, m, 6, command{Record: &record{Leader: 5, Service: "s", Epoch: 1, Term: 1, Primary: "x"}}), nil)
	is.Equal(apply(t, m, 7, command{Record: &record{Leader: 5, Service: "s", Epoch: 1, Term: 1, Primary: "y"}}), errStale)
	is.Equal(m.Service("s").Primary, "x") // one outcome
	is.Equal(apply(t, m, 8, command{Barrier: &barrier{Term: 6}}), nil)
	late := assign{Leader: 5, Service: "s", From: 1, Host: "b", Boot: "1", Term: 1}
	is.Equal(apply(t, m, 9, command{Assign: &late}), errStale) // leader
	is.Equal(apply(t, m, 10, command{Join: &join{Service: "s", Target: "x"}}), nil)
	is.Equal(apply(t, m, 11, command{Join: &join{Service: "s", Target: "y"}}), errFull)
	is.Equal(apply(t, m, 12, command{Join: &join{Service: "r", Target: "z"}}), errService)
	is.Equal(apply(t, m, 13, command{Forget: &forget{Service: "s", Target: "x"}}), errPrimary)
	is.True(m.Apply(14, []byte{0xff, 1}) != nil) // garbage has no effect
	is.Equal(apply(t, m, 15, command{Change: &catalog.Change{ID: "c"}}), catalog.Result{Code: catalog.CodeAccepted, Revision: 1})

	data, err := m.Snapshot()
	is.NoErr(err)
	restored := newTestMachine(t)
	is.NoErr(restored.Restore(data))
	is.Equal(restored.Service("s"), m.Service("s"))
	is.Equal(restored.RoutesVersion(), m.RoutesVersion())
	is.Equal(restored.Catalog(), m.Catalog())
	is.Equal(apply(t, restored, 16, command{Assign: &late}), errStale)
}

// testGroup is a replicated log of two members. Entries are applied at both at once. A proposal may
// fail and be appended later, when its proposer leads again.
type testGroup struct {
	mu      sync.Mutex
	clock   *clock.Fake
	index   uint64
	term    uint64
	leader  int
	since   time.Time
	delay   bool
	cut     bool // the leader reaches no quorum, but has not noticed yet
	late    [2][][]byte
	members [2]*Server
}

type testMember struct {
	g  *testGroup
	id int
}

var errUnknown = errors.New("outcome unknown")

func (g *testGroup) append(data []byte) any {
	g.index++
	result := g.members[0].Machine.Apply(g.index, data)
	g.members[1].Machine.Apply(g.index, data)
	return result
}

func (m testMember) Propose(_ context.Context, data []byte) (any, error) {
	m.g.mu.Lock()
	defer m.g.mu.Unlock()
	if m.g.leader != m.id || m.g.delay {
		m.g.late[m.id] = append(m.g.late[m.id], data)
		return nil, errUnknown
	}
	return m.g.append(data), nil
}

func (m testMember) ReadBarrier(context.Context) error {
	m.g.mu.Lock()
	defer m.g.mu.Unlock()
	if m.g.leader != m.id || m.g.cut {
		return errUnknown
	}
	return nil
}

func (m testMember) Leadership() (time.Time, uint64, bool) {
	m.g.mu.Lock()
	defer m.g.mu.Unlock()
	return m.g.since, m.g.term, m.g.leader == m.id
}

func (m testMember) LeaderAddr() string { return "" }

type noTransport struct{}

func (noTransport) Handle(wire.Kind, func(context.Context, string, transport.Stream)) {}
func (noTransport) Call(context.Context, string, wire.Kind, any, any) error           { return errUnknown }

type testHost struct {
	name    string
	holder  *lease.Holder
	returns []wire.HeldLease
	drains  bool
}

type testRun struct {
	g       *testGroup
	hosts   []*testHost
	answers []func()
}

func newTestRun(t *rapid.T) *testRun {
	g := &testGroup{clock: clock.NewFake(time.Unix(1000, 0)), leader: -1}
	for i := range g.members {
		g.members[i] = New(Config{
			Name: fmt.Sprint("c", i), Machine: newTestMachine(t), Log: testMember{g, i},
			Transport: noTransport{}, Clock: g.clock, Logger: log.NewNopLogger(),
		})
	}
	r := &testRun{g: g}
	for i := range 3 {
		r.hosts = append(r.hosts, &testHost{name: fmt.Sprint("h", i), holder: lease.NewHolder()})
	}
	return r
}

func (r *testRun) settle() {
	for _, s := range r.g.members {
		s.follow()
		s.stepAll()
		s.work.Wait()
	}
}

// renew sends a renewal to a random member; its answer arrives at once, later or never.
func (r *testRun) renew(t *rapid.T) {
	h := rapid.SampledFrom(r.hosts).Draw(t, "host")
	s := rapid.SampledFrom(r.g.members[:]).Draw(t, "member")
	req := &wire.Renew{Host: h.name, BootID: "b", Entry: true, Returned: h.returns, Draining: h.drains}
	for service, held := range h.holder.Leases() {
		report := wire.ServiceReport{Service: service, Epoch: held.Epoch, Term: 1, Primary: "p"}
		report.Targets = []wire.TargetReport{{Target: "p"}}
		req.Reports = append(req.Reports, report)
	}
	sent := r.g.clock.Now()
	r.g.clock.Advance(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
	reply, err := s.renew(t.Context(), h.name, req)
	if err != nil {
		t.Fatal(err)
	}
	s.work.Wait()
	answer := func() {
		for _, g := range reply.Grants {
			h.holder.AcceptGrant(sent, reply.LeaseTTL, g.Service, g.Epoch)
		}
	}
	if rapid.Bool().Draw(t, "in time") {
		answer()
	} else {
		r.answers = append(r.answers, answer)
	}
}

func (r *testRun) check(t *rapid.T) {
	r.settle()
	var holders []string
	for _, h := range r.hosts {
		for service, held := range h.holder.Leases() {
			if h.holder.Valid(r.g.clock.Now(), service, held.Epoch) {
				holders = append(holders, fmt.Sprint(h.name, " epoch ", held.Epoch))
			}
		}
	}
	if len(holders) > 1 {
		t.Fatalf("several holders: %v", holders)
	}
}

func (r *testRun) elect(t *rapid.T) {
	g := r.g
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leader = rapid.IntRange(0, 1).Draw(t, "leader")
	g.term++
	g.since = g.clock.Now()
	g.delay = false
}

func (r *testRun) appendLate(t *rapid.T) {
	g := r.g
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leader < 0 || len(g.late[g.leader]) == 0 {
		t.Skip()
	}
	i := rapid.IntRange(0, len(g.late[g.leader])-1).Draw(t, "late")
	g.append(g.late[g.leader][i])
}

// Guards against two holders of a service over leader changes, delayed proposals of earlier
// leaders, lost and late answers, returns and drains.
func TestOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newTestRun(t)
		r.elect(t)
		defer r.g.members[0].close()
		defer r.g.members[1].close()
		t.Repeat(map[string]func(*rapid.T){
			"renew": r.renew, "renew2": r.renew, "renew3": r.renew, "elect": r.elect, "late": r.appendLate, "": r.check,
			"answer": func(t *rapid.T) {
				if len(r.answers) == 0 {
					t.Skip()
				}
				rapid.SampledFrom(r.answers).Draw(t, "answer")()
			},
			"return": func(t *rapid.T) {
				h := rapid.SampledFrom(r.hosts).Draw(t, "host")
				for service, held := range h.holder.Leases() {
					h.holder.Return(service, held.Epoch)
					h.returns = append(h.returns, wire.HeldLease{Service: service, Epoch: held.Epoch})
				}
			},
			"drain": func(t *rapid.T) {
				h := rapid.SampledFrom(r.hosts).Draw(t, "host")
				h.drains = !h.drains
			},
			"delay": func(*rapid.T) {
				r.g.mu.Lock()
				defer r.g.mu.Unlock()
				r.g.delay = !r.g.delay
			},
			"pass": func(t *rapid.T) {
				r.g.clock.Advance(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}

// Guards against renewals in another host's name.
func TestImpostor(t *testing.T) {
	is := is.New(t)
	s := New(Config{
		Name: "c", Machine: newTestMachine(t), Log: testMember{&testGroup{}, 1}, Transport: noTransport{},
		Clock: clock.System{}, Logger: log.NewNopLogger(),
	})
	_, err := s.renew(t.Context(), "a", &wire.Renew{Host: "b"})
	is.Equal(err, errImpostor)
	_, err = s.borrow(t.Context(), "a", &wire.Borrow{Host: "b"})
	is.Equal(err, errImpostor)
}

// script is a run without randomness: member 0 leads, and the host "a" owns the service.
func script(t *testing.T) (*testGroup, func(s *Server, host string) *wire.RenewReply) {
	g := &testGroup{clock: clock.NewFake(time.Unix(1000, 0)), term: 1}
	g.since = g.clock.Now().Add(-time.Minute)
	for i := range g.members {
		g.members[i] = New(Config{
			Name: fmt.Sprint("c", i), Machine: newTestMachine(t), Log: testMember{g, i},
			Transport: noTransport{}, Clock: g.clock, Logger: log.NewNopLogger(),
		})
		t.Cleanup(g.members[i].close)
	}
	renew := func(s *Server, host string) *wire.RenewReply {
		reply, err := s.renew(t.Context(), host, &wire.Renew{Host: host, BootID: "b", Entry: true})
		if err != nil {
			t.Fatal(err)
		}
		s.work.Wait()
		return reply
	}
	s := g.members[0]
	for range 2 {
		s.follow()
		s.work.Wait()
		g.clock.Advance(hearHosts)
		renew(s, "a")
		s.stepAll()
		s.work.Wait()
	}
	if reply := renew(s, "a"); len(reply.Grants) != 1 {
		t.Fatalf("a doesn't own the service: %+v", reply)
	}
	return g, renew
}

// Guards against a lease that is renewed while the assignment of the next owner is under way.
func TestClosedWhileAssigning(t *testing.T) {
	is := is.New(t)
	g, renew := script(t)
	s := g.members[0]
	g.clock.Advance(lease.ExpiryWait)
	renew(s, "b")
	g.delay = true
	s.stepAll() // proposes b as the owner; the outcome stays unknown
	s.work.Wait()
	is.Equal(len(g.late[0]), 1)
	is.Equal(len(renew(s, "a").Grants), 0)
	g.append(g.late[0][0])
	is.Equal(len(renew(s, "b").Grants), 1)
}

// Guards against a grant by a leader that was replaced without noticing, and against a confirmation
// of a later term that is taken for one of the present tables.
func TestReplacedLeader(t *testing.T) {
	is := is.New(t)
	g, renew := script(t)
	g.cut = true
	is.True(renew(g.members[0], "a").NotLeader)
	g.cut = false
	g.leader, g.term = 1, 2
	is.True(renew(g.members[0], "a").NotLeader)
	g.leader, g.term, g.since = 0, 3, g.clock.Now()
	is.True(renew(g.members[0], "a").NotLeader)
}

// Guards against a confirmation that began before the request that it is used for.
func TestConfirmer(t *testing.T) {
	is := is.New(t)
	started, finish := make(chan int, 3), make(chan error)
	n := 0
	c := &confirmer{confirm: func(context.Context) error {
		n++
		started <- n
		return <-finish
	}}
	results := make(chan error, 3)
	wait := func() { results <- c.wait(t.Context()) }
	go wait()
	is.Equal(<-started, 1)
	go wait()
	go wait()
	finish <- nil
	is.NoErr(<-results)
	is.Equal(<-started, 2) // the later requests get a confirmation of their own
	is.Equal(len(results), 0)
	finish <- errUnknown
	is.Equal(<-results, errUnknown)
	for len(results) == 0 { // the other one joined, or started a third
		select {
		case <-started:
			finish <- errUnknown
		case err := <-results:
			results <- err
		}
	}
	is.Equal(<-results, errUnknown)
}
