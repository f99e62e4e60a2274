package failover

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/citronrun/citronrun/internal/lease"
	"github.com/citronrun/citronrun/internal/wire"
)

const stepTime = 100 * time.Millisecond

// simulation runs one service with three targets and three hosts in steps of 100 ms.
type simulation struct {
	now           time.Time
	record        Record
	table         *lease.Table
	machine       *Machine
	failed        map[string]bool   // failed hosts and targets
	cutLinks      map[string]bool   // "host target" pairs without a connection
	draining      map[string]bool   // hosts
	terms         map[string]uint64 // term of each target
	promoted      map[uint64]string // target that an owner promoted, by term
	recorded      map[uint64]string // target that was recorded as primary, by term
	electionsHang bool              // owners don't complete elections
	actions       []Action
	termReused    bool // a new owner was assigned at a term at which an earlier owner may have promoted a target
}

var targets = []string{"t1", "t2", "t3"}

func newSimulation() *simulation {
	s := &simulation{
		now: time.Unix(1000, 0), failed: map[string]bool{}, cutLinks: map[string]bool{}, draining: map[string]bool{},
		terms: map[string]uint64{}, promoted: map[uint64]string{}, recorded: map[uint64]string{},
	}
	s.replaceLeader()
	return s
}

// replaceLeader replaces the control leader.
func (s *simulation) replaceLeader() {
	s.table = lease.NewTable(s.now)
	s.machine = New(s.now, s.record)
}

func (s *simulation) hosts() []Host {
	var hosts []Host
	for i, name := range []string{"h1", "h2", "h3"} {
		if !s.failed[name] {
			place := "p" + targets[i][1:]
			hosts = append(hosts, Host{Name: name, BootID: "b", Place: place, Draining: s.draining[name]})
		}
	}
	return hosts
}

func (s *simulation) reaches(host, target string) bool {
	return !s.failed[target] && !s.cutLinks[host+" "+target]
}

// report returns the owner's report. A target that the owner doesn't reach counts at once as silent for longer
// than DetectionTimeout.
func (s *simulation) report() *Report {
	owner := s.record.Owner.Host
	if owner == "" || s.failed[owner] {
		return nil
	}
	r := &Report{At: s.now, Term: s.record.Term, Primary: s.record.Primary}
	reachable := 0
	for _, t := range targets {
		report := wire.TargetReport{Target: t, Role: "replica", Term: s.terms[t]}
		if t == s.promoted[s.record.Term] {
			report.Role = "primary"
		}
		if s.reaches(owner, t) {
			reachable++
		} else {
			report.SilentFor = 2 * DetectionTimeout
		}
		r.Targets = append(r.Targets, report)
	}
	if s.record.ElectionPending && reachable >= 2 && !s.electionsHang {
		r.Primary = s.promote(owner)
	}
	return r
}

// promote completes the election at the recorded term as the owner would, and returns the primary.
func (s *simulation) promote(owner string) string {
	term := s.record.Term
	for _, t := range targets {
		if s.promoted[term] == "" && s.reaches(owner, t) {
			s.promoted[term] = t
			s.terms[t] = term
		}
	}
	return s.promoted[term]
}

func (s *simulation) step() {
	s.now = s.now.Add(stepTime)
	owner := s.record.Owner
	if owner.Host != "" && !s.failed[owner.Host] {
		if s.machine.Renewable() {
			s.table.Renew(s.now, "s", s.record.Owner, owner)
		} else {
			s.table.Return("s", s.record.Owner, owner)
		}
	}
	in := Input{
		Now: s.now, Record: s.record, LeaseFree: s.table.Free(s.now, "s", s.record.Owner), Hosts: s.hosts(),
		Report: s.report(), Databases: 3, Places: map[string]string{"t1": "p1", "t2": "p2", "t3": "p3"},
		MayRebalance: true,
	}
	for _, a := range s.machine.Step(in) {
		s.actions = append(s.actions, a)
		s.apply(a)
	}
}

// apply commits an action as the replicated state machine does.
func (s *simulation) apply(a Action) {
	switch a.Kind {
	case Probe:
		if !s.failed[a.Host] {
			s.machine.RecordProbe(a.Host, a.Target, s.reaches(a.Host, a.Target))
		}
	case Assign:
		if !s.table.CloseEpoch(s.now, "s", s.record.Owner) {
			return
		}
		s.record.Owner = lease.Owner{Host: a.Host, BootID: a.BootID, Epoch: s.record.Owner.Epoch + 1}
		// An election without a reported result may have promoted a target at the recorded term.
		s.termReused = s.termReused || s.record.ElectionPending && !(a.ElectionPending && a.Term > s.record.Term)
		s.table.RecordAssignment(s.now, "s", s.record.Owner)
		if a.ElectionPending {
			s.record.Term, s.record.ElectionPending, s.record.Primary = a.Term, true, ""
		}
	case Elect:
		s.record.Term, s.record.ElectionPending, s.record.Primary = a.Term, true, ""
	case RecordPrimary:
		s.record.ElectionPending, s.record.Primary = false, a.Target
		s.recorded[a.Term] = a.Target
	}
}

func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.step()
	}
}

