package entry

import (
	"context"
	"sync"

	"github.com/citronrun/citronrun/internal/verdict"
)

// outages lets one caller at a time ask whether a service has an owner again. The others wait, so
// that a change of owner doesn't use up the retry budget. It is safe for concurrent use.
type outages struct {
	mu        sync.Mutex
	byService map[string]*outage
}

type outage struct {
	waiters int
	probe   chan struct{} // holds a value while nobody probes
	over    chan struct{} // closed once a probe was admitted
}

func newOutages() *outages { return &outages{byService: map[string]*outage{}} }

// wait returns when the caller may send retry n, counted from 0, of a request that was refused with
// code; it returns nil when ctx ended first. The caller reports the outcome through the function
// returned. Refusals other than for a missing owner only pause.
func (o *outages) wait(ctx context.Context, service string, n int, code string) (report func(admitted bool)) {
	if code != verdict.CodeUnavailable {
		if !pause(ctx, backoff(n)) {
			return nil
		}
		return func(bool) {}
	}
	out := o.join(service)
	defer o.leave(service, out)
	select {
	case <-out.over:
		return func(bool) {}
	case <-out.probe:
	case <-ctx.Done():
		return nil
	}
	if !pause(ctx, backoff(n)) {
		out.probe <- struct{}{}
		return nil
	}
	return func(admitted bool) {
		if admitted {
			o.end(service, out)
			return
		}
		out.probe <- struct{}{}
		o.forget(service, out)
	}
}

func (o *outages) join(service string) *outage {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := o.byService[service]
	if out == nil {
		out = &outage{probe: make(chan struct{}, 1), over: make(chan struct{})}
		out.probe <- struct{}{}
		o.byService[service] = out
	}
	out.waiters++
	return out
}

func (o *outages) leave(service string, out *outage) {
	o.mu.Lock()
	out.waiters--
	o.mu.Unlock()
	o.forget(service, out)
}

// forget drops an outage that nobody waits for or probes.
func (o *outages) forget(service string, out *outage) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if out.waiters == 0 && o.byService[service] == out && len(out.probe) == 1 {
		delete(o.byService, service)
	}
}

// end releases all waiters.
func (o *outages) end(service string, out *outage) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byService[service] == out {
		delete(o.byService, service)
	}
	close(out.over)
}
