// Command stand3 starts a small deployment of citrond as separate processes on loopback, with stand-ins for its databases, the
// platform, the operator and the clients, brings about the disruption of one case, and checks one rule from what these saw.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

var zones = []string{"north", "south", "west"}

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2

	key = "u6wsjnbanfqasnmgkcuy"
)

// world is the deployment of one case.
type world struct {
	folder  string // temporary
	program string
	record  *os.File
	began   time.Time
	subnet  string // first three numbers of the addresses
	port    int

	control, fronts []*host
	svc             *service // of most cases the only one
	services        []*service
	platformAddr    string

	nextRead atomic.Uint32

	mu           sync.Mutex
	acknowledged map[string]time.Time // by id of the statement that committed
	sentTo       map[string]*service  // by id of the statement
	foreign      int                  // statements that another service has run
	late         int                  // statements that reached a database too late after its leave
	broken       []string
	over         bool
}

// host is one process of the system.
type host struct {
	w           *world
	name, ip    string
	base        int // first of its internal ports
	zone        string
	control     bool
	controlAddr string
	frontAddr   string
	dataDir     string
	cmd         *exec.Cmd
	done        chan struct{}
}

func newWorld(record string, program string) *world {
	w := &world{program: program, began: time.Now(), acknowledged: map[string]time.Time{}, sentTo: map[string]*service{}}
	var err error
	if w.record, err = os.Create(record); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	if w.folder, err = os.MkdirTemp("", "stand3-"); err != nil {
		w.fail(err)
	}
	w.subnet = fmt.Sprintf("127.%d.%d", 10+rand.IntN(240), 1+rand.IntN(250))
	w.port = 20000 + rand.IntN(100)*100
	return w
}

func (w *world) ip(i int) string { return fmt.Sprintf("%s.%d", w.subnet, i) }

// addr returns an address of the subnet, at an offset from the first port.
func (w *world) addr(ip string, offset int) string {
	return net.JoinHostPort(ip, strconv.Itoa(w.port+offset))
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteLocked(format, args...)
}

func (w *world) noteLocked(format string, args ...any) {
	fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// fail ends a case that can't run.
func (w *world) fail(err error) {
	w.note("the case can't run: %v", err)
	fmt.Fprintln(os.Stderr, err)
	w.end(exitNotRun)
}

// end stops all processes and exits.
func (w *world) end(code int) {
	w.mu.Lock()
	w.over = true
	w.mu.Unlock()
	for _, h := range append(w.control, w.fronts...) {
		h.signal(syscall.SIGCONT)
		h.signal(syscall.SIGKILL)
	}
	for _, h := range append(w.control, w.fronts...) {
		if h.cmd != nil {
			<-h.done
		}
	}
	if w.folder != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	}
	os.Exit(code)
}

// deploy starts the platform, the control hosts and the entry hosts, and the databases of one service.
func (w *world) deploy(controls, fronts int, labels ...string) {
	w.servePlatform()
	for i := range controls {
		w.control = append(w.control, w.newHost(fmt.Sprintf("core-%d", i+1), 10+i, i, true))
	}
	for i := range fronts {
		w.fronts = append(w.fronts, w.newHost(fmt.Sprintf("frontend-%d", i+1), 30+i, controls+i, false))
	}
	for _, h := range append(w.control, w.fronts...) {
		w.forwardSeed(h)
		h.start(true)
	}
	w.svc = w.addService("huvo11a", labels...)
}

// addService starts the databases of a service.
func (w *world) addService(name string, labels ...string) *service {
	s := newService(w, name, 60+10*len(w.services), labels...)
	w.services = append(w.services, s)
	for _, d := range s.dbs {
		d.start(true)
	}
	return s
}

func (w *world) newHost(name string, ip, index int, control bool) *host {
	h := &host{w: w, name: name, ip: w.ip(ip), base: w.port + 40 + 4*index, zone: zones[index%len(zones)], control: control}
	h.controlAddr, h.frontAddr = w.addr(h.ip, 0), w.addr(h.ip, 1)
	h.dataDir = filepath.Join(w.folder, name)
	return h
}

// forwardSeed passes packets for the peer port of the seed on. All processes share the loopback address on which each opens
// its administration port, next to its peer port; they therefore can't all have the same peer port, which a deployment has.
func (w *world) forwardSeed(h *host) {
	seed := w.control[0]
	if h == seed {
		return
	}
	at, err := net.ListenPacket("udp", net.JoinHostPort(seed.ip, strconv.Itoa(h.base)))
	if err != nil {
		w.fail(err)
	}
	to, err := net.Dial("udp", net.JoinHostPort(seed.ip, strconv.Itoa(seed.base)))
	if err != nil {
		w.fail(err)
	}
	var mu sync.Mutex
	var from net.Addr
	go func() {
		buf := make([]byte, 1<<16)
		for {
			n, addr, err := at.ReadFrom(buf)
			if err != nil {
				return
			}
			mu.Lock()
			from = addr
			mu.Unlock()
			_, _ = to.Write(buf[:n])
		}
	}()
	go func() {
		buf := make([]byte, 1<<16)
		for {
			n, err := to.Read(buf)
			if err != nil {
				continue // the seed is down
			}
			mu.Lock()
			addr := from
			mu.Unlock()
			_, _ = at.WriteTo(buf[:n], addr)
		}
	}()
}

