//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the machines, as the sheet of the small deployment gives them.
const (
	frontMemoryMb    = 284
	frontDescriptors = 4300
	coreMemoryMb     = 280
	coreDescriptors  = 4096
	megabyte         = 1_000_000
	restartDelay     = 500 * time.Millisecond
	memoryInterval   = 10 * time.Millisecond
)

// Ports are the same on all machines, each of which has a loopback address of its own.
const (
	portReady    = 8460
	portControl  = 8462
	portFrontend = 8465
)

// internalPorts is the number of ports that a machine has for traffic between hosts.
const internalPorts = 16

const (
	clientKey   = "u6wsjnbanfqasnmgkcuy"
	clientName  = "nypu920"
	otherKey    = "j8pjbvk9m68k7b2ex5wa"
	otherName   = "kafi81c"
	primaryName = "desk"
	viewName    = "view"
	serviceName = "huvo11a"
)

var zones = []string{"marche-central", "grand-standing", "mbour-route"}

// machine is a machine of the system with one process of it.
type machine struct {
	w        *world
	name, ip string
	zone     string
	core     bool
	dir      string
	internal int // first of its internal ports

	mu       sync.Mutex
	cmd      *exec.Cmd
	stopped  bool
	peakMb   float64
	exceeded int // processes that used more memory than the machine has
	ended    int // processes that ended for another reason
}

// world is the system and all that surrounds it.
type world struct {
	rec       *recorder
	dir       string
	prefix    string // of all addresses
	machines  []*machine
	group     *group
	cloudAddr string
	frontMb   int // memory of a frontend
	cloud     *http.Server
	proxies   []*net.UDPConn
	wg        sync.WaitGroup
}

func newWorld(rec *recorder) (*world, error) {
	if _, err := os.Stat("target/citrond"); err != nil {
		return nil, fmt.Errorf("the program of the deploy file is not built: %w", err)
	}
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	w := &world{rec: rec, dir: dir, frontMb: frontMemoryMb}
	if err := w.choosePrefix(); err != nil {
		return nil, errors.Join(err, os.RemoveAll(dir))
	}
	return w, nil
}

// choosePrefix chooses loopback addresses that no other process uses.
func (w *world) choosePrefix() error {
	for range 20 {
		w.prefix = fmt.Sprintf("127.%d.%d.", 1+rand.IntN(250), 1+rand.IntN(250))
		l, err := net.Listen("tcp", net.JoinHostPort(w.prefix+"1", strconv.Itoa(portControl)))
		if err == nil {
			return l.Close()
		}
	}
	return errors.New("no free loopback address")
}

// start starts the platform, the databases and the system, and sends the first configuration.
func (w *world) start(cores, fronts int) error {
	var err error
	if w.group, err = newGroup(w.rec, serviceName, w.prefix+"200", zones, w.controlAddrs); err != nil {
		return err
	}
	if err := w.serveCloud(); err != nil {
		return err
	}
	for i := range cores {
		w.addMachine(fmt.Sprintf("core-%d", i+1), i+1, zones[i%len(zones)], true)
	}
	for i := range fronts {
		w.addMachine(fmt.Sprintf("frontend-%d", i+1), 101+i, zones[i%len(zones)], false)
	}
	if err := w.connectSeeds(); err != nil {
		return err
	}
	for _, m := range w.machines {
		if err := m.start(true); err != nil {
			return err
		}
	}
	if err := w.putUntilAccepted(w.configuration(7), 20*time.Second); err != nil {
		return err
	}
	return w.awaitService(20 * time.Second)
}

func (w *world) addMachine(name string, host int, zone string, core bool) {
	w.machines = append(w.machines, &machine{w: w, name: name, ip: w.prefix + strconv.Itoa(host), zone: zone, core: core, dir: filepath.Join(w.dir, name)})
}

// connectSeeds gives each machine internal ports of its own, and lets it reach the seed, the first control host, at these.
func (w *world) connectSeeds() error {
	next := 20000 + rand.IntN(10000)
	for _, m := range w.machines {
		for ; ; next += internalPorts {
			if l, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", strconv.Itoa(next+1))); err == nil {
				_ = l.Close()
				break
			}
		}
		m.internal = next
		next += internalPorts
	}
	for _, m := range w.machines {
		seed := w.machines[0]
		if m == seed {
			continue
		}
		proxy, err := passDatagrams(net.JoinHostPort(seed.ip, strconv.Itoa(m.internal)), net.JoinHostPort(seed.ip, strconv.Itoa(seed.internal)))
		if err != nil {
			return err
		}
		w.proxies = append(w.proxies, proxy)
	}
	return nil
}

func (w *world) fronts() (out []*machine) {
	for _, m := range w.machines {
		if !m.core {
			out = append(out, m)
		}
	}
	return out
}

func (w *world) controlAddrs() (addrs []string) {
	for _, m := range w.machines {
		if m.core {
			addrs = append(addrs, net.JoinHostPort(m.ip, strconv.Itoa(portControl)))
		}
	}
	return addrs
}

