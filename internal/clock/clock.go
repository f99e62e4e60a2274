// Package clock lets drivers read the time through an interface that tests replace.
package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock reads the current time. Values carry the monotonic clock reading, so that differences are
// not affected by changes of the wall clock.
type Clock interface {
	Now() time.Time
}

// System is the operating system's clock.
type System struct{}

// Now returns time.Now().
func (System) Now() time.Time { return time.Now() }

// BootTime is the time since the machine's start. Unlike System it goes on while the machine is suspended, so
// that leases end in time. Its values have no relation to the time of day.
type BootTime struct{}

// Now returns the time since the start of the machine, as a time after the Unix epoch.
func (BootTime) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now() // Linux has had this clock since 2.6.39
	}
	return time.Unix(ts.Sec, ts.Nsec)
}

// Fake is a clock that moves only when told to. It is safe for concurrent use.
type Fake struct {
	mu  sync.Mutex
	now time.Time
}

// NewFake returns a fake clock that starts at now.
func NewFake(now time.Time) *Fake { return &Fake{now: now} }

// Now returns the fake time.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Advance moves the clock forward by d.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
}
