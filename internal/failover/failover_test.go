package failover

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/citronrun/citronrun/internal/lease"
	"github.com/citronrun/citronrun/internal/wire"
)

const step = 100 * time.Millisecond

// world is one service with three targets and three hosts, driven in steps of 100 ms.
type world struct {
	now      time.Time
	record   Record
	table    *lease.Table
	machine  *Machine
	dead     map[string]bool // hosts and targets
	cut      map[string]bool // "host target": no connection
	draining map[string]bool
	terms    map[string]uint64 // term of each target
	primary  map[uint64]string // outcome of the election of each term, as promoted by an owner
	recorded map[uint64]string // outcome as recorded
	noElect  bool              // owners don't conclude elections
	log      []Action
	reused   bool // an owner got a term whose election another owner may have concluded
}

var targets = []string{"t1", "t2", "t3"}

func newWorld() *world {
	w := &world{
		now: time.Unix(1000, 0), dead: map[string]bool{}, cut: map[string]bool{}, draining: map[string]bool{},
		terms: map[string]uint64{}, primary: map[uint64]string{}, recorded: map[uint64]string{},
	}
	w.elect()
	return w
}

// elect replaces the control leader.
func (w *world) elect() {
	w.table = lease.NewTable(w.now)
	w.machine = New(w.now, w.record)
}

func (w *world) hosts() []Host {
	var hosts []Host
	for i, name := range []string{"h1", "h2", "h3"} {
		if !w.dead[name] {
			place := "p" + targets[i][1:]
			hosts = append(hosts, Host{Name: name, BootID: "b", Place: place, Draining: w.draining[name]})
		}
	}
	return hosts
}

func (w *world) reaches(host, target string) bool {
	return !w.dead[target] && !w.cut[host+" "+target]
}

// report is what the owner would report; silence shows at once as long silence.
func (w *world) report() *Report {
	owner := w.record.Owner.Host
	if owner == "" || w.dead[owner] {
		return nil
	}
	r := &Report{At: w.now, Term: w.record.Term, Primary: w.record.Primary}
	alive := 0
	for _, t := range targets {
		report := wire.TargetReport{Target: t, Role: "replica", Term: w.terms[t]}
		if t == w.primary[w.record.Term] {
			report.Role = "primary"
		}
		if w.reaches(owner, t) {
			alive++
		} else {
			report.SilentFor = 2 * DetectionTimeout
		}
		r.Targets = append(r.Targets, report)
	}
	if w.record.ElectionPending && alive >= 2 && !w.noElect {
		r.Primary = w.promote(owner)
	}
	return r
}

// promote lets the owner conclude the election of the recorded term.
func (w *world) promote(owner string) string {
	term := w.record.Term
	for _, t := range targets {
		if w.primary[term] == "" && w.reaches(owner, t) {
			w.primary[term] = t
			w.terms[t] = term
		}
	}
	return w.primary[term]
}

func (w *world) step() {
	w.now = w.now.Add(step)
	owner := w.record.Owner
	if owner.Host != "" && !w.dead[owner.Host] {
		if w.machine.Renewable() {
			w.table.Renew(w.now, "s", w.record.Owner, owner)
		} else {
			w.table.Return("s", w.record.Owner, owner)
		}
	}
	in := Input{
		Now: w.now, Record: w.record, LeaseFree: w.table.Free(w.now, "s", w.record.Owner), Hosts: w.hosts(),
		Report: w.report(), Databases: 3, Places: map[string]string{"t1": "p1", "t2": "p2", "t3": "p3"},
		MayRebalance: true,
	}
	for _, a := range w.machine.Step(in) {
		w.log = append(w.log, a)
		w.apply(a)
	}
}

// apply commits an action as the replicated state machine does.
func (w *world) apply(a Action) {
	switch a.Kind {
	case Probe:
		if !w.dead[a.Host] {
			w.machine.RecordProbe(a.Host, a.Target, w.reaches(a.Host, a.Target))
		}
	case Assign:
		if !w.table.CloseEpoch(w.now, "s", w.record.Owner) {
			return
		}
		w.record.Owner = lease.Owner{Host: a.Host, BootID: a.BootID, Epoch: w.record.Owner.Epoch + 1}
		w.reused = w.reused || w.record.ElectionPending && !(a.ElectionPending && a.Term > w.record.Term)
		w.table.RecordAssignment(w.now, "s", w.record.Owner)
		if a.ElectionPending {
			w.record.Term, w.record.ElectionPending, w.record.Primary = a.Term, true, ""
		}
	case Elect:
		w.record.Term, w.record.ElectionPending, w.record.Primary = a.Term, true, ""
	case RecordPrimary:
		w.record.ElectionPending, w.record.Primary = false, a.Target
		w.recorded[a.Term] = a.Target
	}
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.step()
	}
}

// settle runs until the service has an owner that reaches its recorded primary.
func (w *world) settle(t interface{ Fatalf(string, ...any) }) time.Duration {
	start := w.now
	for w.now.Sub(start) < TotalBudget {
		w.step()
		owner, primary := w.record.Owner.Host, w.record.Primary
		if primary != "" && !w.dead[owner] && w.reaches(owner, primary) && w.machine.Phase() == Steady {
			return w.now.Sub(start)
		}
	}
	t.Fatalf("not settled: %+v phase %v actions %+v", w.record, w.machine.Phase(), w.log)
	return 0
}

