// Package network simulates the links between places on loopback. UDP relays in front of the QUIC
// ports of hosts and TCP relays in front of targets and of the hosts' ports for callers add delay; the
// UDP relays also add jitter and loss and can be cut.
package network

import (
	"math/rand/v2"
	"sync"
	"time"
)

// queueLength limits the items in flight on one flow and direction. A UDP relay drops further
// packets, and a TCP relay stops reading.
const queueLength = 4096

// Direction is the traffic of a host that a cut stops.
type Direction uint8

// The directions of a cut.
const (
	CutNone Direction = iota
	CutBoth
	CutOutgoing
	CutIncoming
)

// Link describes the quality of the links between places.
type Link struct {
	Delay      time.Duration // one way, between places
	LocalDelay time.Duration // one way, within a place
	Jitter     time.Duration // upper bound of the random delay added to each packet between hosts
	Loss       float64       // probability that a packet between hosts is lost
}

// Network holds the state that all relays share. Its methods are safe for concurrent use.
type Network struct {
	mu     sync.Mutex
	link   Link
	rng    *rand.Rand
	places map[string]string    // by host
	cuts   map[string]Direction // by host
}

// New returns a network without cuts.
func New(seed uint64, link Link) *Network {
	return &Network{
		link:   link,
		rng:    rand.New(rand.NewPCG(seed, 1)),
		places: map[string]string{},
		cuts:   map[string]Direction{},
	}
}

// SetLink changes the quality of all links.
func (n *Network) SetLink(link Link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.link = link
}

// SetPlace sets the place of a host.
func (n *Network) SetPlace(host, place string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.places[host] = place
}

// Cut stops the QUIC traffic of a host in the given direction; CutNone restores it.
func (n *Network) Cut(host string, d Direction) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[host] = d
}

// Delay returns the one-way delay between two places, without jitter.
func (n *Network) Delay(from, to string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delayLocked(from, to)
}

func (n *Network) delayLocked(from, to string) time.Duration {
	if from == to {
		return n.link.LocalDelay
	}
	return n.link.Delay
}

// packetDelay returns the delay of a packet between two hosts, or false if the packet is lost.
func (n *Network) packetDelay(from, to string) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if outgoing := n.cuts[from]; outgoing == CutBoth || outgoing == CutOutgoing {
		return 0, false
	}
	if incoming := n.cuts[to]; incoming == CutBoth || incoming == CutIncoming {
		return 0, false
	}
	if n.link.Loss > 0 && n.rng.Float64() < n.link.Loss {
		return 0, false
	}
	d := n.delayLocked(n.places[from], n.places[to])
	if n.link.Jitter > 0 {
		d += time.Duration(n.rng.Int64N(int64(n.link.Jitter)))
	}
	return d, true
}

// delayedData is data with the time of its delivery.
type delayedData struct {
	deliverAt time.Time
	data      []byte
}

// queue delivers data in order, each item no earlier than its delivery time.
type queue struct {
	items chan delayedData
	done  chan struct{}
}

func newQueue(done chan struct{}, deliver func([]byte) error) *queue {
	q := &queue{items: make(chan delayedData, queueLength), done: done}
	go q.run(deliver)
	return q
}

func (q *queue) run(deliver func([]byte) error) {
	for {
		select {
		case d := <-q.items:
			time.Sleep(time.Until(d.deliverAt))
			if deliver(d.data) != nil {
				return
			}
		case <-q.done:
			return
		}
	}
}

// enqueue adds a copy of data for delivery after a delay, or drops it if the queue is full.
func (q *queue) enqueue(data []byte, after time.Duration) {
	select {
	case q.items <- delayedData{time.Now().Add(after), append([]byte(nil), data...)}:
	default:
	}
}
