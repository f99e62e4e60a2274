package routing

import (
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"
	"k8s.io/apimachinery/pkg/labels"
	"pgregory.net/rapid"

	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/wire"
)

var epoch = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// Guards against reads at a replica that lacks the floor, is too old, leaves, diverged, is silent, is
// at another term or outside of the selector. The truth is the history of the primary.
func TestReadsMeetFloorAndAge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := Group{Term: 2, Databases: 3, Targets: map[string]*Target{}, PrimarySamples: NewSamples(8)}
		offset := uint64(0)
		var history []uint64 // offset of the primary at each ms
		for ms := range 200 {
			offset += uint64(rapid.IntRange(0, 2).Draw(t, "commits"))
			history = append(history, offset)
			if ms%7 == 0 {
				g.PrimarySamples.Add(at(ms), position.Position{Term: 2, Offset: offset})
			}
		}
		now := at(199)
		for _, name := range []string{"a", "b", "c"} {
			x := &Target{Name: name, Labels: map[string]string{"n": name}}
			x.Leaving = rapid.IntRange(0, 4).Draw(t, "leaving") == 0
			role := rapid.SampledFrom([]string{RoleReplica, RoleReplica, RolePrimary, RoleDiverged}).Draw(t, "role")
			asked := at(rapid.IntRange(-1200, 199).Draw(t, "asked"))
			applied := position.Position{Term: 2, Offset: rapid.Uint64Range(0, offset).Draw(t, "applied")}
			x.RecordStatus(asked, asked, role, rapid.Uint64Range(1, 2).Draw(t, "term"), applied, applied, g.PrimarySamples)
			g.Targets[name] = x
		}
		r := ReadRequest{
			Mode:     rapid.SampledFrom([]wire.ReadMode{wire.ReadSession, wire.ReadCurrent, wire.ReadMaxAge}).Draw(t, "mode"),
			Floor:    position.Position{Term: 2, Offset: rapid.Uint64Range(0, offset).Draw(t, "floor")},
			MaxAge:   time.Duration(rapid.IntRange(0, 200).Draw(t, "age")) * time.Millisecond,
			Selector: labels.SelectorFromSet(labels.Set{"n": rapid.SampledFrom([]string{"a", "b"}).Draw(t, "selector")}),
		}
		d := g.Choose(now, r, rand.New(rand.NewPCG(1, 2)))
		if d.Replica == "" {
			return
		}
		x := g.Targets[d.Replica]
		if r.Mode == wire.ReadCurrent || x.Leaving || x.Role != RoleReplica || x.Term != 2 ||
			now.Sub(x.StatusReceivedAt) > UnresponsiveAfter || !x.Applied.Covers(r.Floor) || !r.Selector.Matches(labels.Set(x.Labels)) {
			t.Fatalf("read %+v went to %+v", r, x)
		}
		// The data is at most as old as the first moment at which the primary was past it.
		past := sort.Search(200, func(ms int) bool { return history[ms] > x.Applied.Offset })
		if r.Mode == wire.ReadMaxAge && now.Sub(at(past)) > r.MaxAge {
			t.Fatalf("read with age %v got data of age %v", r.MaxAge, now.Sub(at(past)))
		}
	})
}

