package history

import (
	"sync"
	"testing"

	"github.com/matryer/is"
)

// Guards against events lost when callers record concurrently.
func TestRecorderKeepsAllEvents(t *testing.T) {
	is := is.New(t)
	r := NewRecorder()
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			for range 100 {
				r.Add(Event{Start: r.Elapsed()})
			}
		})
	}
	callers.Wait()
	is.Equal(len(r.Events()), 800)
	for _, e := range r.Events() {
		is.True(e.End >= e.Start)
	}
}
