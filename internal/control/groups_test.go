package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/placement"
)

func registerCommand(target, addr string, born uint64) command {
	return command{Register: &register{Service: "s", Target: target, Member: GroupMember{Addr: addr, Place: "x", Slots: 2, StartedMs: born}}}
}

// Guards against statements that reach a process which has taken over the address of another one.
func TestAddressBelongsToTheLatestProcess(t *testing.T) {
	is := is.New(t)
	m := newTestMachine(t)
	is.Equal(apply(t, m, 1, registerCommand("a", "1.1.1.1:1", 100)), nil)
	is.Equal(apply(t, m, 2, registerCommand("b", "1.1.1.1:1", 200)), nil)
	is.Equal(len(m.Group("s").Members), 1)
	is.Equal(apply(t, m, 3, registerCommand("a", "1.1.1.1:1", 100)), errNewer) // a late registration
	is.Equal(apply(t, m, 4, registerCommand("b", "1.1.1.1:1", 150)), errNewer) // of an earlier process
	is.Equal(apply(t, m, 5, command{Unregister: &unregister{Service: "s", Target: "b", Born: 150}}), errNewer)
	is.Equal(apply(t, m, 6, command{Unregister: &unregister{Service: "s", Target: "b", Born: 200}}), nil)
	is.Equal(len(m.Group("s").Members), 0)
}

// Guards against two orders with one fencing token, an outcome of an order that was replaced, and
// commands of a leader that has a successor.
func TestFencingTokens(t *testing.T) {
	is := is.New(t)
	m := newTestMachine(t)
	is.Equal(apply(t, m, 1, command{Barrier: &barrier{Term: 5}}), nil)
	is.Equal(apply(t, m, 2, command{Outcome: &outcome{Leader: 5, Service: "s", Target: "a"}}), nil)
	is.Equal(m.Group("s").Primary, "a")
	is.Equal(apply(t, m, 3, command{Order: &order{Leader: 5, Service: "s", Token: 1, Target: "b"}}), nil)
	is.Equal(apply(t, m, 4, command{Order: &order{Leader: 5, Service: "s", Token: 1, Target: "c"}}), errStale)
	is.Equal(apply(t, m, 5, command{Order: &order{Leader: 5, Service: "s", Token: 2, Target: "c"}}), nil)
	is.Equal(apply(t, m, 6, command{Outcome: &outcome{Leader: 5, Service: "s", Token: 1, Target: "b"}}), errStale)
	is.Equal(apply(t, m, 7, command{Outcome: &outcome{Leader: 5, Service: "s", Token: 2, Target: "b"}}), errStale)
	is.Equal(m.Group("s").Primary, "a")
	is.Equal(apply(t, m, 8, command{Barrier: &barrier{Term: 6}}), nil)
	is.Equal(apply(t, m, 9, command{Outcome: &outcome{Leader: 5, Service: "s", Token: 2, Target: "c"}}), errStale)
	is.Equal(apply(t, m, 10, command{Outcome: &outcome{Leader: 6, Service: "s", Token: 2, Target: "c"}}), nil)
	is.Equal(m.Group("s"), Group{Primary: "c", Token: 2, Members: map[string]GroupMember{}})
}

// Guards against a snapshot that forgets who may hold a lease, or an order that is pending.
func TestSnapshotKeepsGroups(t *testing.T) {
	is := is.New(t)
	m := newTestMachine(t)
	is.Equal(apply(t, m, 1, command{Barrier: &barrier{Term: 5}}), nil)
	is.Equal(apply(t, m, 2, registerCommand("a", "1.1.1.1:1", 100)), nil)
	r := placement.Record{Host: "h", BootID: "1", Epoch: 9}
	is.Equal(apply(t, m, 3, command{Seat: &seat{Leader: 5, Target: "a", Record: r}}), nil)
	is.Equal(apply(t, m, 4, command{Seat: &seat{Leader: 5, Target: "a", Record: r}}), errStale) // same epoch
	is.Equal(apply(t, m, 5, command{Order: &order{Leader: 5, Service: "s", Token: 1, Target: "a"}}), nil)
	data, err := m.Snapshot()
	is.NoErr(err)
	restored := newTestMachine(t)
	is.NoErr(restored.Restore(data))
	is.Equal(restored.Group("s"), m.Group("s"))
	is.Equal(restored.TargetHolders(), m.TargetHolders())
	is.Equal(apply(t, restored, 6, command{Unregister: &unregister{Service: "s", Target: "a", Born: 100}}), nil)
	is.Equal(len(restored.TargetHolders()), 0)
}

// Guards against a lost primary that the leader takes for well until the next holder has noticed, and
// against a promotion because only the holder or only the registrations are missing.
func TestPrimaryLostWithItsHolder(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	lead := newLeader(start, 1, true)
	lead.seats.Assign(start, "db", placement.Record{Host: "h", BootID: "1", Epoch: 1})
	lead.hosts["h"] = &host{boot: "1", seen: start}
	lead.registered["db"] = &registered{seen: start}
	is.True(!lead.unheard(start.Add(registrationDue-1), "db"))
	now := start.Add(registrationDue)
	is.True(lead.unheard(now, "db"))
	lead.hosts["h"].seen = now
	is.True(!lead.unheard(now, "db"))
	lead.hosts["h"].seen = start
	lead.registered["db"].seen = now
	is.True(!lead.unheard(now, "db"))
}
