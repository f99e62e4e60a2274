// Package workers runs short functions on reused goroutines. Their stacks have already grown, which saves
// copying the stack for each function.
package workers

import "sync/atomic"

// Pool keeps idle goroutines that run functions. Use New to create one.
type Pool struct {
	jobs    chan func() // unbuffered: a send succeeds only if a goroutine is idle
	done    <-chan struct{}
	idle    atomic.Int64 // number of idle goroutines
	maxIdle int64
}

// New returns a pool that keeps at most maxIdle idle goroutines. They end when done is closed.
func New(maxIdle int, done <-chan struct{}) *Pool {
	return &Pool{jobs: make(chan func()), done: done, maxIdle: int64(maxIdle)}
}

// Go runs f on an idle goroutine, or on a new one if none is idle. It does not block.
func (p *Pool) Go(f func()) {
	select {
	case p.jobs <- f:
	default:
		go p.runWorker(f)
	}
}

// runWorker runs f and then the functions that Go passes to it, until there are maxIdle other idle workers or
// done is closed.
func (p *Pool) runWorker(f func()) {
	for {
		f()
		if p.idle.Add(1) > p.maxIdle {
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
