package owner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a context that doesn't end at its deadline or with its parent, with and without a
// call of Done.
func TestLazyTimeout(t *testing.T) {
	is := is.New(t)
	synctest.Test(t, func(t *testing.T) {
		for _, waits := range []bool{false, true} {
			parent, cancel := context.WithCancel(context.Background())
			c := withLazyTimeout(parent, time.Second)
			is.NoErr(c.Err())
			if waits {
				<-c.Done()
			} else {
				time.Sleep(time.Second)
			}
			is.Equal(c.Err(), context.DeadlineExceeded)
			c.stop()

			c = withLazyTimeout(parent, time.Second)
			cancel()
			if waits {
				<-c.Done()
			}
			is.Equal(c.Err(), context.Canceled)
			c.stop()
		}
	})
}
