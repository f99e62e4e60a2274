package promotion

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// restartedPrimary returns an inspection of a service whose recorded primary p has restarted as p2.
func restartedPrimary() *Inspection {
	return &Inspection{
		Primary: "p", SyncReplicas: 1,
		Reports: []Report{
			{Target: "p2", Answered: true, Primary: true, Term: 1, Received: positionAt(9)},
			{Target: "a", Answered: true, Paused: true, Term: 1, Received: positionAt(9)},
			{Target: "b", Answered: true, Paused: true, Term: 1, Received: positionAt(8)},
		},
	}
}

// Guards against a service that stays without a primary after its primary has restarted under another name.
func TestRestartedPrimarySucceeds(t *testing.T) {
	is := is.New(t)
	in := restartedPrimary()
	is.Equal(in.Decide(), Decision{Successor: "p2"})
	in.Reports[1].Answered, in.Reports[2].Answered = false, false
	is.Equal(in.Decide(), Decision{Successor: "p2"}) // it has all commits, whatever the replicas have
	in.Reports = append(in.Reports, Report{Target: "p"})
	is.Equal(in.Decide(), Decision{}) // the recorded primary may still lead

	m := New()
	now := time.Unix(1000, 0)
	lost := Input{Now: now, Record: Record{Primary: "p"}, PrimaryGone: true, PrimaryFree: true}
	m.Step(lost)
	is.Equal(m.Step(lost), Inspect)
	m.RecordInspection(Decision{Successor: "p2"})
	is.Equal(m.Step(lost), RecordPrimary)
	is.Equal(m.OrderedTarget(), "p2")
	is.Equal(m.Step(Input{Now: now, Record: Record{Primary: "p2"}}), Resume) // the inspection has paused the replicas
	is.True(m.Serving())
}

// Guards against a new service that stays without a primary because its primary registers later than its replicas.
func TestLatePrimaryOfNewService(t *testing.T) {
	is := is.New(t)
	in := restartedPrimary()
	in.Primary = ""
	is.Equal(in.Decide(), Decision{Successor: "p2"})
}

// Guards against a restarted primary that is taken over although it has lost its log, and against one that counts as a
// replica, so that no replica can be promoted either.
func TestRestartedPrimaryWithoutLog(t *testing.T) {
	is := is.New(t)
	in := restartedPrimary()
	in.Reports[0].Received = positionAt(0)
	is.Equal(in.Decide(), Decision{Order: Pending{Target: "a", Received: positionAt(9)}})
	in.Reports[1].Answered = false
	is.Equal(in.Decide(), Decision{}) // a may have a commit that b lacks
}

// Guards against a pending order that is carried out late, after the service has gone on with its restarted primary.
func TestRestartedPrimaryFencesPendingOrder(t *testing.T) {
	is := is.New(t)
	in := restartedPrimary()
	in.Pending = Pending{Target: "a", Received: positionAt(9)}
	is.Equal(in.Decide(), Decision{Order: in.Pending})
	in.Reports[1].Answered = false
	is.Equal(in.Decide(), Decision{Order: Pending{Target: "p2"}})
}

// Guards against a planned promotion that waits for ever for a target that is gone, although the primary answers and a replica
// has all that it has.
func TestPlannedPromotionWithoutLostTarget(t *testing.T) {
	is := is.New(t)
	in := &Inspection{
		Primary: "p", SyncReplicas: 1,
		Reports: []Report{
			{Target: "p", Answered: true, Primary: true, Leaving: true, Term: 1, Received: positionAt(9)},
			{Target: "a", Answered: true, Paused: true, Term: 1, Received: positionAt(9)},
			{Target: "b", Answered: true, Paused: true, Term: 1, Received: positionAt(9)},
			{Target: "gone"},
		},
	}
	is.Equal(in.Decide(), Decision{Order: Pending{Target: "a", Received: positionAt(9)}})
	in.Pending = Pending{Target: "b", Received: positionAt(7)}
	is.Equal(in.Decide(), Decision{Order: Pending{Target: "b", Received: positionAt(9)}})
	in.Pending = Pending{}
	in.Reports[1].Received, in.Reports[2].Leaving = positionAt(8), true
	is.Equal(in.Decide(), Decision{}) // a can still receive from p, b will be gone soon
	in.Reports[0].Answered, in.Reports[0].Primary = false, false
	is.Equal(in.Decide(), Decision{}) // the target that doesn't answer may have a commit that the others lack
}