// runUntilRecovered runs until the service is in phase Steady and has an owner that reaches the recorded primary,
// and returns the time that it took. It fails the test if that takes longer than TotalBudget.
func (s *simulation) runUntilRecovered(t interface{ Fatalf(string, ...any) }) time.Duration {
	start := s.now
	for s.now.Sub(start) < TotalBudget {
		s.step()
		owner, primary := s.record.Owner.Host, s.record.Primary
		if primary != "" && !s.failed[owner] && s.reaches(owner, primary) && s.machine.Phase() == Steady {
			return s.now.Sub(start)
		}
	}
	t.Fatalf("no owner that reaches the primary within %v: record %+v, phase %v, actions %+v",
		TotalBudget, s.record, s.machine.Phase(), s.actions)
	return 0
}

// Guards against failovers that exceed the time budget, or that change the owner or the term without need.
func TestSingleFaults(t *testing.T) {
	cases := []struct {
		name      string
		fault     func(*simulation)
		limit     time.Duration
		sameOwner bool
		sameTerm  bool
	}{
		{"primary dies", func(s *simulation) { s.failed["t1"] = true }, 2 * time.Second, true, false},
		{"owner cut off from the primary", func(s *simulation) { s.cutLinks["h1 t1"] = true }, 2 * time.Second, false, true},
		{"owner cut off from all targets", func(s *simulation) {
			s.cutLinks["h1 t1"], s.cutLinks["h1 t2"], s.cutLinks["h1 t3"] = true, true, true
		}, 2 * time.Second, false, true},
		{"owner dies", func(s *simulation) { s.failed["h1"] = true }, 4 * time.Second, false, true},
		{"owner and primary die", func(s *simulation) { s.failed["h1"], s.failed["t1"] = true, true }, 8 * time.Second, false, false},
		{"primary dies, owner dies in the election", func(s *simulation) {
			s.failed["t1"] = true
			s.electionsHang = true
			s.run(time.Second)
			s.failed["h1"] = true
			s.electionsHang = false
		}, 8 * time.Second, false, false},
		{"primary dies, leader is replaced in the election", func(s *simulation) {
			s.failed["t1"] = true
			s.electionsHang = true
			s.run(time.Second)
			s.replaceLeader()
			s.electionsHang = false
		}, 4 * time.Second, true, false},
		{"owner drains", func(s *simulation) { s.draining["h1"] = true; s.run(5 * stepTime) }, time.Second, false, true},
		{"planned promotion", func(s *simulation) { s.machine.RequestPromotion(s.now, "t2"); s.step() }, time.Second, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := newSimulation()
			s.runUntilRecovered(t)
			is.Equal(s.record.Owner.Host, "h1")
			is.Equal(s.record.Primary, "t1")
			before := s.record
			c.fault(s)
			took := s.runUntilRecovered(t)
			t.Log("recovered after", took, "actions", len(s.actions))
			is.True(took <= c.limit)
			is.Equal(s.record.Owner == before.Owner, c.sameOwner)
			is.Equal(s.record.Term == before.Term, c.sameTerm)
			is.True(!s.termReused)
			s.run(30 * time.Second) // the service may be rebalanced, but must recover from that as well
			s.runUntilRecovered(t)
		})
	}
}

// Guards against a recorded primary that differs from the promoted one, epochs or terms that decrease, and
// services that don't recover after the last fault, under random faults and control leader changes.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		s.runUntilRecovered(t)
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			before := s.record
			s.injectFault(t)
			s.run(time.Duration(rapid.IntRange(0, 40).Draw(t, "steps")) * stepTime)
			if s.record.Term < before.Term || s.record.Owner.Epoch < before.Owner.Epoch {
				t.Fatalf("term or epoch decreased: record %+v after %+v", s.record, before)
			}
		}
		s.failed, s.cutLinks, s.draining, s.electionsHang = map[string]bool{}, map[string]bool{}, map[string]bool{}, false
		s.runUntilRecovered(t)
		if s.termReused {
			t.Fatalf("a new owner got the term of a pending election; actions %+v", s.actions)
		}
		for term, primary := range s.recorded {
			if s.promoted[term] != primary {
				t.Fatalf("term %d: recorded %s, promoted %s", term, primary, s.promoted[term])
			}
		}
	})
}

func (s *simulation) injectFault(t *rapid.T) {
	switch rapid.IntRange(0, 5).Draw(t, "fault") {
	case 0:
		s.replaceLeader()
	case 1:
		name := rapid.SampledFrom([]string{"h1", "h2", "h3", "t1", "t2", "t3"}).Draw(t, "name")
		s.failed[name] = !s.failed[name]
	case 2:
		h := rapid.SampledFrom([]string{"h1", "h2", "h3"}).Draw(t, "host")
		pair := h + " " + rapid.SampledFrom(targets).Draw(t, "target")
		s.cutLinks[pair] = !s.cutLinks[pair]
	case 3:
		s.electionsHang = !s.electionsHang
	case 4:
		h := rapid.SampledFrom([]string{"h1", "h2", "h3"}).Draw(t, "draining")
		s.draining[h] = !s.draining[h]
	case 5:
		s.machine.RequestPromotion(s.now, rapid.SampledFrom(targets).Draw(t, "promote"))
	}
}

// Guards against rebalancing while the primary is already failing: the new owner would have to detect the
// failure again, which extended the outage by up to 4 s.
func TestNoRebalancingWhilePrimaryFails(t *testing.T) {
	for name, c := range map[string]struct {
		silentFor  time.Duration
		rebalances bool
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
			in.Now = now.Add(rebalanceDelay)
			in.Report = &Report{At: in.Now, Term: 1, Primary: "t1", Targets: []wire.TargetReport{
				{Target: "t1", Role: "primary", Term: 1, SilentFor: c.silentFor},
			}}
			m.Step(in)
			is.Equal(m.Phase() == Releasing, c.rebalances)
		})
	}
}