func (h *host) settings(bootstrap bool) string {
	w := h.w
	var b strings.Builder
	serves, class := "frontend", "frontend"
	if h.control {
		serves, class = "control_plane", "core"
	}
	fmt.Fprintf(&b, "NodeName = %q\nRole = %q\nMachineClass = %q\nServes = [%q]\nIpAddress = %q\nZone = %q\nRegion = \"r\"\n", h.name, serves, class, serves, h.ip, h.zone)
	fmt.Fprintf(&b, "InternalPorts = [%d,%d]\nSeedNodes = [%q]\nBootstrap = %v\nToleranceMember = %v\n", h.base, h.base+3, w.control[0].controlAddr, bootstrap, h.control)
	if h.control {
		fmt.Fprintf(&b, "DataDirectory = %q\n", h.dataDir)
	}
	fmt.Fprintf(&b, "Discovery = \"registry\"\nEntry = \"virtual_ip\"\nHeartbeatIntervalMs = 1200\nconfig_mode = \"highest\"\n")
	fmt.Fprintf(&b, "Contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sql\",\"tenants\",\"quota\"]\n[Zones]\n")
	for _, z := range zones {
		fmt.Fprintf(&b, "%s = \"r\"\n", z)
	}
	if h.control {
		fmt.Fprintf(&b, "[ListenAddresses]\nControl = %q\n", h.controlAddr)
	} else {
		fmt.Fprintf(&b, "[ListenAddresses]\nFrontendAddress = %q\nReady = %q\n", h.frontAddr, w.addr(h.ip, 2))
	}
	fmt.Fprintf(&b, "[Limits]\nCpuShare = 0.4\nCores = 1\nMemoryMb = 284\nFileDescriptors = 4300\nLinkSpeedMbps = 1000.0\nDiskMb = 128\n")
	fmt.Fprintf(&b, "[FaultTolerance]\nMachines = 1\nZones = 0\nRegions = 0\n")
	fmt.Fprintf(&b, "[Bounds]\nSeedLagS = 3\nAddressReuseS = 2\nStabilityWindowMs = 4000\nAckTimeoutMs = 5000\nCatchUpS = 4\nDrainMs = 7000\nGracePeriodS = 6\nLossSlackMs = 200\n"+
		"ConfigApplyMs = 3000\nDowngradeSlackMs = 250\nMaxStretchMs = 12000\nStrictRevoke = false\nRevocationMs = 5000\nQuotaWindowS = 5\nQuotaOverage = 0.1\nQuotaAllowance = 20\n"+
		"RecoveryS = 12\nRequireFence = true\nThawSlackMs = 300\n")
	fmt.Fprintf(&b, "[CloudApi]\nAddress = %q\nRatePerS = 50.0\nDuties = [\"failover\"]\nDutyPerS = 50.0\n", w.platformAddr)
	return b.String()
}

// start starts the process of a host.
func (h *host) start(bootstrap bool) {
	file := filepath.Join(h.w.folder, h.name+".toml")
	if err := os.WriteFile(file, []byte(h.settings(bootstrap)), 0o600); err != nil {
		h.w.fail(err)
	}
	out, err := os.OpenFile(filepath.Join(h.w.folder, h.name+".out"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		h.w.fail(err)
	}
	h.cmd = exec.Command(h.w.program, "-platform")
	h.cmd.Env = append(os.Environ(), "CITRONRUN_CONFIG="+file)
	h.cmd.Stdout, h.cmd.Stderr = out, out
	h.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := h.cmd.Start(); err != nil {
		h.w.fail(err)
	}
	_ = out.Close()
	done, cmd := make(chan struct{}), h.cmd
	h.done = done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
}

func (h *host) signal(s syscall.Signal) {
	if h.cmd != nil && h.cmd.Process != nil {
		_ = h.cmd.Process.Signal(s)
	}
}

// servePlatform serves the promotion call.
func (w *world) servePlatform() {
	l, err := net.Listen("tcp", w.addr(w.ip(5), 0))
	if err != nil {
		w.fail(err)
	}
	w.platformAddr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promotion", func(rw http.ResponseWriter, r *http.Request) {
		var body struct{ Service, InstanceId string }
		token, err := strconv.ParseUint(r.Header.Get("Citronrun-Fencing-Token"), 10, 64)
		status := http.StatusBadRequest
		if err == nil && json.NewDecoder(r.Body).Decode(&body) == nil {
			for _, s := range w.services {
				if s.name == body.Service {
					status = s.order(body.InstanceId, token)
				}
			}
		}
		w.note("POST /promotion of %s with token %d by %s: %d", body.InstanceId, token, r.Header.Get("Citronrun-Lease-Holder"), status)
		rw.WriteHeader(status)
	})
	go func() { _ = http.Serve(l, mux) }()
}

