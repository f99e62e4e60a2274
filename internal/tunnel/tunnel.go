// Package tunnel lets a control leader reach targets and the platform through another control host while it can't itself.
//
// The other host opens a TCP connection and passes bytes on. All decisions stay with the leader, which sends the same orders
// and queries as over a direct connection, under its own name and fencing token, and confirms its leadership once the
// connection is open. What the leader sends is passed on only for Validity, counted from before the connection was open and thus
// from before that confirmation: bytes that were held up on the way, or by a host that stood still, are dropped once another
// leader may have been elected.
package tunnel

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"golang.org/x/sys/unix"

	"github.com/citronrun/citronrun/internal/clock"
	"github.com/citronrun/citronrun/internal/consensus"
	"github.com/citronrun/citronrun/internal/transport"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

// Validity is how long bytes are passed on to the far end. No other member is elected within that time after a quorum has
// confirmed the leadership.
const Validity = consensus.LeaseTicks * consensus.TickMillis * time.Millisecond

// DialFunc opens a TCP connection.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

// Dialer opens connections directly or through other hosts, whichever way answers first. It is safe for concurrent use.
type Dialer struct {
	Direct   DialFunc
	Endpoint *transport.Endpoint
	Hosts    func() []string // addresses of the other control hosts, the preferred first
	Clock    clock.Clock
	Logger   log.Logger

	mu   sync.Mutex
	ways ways
}

// Dial opens a connection to addr. Its error is that of the direct attempt.
func (d *Dialer) Dial(ctx context.Context, addr string) (net.Conn, error) {
	d.mu.Lock()
	attempts := d.ways.plan(d.Clock.Now(), addr, d.Hosts())
	d.mu.Unlock()
	type result struct {
		host string
		conn net.Conn
		err  error
	}
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan result, len(attempts))
	for _, a := range attempts {
		go func() {
			conn, err := d.try(ctx, a, addr)
			results <- result{a.host, conn, err}
		}()
	}
	var directErr error
	for done := 1; done <= len(attempts); done++ {
		r := <-results
		if r.err == nil {
			cancel()
			go func() { // connections that open too late
				for ; done < len(attempts); done++ {
					if late := <-results; late.err == nil {
						_ = late.conn.Close()
					}
				}
			}()
			d.mu.Lock()
			d.ways.record(d.Clock.Now(), addr, r.host)
			d.mu.Unlock()
			if r.host != "" {
				_ = level.Info(d.Logger).Log("msg", "reached through another control host", "addr", addr, "host", r.host)
			}
			return r.conn, nil
		}
		if r.host == "" {
			directErr = r.err
			if errors.Is(r.err, syscall.ECONNREFUSED) {
				cancel() // the far end has answered
			}
		}
	}
	cancel()
	return nil, directErr
}

// try makes one attempt once it is due.
func (d *Dialer) try(ctx context.Context, a attempt, addr string) (net.Conn, error) {
	timer := time.NewTimer(a.after)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
	if a.host == "" {
		return d.Direct(ctx, addr)
	}
	return d.through(ctx, a.host, addr)
}

// through opens a connection through a host.
func (d *Dialer) through(ctx context.Context, host, addr string) (net.Conn, error) {
	s, err := d.Endpoint.Open(ctx, host, wire.KindTunnel)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, s.Reset)
	defer stop()
	var reply wire.TunnelReply
	if err = wire.Write(s, wire.TunnelRequest{Addr: addr}); err == nil {
		err = wire.Read(s, &reply, wire.MaxMessageBytes)
	}
	if err == nil && reply.Message != "" {
		err = fmt.Errorf("%s: %s", host, reply.Message)
	}
	if err != nil {
		s.Reset()
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "connect to %s through %s: %w", addr, host, err)
	}
	near, far := net.Pipe() // a stream is no net.Conn
	go func() {
		_, _ = io.Copy(far, s)
		_ = far.Close()
	}()
	go func() {
		_, _ = io.Copy(s, far)
		s.Reset()
	}()
	return near, nil
}

// Handler returns the handler of streams that open a connection for the leader. allowed limits to which addresses.
func Handler(clk clock.Clock, dial DialFunc, allowed func(addr string) bool) transport.Handler {
	return func(ctx context.Context, _ string, s transport.Stream) {
		validUntil := clk.Now().Add(Validity)
		var req wire.TunnelRequest
		if err := wire.Read(s, &req, wire.MaxMessageBytes); err != nil {
			s.Reset()
			return
		}
		conn, err := open(ctx, dial, allowed, req.Addr)
		var reply wire.TunnelReply
		if err != nil {
			reply.Message = err.Error()
		}
		if err := wire.Write(s, reply); err != nil || conn == nil {
			s.Reset()
			return
		}
		pass(s, conn, func() time.Duration { return validUntil.Sub(clk.Now()) })
	}
}

var errNotAllowed = errors.New("not an address of a target or the platform")

func open(ctx context.Context, dial DialFunc, allowed func(string) bool, addr string) (net.Conn, error) {
	if !allowed(addr) {
		return nil, errNotAllowed
	}
	ctx, cancel := context.WithTimeout(ctx, Validity)
	defer cancel()
	return dial(ctx, addr)
}

// pass copies between the leader's stream and the connection until the connection ends or the leader resets the stream. Bytes
// of the leader are passed on while left, the rest of their validity, is positive.
func pass(s transport.Stream, conn net.Conn, left func() time.Duration) {
	go func() {
		_, _ = io.Copy(validWriter{conn, left}, s)
		discard(conn) // the leader has ended the connection, or its bytes are too late
	}()
	_, _ = io.Copy(s, conn)
	discard(conn)
	_ = s.Close()
}

// discard closes a connection and drops what the kernel has not delivered yet.
func discard(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

var errTooLate = errors.New("the time in which the leadership was confirmed is over")

// validWriter writes to a connection while the bytes are valid. The kernel drops what the far end hasn't acknowledged by then:
// it would otherwise go on sending it, also if the leader is cut off from this host or this process stands still.
type validWriter struct {
	conn net.Conn
	left func() time.Duration
}

func (w validWriter) Write(p []byte) (int, error) {
	left := w.left()
	if left <= 0 {
		return 0, errTooLate
	}
	if err := boundDelivery(w.conn, left); err != nil {
		return 0, err
	}
	return w.conn.Write(p)
}

// boundDelivery ends a TCP connection whose peer leaves bytes unacknowledged for longer than d.
func boundDelivery(conn net.Conn, d time.Duration) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var setErr error
	err = raw.Control(func(fd uintptr) {
		setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, max(1, int(d.Milliseconds())))
	})
	return errors.Join(err, setErr)
}
