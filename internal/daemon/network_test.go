package daemon

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
)

// network connects hosts by UDP relays, one in front of each host, and drops packets silently
// between hosts that are cut off. Hosts dial from the socket on which they listen, so that a relay
// knows the sender by its address.
type network struct {
	mu      sync.RWMutex
	names   map[netip.AddrPort]string // host by its socket's address
	dropped map[[2]string]bool        // by sender and receiver
}

// relay is the address of one host, which stays the same when the host restarts.
type relay struct {
	net    *network
	host   string
	socket *net.UDPConn
	target atomic.Pointer[netip.AddrPort] // socket of the host

	mu     sync.Mutex
	flows  map[netip.AddrPort]*net.UDPConn // by sender
	closed bool
}

const maxDatagramBytes = 64 << 10

func newNetwork() *network {
	return &network{names: map[netip.AddrPort]string{}, dropped: map[[2]string]bool{}}
}

func listenLoopback() (*net.UDPConn, error) {
	return net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
}

func (n *network) relay(t testing.TB, host string) *relay {
	t.Helper()
	socket, err := listenLoopback()
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{net: n, host: host, socket: socket, flows: map[netip.AddrPort]*net.UDPConn{}}
	go r.forward()
	t.Cleanup(r.close)
	return r
}

func (r *relay) addr() string { return r.socket.LocalAddr().String() }

// attach makes the relay lead to a started host.
func (r *relay) attach(d *Daemon) {
	addr := netip.MustParseAddrPort(d.PeerAddr())
	r.net.mu.Lock()
	r.net.names[addr] = r.host
	r.net.mu.Unlock()
	r.target.Store(&addr)
}

// cut drops all packets from one host to another, until heal.
func (n *network) cut(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dropped[[2]string{from, to}] = true
}

func (n *network) heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.dropped)
}

// passes reports whether a packet arrives. Packets of unknown senders are lost, since a host may be
// cut off from its first packet on.
func (n *network) passes(from, to string) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return from != "" && !n.dropped[[2]string{from, to}]
}

func (n *network) name(addr netip.AddrPort) string {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.names[addr]
}

// forward passes packets of other hosts to the relay's host.
func (r *relay) forward() {
	buf := make([]byte, maxDatagramBytes)
	for {
		size, sender, err := r.socket.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		target := r.target.Load()
		if target == nil || !r.net.passes(r.net.name(sender), r.host) {
			continue
		}
		if flow := r.flow(sender); flow != nil {
			_, _ = flow.WriteToUDPAddrPort(buf[:size], *target)
		}
	}
}

// flow returns the socket that stands for a sender towards the relay's host.
func (r *relay) flow(sender netip.AddrPort) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f := r.flows[sender]; f != nil || r.closed {
		return f
	}
	f, err := listenLoopback()
	if err != nil {
		return nil
	}
	r.flows[sender] = f
	go r.backward(f, sender)
	return f
}

// backward passes answers of the relay's host to a sender.
func (r *relay) backward(flow *net.UDPConn, sender netip.AddrPort) {
	buf := make([]byte, maxDatagramBytes)
	for {
		size, err := flow.Read(buf)
		if err != nil {
			return
		}
		if r.net.passes(r.host, r.net.name(sender)) {
			_, _ = r.socket.WriteToUDPAddrPort(buf[:size], sender)
		}
	}
}

func (r *relay) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	_ = r.socket.Close()
	for _, f := range r.flows {
		_ = f.Close()
	}
}
