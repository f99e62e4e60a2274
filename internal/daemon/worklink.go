package daemon

import (
	"context"
	"sync"

	"github.com/citronrun/citronrun/internal/gateway"
	"github.com/citronrun/citronrun/internal/holder"
	"github.com/citronrun/citronrun/internal/statement"
	"github.com/citronrun/citronrun/internal/transport"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

// workLink sends work to the holders of targets, one of which may be this host.
type workLink struct {
	host     string
	place    string
	endpoint *transport.Endpoint
	holder   *holder.Manager
}

// Start sends a statement, or the first statement of a block, to the holder of a target.
func (l *workLink) Start(ctx context.Context, route wire.TargetRoute, w wire.StatementRequest) (wire.StatementReply, gateway.Block, error) {
	if route.Holder == l.host {
		reply, b := l.holder.Start(ctx, w)
		if b == nil {
			return reply, nil, nil
		}
		return reply, localBlock{b}, nil
	}
	w.Compress = route.Place != l.place // links between places are slow or paid for by the byte
	var reply wire.StatementReply
	if !w.StartsBlock {
		err := l.endpoint.Call(ctx, route.Addr, wire.KindStatement, w, &reply)
		return reply, nil, err
	}
	s, err := l.endpoint.Open(ctx, route.Addr, wire.KindStatement)
	if err != nil {
		return reply, nil, err
	}
	b := &remoteBlock{stream: s, compress: w.Compress}
	if reply, err = b.exchange(ctx, w); err != nil {
		return reply, nil, err
	}
	if reply.Code != "" || reply.Result.Status == statement.Idle {
		b.Close()
		return reply, nil, nil
	}
	return reply, b, nil
}

// localBlock is a block at a target that this host holds.
type localBlock struct{ *holder.Block }

// Next runs a further statement of the block.
func (b localBlock) Next(ctx context.Context, n wire.BlockStatementRequest) (wire.StatementReply, error) {
	return b.Block.Next(ctx, n), nil
}

// remoteBlock is a stream to the holder of a target.
type remoteBlock struct {
	stream   transport.Stream
	compress bool
	once     sync.Once
}

// Next sends a further statement of the block.
func (b *remoteBlock) Next(ctx context.Context, n wire.BlockStatementRequest) (wire.StatementReply, error) {
	n.Compress = b.compress
	return b.exchange(ctx, n)
}

// exchange sends a message and reads its answer. After an error the stream is reset, and the holder
// rolls an open block back.
func (b *remoteBlock) exchange(ctx context.Context, message any) (wire.StatementReply, error) {
	stop := context.AfterFunc(ctx, b.Close)
	defer stop()
	var reply wire.StatementReply
	err := wire.Write(b.stream, message)
	if err == nil {
		err = wire.Read(b.stream, &reply, wire.MaxMessageBytes+maxReplyOverhead)
	}
	if err == nil {
		return reply, nil
	}
	b.Close()
	if transport.Refused(err) {
		return reply, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "refused by the holder of the target: %w", err)
	}
	return reply, err
}

// maxReplyOverhead is the room in an answer for what isn't rows.
const maxReplyOverhead = 4 << 10

// Close ends the stream; the holder rolls an open block back.
func (b *remoteBlock) Close() { b.once.Do(b.stream.Reset) }

// serveWork handles statements that other hosts send for held targets.
func serveWork(h *holder.Manager) transport.Handler {
	return func(ctx context.Context, _ string, s transport.Stream) { h.Serve(ctx, s) }
}
