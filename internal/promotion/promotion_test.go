package promotion

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/citronrun/citronrun/internal/position"
)

func positionAt(offset uint64) position.Position { return position.Position{Term: 1, Offset: offset} }

// Guards against a promotion that loses an acknowledged commit, which the primary and syncReplicas replicas
// have received.
func TestChooseKeepsAcknowledgedCommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replicas := rapid.IntRange(1, 5).Draw(t, "replicas")
		syncReplicas := rapid.IntRange(1, replicas).Draw(t, "sync")
		commit := rapid.Uint64Range(1, 100).Draw(t, "commit")
		ackedBy := map[int]bool{} // replicas that have acknowledged the commit
		for _, i := range rapid.Permutation(indexes(replicas)).Draw(t, "holders")[:syncReplicas] {
			ackedBy[i] = true
		}
		departed := 0
		reports := []Report{{Target: "primary", Answered: rapid.Bool().Draw(t, "primary answers"), Primary: true}}
		received := map[string]uint64{}
		for i := range replicas {
			r := Report{Target: string(rune('a' + i)), Leaving: rapid.Bool().Draw(t, "leaving")}
			r.Answered = rapid.Bool().Draw(t, "answers")
			r.Paused = r.Answered && rapid.Bool().Draw(t, "paused")
			r.Received = positionAt(rapid.Uint64Range(0, commit-1).Draw(t, "behind"))
			if ackedBy[i] {
				r.Received = positionAt(commit + rapid.Uint64Range(0, 5).Draw(t, "ahead"))
			}
			if rapid.Bool().Draw(t, "departed") {
				departed++
				continue
			}
			received[r.Target] = r.Received.Offset
			reports = append(reports, r)
		}
		pending := Pending{}
		if rapid.Bool().Draw(t, "order pending") { // of an order that was made when the commit was at its target
			pending = Pending{Target: rapid.SampledFrom(reports).Draw(t, "ordered").Target, Received: positionAt(commit)}
		}
		choice, ok := Choose(reports, "primary", syncReplicas, departed, pending)
		if ok && received[choice] < commit {
			t.Fatalf("chose %s, which has received offset %d, but offset %d was acknowledged",
				choice, received[choice], commit)
		}
	})
}

