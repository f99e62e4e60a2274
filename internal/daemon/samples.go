package daemon

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/citronrun/citronrun/internal/agent"
	"github.com/citronrun/citronrun/internal/holder"
	"github.com/citronrun/citronrun/internal/transport"
	"github.com/citronrun/citronrun/internal/wire"
)

// sampleCallTimeout bounds a request for a sample to one host.
const sampleCallTimeout = 150 * time.Millisecond

// sampleClient fetches position samples from the holders of a service's targets, one of which may be this host.
type sampleClient struct {
	host     string
	agent    *agent.Agent
	endpoint *transport.Endpoint
	holder   func() *holder.Manager
}

// FetchSample returns a position sample of a service: the newest one from the holder of its primary, or the first that a
// holder of a replica knows. A sample stays true after the primary that it is from.
func (c *sampleClient) FetchSample(ctx context.Context, service string) (wire.Sample, error) {
	var replicas []wire.TargetRoute
	var failures error
	for _, route := range c.agent.Targets().Service(service) {
		switch {
		case route.Holder == "":
		case !route.Primary:
			replicas = append(replicas, route)
		default:
			sample, err := c.fetchFrom(ctx, route)
			if err == nil {
				return sample, nil
			}
			failures = errors.Join(failures, err)
		}
	}
	for _, route := range replicas {
		if route.Holder == c.host {
			continue // this host would have used it
		}
		sample, err := c.fetchFrom(ctx, route)
		if err == nil {
			return sample, nil
		}
		failures = errors.Join(failures, err)
	}
	return wire.Sample{}, fmt.Errorf("no holder of service %q has a sample: %w", service, failures)
}

// fetchFrom returns the newest sample that the holder of a target knows.
func (c *sampleClient) fetchFrom(ctx context.Context, route wire.TargetRoute) (wire.Sample, error) {
	query := wire.SampleQuery{Target: route.Target, Service: route.Service}
	reply := wire.SampleReply{}
	if route.Holder == c.host {
		reply = sampleReply(c.holder(), query)
	} else {
		ctx, cancel := context.WithTimeout(ctx, sampleCallTimeout)
		defer cancel()
		if err := c.endpoint.Call(ctx, route.Addr, wire.KindSample, query, &reply); err != nil {
			return wire.Sample{}, err
		}
	}
	if reply.Sample == nil {
		return wire.Sample{}, fmt.Errorf("the holder of target %q has no sample", route.Target)
	}
	return *reply.Sample, nil
}

func sampleReply(h *holder.Manager, query wire.SampleQuery) wire.SampleReply {
	if sample, ok := h.Sample(query.Target, query.Service); ok {
		return wire.SampleReply{Sample: &sample}
	}
	return wire.SampleReply{}
}

// serveSample handles requests of other hosts for samples of the services whose targets this host holds.
func serveSample(h *holder.Manager) transport.Handler {
	return func(_ context.Context, _ string, s transport.Stream) {
		var query wire.SampleQuery
		if err := wire.Read(s, &query, wire.MaxMessageBytes); err != nil {
			s.Reset()
			return
		}
		if err := wire.Write(s, sampleReply(h, query)); err != nil {
			s.Reset()
		}
	}
}
