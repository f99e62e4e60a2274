package cluster

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/citronrun/citronrun/bench/internal/network"
	"github.com/citronrun/citronrun/internal/pki"
	"github.com/citronrun/citronrun/internal/settings"
)

// Host is one citrond process and the relays in front of it.
type Host struct {
	Name    string
	Place   string
	Admin   string // IP:PORT of the administration API
	Callers string // IP:PORT of the relay for callers; empty without the entry role
	Entry   bool

	peers   netip.AddrPort // the real QUIC address
	relay   *network.UDP
	front   *network.TCP
	config  string // settings file
	log     string // log file
	citrond string

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// Ports of hosts lie below those that the system gives out, so that none is taken between its choice
// and the start of the process.
const (
	firstPort    = 12000
	ports        = 18000
	portAttempts = 100
)

// freePort returns an address of the loopback interface whose port is free for TCP and UDP.
func freePort() (string, error) {
	var err error
	for range portAttempts {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports))
		if err = tryPort(addr); err == nil {
			return addr, nil
		}
	}
	return "", err
}

func tryPort(addr string) error {
	tcp, err := net.Listen("tcp4", addr)
	if err != nil {
		return err
	}
	defer tcp.Close()
	udp, err := net.ListenPacket("udp4", addr)
	if err != nil {
		return err
	}
	return udp.Close()
}

// newHost reserves addresses and starts the relays.
func (c *Cluster) newHost(name, place string, entry bool) (*Host, error) {
	h := &Host{Name: name, Place: place, Entry: entry, citrond: c.citrond}
	h.config = filepath.Join(c.dir, name+".jsonc")
	h.log = filepath.Join(c.dir, name+".log")
	peers, err := freePort()
	if err != nil {
		return nil, err
	}
	h.peers = netip.MustParseAddrPort(peers)
	if h.Admin, err = freePort(); err != nil {
		return nil, err
	}
	c.Net.Place(name, place)
	if h.relay, err = network.NewUDP(c.Net, name, h.peers, c.sender); err != nil {
		return nil, err
	}
	if !entry {
		return h, nil
	}
	callers, err := freePort()
	if err != nil {
		return nil, err
	}
	delay := func() time.Duration { return callerDelay }
	h.front, err = network.NewTCP("127.0.0.1:0", callers, delay, "", "")
	if err != nil {
		return nil, err
	}
	h.Callers = h.front.Addr()
	return h, c.write(h, callers)
}

// write stores the settings file and the certificate of a host.
func (c *Cluster) write(h *Host, callers string) error {
	var units []string
	if !h.Entry {
		units = append(units, pki.ControlUnit)
	}
	pair, err := pki.NewHost(c.authority, h.Name, nil, time.Now(), pki.HostLifetime, units...)
	if err != nil {
		return err
	}
	if err := pair.Write(c.dir, h.Name); err != nil {
		return err
	}
	s := settings.Defaults()
	s.Host, s.Place = h.Name, h.Place
	s.Listen = settings.Listen{
		Callers: callers, Peers: h.peers.String(), Admin: h.Admin, PeersAdvertised: h.relay.Addr(),
	}
	s.PeerTLS = settings.TLS{CA: "ca.crt", Cert: h.Name + ".crt", Key: h.Name + ".key"}
	for _, m := range c.Control {
		s.Control = append(s.Control, m.relay.Addr())
	}
	s.Roles = []settings.Role{settings.RoleEntry}
	if !h.Entry {
		s.Roles = []settings.Role{settings.RoleControl}
		s.DataDir = h.Name + "-data"
		s.Bootstrap = h == c.Control[0]
	}
	s.Targets.ConnectTimeout = settings.Duration(time.Second)
	s.ShutdownDelay = settings.Duration(500 * time.Millisecond) // readiness is polled every 200 ms
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(h.config, data, 0o600)
}

// Start starts the process.
func (h *Host) Start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	out, err := os.OpenFile(h.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(h.citrond, "-config", h.config)
	cmd.Stderr, cmd.Stdout = out, out
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", h.Name, err)
	}
	exited := make(chan struct{})
	h.process, h.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process. It does nothing when no process runs.
func (h *Host) Signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.running() {
		_ = h.process.Process.Signal(sig)
	}
}

// running is called with the mutex held.
func (h *Host) running() bool {
	if h.process == nil {
		return false
	}
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// Wait waits for the end of the process and returns its exit code, or -1 after the timeout or when a
// signal ended it.
func (h *Host) Wait(timeout time.Duration) int {
	h.mu.Lock()
	cmd, exited := h.process, h.exited
	h.mu.Unlock()
	if cmd == nil {
		return -1
	}
	select {
	case <-exited:
		return cmd.ProcessState.ExitCode()
	case <-time.After(timeout):
		return -1
	}
}

func (h *Host) close() {
	h.Signal(syscall.SIGKILL)
	h.Wait(5 * time.Second)
	h.relay.Close()
	if h.front != nil {
		h.front.Close()
	}
}