func indexes(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// Guards against promoting a target that is about to shut down while another one can still catch up.
func TestChooseAvoidsLeavingTarget(t *testing.T) {
	is := is.New(t)
	reports := []Report{
		{Target: "p", Answered: true, Primary: true},
		{Target: "a", Answered: true, Paused: true, Leaving: true, Received: positionAt(9)},
		{Target: "b", Answered: true, Paused: true, Received: positionAt(8)},
	}
	_, ok := Choose(reports, "p", 1, 0, Pending{})
	is.True(!ok) // b can still receive from p
	reports[0].Answered = false
	choice, ok := Choose(reports, "p", 1, 0, Pending{})
	is.True(ok)
	is.Equal(choice, "a") // only a has the last commit
	reports[2].Received = positionAt(9)
	choice, _ = Choose(reports, "p", 1, 0, Pending{})
	is.Equal(choice, "b")
}

// Guards against an order that is carried out late, after a newer one for another target, where the platform checks no
// fencing tokens: the target of the late order would replace the new primary without its acknowledged commits.
func TestPendingOrderIsRepeated(t *testing.T) {
	is := is.New(t)
	reports := []Report{
		{Target: "p", Answered: true, Primary: true},
		{Target: "a", Answered: true, Paused: true, Received: positionAt(8)},
		{Target: "b", Answered: true, Paused: true, Received: positionAt(9)}, // has received more since, which wasn't acknowledged
	}
	choice, ok := Choose(reports, "p", 1, 0, Pending{Target: "a", Received: positionAt(8)})
	is.True(ok)
	is.Equal(choice, "a")
	choice, _ = Choose(reports, "p", 1, 0, Pending{Target: "a", Received: positionAt(9)})
	is.Equal(choice, "b") // a has lost its log since
	reports[1].Leaving = true
	choice, _ = Choose(reports, "p", 1, 0, Pending{Target: "a", Received: positionAt(8)})
	is.Equal(choice, "b") // a will be gone soon
}

// driver steps a machine and records its actions.
type driver struct {
	machine *Machine
	input   Input
	actions []Action
}

func (d *driver) step(after time.Duration) Action {
	d.input.Now = d.input.Now.Add(after)
	a := d.machine.Step(d.input)
	if a != None {
		d.actions = append(d.actions, a)
	}
	return a
}

// Guards against a promotion order while a host may still do work that needs the old primary, and against
// granting the primary right while an order is pending.
func TestOrderWaitsForFencing(t *testing.T) {
	is := is.New(t)
	d := &driver{machine: New(), input: Input{Now: time.Unix(1000, 0), Record: Record{Primary: "p"}}}
	is.True(d.machine.Serving())
	d.input.HolderReportsSilence = true
	is.Equal(d.step(0), Probe)
	d.machine.RecordProbe(false)
	is.Equal(d.step(0), None)
	is.True(!d.machine.Serving())
	is.Equal(d.step(time.Second), None) // the old primary is not fenced yet, however long that takes
	d.input.PrimaryFree = true
	is.Equal(d.step(0), Inspect)
	d.machine.RecordInspection(Decision{})
	is.Equal(d.step(0), Resume)
	is.Equal(d.step(retryInterval), Inspect)
	d.machine.RecordInspection(Decision{Order: Pending{Target: "r"}})
	is.Equal(d.step(0), Order)
	d.input.Record = Record{Primary: "p", Candidate: "r", Token: 1}
	d.machine.RecordOrder(false)
	is.Equal(d.step(0), Confirm)
	d.machine.RecordConfirmation(false)
	is.Equal(d.step(0), Inspect) // the next order has a higher token
	d.machine.RecordInspection(Decision{Order: Pending{Target: "r"}})
	is.Equal(d.step(0), Order)
	d.input.Record.Token = 2
	d.machine.RecordOrder(false)
	is.Equal(d.step(0), Confirm)
	d.machine.RecordConfirmation(true)
	is.Equal(d.step(0), RecordPrimary)
	is.True(!d.machine.Serving())
	d.input.Record = Record{Primary: "r", Token: 2}
	d.input.HolderReportsSilence = false
	is.Equal(d.step(0), Resume)
	is.True(d.machine.Serving())
}

// Guards against a new control leader that ignores a pending order of its predecessor, which may still be
// carried out.
func TestPendingOrderOfEarlierLeader(t *testing.T) {
	is := is.New(t)
	d := &driver{
		machine: New(),
		input:   Input{Now: time.Unix(1000, 0), Record: Record{Primary: "p", Candidate: "r", Token: 4}},
	}
	is.Equal(d.step(0), Inspect)
	is.True(!d.machine.Serving())
}

// Guards against a promotion when only the holder of the lease, but not the leader, fails to reach the
// primary.
func TestHolderCutOffFromPrimary(t *testing.T) {
	is := is.New(t)
	d := &driver{
		machine: New(),
		input:   Input{Now: time.Unix(1000, 0), Record: Record{Primary: "p"}, HolderReportsSilence: true},
	}
	is.Equal(d.step(0), Probe)
	d.machine.RecordProbe(true)
	is.Equal(d.step(0), AvoidHolder)
	is.True(d.machine.Serving())
}

// Guards against a primary that is served while an earlier order for another target, which the platform accepted just before
// it accepted the one for this primary, is still being carried out: the other target then leads without the latest commits.
func TestAcceptedOrderSupersedesOthersAfterTheyAreCarriedOut(t *testing.T) {
	is := is.New(t)
	d := &driver{machine: New(), input: Input{Now: time.Unix(1000, 0), Record: Record{Primary: "p", Candidate: "r", Token: 1}}}
	is.Equal(d.step(0), Inspect)
	d.machine.RecordInspection(Decision{Order: Pending{Target: "p"}}) // r doesn't answer, p still leads
	is.Equal(d.step(0), Order)
	d.input.Record = Record{Primary: "p", Candidate: "p", Token: 2, Contested: true}
	d.machine.RecordOrder(false)
	is.Equal(d.step(0), None)
	is.Equal(d.step(supersedeTime-time.Millisecond), None)
	is.True(!d.machine.Serving())
	is.Equal(d.step(time.Millisecond), Confirm)
	d.machine.RecordConfirmation(false) // r leads by now
	is.Equal(d.step(0), Inspect)
}

// Guards against an ordinary promotion that waits as long as a contested one.
func TestUncontestedOrderIsConfirmedAtOnce(t *testing.T) {
	is := is.New(t)
	d := &driver{machine: New(), input: Input{Now: time.Unix(1000, 0), Record: Record{Primary: "p", Candidate: "r", Token: 1}}}
	is.Equal(d.step(0), Inspect)
	d.machine.RecordInspection(Decision{Order: Pending{Target: "r"}})
	is.Equal(d.step(0), Order)
	d.input.Record.Token = 2
	d.machine.RecordOrder(false)
	is.Equal(d.step(0), Confirm)
}

// Guards against the answer of a replica that has started again without its log, and hasn't registered since: it says nothing of
// what the earlier process had received.
func TestReplicaWithoutLogDoesNotAnswer(t *testing.T) {
	is := is.New(t)
	reports := []Report{
		{Target: "p"},
		{Target: "a", Answered: true, Paused: true},
		{Target: "b", Answered: true, Paused: true, Received: positionAt(8)},
	}
	_, ok := Choose(reports, "p", 1, 0, Pending{})
	is.True(!ok)
	reports[2].Received = positionAt(0)
	_, ok = Choose(reports, "p", 1, 0, Pending{})
	is.True(ok) // a service without any commit
}
