package network

import (
	"net"
	"net/netip"
	"sync"
)

const maxDatagram = 64 << 10

// UDP relays the QUIC traffic to one host. Hosts send from the port on which they listen, so the
// source address identifies the sender.
type UDP struct {
	network    *Network
	host       string
	hostAddr   netip.AddrPort
	senderOf   func(netip.AddrPort) string // name of the host with this peer address
	listenConn *net.UDPConn
	done       chan struct{}

	mu    sync.Mutex
	flows map[netip.AddrPort]*flow
}

type flow struct {
	sender   string
	hostConn *net.UDPConn
	toHost   *queue
}

// NewUDP starts a relay to the host that listens on hostAddr. senderOf returns the name of the host
// that sends from an address.
func NewUDP(n *Network, host string, hostAddr netip.AddrPort, senderOf func(netip.AddrPort) string) (*UDP, error) {
	listenConn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	u := &UDP{
		network: n, host: host, hostAddr: hostAddr, senderOf: senderOf, listenConn: listenConn,
		done: make(chan struct{}), flows: map[netip.AddrPort]*flow{},
	}
	go u.serve()
	return u, nil
}

// Addr returns the address of the relay, IP:PORT.
func (u *UDP) Addr() string { return u.listenConn.LocalAddr().String() }

// Close stops the relay.
func (u *UDP) Close() {
	close(u.done)
	_ = u.listenConn.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, f := range u.flows {
		_ = f.hostConn.Close()
	}
}

func (u *UDP) serve() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := u.listenConn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		f, err := u.flow(from)
		if err != nil {
			continue
		}
		if d, ok := u.network.packetDelay(f.sender, u.host); ok {
			f.toHost.enqueue(buf[:n], d)
		}
	}
}

func (u *UDP) flow(from netip.AddrPort) (*flow, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if f := u.flows[from]; f != nil {
		return f, nil
	}
	hostConn, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(u.hostAddr))
	if err != nil {
		return nil, err
	}
	f := &flow{sender: u.senderOf(from), hostConn: hostConn}
	f.toHost = newQueue(u.done, func(p []byte) error {
		_, _ = hostConn.Write(p) // fails while the host is down; the packet is lost as on a real network
		return nil
	})
	u.flows[from] = f
	go u.relayReplies(f, from)
	return f, nil
}

// relayReplies relays the packets that the host sends back on a flow.
func (u *UDP) relayReplies(f *flow, to netip.AddrPort) {
	toSender := newQueue(u.done, func(p []byte) error {
		_, _ = u.listenConn.WriteToUDPAddrPort(p, to)
		return nil
	})
	buf := make([]byte, maxDatagram)
	for {
		n, err := f.hostConn.Read(buf)
		if err != nil {
			select {
			case <-u.done:
				return
			default:
				continue // ICMP errors while the host is down
			}
		}
		if d, ok := u.network.packetDelay(u.host, f.sender); ok {
			toSender.enqueue(buf[:n], d)
		}
	}
}