// Guards against failovers that miss the budget, change what needn't change, or end in two outcomes.
func TestFailures(t *testing.T) {
	cases := []struct {
		name      string
		fault     func(*world)
		limit     time.Duration
		sameOwner bool
		sameTerm  bool
	}{
		{"primary dies", func(w *world) { w.dead["t1"] = true }, 2 * time.Second, true, false},
		{"owner cut off from the primary", func(w *world) { w.cut["h1 t1"] = true }, 2 * time.Second, false, true},
		{"owner cut off from all targets", func(w *world) {
			w.cut["h1 t1"], w.cut["h1 t2"], w.cut["h1 t3"] = true, true, true
		}, 2 * time.Second, false, true},
		{"owner dies", func(w *world) { w.dead["h1"] = true }, 4 * time.Second, false, true},
		{"owner and primary die", func(w *world) { w.dead["h1"], w.dead["t1"] = true, true }, 8 * time.Second, false, false},
		{"primary dies, owner dies in the election", func(w *world) {
			w.dead["t1"] = true
			w.noElect = true
			w.run(time.Second)
			w.dead["h1"] = true
			w.noElect = false
		}, 8 * time.Second, false, false},
		{"primary dies, leader is replaced in the election", func(w *world) {
			w.dead["t1"] = true
			w.noElect = true
			w.run(time.Second)
			w.elect()
			w.noElect = false
		}, 4 * time.Second, true, false},
		{"owner drains", func(w *world) { w.draining["h1"] = true; w.run(5 * step) }, time.Second, false, true},
		{"planned promotion", func(w *world) { w.machine.RequestPromotion(w.now, "t2"); w.step() }, time.Second, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			w := newWorld()
			w.settle(t)
			is.Equal(w.record.Owner.Host, "h1")
			is.Equal(w.record.Primary, "t1")
			before := w.record
			c.fault(w)
			took := w.settle(t)
			t.Log("settled after", took, "actions", len(w.log))
			is.True(took <= c.limit)
			is.Equal(w.record.Owner == before.Owner, c.sameOwner)
			is.Equal(w.record.Term == before.Term, c.sameTerm)
			is.True(!w.reused)
			w.run(30 * time.Second) // balance may move the service, but it must stay in service
			w.settle(t)
		})
	}
}

// Guards against recorded outcomes that differ from what an owner promoted, epochs or terms that
// go back, and services that never settle, over random faults and leader changes.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		w.settle(t)
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			before := w.record
			w.fault(t)
			w.run(time.Duration(rapid.IntRange(0, 40).Draw(t, "steps")) * step)
			if w.record.Term < before.Term || w.record.Owner.Epoch < before.Owner.Epoch {
				t.Fatalf("went back from %+v to %+v", before, w.record)
			}
		}
		w.dead, w.cut, w.draining, w.noElect = map[string]bool{}, map[string]bool{}, map[string]bool{}, false
		w.settle(t)
		if w.reused {
			t.Fatalf("a new owner got the term of a pending election: %+v", w.log)
		}
		for term, primary := range w.recorded {
			if w.primary[term] != primary {
				t.Fatalf("term %d: recorded %s, promoted %s", term, primary, w.primary[term])
			}
		}
	})
}

func (w *world) fault(t *rapid.T) {
	switch rapid.IntRange(0, 5).Draw(t, "fault") {
	case 0:
		w.elect()
	case 1:
		name := rapid.SampledFrom([]string{"h1", "h2", "h3", "t1", "t2", "t3"}).Draw(t, "name")
		w.dead[name] = !w.dead[name]
	case 2:
		h := rapid.SampledFrom([]string{"h1", "h2", "h3"}).Draw(t, "host")
		pair := h + " " + rapid.SampledFrom(targets).Draw(t, "target")
		w.cut[pair] = !w.cut[pair]
	case 3:
		w.noElect = !w.noElect
	case 4:
		h := rapid.SampledFrom([]string{"h1", "h2", "h3"}).Draw(t, "draining")
		w.draining[h] = !w.draining[h]
	case 5:
		w.machine.RequestPromotion(w.now, rapid.SampledFrom(targets).Draw(t, "promote"))
	}
}

// Guards against a move for balance while the primary is already failing: the new owner would have to
// detect the failure anew, which added up to 4 s to the gap.
func TestNoBalanceMoveWhilePrimaryFails(t *testing.T) {
	for name, c := range map[string]struct {
		silent time.Duration
		moves  bool
	}{
		"answering": {100 * time.Millisecond, true},
		"failing":   {400 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			owner := lease.Owner{Host: "h1", BootID: "b", Epoch: 1}
			in := Input{
				Now:    now,
				Record: Record{Owner: owner, Term: 1, Primary: "t1"},
				Hosts: []Host{
					{Name: "h1", BootID: "b", Services: 3},
					{Name: "h2", BootID: "b", Services: 0},
				},
				Databases:    1,
				Places:       map[string]string{"t1": "p"},
				MayRebalance: true,
			}
			m := New(now, in.Record)
			in.Now = now.Add(steadyTime)
			in.Report = &Report{At: in.Now, Term: 1, Primary: "t1", Targets: []wire.TargetReport{
				{Target: "t1", Role: "primary", Term: 1, SilentFor: c.silent},
			}}
			m.Step(in)
			is.Equal(m.Phase() == Releasing, c.moves)
		})
	}
}
