// Package contain limits a panic to the request or connection that caused it.
//
// A handler that only has state of its own ends alone: Recover logs its panic with the stack and counts it. Code that changes
// state which others rely on runs in Whole: its panic ends the process, because the state may be half changed, and the
// process recovers as after a crash.
package contain

import (
	"fmt"
	"runtime/debug"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// partialChange is the panic of a function that ran in Whole.
type partialChange struct {
	value any
	stack []byte
}

// Error returns the cause and its stack, for the message with which the process ends.
func (p partialChange) Error() string { return fmt.Sprintf("%v\n\n%s", p.value, p.stack) }

// Whole runs f, whose panic Recover lets through.
func Whole(f func()) {
	defer func() {
		if p := recover(); p != nil {
			panic(partialChange{value: p, stack: debug.Stack()})
		}
	}()
	f()
}

// Recover has to be deferred by the goroutine of one request or connection. It ends a panic, unless it comes from Whole.
// part names the component in logs and metrics; then, if not nil, runs after a panic.
func Recover(logger log.Logger, part string, then func()) {
	p := recover()
	if p == nil {
		return
	}
	if _, partial := p.(partialChange); partial {
		panic(p)
	}
	metrics.GetOrCreateCounter(`citron_panics_total{part="` + part + `"}`).Inc()
	_ = level.Error(logger).Log("msg", "panic contained", "part", part, "err", fmt.Sprint(p), "stack", string(debug.Stack()))
	if then != nil {
		then()
	}
}
