package catalog

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/citronrun/citronrun/internal/wire"
)

func putTeam(name string, labels map[string]string) Op {
	return Op{PutTeam: &PutTeam{Name: name, Labels: labels, Salt: make([]byte, minSaltBytes), Iterations: minIterations}}
}

func grant(team, id string) Op {
	k := Key{StoredKey: make([]byte, verifierKeyBytes), ServerKey: make([]byte, verifierKeyBytes)}
	return Op{GrantKey: &GrantKey{Team: team, ID: id, Key: k}}
}

func accept(t *testing.T, m *Machine, ops ...Op) {
	t.Helper()
	rev := m.Catalog().Revision
	r := m.Apply(Change{ID: fmt.Sprint("setup-", rev), Base: rev, Ops: ops})
	if r.Code != CodeAccepted {
		t.Fatalf("setup refused: %+v", r)
	}
}

// Guards against two operators with equal revisions both being told that they won, and against a
// resend that is applied twice or gets another answer, also after a snapshot.
func TestRaceAndResend(t *testing.T) {
	is := is.New(t)
	m := NewMachine()
	first := Change{ID: "a", Base: 0, Ops: []Op{putTeam("desk", nil)}}
	second := Change{ID: "b", Base: 0, Ops: []Op{putTeam("clinic", nil)}}
	won := m.Apply(first)
	is.Equal(won, Result{Code: CodeAccepted, Revision: 1})
	lost := m.Apply(second)
	is.Equal(lost.Code, CodeConflict)
	is.Equal(lost.Revision, uint64(1)) // the loser learns the current revision

	accept(t, m, putTeam("crews", nil))
	data, err := m.Encode()
	is.NoErr(err)
	restored, err := DecodeMachine(data)
	is.NoErr(err)
	is.Equal(restored.Apply(first), won)
	is.Equal(restored.Apply(second), lost)
	is.Equal(restored.Catalog().Revision, uint64(2))
}

// Guards against a change that is reported as accepted although another operator's change used its
// id, and against a resend of a new team that fails because its salt was drawn anew.
func TestReusedID(t *testing.T) {
	is := is.New(t)
	m := NewMachine()
	change := Change{ID: "1", Base: 0, Ops: []Op{putTeam("desk", nil)}}
	is.Equal(m.Apply(change).Code, CodeAccepted)
	other := Change{ID: "1", Base: 0, Ops: []Op{putTeam("clinic", nil)}}
	is.Equal(m.Apply(other).Code, CodeInvalid)
	resend := Change{ID: "1", Base: 0, Ops: []Op{putTeam("desk", nil)}}
	resend.Ops[0].PutTeam.Salt = []byte("another salt of 20 b")
	is.Equal(m.Apply(resend).Code, CodeAccepted)
	is.Equal(m.Catalog().Revision, uint64(1))
}

// Guards against a change that is applied in part, and against unclear refusals.
func TestInvalidChangeIsRefusedWhole(t *testing.T) {
	cases := map[string]struct {
		op    Op
		field string
	}{
		"name":      {putTeam("No Spaces", nil), "ops[1].put_team.name"},
		"label":     {putTeam("b", map[string]string{"x y": "z"}), "ops[1].put_team.labels"},
		"selector":  {Op{PutPolicy: &PutPolicy{Name: "p", Policy: Policy{Teams: "a in ("}}}, "ops[1].put_policy.policy.teams"},
		"reads":     {Op{PutPolicy: &PutPolicy{Name: "p", Policy: Policy{Reads: "old"}}}, "ops[1].put_policy.policy.reads"},
		"age":       {Op{PutPolicy: &PutPolicy{Name: "p", Policy: Policy{Reads: ReadsMaxAge}}}, "ops[1].put_policy.policy.max_age"},
		"burst":     {Op{PutPolicy: &PutPolicy{Name: "p", Policy: Policy{Rate: 5}}}, "ops[1].put_policy.policy.burst"},
		"service":   {Op{PutService: &PutService{Name: "s", Service: Service{Databases: 0, Slots: 1, Connections: 1}}}, "ops[1].put_service.service.databases"},
		"unknown":   {grant("nobody", "k"), "ops[1].grant_key.team"},
		"none":      {Op{}, "ops[1]."},
		"two":       {Op{DeleteTeam: "a", DeleteService: "b"}, "ops[1]."},
		"no target": {Op{SetLabels: &SetLabels{Kind: "host", Name: "h"}}, "ops[1].set_labels.kind"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := NewMachine()
			r := m.Apply(Change{ID: "x", Ops: []Op{putTeam("ok", nil), c.op}})
			is.Equal(r.Code, CodeInvalid)
			is.Equal(r.Field, c.field)
			is.Equal(m.Catalog().Revision, uint64(0))
			is.Equal(len(m.Catalog().Teams), 0) // the valid first operation left no trace
		})
	}
}

