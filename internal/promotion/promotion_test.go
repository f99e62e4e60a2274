package promotion

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/citronrun/citronrun/internal/position"
)

func pos(offset uint64) position.Position { return position.Position{Term: 1, Offset: offset} }

// Guards against a promotion that loses a commit which the primary and syncReplicas replicas have.
func TestChooseLosesNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "replicas")
		sync := rapid.IntRange(1, n).Draw(t, "sync")
		commit := rapid.Uint64Range(1, 100).Draw(t, "commit")
		holders := rapid.Permutation(indexes(n)).Draw(t, "holders")[:sync]
		has := map[int]bool{}
		for _, h := range holders {
			has[h] = true
		}
		reports := []Report{{Target: "primary", Answered: rapid.Bool().Draw(t, "primary answers"), Primary: true}}
		received := map[string]uint64{}
		for i := range n {
			r := Report{Target: string(rune('a' + i)), Leaving: rapid.Bool().Draw(t, "leaving")}
			r.Answered = rapid.Bool().Draw(t, "answers")
			r.Paused = r.Answered && rapid.Bool().Draw(t, "paused")
			r.Received = pos(rapid.Uint64Range(0, commit-1).Draw(t, "behind"))
			if has[i] {
				r.Received = pos(commit + rapid.Uint64Range(0, 5).Draw(t, "ahead"))
			}
			received[r.Target] = r.Received.Offset
			reports = append(reports, r)
		}
		choice, ok := Choose(reports, "primary", sync)
		if ok && received[choice] < commit {
			t.Fatalf("promoted %s at %d, but %d was acknowledged", choice, received[choice], commit)
		}
	})
}

func indexes(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// Guards against the promotion of a target that ends at once although another one could catch up.
func TestChooseAvoidsLeaving(t *testing.T) {
	is := is.New(t)
	reports := []Report{
		{Target: "p", Answered: true, Primary: true},
		{Target: "a", Answered: true, Paused: true, Leaving: true, Received: pos(9)},
		{Target: "b", Answered: true, Paused: true, Received: pos(8)},
	}
	_, ok := Choose(reports, "p", 1)
	is.True(!ok) // b can still receive from p
	reports[0].Answered = false
	choice, ok := Choose(reports, "p", 1)
	is.True(ok)
	is.Equal(choice, "a") // nothing else has the last commit
	reports[2].Received = pos(9)
	choice, _ = Choose(reports, "p", 1)
	is.Equal(choice, "b")
}

// driver answers a machine's actions and notes them.
type driver struct {
	m       *Machine
	in      Input
	actions []Action
}

func (d *driver) step(after time.Duration) Action {
	d.in.Now = d.in.Now.Add(after)
	a := d.m.Step(d.in)
	if a != None {
		d.actions = append(d.actions, a)
	}
	return a
}

// Guards against an order that is given while a host may still work with the old primary, and against
// a primary that is served while an order is pending.
func TestOrderWaitsForTheFence(t *testing.T) {
	is := is.New(t)
	d := &driver{m: New(), in: Input{Now: time.Unix(1000, 0), Record: Record{Primary: "p"}}}
	is.True(d.m.Serving())
	d.in.HolderReportsSilence = true
	is.Equal(d.step(0), Probe)
	d.m.RecordProbe(false)
	is.Equal(d.step(0), None)
	is.True(!d.m.Serving())
	is.Equal(d.step(time.Second), None) // not free yet
	d.in.PrimaryFree = true
	is.Equal(d.step(0), Inspect)
	d.m.RecordInspection("", false)
	is.Equal(d.step(0), Resume)
	is.Equal(d.step(retryPause), Inspect)
	d.m.RecordInspection("r", false)
	is.Equal(d.step(0), Order)
	d.in.Record = Record{Primary: "p", Candidate: "r", Token: 1}
	d.m.RecordOrder(false)
	is.Equal(d.step(0), Confirm)
	d.m.RecordConfirmation(false)
	is.Equal(d.step(0), Inspect) // the next order has a higher token
	d.m.RecordInspection("r", false)
	is.Equal(d.step(0), Order)
	d.in.Record.Token = 2
	d.m.RecordOrder(false)
	is.Equal(d.step(0), Confirm)
	d.m.RecordConfirmation(true)
	is.Equal(d.step(0), RecordPrimary)
	is.True(!d.m.Serving())
	d.in.Record = Record{Primary: "r", Token: 2}
	d.in.HolderReportsSilence = false
	is.Equal(d.step(0), None)
	is.True(d.m.Serving())
}

// Guards against a new leader that forgets an order of its predecessor, which may be carried out late.
func TestPendingOrder(t *testing.T) {
	is := is.New(t)
	d := &driver{m: New(), in: Input{Now: time.Unix(1000, 0), Record: Record{Primary: "p", Candidate: "r", Token: 4}}}
	is.Equal(d.step(0), Inspect)
	is.True(!d.m.Serving())
}

// Guards against a promotion because one host doesn't reach a primary that is well.
func TestCutHolder(t *testing.T) {
	is := is.New(t)
	d := &driver{m: New(), in: Input{Now: time.Unix(1000, 0), Record: Record{Primary: "p"}, HolderReportsSilence: true}}
	is.Equal(d.step(0), Probe)
	d.m.RecordProbe(true)
	is.Equal(d.step(0), AvoidHolder)
	is.True(d.m.Serving())
}
