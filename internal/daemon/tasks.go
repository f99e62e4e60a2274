package daemon

import (
	"context"
	"sync"
)

// taskGroup is a sync.WaitGroup whose Wait can be canceled.
type taskGroup struct{ wg sync.WaitGroup }

// Go runs f in a goroutine of the group.
func (g *taskGroup) Go(f func()) { g.wg.Go(f) }

// Wait returns when all goroutines have ended or ctx ends.
func (g *taskGroup) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		g.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}
