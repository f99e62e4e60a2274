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
	Name       string
	Place      string
	AdminAddr  string // IP:PORT of the administration API, which has no relay
	CallerAddr string // IP:PORT of the relay for callers; empty without the entry role
	Entry      bool

	peerAddr    netip.AddrPort // address on which the process listens for QUIC, behind the relay
	peerRelay   *network.UDP
	callerRelay *network.TCP
	configFile  string // settings file
	logFile     string // log file
	citrond     string

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// Ports of hosts are below the ephemeral port range, so that the system assigns none of them to another
// socket between its choice and the start of the process.
const (
	firstPort    = 12000
	portCount    = 18000
	portAttempts = 100
)

// freePort returns an address of the loopback interface whose port is free for TCP and UDP.
func freePort() (string, error) {
	var err error
	for range portAttempts {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		if err = checkPortFree(addr); err == nil {
			return addr, nil
		}
	}
	return "", err
}

func checkPortFree(addr string) error {
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

// newHost chooses the addresses of a host and starts its relays.
func (c *Cluster) newHost(name, place string, entry bool) (*Host, error) {
	h := &Host{Name: name, Place: place, Entry: entry, citrond: c.citrond}
	h.configFile = filepath.Join(c.dir, name+".jsonc")
	h.logFile = filepath.Join(c.dir, name+".log")
	peerAddr, err := freePort()
	if err != nil {
		return nil, err
	}
	h.peerAddr = netip.MustParseAddrPort(peerAddr)
	if h.AdminAddr, err = freePort(); err != nil {
		return nil, err
	}
	c.Net.SetPlace(name, place)
	if h.peerRelay, err = network.NewUDP(c.Net, name, h.peerAddr, c.hostByPeerAddr); err != nil {
		return nil, err
	}
	if !entry {
		return h, nil
	}
	callerListenAddr, err := freePort()
	if err != nil {
		return nil, err
	}
	delay := func() time.Duration { return callerDelay }
	h.callerRelay, err = network.NewTCP("127.0.0.1:0", callerListenAddr, delay, "", "")
	if err != nil {
		return nil, err
	}
	h.CallerAddr = h.callerRelay.Addr()
	return h, c.writeSettings(h, callerListenAddr)
}

// writeSettings writes the settings file and the certificate of a host.
func (c *Cluster) writeSettings(h *Host, callerListenAddr string) error {
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
		Callers: callerListenAddr, Peers: h.peerAddr.String(), Admin: h.AdminAddr, PeersAdvertised: h.peerRelay.Addr(),
	}
	s.PeerTLS = settings.TLS{CA: "ca.crt", Cert: h.Name + ".crt", Key: h.Name + ".key"}
	for _, control := range c.Control {
		s.Control = append(s.Control, control.peerRelay.Addr())
	}
	s.Roles = []settings.Role{settings.RoleEntry}
	if !h.Entry {
		s.Roles = []settings.Role{settings.RoleControl}
		s.DataDir = h.Name + "-data"
		s.Bootstrap = h == c.Control[0]
	}
	s.Targets.ConnectTimeout = settings.Duration(time.Second)
	s.ShutdownDelay = settings.Duration(500 * time.Millisecond) // longer than the interval at which readiness is polled, 200 ms
	data, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(h.configFile, data, 0o600)
}

// Start starts the host's process.
func (h *Host) Start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	out, err := os.OpenFile(h.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(h.citrond, "-config", h.configFile)
	cmd.Stderr, cmd.Stdout = out, out
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", h.Name, err)
	}
	exited := make(chan struct{})
	h.cmd, h.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process. It does nothing if the process isn't running.
func (h *Host) Signal(sig syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.runningLocked() {
		_ = h.cmd.Process.Signal(sig)
	}
}

// runningLocked reports whether the process is running. The caller must hold h.mu.
func (h *Host) runningLocked() bool {
	if h.cmd == nil {
		return false
	}
	select {
	case <-h.exited:
		return false
	default:
		return true
	}
}

// Wait waits until the process exits and returns its exit code, or -1 on timeout or if a signal
// terminated it.
func (h *Host) Wait(timeout time.Duration) int {
	h.mu.Lock()
	cmd, exited := h.cmd, h.exited
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

func (h *Host) stop() {
	h.Signal(syscall.SIGKILL)
	h.Wait(5 * time.Second)
	h.peerRelay.Close()
	if h.callerRelay != nil {
		h.callerRelay.Close()
	}
}
