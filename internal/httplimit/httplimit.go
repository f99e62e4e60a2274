// Package httplimit limits what the clients of an HTTP server can hold: connections, time and header bytes.
package httplimit

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/citronrun/citronrun/internal/budget"
)

const (
	maxHeaderBytes = 16 << 10
	idleTimeout    = 60 * time.Second
	// socketBuffer is the size of a connection's receive buffer, in bytes.
	socketBuffer = 64 << 10
)

// Config has the limits of a server. A limit of zero is none.
type Config struct {
	Connections   int           // open at the same time
	HeaderTimeout time.Duration // to read the header of a request
	ReadTimeout   time.Duration // to read a whole request
	WriteTimeout  time.Duration // from the header of a request to the end of its response
	ActiveTime    time.Duration // longer than the handling of any request that has arrived
	Refusals      *budget.Refusals
}

// NewServer returns a server with limits.
func NewServer(handler http.Handler, c Config) *http.Server {
	l := &limiter{config: c, conns: map[net.Conn]connState{}}
	return &http.Server{
		Handler: handler, ReadHeaderTimeout: c.HeaderTimeout, ReadTimeout: c.ReadTimeout, WriteTimeout: c.WriteTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ConnState: l.record,
	}
}

// limiter limits the connections of an HTTP server. A further one takes the place of the one that has waited
// longest for its client.
type limiter struct {
	config Config

	mu    sync.Mutex
	conns map[net.Conn]connState
}

// connState is the state of a connection and the time since when it has it.
type connState struct {
	state http.ConnState
	since time.Time
}

// record is called for each change of a connection's state.
func (l *limiter) record(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(l.conns, conn)
		return
	case http.StateNew:
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(socketBuffer)
		}
		if l.config.Connections > 0 && len(l.conns) >= l.config.Connections {
			victim := l.longestWaiting(now)
			if victim == nil {
				victim = conn
			}
			l.config.Refusals.Record(budget.LimitConnections, victim.RemoteAddr())
			_ = victim.Close()
			delete(l.conns, victim)
			if victim == conn {
				return
			}
		}
	}
	l.conns[conn] = connState{state: state, since: now}
}

// longestWaiting returns the connection that has waited longest for its client, or nil if none has.
func (l *limiter) longestWaiting(now time.Time) (longest net.Conn) {
	since := now
	for conn, c := range l.conns {
		if c.state == http.StateActive && now.Sub(c.since) < l.config.ActiveTime {
			continue
		}
		if c.since.Before(since) {
			longest, since = conn, c.since
		}
	}
	return longest
}
