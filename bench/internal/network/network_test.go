package network

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against cuts that let traffic in a cut direction through or stop the other direction.
func TestCutDirections(t *testing.T) {
	is := is.New(t)
	n := New(1, Link{Delay: 3 * time.Millisecond, LocalDelay: time.Millisecond})
	n.SetPlace("a", "x")
	n.SetPlace("b", "y")
	delivers := func(from, to string) bool {
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
		is.Equal([2]bool{delivers("a", "b"), delivers("b", "a")}, want)
	}
}

// Guards against addresses that reach a target unreplaced, and against data lost when the caller
// closes the connection.
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
	relay, err := NewTCP("127.0.0.1:0", l.Addr().String(), func() time.Duration { return time.Millisecond }, "127.0.0.2:", "127.0.0.1:")
	is.NoErr(err)
	defer relay.Close()
	c, err := net.Dial("tcp4", relay.Addr())
	is.NoErr(err)
	_, err = c.Write([]byte("follow 127.0.0.2:5432"))
	is.NoErr(err)
	is.NoErr(c.Close())
	is.Equal(<-got, "follow 127.0.0.1:5432")
}

// Guards against a relay that mixes up flows or doesn't return replies.
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
	relay, err := NewUDP(New(1, Link{}), "b", target, func(netip.AddrPort) string { return "a" })
	is.NoErr(err)
	defer relay.Close()
	for _, text := range []string{"one", "two"} {
		c, err := net.Dial("udp4", relay.Addr())
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
