// Package relay chooses the host through which the hosts of a place reach a holder in another place.
//
// With one relay for each holder and place, a holder has a connection with each host of its own place and with one host
// of every other place, instead of one with each host. All hosts of a place choose the same relay for a holder by
// rendezvous hashing, and different relays for different holders. A disagreement, as while their lists of hosts differ,
// costs only a further connection.
package relay

import "hash/fnv"

// Choose returns the relay for a holder: the host with the highest weight among those for which usable returns true, or
// "" if there is none. hosts and holder are addresses.
func Choose(hosts []string, holder string, usable func(host string) bool) string {
	best, bestWeight := "", uint64(0)
	for _, host := range hosts {
		if w := weight(host, holder); (best == "" || w > bestWeight) && usable(host) {
			best, bestWeight = host, w
		}
	}
	return best
}

// weight returns a pseudo-random number for a pair of addresses.
func weight(host, holder string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(host)) // never fails
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(holder))
	// The finalizer of splitmix64 spreads the differences in the last bytes, which FNV leaves in the low bits.
	x := h.Sum64()
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
