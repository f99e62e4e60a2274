package daemon

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/citronrun/citronrun/internal/transport"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

// routeTable looks up the owner of a service.
type routeTable interface {
	Route(service string) (wire.Route, bool)
}

// localOwner serves transactions of services that this host owns.
type localOwner interface {
	Begin(ctx context.Context, req wire.TxRequest, first []byte) (io.ReadWriteCloser, error)
	Serve(ctx context.Context, req wire.TxRequest, stream io.ReadWriteCloser)
	ServeCancel(c wire.Cancel)
}

// transactor opens transactions at the owner of a service: over QUIC, or in process when this host
// is the owner.
type transactor struct {
	host     string
	routes   routeTable
	endpoint *transport.Endpoint
	owner    localOwner
}

// Begin sends the request and the first PostgreSQL frames to the owner and waits for admission.
// The returned stream carries the further frames. Errors are *verdict.Error.
func (t *transactor) Begin(ctx context.Context, req wire.TxRequest, first []byte) (io.ReadWriteCloser, error) {
	route, ok := t.routes.Route(req.Service)
	if !ok || route.Owner == "" {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "service %q has no owner at the moment", req.Service)
	}
	req.Epoch = route.Epoch
	if route.Owner != t.host {
		return t.beginRemote(ctx, route.Addr, req, first)
	}
	if req.RequestKey == "" || req.ReadOnly {
		return t.owner.Begin(ctx, req, first)
	}
	return t.beginKeyed(ctx, req, first)
}

// beginKeyed serves a write with a request key at this host. The owner runs it in one
// transaction with a row that holds its outcome, so it can't join an open transaction.
func (t *transactor) beginKeyed(ctx context.Context, req wire.TxRequest, first []byte) (io.ReadWriteCloser, error) {
	callerEnd, ownerEnd := newPipe()
	if _, err := callerEnd.Write(first); err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "write to the local stream: %w", err)
	}
	// The transaction outlives this call; closing callerEnd ends it.
	go t.owner.Serve(context.WithoutCancel(ctx), req, ownerEnd)
	return awaitReply(ctx, callerEnd, func() { _ = callerEnd.Close() })
}

func (t *transactor) beginRemote(ctx context.Context, addr string, req wire.TxRequest, first []byte) (io.ReadWriteCloser, error) {
	s, err := t.endpoint.Open(ctx, addr, wire.KindTx)
	if err != nil {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "owner of service %q is unreachable: %w", req.Service, err)
	}
	var msg bytes.Buffer
	if err := wire.Write(&msg, req); err != nil {
		s.Reset()
		return nil, verdict.New(verdict.NotRun, verdict.CodeProtocol, "encode the request: %w", err)
	}
	requestLen := msg.Len()
	msg.Write(first) // one write, so that request and frames share a packet if they fit
	if n, err := s.Write(msg.Bytes()); err != nil {
		s.Reset()
		if n <= requestLen {
			return nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "send to the owner of service %q: %w", req.Service, err)
		}
		return nil, noReplyError(err) // the owner may have received and executed the frames
	}
	return awaitReply(ctx, &remoteStream{Stream: s}, s.Reset)
}

// awaitReply reads the owner's reply. It calls abort to end the stream on an error or when ctx ends.
func awaitReply(ctx context.Context, s io.ReadWriteCloser, abort func()) (io.ReadWriteCloser, error) {
	stop := context.AfterFunc(ctx, abort)
	var reply wire.TxReply
	err := wire.Read(s, &reply, wire.MaxMessageBytes)
	stop()
	if err != nil {
		abort()
		return nil, noReplyError(err)
	}
	if !reply.Admitted {
		_ = s.Close()
		return nil, &verdict.Error{Verdict: verdict.NotRun, Code: reply.Code, Message: reply.Message}
	}
	return s, nil
}

// noReplyError returns the error of a request for which no reply arrived: NotRun if the owner refused
// the stream, otherwise MayHaveRun.
func noReplyError(err error) error {
	if transport.Refused(err) {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the owner is shutting down: %w", err)
	}
	return verdict.New(verdict.MayHaveRun, verdict.CodeOutcomeUnknown, "connection to the owner was lost before its reply: %w", err)
}

// Cancel requests from the owner to cancel the running statement of a transaction. It is best effort.
func (t *transactor) Cancel(ctx context.Context, c wire.Cancel) error {
	route, ok := t.routes.Route(c.Service)
	if !ok || route.Owner == "" {
		return fmt.Errorf("service %q has no owner at the moment", c.Service)
	}
	if route.Owner == t.host {
		t.owner.ServeCancel(c)
		return nil
	}
	s, err := t.endpoint.Open(ctx, route.Addr, wire.KindCancel)
	if err != nil {
		return err
	}
	if err := wire.Write(s, c); err != nil {
		s.Reset()
		return err
	}
	return s.CloseWrite()
}

// remoteStream resets the stream if it is closed before the owner has ended it. The reset informs the
// owner that the caller has disconnected.
type remoteStream struct {
	transport.Stream
	ended atomic.Bool // the owner has closed its sending direction
}

func (s *remoteStream) Read(p []byte) (int, error) {
	n, err := s.Stream.Read(p)
	if errors.Is(err, io.EOF) {
		s.ended.Store(true)
	}
	return n, err
}

func (s *remoteStream) Close() error {
	if s.ended.Load() {
		return s.Stream.Close()
	}
	s.Stream.Reset()
	return nil
}

// serveTx handles transactions that other entry hosts send to the owner.
func serveTx(owner localOwner) func(ctx context.Context, peer string, s transport.Stream) {
	return func(ctx context.Context, _ string, s transport.Stream) {
		var req wire.TxRequest
		if err := wire.Read(s, &req, wire.MaxMessageBytes); err != nil {
			s.Reset()
			return
		}
		owner.Serve(ctx, req, s)
	}
}

// serveCancel handles cancel requests that other entry hosts send to the owner.
func serveCancel(owner localOwner) func(ctx context.Context, peer string, s transport.Stream) {
	return func(_ context.Context, _ string, s transport.Stream) {
		var c wire.Cancel
		if err := wire.Read(s, &c, wire.MaxMessageBytes); err != nil {
			s.Reset()
			return
		}
		owner.ServeCancel(c)
	}
}
