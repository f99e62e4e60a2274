package rotation

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func noHost(string) bool { return false }

// Guards against a place that a partition cuts in two and whose load balancer, left with fewer than half of the hosts, sends
// callers to the larger part that can't serve them; and against hosts that stay in the rotation for nothing.
func TestRotationKeepsHalf(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(1, 60).Draw(t, "hosts")
		cut := rapid.IntRange(1, total).Draw(t, "cut")
		hosts := make([]string, total)
		for i := range hosts {
			hosts[i] = fmt.Sprintf("10.1.0.%d:7300", i)
		}
		hosts = rapid.Permutation(hosts).Draw(t, "order")
		sameSide := map[string]bool{}
		for _, host := range hosts[:cut] {
			sameSide[host] = true
		}
		left := 0
		for _, host := range hosts[:cut] {
			if Decide(host, hosts, func(h string) bool { return sameSide[h] }, noHost).Leave {
				left++
			}
		}
		others := total - cut
		switch {
		case float64(others) < minOthers*float64(total): // nobody else can serve
			if left != cut {
				t.Fatalf("%d of %d hosts left", left, cut)
			}
		default:
			if 2*(total-left) < total || left < min(cut, total/2-total/10-1) {
				t.Fatalf("%d of %d hosts left, %d cut", left, total, cut)
			}
		}
	})
}

// Guards against hosts that disagree while they know their place by lists of different order, or without themselves.
func TestOrderOfListDoesNotMatter(t *testing.T) {
	is := is.New(t)
	near := func(h string) bool { return h < "d" }
	d := Decide("b", []string{"a", "c", "d", "e"}, near, noHost)
	is.Equal(d, Decide("b", []string{"e", "c", "b", "a", "d"}, near, noHost))
	is.True(d.OthersServe)
	is.Equal(Decide("b", nil, near, noHost), Decision{Leave: true})
}

// Guards against hosts that leave as a whole, and stay without callers for seconds, until the connections to the other side end.
func TestSilentHostsMayServe(t *testing.T) {
	is := is.New(t)
	hosts := []string{"a", "b", "c", "d", "e", "f", "g", "h"}
	all := func(string) bool { return true }
	is.Equal(Decide("h", hosts, all, noHost), Decision{Leave: true})
	is.Equal(Decide("h", hosts, all, func(h string) bool { return h < "d" }), Decision{OthersServe: true})
	is.Equal(Decide("a", hosts, all, func(h string) bool { return h > "d" }), Decision{Leave: true, OthersServe: true})
}
