package daemon

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
)

// network connects hosts through UDP relays, one in front of each host, and silently drops the packets
// of cut connections. Hosts dial from the socket on which they listen, so a relay identifies the sender
// by its source address.
type network struct {
	mu           sync.RWMutex
	hostBySocket map[netip.AddrPort]string // host by its socket's address
	dropped      map[[2]string]bool        // by sender and receiver
}

// relay forwards packets to one host. Its address stays the same when the host restarts.
type relay struct {
	net      *network
	host     string
	socket   *net.UDPConn
	hostAddr atomic.Pointer[netip.AddrPort] // socket of the host

	mu            sync.Mutex
	senderSockets map[netip.AddrPort]*net.UDPConn // by sender
	closed        bool
}

const maxDatagramBytes = 64 << 10

func newNetwork() *network {
	return &network{hostBySocket: map[netip.AddrPort]string{}, dropped: map[[2]string]bool{}}
}

func listenLoopback() (*net.UDPConn, error) {
	return net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
}

func (n *network) newRelay(t testing.TB, host string) *relay {
	t.Helper()
	socket, err := listenLoopback()
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{net: n, host: host, socket: socket, senderSockets: map[netip.AddrPort]*net.UDPConn{}}
	go r.forwardToHost()
	t.Cleanup(r.close)
	return r
}

func (r *relay) addr() string { return r.socket.LocalAddr().String() }

// attach makes the relay forward to the socket of a started host.
func (r *relay) attach(d *Daemon) {
	addr := netip.MustParseAddrPort(d.PeerAddr())
	r.net.mu.Lock()
	r.net.hostBySocket[addr] = r.host
	r.net.mu.Unlock()
	r.hostAddr.Store(&addr)
}

// cut drops all packets from one host to another until heal is called.
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

// delivers reports whether packets are forwarded. Those of unknown senders are dropped, because a test
// may cut off a host before it starts.
func (n *network) delivers(from, to string) bool {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return from != "" && !n.dropped[[2]string{from, to}]
}

func (n *network) hostOf(addr netip.AddrPort) string {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.hostBySocket[addr]
}

// forwardToHost forwards packets of other hosts to the relay's host.
func (r *relay) forwardToHost() {
	buf := make([]byte, maxDatagramBytes)
	for {
		size, sender, err := r.socket.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		hostAddr := r.hostAddr.Load()
		if hostAddr == nil || !r.net.delivers(r.net.hostOf(sender), r.host) {
			continue
		}
		if socket := r.senderSocket(sender); socket != nil {
			_, _ = socket.WriteToUDPAddrPort(buf[:size], *hostAddr)
		}
	}
}

// senderSocket returns the socket from which the relay's host receives the packets of a sender, as in a NAT.
func (r *relay) senderSocket(sender netip.AddrPort) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if socket := r.senderSockets[sender]; socket != nil || r.closed {
		return socket
	}
	socket, err := listenLoopback()
	if err != nil {
		return nil
	}
	r.senderSockets[sender] = socket
	go r.forwardToSender(socket, sender)
	return socket
}

// forwardToSender forwards packets of the relay's host back to a sender.
func (r *relay) forwardToSender(socket *net.UDPConn, sender netip.AddrPort) {
	buf := make([]byte, maxDatagramBytes)
	for {
		size, err := socket.Read(buf)
		if err != nil {
			return
		}
		if r.net.delivers(r.host, r.net.hostOf(sender)) {
			_, _ = r.socket.WriteToUDPAddrPort(buf[:size], sender)
		}
	}
}

func (r *relay) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	_ = r.socket.Close()
	for _, socket := range r.senderSockets {
		_ = socket.Close()
	}
}
