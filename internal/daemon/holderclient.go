package daemon

import (
	"context"
	"sync"

	"github.com/citronrun/citronrun/internal/agent"
	"github.com/citronrun/citronrun/internal/budget"
	"github.com/citronrun/citronrun/internal/gateway"
	"github.com/citronrun/citronrun/internal/holder"
	"github.com/citronrun/citronrun/internal/statement"
	"github.com/citronrun/citronrun/internal/transport"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

// holderClient sends statements to the holders of targets, one of which may be this host.
type holderClient struct {
	host     string
	place    string
	endpoint *transport.Endpoint
	holder   *holder.Manager
	agent    *agent.Agent
}

// Start sends a statement, or the first statement of a block, to the holder of a target. It returns a
// Block only if the statement leaves one open.
func (c *holderClient) Start(ctx context.Context, route wire.TargetRoute, req wire.StatementRequest) (wire.StatementReply, gateway.Block, error) {
	if route.Holder == c.host {
		reply, block := c.holder.Start(ctx, req)
		if block == nil {
			return reply, nil, nil
		}
		return reply, localBlock{block}, nil
	}
	req.Compress = route.Place != c.place // links between places are slow or billed by the byte
	kind := wire.KindStatement
	if req.MaxAge > 0 {
		kind = wire.KindAgedRead
	}
	via := transport.Via{Addr: route.Addr, Relay: c.agent.Relay(route.Addr)}
	heard := c.endpoint.PacketsReceived(via.Relay)
	reply, block, err := c.start(ctx, via, kind, req)
	if err == nil || via.Relay == "" {
		return reply, block, err
	}
	if c.endpoint.PacketsReceived(via.Relay) == heard {
		c.agent.RecordPeerFailure(via.Relay)
	}
	if verdict.Of(err) != verdict.NotRun {
		return reply, block, err
	}
	return c.start(ctx, transport.Via{Addr: route.Addr}, kind, req) // the relay has passed nothing on
}

// start sends a statement, or the first statement of a block, through a relay if one is given.
func (c *holderClient) start(ctx context.Context, via transport.Via, kind wire.Kind, req wire.StatementRequest) (wire.StatementReply, gateway.Block, error) {
	var reply wire.StatementReply
	if !req.StartsBlock {
		err := c.endpoint.CallVia(ctx, via, kind, req, &reply)
		return reply, nil, err
	}
	stream, err := c.endpoint.OpenVia(ctx, via, kind)
	if err != nil {
		return reply, nil, err
	}
	block := &remoteBlock{stream: stream, compress: req.Compress}
	if reply, err = block.exchange(ctx, req); err != nil {
		return reply, nil, err
	}
	if reply.Code != "" || reply.Result.Status == statement.Idle {
		block.Close()
		return reply, nil, nil
	}
	return reply, block, nil
}

// localBlock is an open block at a target that this host holds.
type localBlock struct{ *holder.Block }

// Next runs the next statement of the block.
func (b localBlock) Next(ctx context.Context, req wire.BlockStatementRequest) (wire.StatementReply, error) {
	return b.Block.Next(ctx, req), nil
}

// remoteBlock is an open block at a target that another host holds.
type remoteBlock struct {
	stream    transport.Stream
	compress  bool
	closeOnce sync.Once
}

// Next sends the next statement of the block.
func (b *remoteBlock) Next(ctx context.Context, req wire.BlockStatementRequest) (wire.StatementReply, error) {
	req.Compress = b.compress
	return b.exchange(ctx, req)
}

// exchange sends a request and reads the reply. On an error it resets the stream, and the holder rolls
// an open block back.
func (b *remoteBlock) exchange(ctx context.Context, req any) (wire.StatementReply, error) {
	stop := context.AfterFunc(ctx, b.Close)
	defer stop()
	var reply wire.StatementReply
	err := wire.Write(b.stream, req)
	if err == nil {
		err = wire.Read(b.stream, &reply, wire.MaxMessageBytes+maxReplyOverhead)
	}
	if err == nil {
		return reply, nil
	}
	b.Close()
	if transport.Refused(err) {
		return reply, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the holder of the target refused the statement: %w", err)
	}
	return reply, err
}

// maxReplyOverhead is the size limit in bytes for all of a reply but its rows.
const maxReplyOverhead = 4 << 10

// Close resets the stream; the holder rolls an open block back.
func (b *remoteBlock) Close() { b.closeOnce.Do(b.stream.Reset) }

// serveStatement handles statements that other hosts send for targets held by this host.
func serveStatement(h *holder.Manager, clients *budget.Budget) transport.Handler {
	return func(ctx context.Context, _ string, s transport.Stream) {
		account := clients.Open(s.Reset)
		defer account.Hold(0, false)
		h.Serve(ctx, &chargedStream{stream: s, account: account})
	}
}