// Guards against the loss of an acknowledged commit: a simulated group replicates at random, a
// position counts as acknowledged when Quorum covers it, and after any minority becomes unreachable
// the candidate must hold it. Old primaries come back with longer logs.
func TestCandidateKeepsAcknowledged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "databases")
		g := Group{Term: 1, Databases: n, Targets: map[string]*Target{}, PrimarySamples: NewSamples(4)}
		var names []string
		logs := map[string][]uint64{} // term of each record
		terms := map[string]uint64{}
		roles := map[string]string{}
		for i := range n {
			name := string(rune('a' + i))
			names = append(names, name)
			roles[name], terms[name] = RoleReplica, 1
			g.Targets[name] = &Target{Name: name}
		}
		primary := "a"
		roles[primary] = RolePrimary
		pos := func(name string) position.Position {
			l := logs[name]
			if len(l) == 0 {
				return position.Position{}
			}
			return position.Position{Term: l[len(l)-1], Offset: uint64(len(l))}
		}
		now := 0
		ask := func(name string) {
			g.Targets[name].RecordStatus(at(now), at(now), roles[name], terms[name], pos(name), pos(name), g.PrimarySamples)
		}
		var acked []uint64 // the acknowledged log
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) { logs[primary] = append(logs[primary], g.Term) },
			"replicate": func(t *rapid.T) {
				name := rapid.SampledFrom(names).Draw(t, "target")
				if name == primary || roles[name] == RoleDiverged {
					return
				}
				l, p := logs[name], logs[primary]
				if len(l) > len(p) || len(l) > 0 && l[len(l)-1] != p[len(l)-1] {
					roles[name], terms[name] = RoleDiverged, g.Term // its log went past the fork
					return
				}
				roles[name], terms[name] = RoleReplica, g.Term
				if len(l) < len(p) {
					logs[name] = append([]uint64(nil), p[:len(l)+1]...)
				}
			},
			"ask": func(t *rapid.T) {
				ask(rapid.SampledFrom(names).Draw(t, "target"))
				if q, ok := g.QuorumPosition(primary); ok && q.Offset > uint64(len(acked)) {
					acked = append([]uint64(nil), logs[primary][:q.Offset]...)
				}
			},
			"elect": func(t *rapid.T) {
				now++
				for _, name := range rapid.Permutation(names).Draw(t, "order")[:rapid.IntRange(0, n).Draw(t, "up")] {
					ask(name)
				}
				g.Targets[names[0]].Leaving = rapid.IntRange(0, 5).Draw(t, "leaving") == 0
				name, ok := g.Candidate(g.Term+1, at(now-1))
				if !ok {
					return
				}
				g.Term++
				primary = name
				roles[name], terms[name] = RolePrimary, g.Term
				logs[name] = append(logs[name], g.Term) // promotion writes a record
			},
			"": func(t *rapid.T) {
				l := logs[primary]
				for i := range acked {
					if i >= len(l) || l[i] != acked[i] {
						t.Fatalf("primary %s at term %d lost acknowledged record %d", primary, g.Term, i)
					}
				}
			},
		})
	})
}

// Guards against a majority of the databases seen instead of the databases configured, and against
// two majorities without a common member while a replacement joins.
func TestMajorityBase(t *testing.T) {
	is := is.New(t)
	g := Group{Term: 1, Databases: 3, Targets: map[string]*Target{}, PrimarySamples: NewSamples(4)}
	g.Targets["a"] = &Target{Name: "a", Role: RolePrimary, Term: 1, Received: position.Position{Term: 1, Offset: 9}}
	_, ok := g.QuorumPosition("a")
	is.True(!ok)
	for _, name := range []string{"b", "c", "d"} {
		g.Targets[name] = &Target{Name: name}
	}
	is.Equal(g.Majority(), 3)
}

// Guards against waits without prospect, and against a place that outweighs load.
func TestWaitAndLoad(t *testing.T) {
	is := is.New(t)
	g := Group{Term: 1, Databases: 3, Targets: map[string]*Target{}, PrimarySamples: NewSamples(4)}
	p := position.Position{Term: 1, Offset: 5}
	for _, name := range []string{"a", "b"} {
		g.Targets[name] = &Target{Name: name, Place: name, Role: RoleReplica, Term: 1, Applied: p, StatusReceivedAt: epoch}
	}
	rnd := rand.New(rand.NewPCG(1, 1))
	r := ReadRequest{Floor: position.Position{Term: 1, Offset: 6}, MaxWait: DefaultReplicaWait}
	is.True(g.Choose(epoch, r, rnd).Wait)
	r.Waited = DefaultReplicaWait
	is.Equal(g.Choose(epoch, r, rnd), Decision{})
	r.Waited = 0
	g.Targets["a"].Lag, g.Targets["b"].Lag = time.Second, time.Second
	is.True(!g.Choose(epoch, r, rnd).Wait)
	r = ReadRequest{Floor: p, Place: "a"}
	for range 20 {
		is.Equal(g.Choose(epoch, r, rnd).Replica, "a")
	}
	g.Targets["a"].Load = 2
	for range 20 {
		is.Equal(g.Choose(epoch, r, rnd).Replica, "b")
	}
}
