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

// Guards against reads at a replica that is behind the floor, too old, leaving, diverged, silent, at
// another term or not matched by the selector. Ages are checked against the primary's actual history.
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
			target := &Target{Name: name, Labels: map[string]string{"n": name}}
			target.Leaving = rapid.IntRange(0, 4).Draw(t, "leaving") == 0
			role := rapid.SampledFrom([]string{RoleReplica, RoleReplica, RolePrimary, RoleDiverged}).Draw(t, "role")
			sentAt := at(rapid.IntRange(-1200, 199).Draw(t, "sent at"))
			applied := position.Position{Term: 2, Offset: rapid.Uint64Range(0, offset).Draw(t, "applied")}
			target.RecordStatus(sentAt, sentAt, role, rapid.Uint64Range(1, 2).Draw(t, "term"), applied, applied, g.PrimarySamples)
			g.Targets[name] = target
		}
		r := ReadRequest{
			Mode:     rapid.SampledFrom([]wire.ReadMode{wire.ReadSession, wire.ReadCurrent, wire.ReadMaxAge}).Draw(t, "mode"),
			Floor:    position.Position{Term: 2, Offset: rapid.Uint64Range(0, offset).Draw(t, "floor")},
			MaxAge:   time.Duration(rapid.IntRange(0, 200).Draw(t, "age")) * time.Millisecond,
			Selector: labels.SelectorFromSet(labels.Set{"n": rapid.SampledFrom([]string{"a", "b"}).Draw(t, "selector")}),
		}
		decision := g.Choose(now, r, rand.New(rand.NewPCG(1, 2)))
		if decision.Replica == "" {
			return
		}
		target := g.Targets[decision.Replica]
		if r.Mode == wire.ReadCurrent || target.Leaving || target.Role != RoleReplica || target.Term != 2 ||
			now.Sub(target.StatusReceivedAt) > UnresponsiveAfter || !target.Applied.Covers(r.Floor) || !r.Selector.Matches(labels.Set(target.Labels)) {
			t.Fatalf("read %+v was routed to target %+v, which may not serve it", r, target)
		}
		// The age of the data is the time since the primary first was past it.
		firstPast := sort.Search(200, func(ms int) bool { return history[ms] > target.Applied.Offset })
		if r.Mode == wire.ReadMaxAge && now.Sub(at(firstPast)) > r.MaxAge {
			t.Fatalf("read with maximum age %v got data of age %v", r.MaxAge, now.Sub(at(firstPast)))
		}
	})
}

// Guards against the loss of an acknowledged commit in a failover. A simulated group replicates at random,
// a position counts as acknowledged once QuorumPosition covers it, and the candidate must hold it whichever
// minority is unreachable. Old primaries may come back with longer logs.
func TestCandidateKeepsAcknowledged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		databases := rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "databases")
		g := Group{Term: 1, Databases: databases, Targets: map[string]*Target{}, PrimarySamples: NewSamples(4)}
		var names []string
		logs := map[string][]uint64{} // term of each record
		terms := map[string]uint64{}
		roles := map[string]string{}
		for i := range databases {
			name := string(rune('a' + i))
			names = append(names, name)
			roles[name], terms[name] = RoleReplica, 1
			g.Targets[name] = &Target{Name: name}
		}
		primary := "a"
		roles[primary] = RolePrimary
		positionOf := func(name string) position.Position {
			log := logs[name]
			if len(log) == 0 {
				return position.Position{}
			}
			return position.Position{Term: log[len(log)-1], Offset: uint64(len(log))}
		}
		now := 0
		queryStatus := func(name string) {
			g.Targets[name].RecordStatus(at(now), at(now), roles[name], terms[name], positionOf(name), positionOf(name), g.PrimarySamples)
		}
		var acked []uint64 // the acknowledged prefix of the log
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) { logs[primary] = append(logs[primary], g.Term) },
			"replicate": func(t *rapid.T) {
				name := rapid.SampledFrom(names).Draw(t, "target")
				if name == primary || roles[name] == RoleDiverged {
					return
				}
				log, primaryLog := logs[name], logs[primary]
				if len(log) > len(primaryLog) || len(log) > 0 && log[len(log)-1] != primaryLog[len(log)-1] {
					roles[name], terms[name] = RoleDiverged, g.Term // it has records that the primary lacks
					return
				}
				roles[name], terms[name] = RoleReplica, g.Term
				if len(log) < len(primaryLog) {
					logs[name] = append([]uint64(nil), primaryLog[:len(log)+1]...)
				}
			},
			"status": func(t *rapid.T) {
				queryStatus(rapid.SampledFrom(names).Draw(t, "target"))
				if q, ok := g.QuorumPosition(primary); ok && q.Offset > uint64(len(acked)) {
					acked = append([]uint64(nil), logs[primary][:q.Offset]...)
				}
			},
			"elect": func(t *rapid.T) {
				now++
				for _, name := range rapid.Permutation(names).Draw(t, "order")[:rapid.IntRange(0, databases).Draw(t, "up")] {
					queryStatus(name)
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
				log := logs[primary]
				for i := range acked {
					if i >= len(log) || log[i] != acked[i] {
						t.Fatalf("primary %s at term %d lost acknowledged record %d", primary, g.Term, i)
					}
				}
			},
		})
	})
}