// serveCloud serves the platform's promotion call.
func (w *world) serveCloud() error {
	l, err := net.Listen("tcp", w.prefix+"201:0")
	if err != nil {
		return err
	}
	w.cloudAddr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promotion", func(rw http.ResponseWriter, r *http.Request) {
		var body struct{ Service, InstanceId string }
		token, err := strconv.ParseUint(r.Header.Get("Citronrun-Fencing-Token"), 10, 64)
		if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil || body.Service != serviceName {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		if w.group.isSlow() {
			w.group.promoteLate(body.InstanceId, token, r.Header.Get("Citronrun-Lease-Holder"))
			<-r.Context().Done()
			return
		}
		rw.WriteHeader(w.group.promote(body.InstanceId, token, r.Header.Get("Citronrun-Lease-Holder")))
	})
	w.cloud = &http.Server{Handler: mux}
	go func() { _ = w.cloud.Serve(l) }()
	return nil
}

// settings returns the settings file of a machine.
func (m *machine) settings(bootstrap bool) string {
	seed := m.w.controlAddrs()[0] // only one: hosts with other internal ports don't recognise each other's addresses among the seeds
	class, serves, memory, descriptors, disk := "frontend", "frontend", m.w.frontMb, frontDescriptors, 0
	listen := fmt.Sprintf("FrontendAddress = \"%s:%d\"\nReady = \"%s:%d\"\n", m.ip, portFrontend, m.ip, portReady)
	data := ""
	if m.core {
		class, serves, memory, descriptors, disk = "core", "control_plane", coreMemoryMb, coreDescriptors, 128
		listen = fmt.Sprintf("Control = \"%s:%d\"\n", m.ip, portControl)
		data = fmt.Sprintf("DataDirectory = %q\n", filepath.Join(m.dir, "data"))
	}
	var b strings.Builder
	fmt.Fprintf(&b, "NodeName = %q\nRole = \"entry\"\nMachineClass = %q\nServes = [%q]\nIpAddress = %q\nZone = %q\nRegion = \"thies\"\n", m.name, class, serves, m.ip, m.zone)
	fmt.Fprintf(&b, "InternalPorts = [%d,%d]\nSeedNodes = [%q]\nBootstrap = %v\nToleranceMember = %v\n", m.internal, m.internal+internalPorts-1, seed, bootstrap, m.core)
	fmt.Fprintf(&b, "Discovery = \"registry\"\nEntry = \"virtual_ip\"\nHeartbeatIntervalMs = %d\n%s", heartbeatInterval.Milliseconds(), data)
	fmt.Fprintf(&b, "Contracts = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sql\",\"tenants\",\"quota\"]\nconfig_mode = \"highest\"\n[Zones]\n")
	for _, zone := range zones {
		fmt.Fprintf(&b, "%s = \"thies\"\n", zone)
	}
	fmt.Fprintf(&b, "[ListenAddresses]\n%s", listen)
	fmt.Fprintf(&b, "[Limits]\nCpuShare = 0.4\nCores = 1\nMemoryMb = %d\nFileDescriptors = %d\nLinkSpeedMbps = 1000.0\nDiskMb = %d\n", memory, descriptors, disk)
	fmt.Fprintf(&b, "[FaultTolerance]\nMachines = 1\nZones = 0\nRegions = 0\n")
	fmt.Fprintf(&b, "[Bounds]\nSeedLagS = 3\nAddressReuseS = 2\nStabilityWindowMs = 4000\nAckTimeoutMs = 5000\nCatchUpS = 4\nDrainMs = 7000\nGracePeriodS = 6\nLossSlackMs = 200\n")
	fmt.Fprintf(&b, "ConfigApplyMs = 3000\nDowngradeSlackMs = 250\nMaxStretchMs = 12000\nStrictRevoke = false\nRevocationMs = 5000\nQuotaWindowS = 5\nQuotaOverage = 0.1\nQuotaAllowance = 20\n")
	fmt.Fprintf(&b, "RecoveryS = 12\nRequireFence = true\nThawSlackMs = 300\n[CloudApi]\nAddress = %q\nRatePerS = 50.0\nDuties = [\"failover\"]\nDutyPerS = 50.0\n", m.w.cloudAddr)
	return b.String()
}

