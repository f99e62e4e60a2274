package transport

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/quic-go/quic-go"
)

const (
	// silenceCheckInterval is the time between two checks for silent connections.
	silenceCheckInterval = 500 * time.Millisecond
	// silenceLimit is how long a peer may be silent after data was sent to it before the connection is closed. A
	// connection without open streams is not checked, so that idle connections cost next to nothing.
	silenceLimit = 1500 * time.Millisecond

	// meshDialInterval is the average time between two dials of KeepConnected. It spreads the handshakes of a host
	// with all others, so that they leave room on its link for the traffic of callers.
	meshDialInterval = 100 * time.Millisecond
	// meshCheckInterval is the average time between two checks for missing connections.
	meshCheckInterval = 3 * time.Second
)

// closeSilent closes, until ctx ends, connections whose peer has been silent for silenceLimit after data was sent.
func (e *Endpoint) closeSilent(ctx context.Context) {
	ticker := time.NewTicker(silenceCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			silent, waiting := e.checkSilence(now)
			for _, conn := range silent {
				_ = conn.CloseWithError(codeSilent, "peer is silent")
			}
			for _, conn := range waiting {
				_ = conn.SendDatagram(probe) // an error means that the connection has ended
			}
		}
	}
}

// probe is the content of a datagram that only asks for an acknowledgement.
var probe = []byte{0}

// checkSilence returns the connections whose peer has been silent for too long, which Open doesn't use any more, and
// those on which a probe should find out whether the peer responds: there are open streams, and nothing was received
// since the last check.
func (e *Endpoint) checkSilence(now time.Time) (silent, waiting []*quic.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for conn, activity := range e.openConns {
		silentFor, heard := activity.silentFor(now, conn.ConnectionStats().PacketsReceived)
		switch {
		case silentFor >= silenceLimit:
			silent = append(silent, conn)
			e.totals.TimedOut++
			e.forget(conn)
		case !heard && activity.streams.Load() > 0:
			waiting = append(waiting, conn)
			activity.recordWrite(now)
		}
	}
	return silent, waiting
}

// forget makes Open dial a new connection instead of using conn. e.mu is held.
func (e *Endpoint) forget(conn *quic.Conn) {
	addr := conn.RemoteAddr().String()
	if c := e.cached[addr]; c != nil && !c.dialing() && c.conn == conn {
		delete(e.cached, addr)
	}
}

// KeepConnected keeps a connection to each of the hosts that peers returns, until ctx ends, so that the first
// request to a host doesn't wait for a handshake, and not all hosts dial the same host at the same time.
func (e *Endpoint) KeepConnected(ctx context.Context, peers func() []string) {
	for sleepJittered(ctx, meshDialInterval) {
		missing := e.withoutConnection(peers())
		if len(missing) == 0 {
			if !sleepJittered(ctx, meshCheckInterval) {
				return
			}
			continue
		}
		// A random order keeps hosts that have started together from dialing the same host at once.
		_, _ = e.dialOrCached(missing[rand.N(len(missing))]) // a failure is counted, and the host is dialed again later
	}
}

// withoutConnection returns the addresses to which there is no usable connection.
func (e *Endpoint) withoutConnection(addrs []string) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(addrs), func(addr string) bool {
		c := e.cached[addr]
		return c != nil && c.usable()
	})
}

// sleepJittered sleeps for d on average and returns true, or returns false if ctx ends first.
func sleepJittered(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d/2 + rand.N(d))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
