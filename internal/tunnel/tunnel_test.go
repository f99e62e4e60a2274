package tunnel

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/clock"
	"github.com/citronrun/citronrun/internal/transport"
	"github.com/citronrun/citronrun/internal/transport/testtls"
	"github.com/citronrun/citronrun/internal/wire"
)

// Guards against a leader that waits for a silent direct way before it asks others, and against one that asks all others at once.
func TestPlan(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	hosts := []string{"a", "b", "c", "d", "e"}
	var w ways
	is.Equal(w.plan(now, "x", hosts), []attempt{{}, {"a", directHeadStart}, {"b", directHeadStart + hostInterval}, {"c", directHeadStart + 2*hostInterval}})
	is.Equal(w.plan(now, "x", nil), []attempt{{}})
	w.record(now, "x", "d")
	is.Equal(w.plan(now, "x", hosts), []attempt{{}, {"d", 0}, {"a", hostInterval}, {"b", 2 * hostInterval}})
	is.Equal(w.plan(now, "y", hosts)[1], attempt{"a", directHeadStart})
	is.Equal(w.plan(now.Add(wayTTL), "x", hosts)[1], attempt{"a", directHeadStart})
	w.record(now, "x", "")
	is.Equal(w.plan(now, "x", hosts)[1], attempt{"a", directHeadStart})
}

func endpoint(t *testing.T, ca *testtls.Authority, name string) *transport.Endpoint {
	t.Helper()
	conf, err := ca.HostConfig(name)
	if err != nil {
		t.Fatal(err)
	}
	e, err := transport.Listen("127.0.0.1:0", conf, log.NewNopLogger())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = e.Close() })
	return e
}

// farEnd echoes lines and counts them.
type farEnd struct {
	addr  string
	lines atomic.Int32
}

func newFarEnd(t *testing.T) *farEnd {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	f := &farEnd{addr: l.Addr().String()}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				for r := bufio.NewReader(conn); ; {
					line, err := r.ReadString('\n')
					if err != nil {
						return
					}
					f.lines.Add(1)
					_, _ = io.WriteString(conn, line)
				}
			}()
		}
	}()
	return f
}

var errSilent = errors.New("silent")

// silent is a direct way without an answer.
func silent(ctx context.Context, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, errSilent
}

func connect(ctx context.Context, addr string) (net.Conn, error) {
	return new(net.Dialer).DialContext(ctx, "tcp", addr)
}

// newDialer returns a dialer of a leader whose direct way is silent and that asks another host, with the given clock.
func newDialer(t *testing.T, clk clock.Clock, allowed string) *Dialer {
	ca, err := testtls.NewAuthority()
	if err != nil {
		t.Fatal(err)
	}
	leader, other := endpoint(t, ca, "c1"), endpoint(t, ca, "c2")
	other.Handle(wire.KindTunnel, Handler(clk, connect, func(addr string) bool { return addr == allowed }))
	go func() { _ = other.Serve(t.Context()) }()
	go func() { _ = leader.Serve(t.Context()) }()
	return &Dialer{Direct: silent, Endpoint: leader, Hosts: func() []string { return []string{other.Addr()} }, Clock: clk, Logger: log.NewNopLogger()}
}

func exchange(conn net.Conn, line string) error {
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err := io.WriteString(conn, line); err != nil {
		return err
	}
	answer, err := bufio.NewReader(conn).ReadString('\n')
	if err == nil && answer != line {
		err = errors.New("another answer")
	}
	return err
}

// Guards against a leader that can't go on because it doesn't reach a target while another control host does.
func TestOtherHostConnects(t *testing.T) {
	is := is.New(t)
	far := newFarEnd(t)
	d := newDialer(t, clock.NewFake(time.Unix(1000, 0)), far.addr)
	conn, err := d.Dial(t.Context(), far.addr)
	is.NoErr(err)
	is.NoErr(exchange(conn, "hello\n"))
	is.NoErr(exchange(conn, "again\n"))
	is.NoErr(conn.Close())
	is.Equal(d.ways.last[far.addr].host, d.Hosts()[0])
}

// Guards against a tunnel to any address of the network, and against an error that doesn't say why the direct way failed.
func TestTunnelLeadsToKnownAddressesOnly(t *testing.T) {
	is := is.New(t)
	far := newFarEnd(t)
	d := newDialer(t, clock.NewFake(time.Unix(1000, 0)), "10.0.0.1:1")
	ctx, cancel := context.WithTimeout(t.Context(), 2*directHeadStart)
	defer cancel()
	_, err := d.Dial(ctx, far.addr)
	is.True(errors.Is(err, errSilent))
	is.Equal(far.lines.Load(), int32(0))
}

// Guards against an order that a held-up tunnel sends once another leader may have been elected, which a platform that checks no
// fencing tokens would carry out.
func TestLateBytesAreDropped(t *testing.T) {
	is := is.New(t)
	far := newFarEnd(t)
	clk := clock.NewFake(time.Unix(1000, 0))
	d := newDialer(t, clk, far.addr)
	conn, err := d.Dial(t.Context(), far.addr)
	is.NoErr(err)
	is.NoErr(exchange(conn, "in time\n"))
	clk.Advance(Validity)
	is.True(exchange(conn, "late\n") != nil)
	is.Equal(far.lines.Load(), int32(1))
}

// Guards against an order that the kernel of the other host goes on sending once another leader may have been elected: a far end
// that takes no bytes stands for a link that loses them.
func TestBytesThatAreNotDeliveredAreDropped(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0") // its connections aren't read from
	is.NoErr(err)
	defer l.Close()
	d := newDialer(t, clock.NewFake(time.Unix(1000, 0)), l.Addr().String())
	conn, err := d.Dial(t.Context(), l.Addr().String())
	is.NoErr(err)
	is.NoErr(conn.SetDeadline(time.Now().Add(10 * time.Second)))
	for err == nil {
		_, err = conn.Write(make([]byte, 64<<10))
	}
	is.True(!errors.Is(err, os.ErrDeadlineExceeded))
}

// Guards against a wait for other hosts after the far end has refused the connection.
func TestRefusalEndsTheSearch(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := l.Addr().String()
	is.NoErr(l.Close())
	d := newDialer(t, clock.NewFake(time.Unix(1000, 0)), addr)
	d.Direct = connect
	_, err = d.Dial(t.Context(), addr)
	is.True(err != nil)
	is.Equal(d.Endpoint.Stats().Dials, uint64(0)) // no other host was asked
}
