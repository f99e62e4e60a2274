package entry

import (
	"context"
	"sync"

	"github.com/citronrun/citronrun/internal/verdict"
)

// outages coordinates retries while services have no owner: for each service, one caller at a time
// retries its request as a probe. The others wait until a probe is admitted, so that a change of owner
// doesn't use up the retry budget. It is safe for concurrent use.
type outages struct {
	mu        sync.Mutex
	byService map[string]*outage
}

type outage struct {
	waiters int
	probe   chan struct{} // a semaphore: receiving its value grants the probe
	ended   chan struct{} // closed when a probe is admitted
}

func newOutages() *outages { return &outages{byService: map[string]*outage{}} }

// wait blocks until the caller may send a retry, counted from 0, of a request that was refused with
// code. The caller must pass the outcome of the retry to the returned function. It returns nil if ctx
// is done first. For codes other than CodeUnavailable it only waits for the backoff.
func (o *outages) wait(ctx context.Context, service string, retry int, code string) (report func(admitted bool)) {
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

// removeIfUnused removes an outage without waiters and without a probe in flight.
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
