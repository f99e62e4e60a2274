package tunnel

import (
	"slices"
	"time"
)

const (
	// directHeadStart is how long a direct connection may take before other hosts are asked: the time of one attempt.
	directHeadStart = 150 * time.Millisecond
	// hostInterval is the time between the hosts that are asked, of which there are maxHosts at most.
	hostInterval = 100 * time.Millisecond
	maxHosts     = 3
	// wayTTL is how long the way by which an address was reached last is tried first.
	wayTTL = 5 * time.Second
)

// attempt is one way to reach an address and when to try it.
type attempt struct {
	host  string // that opens the connection; empty: this one
	after time.Duration
}

// ways remembers by which hosts addresses were reached while they couldn't be reached directly. Its zero value is ready. It is
// not safe for concurrent use.
type ways struct {
	last map[string]way // by address
}

type way struct {
	host string
	at   time.Time
}

// plan returns the attempts to reach an address, in the order of their times. hosts are the other hosts, the preferred first.
func (w *ways) plan(now time.Time, addr string, hosts []string) []attempt {
	attempts := []attempt{{}}
	asked := directHeadStart
	if known, ok := w.last[addr]; ok && now.Sub(known.at) < wayTTL && slices.Contains(hosts, known.host) {
		attempts = append(attempts, attempt{host: known.host})
		asked = hostInterval
	}
	for _, host := range hosts {
		if len(attempts) > maxHosts {
			break
		}
		if !slices.ContainsFunc(attempts, func(a attempt) bool { return a.host == host }) {
			attempts = append(attempts, attempt{host: host, after: asked})
			asked += hostInterval
		}
	}
	return attempts
}

// record records by which host, or directly, an address was reached.
func (w *ways) record(now time.Time, addr, host string) {
	if host == "" {
		delete(w.last, addr)
		return
	}
	for known, way := range w.last {
		if now.Sub(way.at) >= wayTTL {
			delete(w.last, known)
		}
	}
	if w.last == nil {
		w.last = map[string]way{}
	}
	w.last[addr] = way{host: host, at: now}
}