// start starts the process of a machine and watches it. As the platform does, it kills a process that uses more memory
// than the machine has, and starts one that has ended again.
func (m *machine) start(bootstrap bool) error {
	if err := os.MkdirAll(filepath.Join(m.dir, "data"), 0o755); err != nil {
		return err
	}
	file := filepath.Join(m.dir, "local.toml")
	if err := os.WriteFile(file, []byte(m.settings(bootstrap)), 0o644); err != nil {
		return err
	}
	logs, err := os.OpenFile(filepath.Join(m.dir, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/citrond", "-platform")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8", "CITRONRUN_CONFIG=" + file}
	cmd.Stdout, cmd.Stderr = logs, logs
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stopped {
		return logs.Close()
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.cmd = cmd
	m.w.rec.add(m.name, "process %d starts at %s", cmd.Process.Pid, m.ip)
	m.w.wg.Go(func() { m.watch(cmd, logs) })
	return nil
}

// watch waits for the end of a process, and then starts the next one.
func (m *machine) watch(cmd *exec.Cmd, logs *os.File) {
	ended := make(chan struct{})
	killed := false
	var peak float64
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		limit := float64(m.w.frontMb)
		if m.core {
			limit = coreMemoryMb
		}
		ticker := time.NewTicker(memoryInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ended:
				return
			case <-ticker.C:
			}
			peak = max(peak, residentMb(cmd.Process.Pid))
			if peak > limit && !killed {
				killed = true
				_ = cmd.Process.Kill()
			}
		}
	}()
	err := cmd.Wait()
	close(ended)
	<-watched
	_ = logs.Close()
	m.mu.Lock()
	m.peakMb = max(m.peakMb, peak)
	stopped := m.stopped
	if !stopped && killed {
		m.exceeded++
		m.w.rec.add(m.name, "process %d has used %.0f MB of memory, more than the machine has, and is killed (%d times)", cmd.Process.Pid, peak, m.exceeded)
	} else if !stopped {
		m.ended++
		m.w.rec.add(m.name, "process %d has ended: %v", cmd.Process.Pid, err)
	}
	m.mu.Unlock()
	if stopped {
		return
	}
	time.Sleep(restartDelay)
	if err := m.start(false); err != nil {
		m.w.rec.add(m.name, "process not started again: %v", err)
	}
}

// residentMb returns the resident memory of a process, or 0 if it has ended.
func residentMb(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return float64(pages*int64(os.Getpagesize())) / megabyte
}

// peak returns the greatest memory of a process of the machine that has ended or still runs.
func (m *machine) peak() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		return max(m.peakMb, residentMb(m.cmd.Process.Pid))
	}
	return m.peakMb
}

func (m *machine) ends() (exceeded, ended int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.exceeded, m.ended
}

// stop kills the process of a machine for good.
func (m *machine) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.stopped = true
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(syscall.SIGKILL)
	}
}

// configuration returns a complete configuration.
func (w *world) configuration(version int) []byte {
	route := func(name, host, kind string, timeout, objective, staleness int) map[string]any {
		r := map[string]any{
			"Name": name, "Host": host, "PathPrefix": "/", "Kind": kind, "TimeoutMs": timeout, "TargetLatencyMs": objective,
			"Priority": 1, "Service": serviceName, "MaxAttempts": 2, "Public": false,
		}
		if staleness > 0 {
			r["MaxStalenessMs"] = staleness
		}
		return r
	}
	tenants := []any{
		map[string]any{"Name": clientName, "ApiKeys": []string{clientKey}, "Priority": 1, "RatePerS": 142, "Burst": 142},
		map[string]any{"Name": otherName, "ApiKeys": []string{otherKey}, "Priority": 1, "RatePerS": 142, "Burst": 142},
	}
	body, _ := json.Marshal(map[string]any{
		"Version":  version,
		"Routes":   []any{route("r-1", primaryName, "primary", 800, 150, 0), route("r-2", viewName, "bounded_staleness", 1500, 400, 1500)},
		"Services": []any{map[string]any{"Name": serviceName, "HealthPath": "/health", "ConnectionLimit": dbConnections, "Protocol": "h1", "Tls": false, "SyncReplicas": 1}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000, "TransactionIdleMs": 3000},
		"Tenants":  tenants,
	})
	return body
}

// putUntilAccepted sends a configuration to one control host after the other until it is acknowledged.
func (w *world) putUntilAccepted(body []byte, limit time.Duration) error {
	client := &http.Client{Timeout: 3 * time.Second}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		for _, addr := range w.controlAddrs() {
			resp, err := client.Post("http://"+addr+"/citronrun/configuration/put", "application/json", bytes.NewReader(body))
			if err != nil {
				continue
			}
			text, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			w.rec.add("operator", "put at %s: %d %s", addr, resp.StatusCode, text)
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
	}
	return errors.New("the first configuration was not acknowledged")
}

// awaitService waits until each frontend serves a write.
func (w *world) awaitService(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, m := range w.fronts() {
		for !w.serves(m) {
			if time.Now().After(deadline) {
				return fmt.Errorf("%s doesn't serve a write", m.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

func (w *world) serves(m *machine) bool {
	s, err := openSession(m.frontend(), primaryName, clientKey)
	if err != nil {
		return false
	}
	defer s.close()
	a, err := s.query(newID(), "WRITE first data", 2*time.Second)
	return err == nil && a.ok()
}

func (m *machine) frontend() string { return net.JoinHostPort(m.ip, strconv.Itoa(portFrontend)) }

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// close ends all processes and removes their files.
func (w *world) close() {
	for _, m := range w.machines {
		m.stop()
	}
	w.wg.Wait()
	if w.group != nil {
		w.group.close()
	}
	if w.cloud != nil {
		_ = w.cloud.Close()
	}
	for _, proxy := range w.proxies {
		_ = proxy.Close()
	}
	if os.Getenv("KEEP") != "" {
		w.rec.add("case", "files kept")
		fmt.Println(w.dir)
		return
	}
	_ = os.RemoveAll(w.dir)
}
