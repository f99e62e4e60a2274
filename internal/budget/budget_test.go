package budget

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against charges above the limit, a count that drifts from the charges, and an account that is closed in favour
// of another one although it has no charge, is not held by its client, or has held its bytes for a moment only.
func TestCharges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, free = 1000, 50
		b := New(Limits{Bytes: limit, FreeBytes: free})
		accounts := make([]*Account, 6)
		for i := range accounts {
			accounts[i] = b.Open(func() {})
		}
		now := time.Unix(0, 0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			a := rapid.SampledFrom(accounts).Draw(t, "account")
			before := a.bytes
			bytes := int64(rapid.IntRange(0, 1500).Draw(t, "bytes"))
			ok, victim, _ := a.charge(now, bytes, rapid.Bool().Draw(t, "closable"))
			if !ok && a.bytes != before {
				t.Fatalf("a refused charge changed %d to %d", before, a.bytes)
			}
			if !ok && max(0, bytes-free) <= before {
				t.Fatal("a decrease was refused")
			}
			if victim != nil && (victim == a || victim.bytes == 0 || !victim.closable || now.Sub(victim.since) < closeAge) {
				t.Fatalf("closed %+v", victim)
			}
			var sum int64
			for _, a := range accounts {
				sum += a.bytes
			}
			if used, peak := b.Used(); used != sum || used > limit || peak < used {
				t.Fatalf("used %d, sum %d, peak %d", used, sum, peak)
			}
		}
	})
}

// Guards against a message of legal size that a host at rest refuses, and against closing a caller that holds little
// or that has just begun while one holds much for long.
func TestCostliestIsClosed(t *testing.T) {
	is := is.New(t)
	b := New(Limits{Bytes: 100, FreeBytes: 10})
	start := time.Unix(0, 0)
	large, long, ordinary, next := b.Open(nil), b.Open(nil), b.Open(nil), b.Open(nil)
	ok, _, _ := large.charge(start, 5000, false)
	is.True(ok)
	_, _, _ = large.charge(start, 0, false)
	is.True(func() bool { ok, _, _ := ordinary.charge(start, 20, true); return ok }())
	is.True(func() bool { ok, _, _ := long.charge(start, 60, true); return ok }())
	is.True(func() bool { ok, _, _ := large.charge(start.Add(closeAge), 50, true); return ok }())
	ok, victim, freed := next.charge(start.Add(closeAge), 60, true)
	is.True(!ok)
	is.Equal(victim, long)
	_, _, _ = long.charge(start.Add(closeAge), 0, false)
	select {
	case <-freed:
	default:
		t.Fatal("the waiting account was not told that there is room")
	}
	ok, _, _ = next.charge(start.Add(closeAge), 50, true)
	is.True(ok)
}

// Guards against further accounts that are closed although one that was closed before frees enough, and against a closed
// account that takes more memory, or keeps waiting for it with what it holds.
func TestClosedAccounts(t *testing.T) {
	is := is.New(t)
	b := New(Limits{Bytes: 100})
	start := time.Unix(0, 0)
	long, short, next := b.Open(nil), b.Open(nil), b.Open(nil)
	for _, a := range []*Account{long, short} {
		ok, _, _ := a.charge(start, 50, true)
		is.True(ok)
	}
	later := start.Add(closeAge)
	_, victim, _ := next.charge(later, 30, true)
	is.True(victim == long || victim == short)
	_, second, _ := next.charge(later, 30, true)
	is.Equal(second, nil)
	_, second, _ = next.charge(later, 60, true) // more than the closed one frees
	is.True(second != nil && second != victim)

	_, _, _ = second.charge(later, 0, false)
	is.True(!victim.Hold(60, true)) // there is room, but the connection is closed
	is.True(victim.Hold(0, false))
	used, _ := b.Used()
	is.Equal(used, int64(0))
}

// Guards against a wait for memory that outlasts the time that the client gives its request.
func TestWaitEndsBeforeRequest(t *testing.T) {
	is := is.New(t)
	b := New(Limits{Bytes: 100})
	is.True(b.Open(nil).Hold(100, false))
	a := b.Open(nil)
	is.Equal(a.maxWait, WaitLimit)
	a.LimitWait(time.Hour)
	is.Equal(a.maxWait, WaitLimit)
	a.LimitWait(800 * time.Millisecond)
	is.Equal(a.maxWait, 400*time.Millisecond)
	a.LimitWait(time.Nanosecond)
	is.True(!a.Hold(1, false))
}
