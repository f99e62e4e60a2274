package transport

import (
	"sync/atomic"
	"time"
)

// connActivity tracks whether the peer of a connection responds to what is sent to it.
type connActivity struct {
	streams atomic.Int64 // open streams
	served  atomic.Int64 // streams of the peer that are being served
	// unansweredSince is the time of the first write since the peer was last heard, in nanoseconds since
	// activityEpoch; 0 if there was none.
	unansweredSince atomic.Int64
	packetsReceived uint64 // at the last check; used by one goroutine
	packetsReported uint64 // at the last report of slow links; used by one goroutine
}

var activityEpoch = time.Now()

// recordWrite records that data was sent to the peer.
func (a *connActivity) recordWrite(now time.Time) {
	a.unansweredSince.CompareAndSwap(0, int64(now.Sub(activityEpoch)))
}

// silentFor returns how long the peer has been silent after data was sent to it, given the number of packets
// received so far. heard means that packets have arrived since the last call.
func (a *connActivity) silentFor(now time.Time, packetsReceived uint64) (silent time.Duration, heard bool) {
	if packetsReceived != a.packetsReceived {
		a.packetsReceived = packetsReceived
		a.unansweredSince.Store(0)
		return 0, true
	}
	if since := a.unansweredSince.Load(); since != 0 {
		silent = now.Sub(activityEpoch) - time.Duration(since)
	}
	return silent, false
}
