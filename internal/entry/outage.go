package entry

import (
	"context"
	"sync"

	"github.com/citronrun/citronrun/internal/verdict"
)

// outages coordinates the retries of callers during outages. An outage of a service begins when a request is
// refused with CodeUnavailable, for example because the service has no owner or no primary, and ends when a
// retried request is admitted. One caller of the service at a time retries its request, which probes whether
// the outage has ended. The others wait until a probe is admitted, so that an outage doesn't use up the retry
// budget. It is safe for concurrent use.
type outages struct {
	mu        sync.Mutex
	byService map[string]*outage
}

type outage struct {
	waiters int
	probe   chan struct{} // a semaphore: receiving its value permits a probe
	ended   chan struct{} // closed when a probe is admitted
}

func newOutages() *outages { return &outages{byService: map[string]*outage{}} }

// wait blocks until a request that was refused with code may be retried; retries are counted from 0. It
// returns a function that must be called with the outcome of the retry, or nil if ctx was done first. For
// codes other than CodeUnavailable wait only waits for the backoff.
func (o *outages) wait(ctx context.Context, service string, retry int, code string) (endProbe func(admitted bool)) {
	if code != verdict.CodeUnavailable {
		if !sleep(ctx, backoff(retry)) {
			return nil
		}
		return func(bool) {}
	}
	current := o.join(service)
	defer o.leave(service, current)
	select {
	case <-current.ended:
		return func(bool) {}
	case <-current.probe:
	case <-ctx.Done():
		return nil
	}
	if !sleep(ctx, backoff(retry)) {
		current.probe <- struct{}{}
		return nil
	}
	return func(admitted bool) {
		if admitted {
			o.end(service, current)
			return
		}
		current.probe <- struct{}{}
		o.removeIfUnused(service, current)
	}
}

func (o *outages) join(service string) *outage {
	o.mu.Lock()
	defer o.mu.Unlock()
	current := o.byService[service]
	if current == nil {
		current = &outage{probe: make(chan struct{}, 1), ended: make(chan struct{})}
		current.probe <- struct{}{}
		o.byService[service] = current
	}
	current.waiters++
	return current
}

func (o *outages) leave(service string, current *outage) {
	o.mu.Lock()
	current.waiters--
	o.mu.Unlock()
	o.removeIfUnused(service, current)
}

// removeIfUnused removes an outage that has no waiters and no probe in flight.
func (o *outages) removeIfUnused(service string, current *outage) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if current.waiters == 0 && o.byService[service] == current && len(current.probe) == 1 {
		delete(o.byService, service)
	}
}

// end removes an outage and releases its waiters.
func (o *outages) end(service string, current *outage) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byService[service] == current {
		delete(o.byService, service)
	}
	close(current.ended)
}
