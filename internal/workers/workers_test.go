package workers

import (
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
)

// Guards against functions that wait for the end of others or never run, and against goroutines that remain
// after done is closed.
func TestPool(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(t *testing.T) {
		done := make(chan struct{})
		p := New(2, done)
		var ran atomic.Int64
		block := make(chan struct{})
		for range 10 {
			p.Go(func() { <-block; ran.Add(1) })
		}
		p.Go(func() { close(block) })
		synctest.Wait()
		is.Equal(ran.Load(), int64(10))
		is.Equal(p.idle.Load(), int64(2))
		for range 10 {
			p.Go(func() { ran.Add(1) })
			synctest.Wait()
		}
		is.Equal(ran.Load(), int64(20))
		close(done)
		p.Go(func() { ran.Add(1) })
		synctest.Wait() // synctest fails the test if a goroutine remains
		is.Equal(ran.Load(), int64(21))
		is.Equal(p.idle.Load(), int64(0))
	})
}
