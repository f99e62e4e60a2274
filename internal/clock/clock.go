// Package clock lets drivers read the time through an interface that tests replace.
package clock

import (
	"sync"
	"time"
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
