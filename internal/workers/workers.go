// Package workers reuses goroutines for short functions, so that the stacks that they have grown are
// not copied again for each function.
package workers

import "sync/atomic"

// Pool runs functions. The zero value isn't usable.
type Pool struct {
	jobs chan func()
	done <-chan struct{}
	idle atomic.Int64
	max  int64
}

// New returns a pool that keeps up to maxIdle idle goroutines until done is closed.
func New(maxIdle int, done <-chan struct{}) *Pool {
	return &Pool{jobs: make(chan func()), done: done, max: int64(maxIdle)}
}

// Go runs f in an idle goroutine, or in a new one if there is none. It doesn't block.
func (p *Pool) Go(f func()) {
	select {
	case p.jobs <- f:
	default:
		go p.work(f)
	}
}

func (p *Pool) work(f func()) {
	for {
		f()
		if p.idle.Add(1) > p.max {
			p.idle.Add(-1)
			return
		}
		select {
		case f = <-p.jobs:
			p.idle.Add(-1)
		case <-p.done:
			p.idle.Add(-1)
			return
		}
	}
}
