package agent

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/clock"
	"github.com/citronrun/citronrun/internal/control"
	"github.com/citronrun/citronrun/internal/lease"
	"github.com/citronrun/citronrun/internal/transport"
	"github.com/citronrun/citronrun/internal/transport/testtls"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

// testLog is a replicated log of one member that applies each proposal immediately.
type testLog struct {
	machine *control.Machine
	addr    string

	mu          sync.Mutex
	index       uint64
	term        uint64
	leaderSince time.Time
	quorumLost  bool                  // read barriers and proposals fail
	dropReply   func(result any) bool // if it returns true, the entry is applied but Propose fails

	barrierDelay func() time.Duration // of read barriers; nil: none
}

var (
	errNoQuorum  = errors.New("no quorum")
	errReplyLost = errors.New("reply lost")
)

func (l *testLog) Propose(_ context.Context, data []byte) (any, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.quorumLost {
		return nil, errNoQuorum
	}
	l.index++
	result := l.machine.Apply(l.index, data)
	if l.dropReply != nil && l.dropReply(result) {
		return nil, errReplyLost
	}
	return result, nil
}

func (l *testLog) ReadBarrier(context.Context) error {
	l.mu.Lock()
	delay := l.barrierDelay
	l.mu.Unlock()
	if delay != nil {
		time.Sleep(delay())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.quorumLost {
		return errNoQuorum
	}
	return nil
}

func (l *testLog) Leadership() (time.Time, uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leaderSince, l.term, true
}

func (l *testLog) LeaderAddr() string { return l.addr }

func (l *testLog) locked(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f()
}

// testConfig is a control.Configuration that accepts every change, adds its services, and remembers
// results by change id.
type testConfig struct {
	C       catalog.Catalog
	Results map[string]catalog.Result
}

func (c *testConfig) Apply(change catalog.Change) catalog.Result {
	if r, ok := c.Results[change.ID]; ok {
		return r
	}
	c.C.Revision++
	for _, op := range change.Ops {
		c.C.Services[op.PutService.Name] = op.PutService.Service
	}
	r := catalog.Result{Code: catalog.CodeAccepted, Revision: c.C.Revision}
	c.Results[change.ID] = r
	return r
}

func (c *testConfig) Catalog() catalog.Catalog { return c.C }
func (c *testConfig) Encode() ([]byte, error)  { return wire.Marshal(c) }

func newTestConfig() *testConfig {
	teams := map[string]catalog.Team{"t": {}}
	for i := range testTeams {
		teams[fmt.Sprint("team", i)] = catalog.Team{}
	}
	return &testConfig{
		C:       catalog.Catalog{Services: map[string]catalog.Service{}, Teams: teams},
		Results: map[string]catalog.Result{},
	}
}

type cluster struct {
	ca     *testtls.Authority
	log    *testLog
	server *control.Server
	addr   string
	agents []*testAgent

	detours bool
}

// testAgent is an agent whose services have no real targets. It reports p1 as the primary of each
// service it is granted.
type testAgent struct {
	*Agent
	stop context.CancelFunc
	done chan struct{}

	mu     sync.Mutex
	grants map[string]wire.LeaseGrant
}

func (a *testAgent) grant(service string) wire.LeaseGrant {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.grants[service]
}

func (a *testAgent) reports() []wire.ServiceReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	var reports []wire.ServiceReport
	for _, g := range a.grants {
		r := wire.ServiceReport{Service: g.Service, Epoch: g.Epoch, Term: g.Term, Primary: "p1"}
		r.Targets = []wire.TargetReport{{Target: "p1", Role: "primary", Term: g.Term}}
		reports = append(reports, r)
	}
	return reports
}

func listen(t testing.TB, ca *testtls.Authority, name string) *transport.Endpoint {
	t.Helper()
	conf, err := ca.HostConfig(name)
	if err != nil {
		t.Fatal(err)
	}
	e, err := transport.Listen("127.0.0.1:0", conf, log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.Close() })
	return e
}

func newCluster(t testing.TB, agents int) *cluster { return newClusterWith(t, agents, false) }

