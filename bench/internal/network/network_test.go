package network

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a relay that delivers to or from a host that is cut off, or loses other traffic.
func TestCutDirections(t *testing.T) {
	is := is.New(t)
	n := New(1, Link{Delay: 3 * time.Millisecond, LocalDelay: time.Millisecond})
	n.SetPlace("a", "x")
	n.SetPlace("b", "y")
	pass := func(from, to string) bool {
		_, ok := n.packetDelay(from, to)
		return ok
	}
	d, ok := n.packetDelay("a", "b")
	is.True(ok)
	is.Equal(d, 3*time.Millisecond)
	for cut, want := range map[Direction][2]bool{
		CutBoth: {false, false}, CutOutgoing: {false, true}, CutIncoming: {true, false}, CutNone: {true, true},
	} {
		n.Cut("a", cut)
		is.Equal([2]bool{pass("a", "b"), pass("b", "a")}, want)
	}
}

// Guards against addresses that reach a target unchanged, and against data lost at the end of a
// connection.
func TestTCPRewritesAddressAndDeliversAll(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	got := make(chan string, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		data, _ := io.ReadAll(c)
		got <- string(data)
	}()
	r, err := NewTCP("127.0.0.1:0", l.Addr().String(), func() time.Duration { return time.Millisecond }, "127.0.0.2:", "127.0.0.1:")
	is.NoErr(err)
	defer r.Close()
	c, err := net.Dial("tcp4", r.Addr())
	is.NoErr(err)
	_, err = c.Write([]byte("follow 127.0.0.2:5432"))
	is.NoErr(err)
	is.NoErr(c.Close())
	is.Equal(<-got, "follow 127.0.0.1:5432")
}

// Guards against relays that mix up flows or don't return answers.
func TestUDPRoundTrip(t *testing.T) {
	is := is.New(t)
	host, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	is.NoErr(err)
	defer host.Close()
	go func() {
		buf := make([]byte, 64)
		for {
			n, from, err := host.ReadFromUDPAddrPort(buf)
			if err != nil {
				return
			}
			_, _ = host.WriteToUDPAddrPort(buf[:n], from)
		}
	}()
	target := netip.MustParseAddrPort(host.LocalAddr().String())
	u, err := NewUDP(New(1, Link{}), "b", target, func(netip.AddrPort) string { return "a" })
	is.NoErr(err)
	defer u.Close()
	for _, text := range []string{"one", "two"} {
		c, err := net.Dial("udp4", u.Addr())
		is.NoErr(err)
		_, err = c.Write([]byte(text))
		is.NoErr(err)
		buf := make([]byte, 64)
		n, err := c.Read(buf)
		is.NoErr(err)
		is.Equal(string(buf[:n]), text)
		is.NoErr(c.Close())
	}
}
