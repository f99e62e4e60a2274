package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/wire"
)

var start = time.Unix(1000, 0)

func held(target string, epoch uint64, primary bool) []wire.HeldTarget {
	return []wire.HeldTarget{{Target: target, Epoch: epoch, Primary: primary}}
}

// Guards against a second holder while the first one may still use its lease.
func TestSeatIsFreeOnlyAfterItsEnd(t *testing.T) {
	is := is.New(t)
	table := NewTable(start, 2, nil)
	is.True(table.Free(start, "db"))
	r := Record{Host: "a", BootID: "1", Epoch: table.NextEpoch()}
	table.Assign(start, "db", r)
	_, ok := table.Renew(start, "db", "b", "1", false)
	is.True(!ok) // another host
	epoch, ok := table.Renew(start, "db", "a", "1", true)
	is.True(ok)
	is.Equal(epoch, r.Epoch)
	is.True(!table.Free(start.Add(ExpiryWait-time.Millisecond), "db"))
	is.True(!table.PrimaryFree(start.Add(ExpiryWait-time.Millisecond), "db"))
	table.Release("db")
	_, ok = table.Renew(start.Add(time.Second), "db", "a", "1", true)
	is.True(!ok) // released
	is.True(table.PrimaryFree(start.Add(ExpiryWait), "db"))
	is.True(table.Free(start.Add(ExpiryWait), "db"))
}

// Guards against a lease that counts as returned because the renewal before its grant didn't name it.
func TestClaim(t *testing.T) {
	is := is.New(t)
	table := NewTable(start, 2, nil)
	table.Assign(start, "db", Record{Host: "a", BootID: "1", Epoch: table.NextEpoch()})
	table.RecordHeld("a", "1", nil)
	is.True(table.Lease("db") != nil) // not granted yet
	epoch, _ := table.Renew(start, "db", "a", "1", true)
	table.RecordHeld("b", "1", nil)
	is.True(table.Lease("db") != nil) // another host's renewal
	table.RecordHeld("a", "1", held("db", epoch, false))
	is.True(table.PrimaryFree(start, "db")) // the holder has released the primary
	is.True(!table.Free(start, "db"))
	table.RecordHeld("a", "1", nil)
	is.True(table.Free(start, "db"))
}

// Guards against a new leader that gives a target away while a lease of its predecessor is valid, and
// against one that waits for a process that is known to be gone.
func TestSeatsOfAnEarlierLeader(t *testing.T) {
	is := is.New(t)
	records := map[string]Record{
		"silent":    {Host: "a", BootID: "1", Epoch: 7},
		"kept":      {Host: "b", BootID: "1", Epoch: 8},
		"restarted": {Host: "c", BootID: "1", Epoch: 9},
		"returned":  {Host: "d", BootID: "1", Epoch: 10},
	}
	table := NewTable(start, 3, records)
	is.True(table.NextEpoch() > 10)
	now := start.Add(ExpiryWait - time.Millisecond)
	table.RecordHeld("b", "1", held("kept", 8, true))
	epoch, ok := table.Renew(now, "kept", "b", "1", true)
	is.True(ok)
	is.Equal(epoch, uint64(8))
	table.ReleaseEarlierProcesses("c", "2")
	table.RecordHeld("d", "1", nil)
	is.True(!table.Free(now, "silent"))
	is.True(!table.PrimaryFree(now, "silent"))
	is.True(!table.Free(now, "kept"))
	is.True(table.Free(now, "restarted"))
	is.True(table.Free(now, "returned"))
	is.True(table.Free(start.Add(ExpiryWait), "silent"))
}

// Guards against targets that all go to one host, or to one that doesn't reach them.
func TestChoose(t *testing.T) {
	is := is.New(t)
	hosts := []Host{
		{Name: "a", Place: "x", Leases: 2},
		{Name: "b", Place: "x", Leases: 1},
		{Name: "c", Place: "y"},
		{Name: "d", Place: "x", Draining: true},
	}
	none := func(string) bool { return false }
	now := start.Add(time.Hour)
	is.Equal(Choose(now, hosts, "x", none).Name, "b")
	is.Equal(Choose(now, hosts, "x", func(h string) bool { return h == "b" }).Name, "a")
	is.Equal(Choose(now, hosts, "z", none).Name, "c")
	is.Equal(Choose(now, hosts, "x", func(string) bool { return true }).Name, "b") // better than none
	is.True(Choose(now, nil, "x", none) == nil)
	is.True(ShouldMove(now, hosts, "c", "x", none))
	is.True(!ShouldMove(now, hosts, "a", "x", none)) // too little to gain
}

// Guards against a target that stays in another place, or goes to a process that has just started,
// because that process has fewer seats than one that has proved itself.
func TestProvenHostsFirst(t *testing.T) {
	is := is.New(t)
	now := start.Add(time.Hour)
	hosts := []Host{
		{Name: "away", Place: "y"},
		{Name: "old", Place: "x", Leases: 2},
		{Name: "new", Place: "x", FirstRenewedAt: now.Add(-hostTrial / 2)},
	}
	none := func(string) bool { return false }
	is.True(ShouldMove(now, hosts, "away", "x", none))
	is.Equal(Choose(now, hosts, "x", none).Name, "old")
	is.True(!ShouldMove(now, hosts[2:], "away", "x", none)) // not yet
	is.Equal(Choose(now, hosts[2:], "x", none).Name, "new")
}
