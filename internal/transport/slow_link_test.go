package transport

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/wire"
)

const (
	linkBytesPerSecond = 2_000_000 / 8
	datagramOverhead   = 28 // bytes of UDP and IP headers
	maxLinkDelay       = 3 * time.Second
)

// slowLink is the link of one host: a UDP relay that delays packets in both directions as a link of
// linkBytesPerSecond with a queue of maxLinkDelay does. Clients send to its address.
type slowLink struct {
	t      testing.TB
	socket *net.UDPConn
	host   netip.AddrPort

	mu      sync.Mutex
	flows   map[netip.AddrPort]*net.UDPConn // by client: the socket that the host sees
	in, out laneState
}

// laneState is one direction of a link.
type laneState struct {
	packets chan func()
	freeAt  time.Time // when the packets so far have been sent
}

func newSlowLink(t testing.TB, host string) *slowLink {
	t.Helper()
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		t.Fatal(err)
	}
	l := &slowLink{t: t, socket: socket, host: netip.MustParseAddrPort(host), flows: map[netip.AddrPort]*net.UDPConn{}}
	l.in.packets, l.out.packets = make(chan func(), 1<<14), make(chan func(), 1<<14)
	for _, lane := range []*laneState{&l.in, &l.out} {
		go func() {
			for deliver := range lane.packets {
				deliver()
			}
		}()
	}
	go l.receiveFromClients()
	t.Cleanup(func() {
		_ = socket.Close()
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, flow := range l.flows {
			_ = flow.Close()
		}
	})
	return l
}

func (l *slowLink) addr() string { return l.socket.LocalAddr().String() }

// transmit delivers a packet once the link has sent it and all packets before it, or drops it.
func (l *slowLink) transmit(lane *laneState, bytes int, deliver func()) {
	now := time.Now()
	l.mu.Lock()
	if lane.freeAt.Before(now) {
		lane.freeAt = now
	}
	at := lane.freeAt.Add(time.Duration(bytes+datagramOverhead) * time.Second / linkBytesPerSecond)
	full := at.Sub(now) > maxLinkDelay
	if !full {
		lane.freeAt = at
	}
	l.mu.Unlock()
	if full {
		return
	}
	lane.packets <- func() {
		time.Sleep(time.Until(at))
		deliver()
	}
}

func (l *slowLink) receiveFromClients() {
	buf := make([]byte, 2048)
	for {
		n, client, err := l.socket.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		flow := l.flow(client)
		packet := append([]byte(nil), buf[:n]...)
		l.transmit(&l.in, n, func() { _, _ = flow.WriteToUDPAddrPort(packet, l.host) })
	}
}

func (l *slowLink) flow(client netip.AddrPort) *net.UDPConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	flow := l.flows[client]
	if flow != nil {
		return flow
	}
	flow, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	if err != nil {
		l.t.Error(err)
		return l.socket
	}
	l.flows[client] = flow
	go func() {
		buf := make([]byte, 2048)
		for {
			n, err := flow.Read(buf)
			if err != nil {
				return
			}
			packet := append([]byte(nil), buf[:n]...)
			l.transmit(&l.out, n, func() { _, _ = l.socket.WriteToUDPAddrPort(packet, client) })
		}
	}()
	return flow
}

// Guards against congestion that feeds itself: the hosts of an installation call a host behind a slow link, which
// bears their calls several times over. Handshakes and retries at the beginning fill the link; if they are
// repeated before they can complete, the calls never succeed.
func TestSlowLinkRecovers(t *testing.T) {
	const (
		hosts        = 83
		callInterval = 300 * time.Millisecond // of each host
		callTimeout  = 300 * time.Millisecond
		attempts     = 3
		settle       = 8 * time.Second
		measured     = 3 * time.Second
	)
	is := is.New(t)
	ca := testAuthority(t)
	server := testEndpoint(t, ca, "server")
	server.Handle(wire.KindProbe, handleEcho)
	serve(server)
	link := newSlowLink(t, server.Addr())
	start := time.Now()
	var calls, served atomic.Int64
	var wg sync.WaitGroup
	payload := strings.Repeat("x", 300)
	for range hosts {
		e := testEndpoint(t, ca, "client")
		serve(e)
		wg.Go(func() {
			for first := true; ; first = false {
				if !first {
					time.Sleep(time.Duration(rand.Int64N(int64(2 * callInterval))))
				}
				began := time.Since(start)
				if began > settle+measured {
					return
				}
				ok := false
				for range attempts {
					ctx, cancel := context.WithTimeout(t.Context(), callTimeout)
					err := e.Call(ctx, link.addr(), wire.KindProbe, wire.Probe{Target: payload}, &wire.ProbeReply{})
					cancel()
					if ok = err == nil; ok {
						break
					}
				}
				if began < settle {
					continue
				}
				calls.Add(1)
				if ok {
					served.Add(1)
				}
			}
		})
	}
	wg.Wait()
	t.Logf("%d of %d calls succeeded; %+v", served.Load(), calls.Load(), server.Stats())
	is.True(calls.Load() > 0)
	is.True(float64(served.Load()) >= 0.99*float64(calls.Load()))
}
