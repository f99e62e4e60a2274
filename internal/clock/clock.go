// Package clock provides the current time through an interface that tests can replace.
package clock

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the current time. Changes of the wall clock don't affect the difference between two of its
// values.
type Clock interface {
	Now() time.Time
}

// System is the operating system's clock.
type System struct{}

// Now returns time.Now().
func (System) Now() time.Time { return time.Now() }

// BootTime is the boot-time clock (CLOCK_BOOTTIME): the time since the host was booted. Unlike System, it
// advances while the host is suspended, so leases expire in time. Its values are unrelated to the time of
// day.
type BootTime struct{}

// Now returns the time since boot, as an offset from the Unix epoch.
func (BootTime) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now() // not expected: Linux has had CLOCK_BOOTTIME since 2.6.39
	}
	return time.Unix(ts.Sec, ts.Nsec)
}

// Fake is a clock that advances only by Advance. It is safe for concurrent use.
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
