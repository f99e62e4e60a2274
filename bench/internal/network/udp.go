package network

import (
	"net"
	"net/netip"
	"sync"
)

const maxDatagram = 64 << 10

// UDP relays the QUIC traffic to one host. Hosts send from the port on which they listen, so that
// the source address tells the sender.
type UDP struct {
	net     *Network
	host    string
	target  netip.AddrPort
	senders func(netip.AddrPort) string // host that listens on a port
	front   *net.UDPConn
	done    chan struct{}

	mu    sync.Mutex
	flows map[netip.AddrPort]*flow
}

type flow struct {
	sender string
	back   *net.UDPConn
	out    *queue
}

// NewUDP starts a relay to the host that listens on target. Senders tells which host listens on an
// address.
func NewUDP(n *Network, host string, target netip.AddrPort, senders func(netip.AddrPort) string) (*UDP, error) {
	front, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, err
	}
	u := &UDP{
		net: n, host: host, target: target, senders: senders, front: front,
		done: make(chan struct{}), flows: map[netip.AddrPort]*flow{},
	}
	go u.serve()
	return u, nil
}

// Addr returns the address of the relay, IP:PORT.
func (u *UDP) Addr() string { return u.front.LocalAddr().String() }

// Close stops the relay.
func (u *UDP) Close() {
	close(u.done)
	_ = u.front.Close()
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, f := range u.flows {
		_ = f.back.Close()
	}
}

func (u *UDP) serve() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := u.front.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		f, err := u.flow(from)
		if err != nil {
			continue
		}
		if d, ok := u.net.packet(f.sender, u.host); ok {
			f.out.offer(buf[:n], d)
		}
	}
}

func (u *UDP) flow(from netip.AddrPort) (*flow, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if f := u.flows[from]; f != nil {
		return f, nil
	}
	back, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(u.target))
	if err != nil {
		return nil, err
	}
	f := &flow{sender: u.senders(from), back: back}
	f.out = newQueue(u.done, func(p []byte) error {
		_, _ = back.Write(p) // refused while the host is down, as on a network
		return nil
	})
	u.flows[from] = f
	go u.answers(f, from)
	return f, nil
}

// answers relays what the host sends back on a flow.
func (u *UDP) answers(f *flow, to netip.AddrPort) {
	in := newQueue(u.done, func(p []byte) error {
		_, _ = u.front.WriteToUDPAddrPort(p, to)
		return nil
	})
	buf := make([]byte, maxDatagram)
	for {
		n, err := f.back.Read(buf)
		if err != nil {
			select {
			case <-u.done:
				return
			default:
				continue // ICMP errors while the host is down
			}
		}
		if d, ok := u.net.packet(u.host, f.sender); ok {
			in.offer(buf[:n], d)
		}
	}
}