// Guards against a withdrawn key that comes back and against revisions of a published catalog that
// change under its readers.
func TestWithdrawnKeyStaysWithdrawn(t *testing.T) {
	is := is.New(t)
	m := NewMachine()
	accept(t, m, putTeam("desk", nil), grant("desk", "k1"))
	before, err := NewSnapshot(m.Catalog())
	is.NoErr(err)
	accept(t, m, Op{WithdrawKey: &WithdrawKey{Team: "desk", ID: "k1"}})
	after, err := NewSnapshot(m.Catalog())
	is.NoErr(err)
	is.True(before.KeyValid("desk", "k1"))
	is.True(!after.KeyValid("desk", "k1"))
	r := m.Apply(Change{ID: "again", Base: m.Catalog().Revision, Ops: []Op{grant("desk", "k1")}})
	is.Equal(r.Code, CodeInvalid)
}

// Guards against policies that depend on map order, and against the wrong one of two that match.
func TestRulesFollowPriorityThenName(t *testing.T) {
	is := is.New(t)
	m := NewMachine()
	accept(t, m,
		putTeam("inspectors", map[string]string{"reads": "stale"}),
		putTeam("clerks", nil),
		Op{PutService: &PutService{Name: "repair", Service: Service{Labels: map[string]string{"public": "yes"}, Databases: 3, Slots: 2, Connections: 16}}},
		Op{PutPolicy: &PutPolicy{Name: "a-default", Policy: Policy{Share: 1, Rate: 10, Burst: 20}}},
		Op{PutPolicy: &PutPolicy{Name: "b-default", Policy: Policy{Share: 9}}},
		Op{PutPolicy: &PutPolicy{Name: "z-stale", Policy: Policy{Priority: 5, Teams: "reads=stale", Reads: ReadsMaxAge, MaxAge: Duration(time.Minute), Share: 3}}},
		Op{PutPolicy: &PutPolicy{Name: "open", Policy: Policy{Services: "public=yes", Open: true}}},
	)
	s, err := NewSnapshot(m.Catalog())
	is.NoErr(err)
	is.Equal(s.EffectivePolicy("inspectors", "repair"), EffectivePolicy{Mode: wire.ReadMaxAge, MaxAge: time.Minute, Share: 3})
	is.Equal(s.EffectivePolicy("clerks", "repair"), EffectivePolicy{Share: 1})
	rate, burst := s.RateLimit("clerks")
	is.Equal(rate, 10.0)
	is.Equal(burst, 20.0)
	is.True(s.IsOpen("repair"))
	is.True(!s.IsOpen("rota"))
}

// Guards against members of the replicated log that decide differently on the same changes, and
// against revisions that move by anything but one per accepted change.
func TestMachineIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewMachine(), NewMachine()
		for i := range rapid.IntRange(1, 60).Draw(t, "changes") {
			c := Change{
				ID:   fmt.Sprint(rapid.IntRange(0, 40).Draw(t, "id")),
				Base: uint64(rapid.IntRange(0, 12).Draw(t, "base")),
				Ops:  []Op{putTeam(fmt.Sprint("t", rapid.IntRange(0, 3).Draw(t, "team")), nil)},
			}
			before := a.Catalog().Revision
			ra, rb := a.Apply(c), b.Apply(c)
			if ra != rb {
				t.Fatalf("change %d: %+v and %+v", i, ra, rb)
			}
			if after := a.Catalog().Revision; after != before && after != before+1 {
				t.Fatalf("revision went from %d to %d", before, after)
			}
			if i%7 == 0 {
				b = reencode(t, b)
			}
		}
	})
}

func reencode(t *rapid.T, m *Machine) *Machine {
	data, err := m.Encode()
	if err != nil {
		t.Fatal(err)
	}
	out, err := DecodeMachine(data)
	if err != nil {
		t.Fatal(err)
	}
	return out
}
