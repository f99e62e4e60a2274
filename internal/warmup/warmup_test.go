package warmup

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against a second with more statements at a cold target than it bears: the load is a crowd that returns to a target
// whose state changes in any order of reports, restarts and changes of its holder.
func TestNoSecondAboveLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 20).Draw(t, "limit")
		now := time.Unix(1000, 0)
		start := now
		coldUntil := now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "cold_ms")) * time.Millisecond)
		var restartedAt time.Time
		l := New(now)
		l.Record(now, limit, Report{})
		var sent []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 30).Draw(t, "event") {
			case 0: // a report arrives that the target has made up to ReportDelay ago
				madeAt := now.Add(-time.Duration(rapid.IntRange(0, 1000).Draw(t, "delay_ms")) * time.Millisecond)
				r := Report{At: now, Remaining: max(0, coldUntil.Sub(madeAt))}
				if madeAt.Before(restartedAt) {
					r.Remaining = 0 // said by the process before
				}
				l.Record(now, limit, r)
			case 1: // the target restarts
				l.RecordUncertain(now)
				restartedAt, coldUntil = now, now.Add(3*time.Second)
			case 2: // another host becomes the holder
				l = New(now)
				l.Record(now, limit, Report{})
			}
			if !l.Admit(now) {
				continue
			}
			sent = append(sent, now)
			if !now.Before(coldUntil) {
				continue
			}
			inWindow := 0
			for _, s := range sent {
				if now.Sub(s) <= Window {
					inWindow++
				}
			}
			if inWindow > limit {
				t.Fatalf("%d statements within a second, %s after the start, want at most %d", inWindow, now.Sub(start), limit)
			}
		}
	})
}

// Guards against a target that stays limited although it is warm, and against new work that leaves no room for open blocks.
func TestRoom(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	l := New(now)
	is.True(l.Admit(now)) // no limit is known: the service has none
	l.Record(now, 8, Report{})
	is.True(!l.HasRoom(now) && !l.Admit(now)) // an earlier holder may have used this second
	now = now.Add(Window + 2*windowMargin)
	for range 6 {
		is.True(l.HasRoom(now) && l.Admit(now))
	}
	is.True(!l.HasRoom(now))
	is.True(l.Admit(now))
	is.True(l.Admit(now))
	is.True(!l.Admit(now))
	l.Record(now, 8, Report{At: now})
	for range 100 {
		is.True(l.HasRoom(now) && l.Admit(now))
	}
	l.RecordUncertain(now)
	is.True(!l.Admit(now))
	l.Record(now, 8, Report{At: now.Add(ReportDelay)})
	is.True(l.Admit(now))
}