// newClusterWith starts a cluster whose hosts may take detours.
func newClusterWith(t testing.TB, agents int, detours bool) *cluster {
	t.Helper()
	ca, err := testtls.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	machine, err := control.NewMachine(newTestConfig(), func([]byte) (control.Configuration, error) {
		return nil, errors.New("not used")
	})
	if err != nil {
		t.Fatal(err)
	}
	endpoint := listen(t, ca, "c1")
	// The leader was elected a minute ago, so tests don't wait for the end of its waiting period.
	l := &testLog{machine: machine, addr: endpoint.Addr(), term: 1, leaderSince: time.Now().Add(-time.Minute)}
	c := &cluster{ca: ca, log: l, addr: endpoint.Addr(), detours: detours}
	c.server = control.New(control.Config{
		Name: "c1", Machine: machine, Log: l, Transport: endpoint, Clock: clock.System{}, Logger: log.NewNopLogger(), AcceptDetours: detours,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = endpoint.Serve(ctx) }()
	go func() { _ = c.server.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	for i := range agents {
		c.agents = append(c.agents, c.start(t, fmt.Sprint("h", i), clock.System{}))
	}
	return c
}

func (c *cluster) start(t testing.TB, name string, clk clock.Clock) *testAgent {
	t.Helper()
	endpoint := listen(t, c.ca, name)
	a := &testAgent{grants: map[string]wire.LeaseGrant{}, done: make(chan struct{})}
	a.Agent = New(Config{
		Host: name, Place: "p", Addr: endpoint.Addr(), Entry: true, ControlSeeds: []string{c.addr},
		Transport: endpoint, Clock: clk, Logger: log.NewNopLogger(), Detours: c.detours,
	})
	a.OnGrant(func(g wire.LeaseGrant) {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.grants[g.Service] = g
	})
	a.OnRevoke(func(service string, epoch uint64) {
		a.mu.Lock()
		delete(a.grants, service)
		a.mu.Unlock()
		a.ReturnLease(service, epoch)
	})
	a.SetReportSource(a.reports)
	ctx, cancel := context.WithCancel(context.Background())
	a.stop = cancel
	go func() { _ = endpoint.Serve(ctx) }()
	go func() { _ = a.Run(ctx); close(a.done) }()
	t.Cleanup(func() { cancel(); <-a.done })
	return a
}

func eventually(t testing.TB, condition string, met func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		if met() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("condition not met within 10 s: %s", condition)
}

func (c *cluster) addServices(t testing.TB, names ...string) {
	t.Helper()
	change := catalog.Change{ID: "add " + names[0]}
	for _, name := range names {
		put := &catalog.PutService{Name: name, Service: catalog.Service{Databases: 1}}
		change.Ops = append(change.Ops, catalog.Op{PutService: put})
	}
	r, err := c.agents[0].Change(t.Context(), change)
	if err != nil || r.Code != catalog.CodeAccepted {
		t.Fatalf("change returned code %q, error %v; want code %q, no error", r.Code, err, catalog.CodeAccepted)
	}
}

// owners returns the agents with a valid lease of the service. More than one would be an error.
func (c *cluster) owners(service string) []*testAgent {
	var owners []*testAgent
	for _, a := range c.agents {
		if held, ok := (*a.leases.Load())[service]; ok && a.LeaseValid(service, held.Epoch) {
			owners = append(owners, a)
		}
	}
	return owners
}

// Guards against services that get no owner or all the same one, routes and catalogs that don't
// reach every host, elections that aren't recorded, and a drain that waits for leases to expire.
func TestServiceAssignment(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	eventually(t, "every agent has renewed", func() bool {
		for _, a := range c.agents {
			if a.ConfirmedAge() > time.Second {
				return false
			}
		}
		return true
	})
	c.addServices(t, "s1", "s2", "s3")
	for _, s := range []string{"s1", "s2", "s3"} {
		eventually(t, "the service has one owner with a valid lease, and a recorded primary", func() bool {
			owners := c.owners(s)
			return len(owners) == 1 && owners[0].grant(s).Primary == "p1" && c.log.machine.Service(s).Primary == "p1"
		})
		for _, a := range c.agents {
			eventually(t, "route and catalog arrive", func() bool {
				r, ok := a.Route(s)
				return ok && r.Owner == c.owners(s)[0].Host && a.Catalog() != nil && a.Catalog().Revision() == 1
			})
		}
	}
	owned := map[string]int{}
	for _, s := range []string{"s1", "s2", "s3"} {
		owned[c.owners(s)[0].Host]++
	}
	is.Equal(len(owned), 3) // each host owns one service

	first := c.owners("s1")[0]
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	start := time.Now()
	is.NoErr(first.Drain(ctx))
	eventually(t, "the service is reassigned", func() bool {
		owners := c.owners("s1")
		return len(owners) == 1 && owners[0] != first
	})
	is.True(time.Since(start) < lease.TTL) // the lease was returned before it expired
}

// Guards against two hosts with a valid lease of a service when a host resumes after a pause that was longer
// than its lease.
func TestPausedAgent(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2)
	c.addServices(t, "s")
	eventually(t, "the service has an owner", func() bool { return len(c.owners("s")) == 1 })
	paused := c.owners("s")[0]
	old := (*paused.leases.Load())["s"]
	paused.stop() // simulates a pause: no more renewals are sent
	<-paused.done
	eventually(t, "another host owns the service", func() bool {
		if paused.LeaseValid("s", old.Epoch) && len(c.owners("s")) > 1 {
			t.Fatal("two hosts have a valid lease of the service")
		}
		owners := c.owners("s")
		return len(owners) == 1 && owners[0] != paused
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	paused.renewOnce(ctx) // the host resumes
	is.Equal(len(c.owners("s")), 1)
	is.True(!paused.LeaseValid("s", old.Epoch))
	is.True((*paused.leases.Load())["s"].Revoked || len(*paused.leases.Load()) == 0)
}

// Guards against a change that is applied twice, or reported as failed, when the reply to it is lost.
func TestChangeWithLostReply(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	droppedReplies := 0
	c.log.locked(func() {
		c.log.dropReply = func(result any) bool {
			if _, ok := result.(catalog.Result); !ok || droppedReplies == 3 {
				return false
			}
			droppedReplies++
			return true
		}
	})
	r, err := c.agents[0].Change(t.Context(), catalog.Change{ID: "x"})
	is.NoErr(err)
	c.log.locked(func() { is.Equal(droppedReplies, 3) })
	is.Equal(r, catalog.Result{Code: catalog.CodeAccepted, Revision: 1})

	c.log.locked(func() { c.log.quorumLost = true })
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	_, err = c.agents[0].Change(ctx, catalog.Change{ID: "y"})
	is.Equal(verdict.Of(err), verdict.MayHaveRun)
}

// Guards against leases and renewals from a leader that has lost its quorum, and against requests
// that are refused with a code other than 57P03 in that state.
func TestNoQuorum(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	c.addServices(t, "s")
	eventually(t, "the service has an owner", func() bool { return len(c.owners("s")) == 1 })
	c.log.locked(func() { c.log.quorumLost = true })
	eventually(t, "the lease expires", func() bool { return len(c.owners("s")) == 0 })
	is.True(c.agents[0].ConfirmedAge() >= lease.TTL)
	err := c.agents[0].AcquireTokens(t.Context(), "t", 1000)
	is.Equal(verdict.As(err).Code, verdict.CodeUnavailable)
	is.Equal(verdict.Of(err), verdict.NotRun)
	c.log.locked(func() {
		c.log.quorumLost = false
		c.log.term = 2
		c.log.leaderSince = time.Now()
	})
	is.NoErr(c.agents[0].AcquireTokens(t.Context(), "t", 1)) // waits for the end of the new leader's waiting period
	eventually(t, "the new leader renews the recorded owner's lease", func() bool { return len(c.owners("s")) == 1 })
	is.Equal(c.log.machine.Service("s").Owner.Epoch, uint64(1))
}

// Guards against refusing a team below its rate and burst, and against admitting it above them.
func TestRateIsEnforced(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2)
	acquired := 0
	start := time.Now()
	for i := 0; time.Since(start) < time.Second; i++ {
		err := c.agents[i%2].AcquireTokens(t.Context(), "t", 5)
		if err == nil {
			acquired += 5
			continue
		}
		is.Equal(verdict.As(err).Code, verdict.CodeRateExceeded)
	}
	elapsed := time.Since(start).Seconds()
	t.Log("tokens", acquired, "in", elapsed)
	is.True(float64(acquired) <= catalog.DefaultRate*elapsed+catalog.DefaultBurst)
	is.True(float64(acquired) >= 0.8*(catalog.DefaultRate*elapsed+catalog.DefaultBurst))
}
