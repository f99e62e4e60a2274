package transport

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
	"github.com/quic-go/quic-go"

	"github.com/citronrun/citronrun/internal/wire"
)

const (
	// linkReportInterval is the time between two checks of the links.
	linkReportInterval = 2 * time.Second
	// slowRoundTrip and lossyFraction are the limits from which a check is logged: the smoothed round-trip time
	// to a peer, and the fraction of the sent bytes that were lost.
	slowRoundTrip = 100 * time.Millisecond
	lossyFraction = 0.02
)

// Stats counts the traffic of an endpoint since Listen. Bytes and packets exclude UDP and IP headers.
type Stats struct {
	BytesSent       uint64        `json:"sent_bytes"`
	BytesReceived   uint64        `json:"received_bytes"`
	PacketsSent     uint64        `json:"sent_packets"`
	PacketsReceived uint64        `json:"received_packets"`
	BytesLost       uint64        `json:"lost_bytes"`
	Dials           uint64        `json:"dials"`
	DialsFailed     uint64        `json:"dials_failed"`
	Accepted        uint64        `json:"accepted"`
	TimedOut        uint64        `json:"timed_out"` // connections that ended because the peer was silent
	Connections     int           `json:"connections"`
	SlowestRTT      time.Duration `json:"slowest_round_trip"` // smoothed, of the open connections
	SlowestPeer     string        `json:"slowest_peer"`       // address
}

// add adds the traffic of a connection.
func (s *Stats) add(conn quic.ConnectionStats) {
	s.BytesSent += conn.BytesSent
	s.BytesReceived += conn.BytesReceived
	s.PacketsSent += conn.PacketsSent
	s.PacketsReceived += conn.PacketsReceived
	s.BytesLost += conn.BytesLost
}

// Stats returns the current statistics.
func (e *Endpoint) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	total := e.totals
	for conn := range e.openConns {
		stats := conn.ConnectionStats()
		total.add(stats)
		if stats.SmoothedRTT > total.SlowestRTT {
			total.SlowestRTT, total.SlowestPeer = stats.SmoothedRTT, conn.RemoteAddr().String()
		}
	}
	total.Connections = len(e.openConns)
	return total
}

// StreamBytes counts the bytes that the users of streams of one kind have written and read, without retransmissions
// and the overhead of the protocol.
type StreamBytes struct{ Written, Read uint64 }

// streamCounter is a StreamBytes that is updated concurrently.
type streamCounter struct{ written, read atomic.Uint64 }

// StreamBytesOf returns the bytes of all streams of a kind since Listen.
func (e *Endpoint) StreamBytesOf(kind wire.Kind) StreamBytes {
	c := e.counterOf(kind)
	return StreamBytes{Written: c.written.Load(), Read: c.read.Load()}
}

// counterOf returns the counter of a kind. Unknown kinds share one.
func (e *Endpoint) counterOf(kind wire.Kind) *streamCounter {
	if int(kind) >= len(e.streamBytes) {
		kind = 0
	}
	return &e.streamBytes[kind]
}

// recordEnd counts a connection that has ended, by its cause.
func (s *Stats) recordEnd(cause error) {
	if _, ok := errors.AsType[*quic.IdleTimeoutError](cause); ok {
		s.TimedOut++
	}
}

// reportLinks logs, until ctx ends, each interval in which a link of this host was slow or lossy, or a peer could not
// be reached.
func (e *Endpoint) reportLinks(ctx context.Context) {
	ticker := time.NewTicker(linkReportInterval)
	defer ticker.Stop()
	last := e.intervalStats()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := e.intervalStats()
		if now.impaired(last) {
			_ = level.Info(e.logger).Log("msg", "links slow", "sent", now.BytesSent-last.BytesSent, "received", now.BytesReceived-last.BytesReceived,
				"sent_packets", now.PacketsSent-last.PacketsSent, "received_packets", now.PacketsReceived-last.PacketsReceived,
				"lost", since(now.BytesLost, last.BytesLost), "dials", now.Dials-last.Dials, "dials_failed", now.DialsFailed-last.DialsFailed,
				"accepted", now.Accepted-last.Accepted, "timed_out", now.TimedOut-last.TimedOut, "connections", now.Connections,
				"slowest", now.SlowestRTT.Round(time.Millisecond), "peer", now.SlowestPeer)
		}
		last = now
	}
}

// intervalStats returns the current statistics, with the slowest round trip among the connections that have received
// packets since the last call: that of an idle connection says how the link was when it was last used.
func (e *Endpoint) intervalStats() Stats {
	total := e.Stats()
	total.SlowestRTT, total.SlowestPeer = 0, ""
	e.mu.Lock()
	defer e.mu.Unlock()
	for conn, activity := range e.openConns {
		stats := conn.ConnectionStats()
		if stats.PacketsReceived == activity.packetsReported {
			continue
		}
		activity.packetsReported = stats.PacketsReceived
		if stats.SmoothedRTT > total.SlowestRTT {
			total.SlowestRTT, total.SlowestPeer = stats.SmoothedRTT, conn.RemoteAddr().String()
		}
	}
	return total
}

// impaired reports whether links were slow or lossy, or peers unreachable, since the earlier statistics.
func (s *Stats) impaired(earlier Stats) bool {
	lost := since(s.BytesLost, earlier.BytesLost)
	return s.SlowestRTT >= slowRoundTrip || s.DialsFailed > earlier.DialsFailed || s.TimedOut > earlier.TimedOut ||
		float64(lost) > lossyFraction*float64(s.BytesSent-earlier.BytesSent)
}

// since returns the increase of a counter that may also fall: packets that count as lost may still arrive.
func since(now, earlier uint64) uint64 { return max(now, earlier) - earlier }
