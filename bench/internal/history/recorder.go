package history

import (
	"sync"
	"time"
)

// Recorder collects events. It is safe for concurrent use.
type Recorder struct {
	start  time.Time
	mu     sync.Mutex
	events []Event
}

// NewRecorder returns a recorder for a run that starts now.
func NewRecorder() *Recorder {
	return &Recorder{start: time.Now()}
}

// Elapsed returns the monotonic time since the start of the run. Callers use it for Event.Start
// before they send a request, and for Event.End after the response has arrived.
func (r *Recorder) Elapsed() time.Duration {
	return time.Since(r.start)
}

// Add records an event. An End of 0 is replaced by the elapsed time.
func (r *Recorder) Add(e Event) {
	if e.End == 0 {
		e.End = r.Elapsed()
	}
	r.mu.Lock()
	r.events = append(r.events, e)
	r.mu.Unlock()
}

// Events returns a copy of all events recorded so far.
func (r *Recorder) Events() []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]Event(nil), r.events...)
}
