package agent

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/clock"
	"github.com/citronrun/citronrun/internal/control"
	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/transport"
	"github.com/citronrun/citronrun/internal/transport/testtls"
	"github.com/citronrun/citronrun/internal/wire"
)

const (
	standInEnv  = "CITRON_STANDIN_HOSTS"
	costWarmUp  = 5 * time.Second
	costRun     = 10 * time.Second
	costTeams   = 8
	costService = 250
)

// TestMain runs stand-in hosts or a leader instead of tests in the child processes of benchmarks.
func TestMain(m *testing.M) {
	if os.Getenv(standInEnv) == "" {
		os.Exit(m.Run())
	}
	run := standInHosts
	if os.Getenv(standInEnv) == "leader" {
		run = standInLeader
	}
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// standInHosts runs agents until standard input is closed. Its arguments are the leader's address,
// the authority's certificate and key in hexadecimal, the number of agents, and the number of
// databases of each service that they announce.
func standInHosts(args []string) error {
	cert, err1 := hex.DecodeString(args[1])
	key, err2 := hex.DecodeString(args[2])
	n, err3 := strconv.Atoi(args[3])
	ca, err4 := testtls.Import(cert, key)
	databases, err5 := strconv.Atoi(args[4])
	if err := errors.Join(err1, err2, err3, err4, err5); err != nil {
		return err
	}
	for i := range n {
		name := fmt.Sprint("h", i)
		conf, err := ca.HostConfig(name)
		if err != nil {
			return err
		}
		e, err := transport.Listen("127.0.0.1:0", conf, log.NewNopLogger())
		if err != nil {
			return err
		}
		a := &testAgent{grants: map[string]wire.LeaseGrant{}}
		a.Agent = New(Config{
			Host: name, Place: "p", Addr: e.Addr(), Entry: true, ControlSeeds: args[:1],
			Transport: e, Clock: clock.System{}, Logger: log.NewNopLogger(),
		})
		a.OnGrant(func(g wire.LeaseGrant) {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.grants[g.Service] = g
		})
		a.SetReportSource(a.reports)
		if databases > 0 {
			a.SetReportSource(a.targetReports)
		}
		go func() { _ = e.Serve(context.Background()) }()
		go func() { _ = a.Run(context.Background()) }()
		go spendSteadily(a)
		go announceSteadily(a, i, n, databases)
	}
	_, err := os.Stdin.Read(make([]byte, 1))
	_ = err // end of file
	return nil
}

// spendSteadily takes 10 tokens/s for each team.
func spendSteadily(a *testAgent) {
	for {
		for t := range costTeams {
			_ = a.AcquireTokens(context.Background(), fmt.Sprint("team", t), 1)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// announceSteadily announces every second this host's part of the targets of all services.
func announceSteadily(a *testAgent, host, hosts, databases int) {
	for databases > 0 {
		for i := host; i < costService*databases; i += hosts {
			_, _ = a.Announce(context.Background(), wire.Announce{
				Target: fmt.Sprint("target", i), Service: fmt.Sprint("service", i/databases),
				Addr: fmt.Sprintf("10.0.%d.%d:5432", i/250, i%250), Place: "p",
			})
		}
		time.Sleep(time.Second)
	}
}

// targetReports reports all targets of the owned services, the first one as primary.
func (a *testAgent) targetReports() []wire.ServiceReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	var reports []wire.ServiceReport
	for _, g := range a.grants {
		r := wire.ServiceReport{Service: g.Service, Epoch: g.Epoch, Term: g.Term}
		for i, target := range g.Targets {
			role := "replica"
			if i == 0 {
				r.Primary, role = target.Target, "primary"
			}
			p := position.Position{Term: g.Term, Offset: uint64(time.Now().UnixMilli())}
			r.Targets = append(r.Targets, wire.TargetReport{Target: target.Target, Role: role, Term: g.Term, Received: p, Applied: p})
		}
		reports = append(reports, r)
	}
	return reports
}

// countingTransport counts renewals.
type countingTransport struct {
	*transport.Endpoint
	renewals *atomic.Int64
}

func (c countingTransport) Handle(kind wire.Kind, h func(context.Context, string, transport.Stream)) {
	c.Endpoint.Handle(kind, func(ctx context.Context, peer string, s transport.Stream) {
		if kind == wire.KindRenew {
			c.renewals.Add(1)
		}
		h(ctx, peer, s)
	})
}

func cpuTime(b *testing.B) time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		b.Fatal(err)
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// BenchmarkLeader measures what renewals cost the leader's process. The hosts run in a child
// process. The log is a stand-in without disk and peers, so that the cost of consensus is not
// included. Each host spends tokens of 8 teams; 250 services are owned, without targets or with three
// databases each that announce themselves every second.
func BenchmarkLeader(b *testing.B) {
	for _, databases := range []int{0, 3} {
		for _, hosts := range []int{0, 7, 50, 200, 530} {
			b.Run(fmt.Sprint("databases=", databases*costService, "/hosts=", hosts), func(b *testing.B) {
				for range b.N {
					measureLeader(b, hosts, databases)
				}
			})
		}
	}
}

func measureLeader(b *testing.B, hosts, databases int) {
	ca, err := testtls.NewAuthority()
	if err != nil {
		b.Fatal(err)
	}
	config := newTestConfig()
	for i := range costService {
		config.C.Services[fmt.Sprint("service", i)] = catalog.Service{Databases: max(1, databases)}
	}
	for i := range costTeams {
		config.C.Teams[fmt.Sprint("team", i)] = catalog.Team{}
	}
	machine, err := control.NewMachine(config, nil)
	if err != nil {
		b.Fatal(err)
	}
	e := listen(b, ca, "c1")
	l := &testLog{machine: machine, addr: e.Addr(), term: 1, since: time.Now().Add(-time.Minute)}
	var renewals atomic.Int64
	server := control.New(control.Config{
		Name: "c1", Machine: machine, Log: l, Transport: countingTransport{e, &renewals}, Clock: clock.System{},
		Logger:     log.NewNopLogger(),
		RateLimits: func(*catalog.Catalog, string) (float64, float64) { return 1e5, 1e5 },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = e.Serve(ctx) }()
	go func() { _ = server.Run(ctx); close(done) }()
	stop := startStandIns(b, ca, e.Addr(), hosts, databases)

	time.Sleep(costWarmUp)
	cpu, count, start := cpuTime(b), renewals.Load(), time.Now()
	sent, received := e.Traffic()
	time.Sleep(costRun)
	elapsed := time.Since(start).Seconds()
	cpu = cpuTime(b) - cpu
	count = renewals.Load() - count
	sentAfter, receivedAfter := e.Traffic()

	stop()
	cancel()
	<-done
	b.ReportMetric(100*cpu.Seconds()/elapsed, "%core")
	b.ReportMetric(float64(count)/elapsed, "renewals/s")
	if count > 0 {
		b.ReportMetric(float64(sentAfter-sent)/float64(count), "sent_B/renewal")
		b.ReportMetric(float64(receivedAfter-received)/float64(count), "received_B/renewal")
	}
	b.ReportMetric(float64(sentAfter-sent)/elapsed, "sent_B/s")
	b.ReportMetric(float64(receivedAfter-received)/elapsed, "received_B/s")
}

func startStandIns(b *testing.B, ca *testtls.Authority, addr string, hosts, databases int) func() {
	cert, key, err := ca.Export()
	if err != nil {
		b.Fatal(err)
	}
	child := exec.Command(os.Args[0], addr, hex.EncodeToString(cert), hex.EncodeToString(key), strconv.Itoa(hosts), strconv.Itoa(databases))
	child.Env = append(os.Environ(), standInEnv+"=1")
	child.Stderr = os.Stderr
	in, err := child.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := child.Start(); err != nil {
		b.Fatal(err)
	}
	return func() {
		_ = in.Close()
		_ = child.Wait()
	}
}