// order handles a promotion call and returns the status of the answer.
func (s *service) order(id string, token uint64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if token < s.seen {
		return http.StatusConflict
	}
	s.seen = token
	for _, d := range s.dbs {
		if d.id != id || !d.running {
			continue
		}
		if !d.primary {
			time.AfterFunc(promoteTime, func() { s.promote(d) })
		}
		return http.StatusOK
	}
	return http.StatusConflict
}

// databaseNames are the database names of the routes of a service, by its index and the kind of the route.
var databaseNames = [][]string{{"lepu270", "xapu221", "fiti832"}, {"bore445", "meku712", "sapo093"}}

// Kinds of routes, as the second index of databaseNames.
const (
	kindPrimary = iota
	kindBounded
	kindOwn
)

// configure sends the configuration until it is acknowledged. The services stand in it in the opposite order of their start.
func (w *world) configure(version int) {
	var routes, services []any
	for i, s := range w.services {
		names := databaseNames[i]
		routes = append(routes,
			map[string]any{"Name": "r-" + names[0], "Host": names[0], "PathPrefix": "/", "Kind": "primary", "TimeoutMs": 800, "TargetLatencyMs": 150, "Priority": 1, "Service": s.name, "MaxAttempts": 2, "Public": false},
			map[string]any{"Name": "r-" + names[1], "Host": names[1], "PathPrefix": "/", "Kind": "bounded_staleness", "TimeoutMs": 1500, "TargetLatencyMs": 400, "Priority": 2, "Service": s.name, "MaxAttempts": 2, "MaxStalenessMs": 1500, "Public": false},
			map[string]any{"Name": "r-" + names[2], "Host": names[2], "PathPrefix": "/", "Kind": "read_your_writes", "TimeoutMs": 800, "TargetLatencyMs": 250, "Priority": 2, "Service": s.name, "MaxAttempts": 2, "MaxStalenessMs": 2500, "Public": false})
		service := map[string]any{"Name": s.name, "HealthPath": "/health", "ConnectionLimit": connectionLimit, "Protocol": "h1", "Tls": false, "SyncReplicas": 1}
		services = append([]any{service}, services...)
	}
	doc := map[string]any{
		"Version": version, "Routes": routes, "Services": services,
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000, "TransactionIdleMs": 3000},
		"Tenants": []any{map[string]any{"Name": "nypu920", "ApiKeys": []string{key}, "Priority": 1, "RatePerS": 1000, "Burst": 1000}},
	}
	body, _ := json.Marshal(doc)
	client := &http.Client{Timeout: 3 * time.Second}
	for i := 0; ; i++ {
		if time.Since(w.began) > 40*time.Second {
			w.fail(fmt.Errorf("no acknowledgement of the configuration"))
		}
		resp, err := client.Post("http://"+w.control[i%len(w.control)].controlAddr+"/citronrun/configuration/put", "application/json", bytes.NewReader(body))
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				w.note("configuration %d acknowledged", version)
				return
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// checkPromoted checks that a promoted database has all acknowledged commits.
func (w *world) checkPromoted(d *database) {
	has := map[string]bool{}
	for _, c := range d.log {
		has[c.id] = true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	missing := 0
	example := ""
	for id := range w.acknowledged {
		if !has[id] {
			missing++
			example = id
		}
	}
	w.noteLocked("%s (%s) is promoted with %d commits in its log; %d of %d acknowledged commits are not among them", d.label, d.id, len(d.log), missing, len(w.acknowledged))
	if missing > 0 {
		w.broken = append(w.broken, fmt.Sprintf("LOST: %d acknowledged commits, such as %s, aren't in the log of %s, which is promoted", missing, example, d.id))
	}
}

// finish writes the outcome and exits.
func (w *world) finish() {
	w.mu.Lock()
	broken := w.broken
	for _, b := range broken {
		w.noteLocked("broken: %s", b)
		fmt.Println(b)
	}
	if len(broken) == 0 {
		w.noteLocked("the rule held")
		fmt.Println("the rule held")
	}
	w.mu.Unlock()
	if len(broken) > 0 {
		w.end(exitBroken)
	}
	w.end(exitHeld)
}