// Guards against the acknowledgement of a position of an earlier term: c, which isn't among the majority that has it, holds
// a later position of the term in between, so that a later election would choose c and drop the position.
func TestEarlierTermIsNotAcknowledged(t *testing.T) {
	is := is.New(t)
	g := Group{Term: 4, Databases: 5, Targets: map[string]*Target{}, PrimarySamples: NewSamples(4)}
	for name, received := range map[string]position.Position{
		"a": {Term: 2, Offset: 2}, "b": {Term: 2, Offset: 2}, "c": {Term: 3, Offset: 2}, "d": {Term: 4, Offset: 3}, "e": {},
	} {
		g.Targets[name] = &Target{Name: name, Role: RoleReplica, Term: 4, Received: received, StatusSentAt: at(1), StatusReceivedAt: at(1)}
	}
	g.Targets["c"].Role, g.Targets["c"].Term = RolePrimary, 3
	g.Targets["d"].Role = RolePrimary
	g.Targets["e"].Term = 1
	_, ok := g.QuorumPosition("d")
	is.True(!ok)
	for _, name := range []string{"a", "b"} { // they have received the first record of term 4
		g.Targets[name].Received = position.Position{Term: 4, Offset: 3}
	}
	p, ok := g.QuorumPosition("d")
	is.True(ok)
	is.Equal(p, position.Position{Term: 4, Offset: 3})
}

// Guards against a majority that is computed from the registered targets instead of the configured number, and
// against two disjoint majorities while a replacement of a target is registered beside it.
func TestMajority(t *testing.T) {
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

// Guards against waits for replicas that won't catch up in time, and against a preference for the entry
// host's place over a clear difference in load.
func TestWaitForReplicaAndLoad(t *testing.T) {
	is := is.New(t)
	g := Group{Term: 1, Databases: 3, Targets: map[string]*Target{}, PrimarySamples: NewSamples(4)}
	p := position.Position{Term: 1, Offset: 5}
	for _, name := range []string{"a", "b"} {
		g.Targets[name] = &Target{Name: name, Place: name, Role: RoleReplica, Term: 1, Applied: p, StatusReceivedAt: epoch}
	}
	rng := rand.New(rand.NewPCG(1, 1))
	r := ReadRequest{Floor: position.Position{Term: 1, Offset: 6}, MaxWait: DefaultReplicaWait}
	is.True(g.Choose(epoch, r, rng).Wait)
	r.Waited = DefaultReplicaWait
	is.Equal(g.Choose(epoch, r, rng), Decision{})
	r.Waited = 0
	g.Targets["a"].Lag, g.Targets["b"].Lag = time.Second, time.Second
	is.True(!g.Choose(epoch, r, rng).Wait)
	r = ReadRequest{Floor: p, Place: "a"}
	for range 20 {
		is.Equal(g.Choose(epoch, r, rng).Replica, "a")
	}
	g.Targets["a"].Load = 2
	for range 20 {
		is.Equal(g.Choose(epoch, r, rng).Replica, "b")
	}
}
