package agent

import (
	"bufio"
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/clock"
	"github.com/citronrun/citronrun/internal/control"
	"github.com/citronrun/citronrun/internal/transport"
	"github.com/citronrun/citronrun/internal/transport/testtls"
)

const benchHosts = 10 // agents that share the measured process

// runBenchLeader prints its address and runs a leader until standard input is closed. Its arguments are
// the CA's certificate and key in hexadecimal, and the numbers of services and teams.
func runBenchLeader(args []string) error {
	cert, err1 := hex.DecodeString(args[0])
	key, err2 := hex.DecodeString(args[1])
	services, err3 := strconv.Atoi(args[2])
	teams, err4 := strconv.Atoi(args[3])
	ca, err5 := testtls.Import(cert, key)
	if err := errors.Join(err1, err2, err3, err4, err5); err != nil {
		return err
	}
	conf, err := ca.HostConfig("c1")
	if err != nil {
		return err
	}
	endpoint, err := transport.Listen("127.0.0.1:0", conf, log.NewNopLogger())
	if err != nil {
		return err
	}
	machine, err := control.NewMachine(sizedConfig(services, teams), nil)
	if err != nil {
		return err
	}
	server := control.New(control.Config{
		Name: "c1", Machine: machine, Transport: endpoint, Clock: clock.System{}, Logger: log.NewNopLogger(),
		Log:        &testLog{machine: machine, addr: endpoint.Addr(), term: 1, leaderSince: time.Now().Add(-time.Minute)},
		RateLimits: func(*catalog.Catalog, string) (float64, float64) { return 1e5, 1e5 },
	})
	go func() { _ = endpoint.Serve(context.Background()) }()
	go func() { _ = server.Run(context.Background()) }()
	fmt.Println(endpoint.Addr())
	_, _ = os.Stdin.Read(make([]byte, 1)) // blocks until EOF
	return nil
}

// sizedConfig returns a configuration with the given numbers of services and teams.
func sizedConfig(services, teams int) *testConfig {
	config := newTestConfig()
	for i := range services {
		config.C.Services[fmt.Sprint("service", i)] = catalog.Service{Databases: 1}
	}
	keys := map[string]catalog.Key{"key": {StoredKey: make([]byte, 32), ServerKey: make([]byte, 32)}}
	for i := range teams {
		config.C.Teams[fmt.Sprint("team", i)] = catalog.Team{Salt: make([]byte, 16), Iterations: 4096, Keys: keys}
	}
	return config
}

// BenchmarkHost measures the cost of the agent per host: one tenth of a process that runs ten agents.
// Together they own all services, and each spends 10 tokens/s of each of 8 teams. The leader runs in a
// child process.
func BenchmarkHost(b *testing.B) {
	for _, size := range [][2]int{{10, 8}, {250, 8}, {10, 800}, {250, 800}} {
		b.Run(fmt.Sprint("services=", size[0], "/teams=", size[1]), func(b *testing.B) {
			for range b.N {
				measureHosts(b, size[0], size[1])
			}
		})
	}
}

func measureHosts(b *testing.B, services, teams int) {
	ca, err := testtls.NewAuthority()
	if err != nil {
		b.Fatal(err)
	}
	addr, stopLeader := startBenchLeader(b, ca, services, teams)
	defer stopLeader()
	before := heap()
	c := &cluster{ca: ca, addr: addr}
	for i := range benchHosts {
		a := c.start(b, fmt.Sprint("h", i), clock.System{})
		defer a.stop()
		c.agents = append(c.agents, a)
		go spendTokensUntilDone(a)
	}
	time.Sleep(benchWarmUp)
	cpu, start := cpuTime(b), time.Now()
	sent, received := c.traffic()
	time.Sleep(benchDuration)
	seconds := time.Since(start).Seconds() * benchHosts
	cpu = cpuTime(b) - cpu
	sentAfter, receivedAfter := c.traffic()
	b.ReportMetric(100*cpu.Seconds()/seconds, "%core/host")
	b.ReportMetric(float64(sentAfter-sent)/seconds, "sent_B/s/host")
	b.ReportMetric(float64(receivedAfter-received)/seconds, "received_B/s/host")
	b.ReportMetric((heap()-before)/benchHosts/1024, "heap_KiB/host")
}

// spendTokensUntilDone spends 10 tokens/s of each of 8 teams until the agent has stopped.
func spendTokensUntilDone(a *testAgent) {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-a.done:
			return
		case <-ticker.C:
		}
		for t := range benchTeams {
			_ = a.AcquireTokens(context.Background(), fmt.Sprint("team", t), 1)
		}
	}
}

func heap() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

func (c *cluster) traffic() (sent, received uint64) {
	for _, a := range c.agents {
		stats := a.Transport.Stats()
		sent, received = sent+stats.BytesSent, received+stats.BytesReceived
	}
	return sent, received
}

func startBenchLeader(b *testing.B, ca *testtls.Authority, services, teams int) (addr string, stop func()) {
	cert, key, err := ca.Export()
	if err != nil {
		b.Fatal(err)
	}
	child := exec.Command(os.Args[0], hex.EncodeToString(cert), hex.EncodeToString(key), strconv.Itoa(services), strconv.Itoa(teams))
	child.Env = append(os.Environ(), benchRoleEnv+"=leader")
	child.Stderr = os.Stderr
	in, err1 := child.StdinPipe()
	out, err2 := child.StdoutPipe()
	if err := errors.Join(err1, err2, child.Start()); err != nil {
		b.Fatal(err)
	}
	line, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		b.Fatal(err)
	}
	return strings.TrimSpace(line), func() {
		_ = in.Close()
		_ = child.Wait()
	}
}
