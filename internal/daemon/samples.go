package daemon

import (
	"context"
	"fmt"

	"github.com/citronrun/citronrun/internal/agent"
	"github.com/citronrun/citronrun/internal/holder"
	"github.com/citronrun/citronrun/internal/transport"
	"github.com/citronrun/citronrun/internal/wire"
)

// sampleClient fetches position samples from the holders of primaries, one of which may be this host.
type sampleClient struct {
	host     string
	agent    *agent.Agent
	endpoint *transport.Endpoint
	holder   func() *holder.Manager
}

// FetchSample returns the newest position sample of a service from the holder of its primary.
func (c *sampleClient) FetchSample(ctx context.Context, service string) (wire.Sample, error) {
	for _, route := range c.agent.Targets().Service(service) {
		if !route.Primary || route.Holder == "" {
			continue
		}
		if route.Holder == c.host {
			return sampleOf(c.holder(), route.Target)
		}
		var reply wire.SampleReply
		if err := c.endpoint.Call(ctx, route.Addr, wire.KindSample, wire.SampleQuery{Target: route.Target}, &reply); err != nil {
			return wire.Sample{}, err
		}
		if reply.Sample == nil {
			return wire.Sample{}, fmt.Errorf("the holder of target %q has no sample", route.Target)
		}
		return *reply.Sample, nil
	}
	return wire.Sample{}, fmt.Errorf("the primary of service %q has no holder", service)
}

func sampleOf(h *holder.Manager, target string) (wire.Sample, error) {
	sample, ok := h.Sample(target)
	if !ok {
		return wire.Sample{}, fmt.Errorf("target %q has no sample", target)
	}
	return sample, nil
}

// serveSample handles requests of other hosts for samples of primaries that this host holds.
func serveSample(h *holder.Manager) transport.Handler {
	return func(_ context.Context, _ string, s transport.Stream) {
		var query wire.SampleQuery
		if err := wire.Read(s, &query, wire.MaxMessageBytes); err != nil {
			s.Reset()
			return
		}
		var reply wire.SampleReply
		if sample, ok := h.Sample(query.Target); ok {
			reply.Sample = &sample
		}
		if err := wire.Write(s, reply); err != nil {
			s.Reset()
		}
	}
}