// Guards against decisions that lose an acknowledged commit after the primary has restarted, with or without its log.
func TestDecideKeepsAcknowledgedCommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const commit = 10
		in := restartedPrimary()
		received := map[string]uint64{}
		for i := range in.Reports {
			r := &in.Reports[i]
			r.Answered = rapid.Bool().Draw(t, "answers")
			r.Paused = r.Answered && !r.Primary && rapid.Bool().Draw(t, "paused")
			r.Received = positionAt(rapid.Uint64Range(0, commit).Draw(t, "received"))
		}
		acked := rapid.IntRange(1, 2).Draw(t, "acked by")
		in.Reports[acked].Received = positionAt(commit)
		if keepsLog := rapid.Bool().Draw(t, "keeps log"); keepsLog || !in.Reports[acked].Answered {
			in.Reports[0].Received = positionAt(commit)
		}
		for _, r := range in.Reports {
			received[r.Target] = r.Received.Offset
		}
		d := in.Decide()
		if target := d.Successor + d.Order.Target; target != "" && received[target] < commit {
			t.Fatalf("%s leads next with offset %d, but offset %d was acknowledged", target, received[target], commit)
		}
	})
}

// lateLeader returns an inspection of a service whose replica a leads, by an order that was carried out after p was recorded as
// the primary or was ordered to stay it.
func lateLeader() *Inspection {
	return &Inspection{
		Primary: "p", SyncReplicas: 1,
		Reports: []Report{
			{Target: "p", Answered: true, Term: 2, Received: positionAt(9)},
			{Target: "a", Answered: true, Primary: true, Term: 2, Received: positionAt(9)},
			{Target: "b", Answered: true, Paused: true, Term: 2, Received: positionAt(8)},
		},
	}
}

// Guards against a target that is recorded as the primary without an order of its own, although an earlier order for the
// recorded primary, which runs, may still be carried out: the platform has to refuse that one first.
func TestLateLeaderIsOrdered(t *testing.T) {
	is := is.New(t)
	in := lateLeader()
	is.Equal(in.Decide(), Decision{Order: Pending{Target: "a", Received: positionAt(9), Contested: true}})
	in.Pending = Pending{Target: "p", Received: positionAt(9)}
	is.Equal(in.Decide().Order.Target, "a")
	in.Reports[0].Received = positionAt(10) // not rolled back yet
	is.Equal(in.Decide(), Decision{})
}

// Guards against the promotion of a replica that lacks an acknowledged commit, because neither the recorded primary nor the
// target that leads by a late order counts as a replica that may have it.
func TestLateLeaderKeepsAcknowledgedCommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const commit = 10
		in := lateLeader()
		received := map[string]uint64{"a": commit}
		for i := range in.Reports {
			r := &in.Reports[i]
			r.Answered = rapid.Bool().Draw(t, "answers")
			r.Primary = r.Primary && r.Answered
			r.Received = positionAt(rapid.Uint64Range(0, commit+2).Draw(t, "received"))
			if r.Target == "a" { // it was chosen since it had all acknowledged commits
				r.Received = positionAt(commit + rapid.Uint64Range(0, 2).Draw(t, "ahead"))
			}
			received[r.Target] = r.Received.Offset
		}
		if rapid.Bool().Draw(t, "order pending") {
			in.Pending = Pending{Target: rapid.SampledFrom(in.Reports).Draw(t, "ordered").Target, Received: positionAt(commit)}
		}
		d := in.Decide()
		if target := d.Successor + d.Order.Target; target != "" && received[target] < commit {
			t.Fatalf("%s leads next with offset %d, but offset %d was acknowledged", target, received[target], commit)
		}
	})
}

// Guards against a further promotion, with another gap in service, although the target that leads by a late order can stay: the
// recorded primary restarted as p2, which was ordered to lead before that.
func TestLateLeaderStays(t *testing.T) {
	is := is.New(t)
	in := lateLeader()
	in.Reports[0].Target, in.Reports[0].Paused = "p2", true
	in.Pending = Pending{Target: "p2", Received: positionAt(9), Contested: true}
	is.Equal(in.Decide(), Decision{Order: Pending{Target: "a", Received: positionAt(9), Contested: true}})
}
