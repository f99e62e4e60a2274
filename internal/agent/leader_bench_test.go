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
	benchRoleEnv  = "CITRON_STANDIN_HOSTS"
	benchWarmUp   = 5 * time.Second
	benchDuration = 10 * time.Second
	benchTeams    = 8
	benchServices = 250
)

// TestMain runs the tests or, in the child process of a benchmark, the benchmark's hosts or leader.
func TestMain(m *testing.M) {
	if os.Getenv(benchRoleEnv) == "" {
		os.Exit(m.Run())
	}
	run := runBenchHosts
	if os.Getenv(benchRoleEnv) == "leader" {
		run = runBenchLeader
	}
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// runBenchHosts runs agents until standard input is closed. Its arguments are the leader's address,
// the CA's certificate and key in hexadecimal, the number of agents, and the number of databases per
// service that they announce.
func runBenchHosts(args []string) error {
	cert, err1 := hex.DecodeString(args[1])
	key, err2 := hex.DecodeString(args[2])
	hosts, err3 := strconv.Atoi(args[3])
	ca, err4 := testtls.Import(cert, key)
	databases, err5 := strconv.Atoi(args[4])
	if err := errors.Join(err1, err2, err3, err4, err5); err != nil {
		return err
	}
	for i := range hosts {
		name := fmt.Sprint("h", i)
		conf, err := ca.HostConfig(name)
		if err != nil {
			return err
		}
		endpoint, err := transport.Listen("127.0.0.1:0", conf, log.NewNopLogger())
		if err != nil {
			return err
		}
		a := &testAgent{grants: map[string]wire.LeaseGrant{}}
		a.Agent = New(Config{
			Host: name, Place: "p", Addr: endpoint.Addr(), Entry: true, ControlSeeds: args[:1],
			Transport: endpoint, Clock: clock.System{}, Logger: log.NewNopLogger(),
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
		go func() { _ = endpoint.Serve(context.Background()) }()
		go func() { _ = a.Run(context.Background()) }()
		go spendTokens(a)
		go announceTargets(a, i, hosts, databases)
	}
	_, err := os.Stdin.Read(make([]byte, 1)) // blocks until EOF
	_ = err
	return nil
}

// spendTokens spends 10 tokens/s of each team.
func spendTokens(a *testAgent) {
	for {
		for t := range benchTeams {
			_ = a.AcquireTokens(context.Background(), fmt.Sprint("team", t), 1)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// announceTargets announces this host's share of the targets of all services every second.
func announceTargets(a *testAgent, host, hosts, databases int) {
	for databases > 0 {
		for i := host; i < benchServices*databases; i += hosts {
			_, _ = a.Announce(context.Background(), wire.Announce{
				Target: fmt.Sprint("target", i), Service: fmt.Sprint("service", i/databases),
				Addr: fmt.Sprintf("10.0.%d.%d:5432", i/250, i%250), Place: "p",
			})
		}
		time.Sleep(time.Second)
	}
}

// targetReports reports all targets of the owned services, the first of each as its primary.
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

// countingTransport counts received renewals.
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

// BenchmarkLeader measures the cost of renewals in the leader's process. The hosts run in a child
// process. The log has no disk and no peers, so the cost of consensus is not included. Each host spends
// tokens of 8 teams. The hosts own 250 services, either without targets or with three databases each
// that are announced every second.
func BenchmarkLeader(b *testing.B) {
	for _, databases := range []int{0, 3} {
		for _, hosts := range []int{0, 7, 50, 200, 530} {
			b.Run(fmt.Sprint("databases=", databases*benchServices, "/hosts=", hosts), func(b *testing.B) {
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
	for i := range benchServices {
		config.C.Services[fmt.Sprint("service", i)] = catalog.Service{Databases: max(1, databases)}
	}
	for i := range benchTeams {
		config.C.Teams[fmt.Sprint("team", i)] = catalog.Team{}
	}
	machine, err := control.NewMachine(config, nil)
	if err != nil {
		b.Fatal(err)
	}
	endpoint := listen(b, ca, "c1")
	l := &testLog{machine: machine, addr: endpoint.Addr(), term: 1, leaderSince: time.Now().Add(-time.Minute)}
	var renewals atomic.Int64
	server := control.New(control.Config{
		Name: "c1", Machine: machine, Log: l, Transport: countingTransport{endpoint, &renewals}, Clock: clock.System{},
		Logger:     log.NewNopLogger(),
		RateLimits: func(*catalog.Catalog, string) (float64, float64) { return 1e5, 1e5 },
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = endpoint.Serve(ctx) }()
	go func() { _ = server.Run(ctx); close(done) }()
	stop := startBenchHosts(b, ca, endpoint.Addr(), hosts, databases)

	time.Sleep(benchWarmUp)
	cpu, count, start := cpuTime(b), renewals.Load(), time.Now()
	before := endpoint.Stats()
	time.Sleep(benchDuration)
	elapsed := time.Since(start).Seconds()
	cpu = cpuTime(b) - cpu
	count = renewals.Load() - count
	after := endpoint.Stats()

	stop()
	cancel()
	<-done
	b.ReportMetric(100*cpu.Seconds()/elapsed, "%core")
	b.ReportMetric(float64(count)/elapsed, "renewals/s")
	if count > 0 {
		b.ReportMetric(float64(after.BytesSent-before.BytesSent)/float64(count), "sent_B/renewal")
		b.ReportMetric(float64(after.BytesReceived-before.BytesReceived)/float64(count), "received_B/renewal")
	}
	b.ReportMetric(float64(after.BytesSent-before.BytesSent)/elapsed, "sent_B/s")
	b.ReportMetric(float64(after.BytesReceived-before.BytesReceived)/elapsed, "received_B/s")
}

func startBenchHosts(b *testing.B, ca *testtls.Authority, addr string, hosts, databases int) func() {
	cert, key, err := ca.Export()
	if err != nil {
		b.Fatal(err)
	}
	child := exec.Command(os.Args[0], addr, hex.EncodeToString(cert), hex.EncodeToString(key), strconv.Itoa(hosts), strconv.Itoa(databases))
	child.Env = append(os.Environ(), benchRoleEnv+"=1")
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
