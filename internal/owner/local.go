package owner

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync"

	"github.com/citronrun/citronrun/internal/pgwire"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

// maxDirectBytes bounds the size of the first frames that Begin sends itself, before anybody reads
// the target's responses. They must fit into the socket buffers: otherwise the send could block on
// a target that in turn is blocked because its responses aren't read.
const maxDirectBytes = 16 << 10

// errTxEnded is returned by writes to a stream whose transaction has ended.
var errTxEnded = errors.New("transaction has ended")

// Begin is the counterpart of Serve for callers that are connected to this host. It acquires a connection and
// sends the first frames in the calling goroutine; Read of the returned stream reads the
// responses directly from the target. Errors are *verdict.Error with verdict NotRun. ctx bounds
// only the wait for the connection. Writes with a request key must use Serve.
func (m *Manager) Begin(ctx context.Context, req wire.TxRequest, first []byte) (io.ReadWriteCloser, error) {
	s := m.lookup(req.Service)
	if s == nil {
		return nil, refusal(unavailable("service %q is not owned by this host", req.Service))
	}
	if err := s.admit(); err != nil {
		return nil, refusal(err)
	}
	params, timeout := s.newTxParams(req)
	acquired, err := s.acquireWithTimeout(ctx, params, timeout)
	if err != nil {
		s.txDone()
		return nil, refusal(err)
	}
	l := &localStream{service: s}
	l.tx = newTx(context.WithoutCancel(ctx), s, params, l) // ended by Close of the stream, not by ctx
	l.tx.attach(acquired)
	countTx(acquired, req.ReadOnly)
	l.sendFirst(first)
	return l, nil
}

// refusal counts a request that was not admitted and returns its error with verdict NotRun.
func refusal(err error) error {
	e := verdict.As(err)
	countRefusal(e.Code)
	return &verdict.Error{Verdict: verdict.NotRun, Code: e.Code, Message: e.Message}
}

// localStream connects the entry of this host with a transaction. The entry reads, writes and closes it. The
// transaction passes its responses to respond, which is called only within Read. Requests after the first frames
// go through a pipe, which the first Write creates, or sendFirst if the first frames are large.
type localStream struct {
	service *service
	tx      *tx

	// Used only by the goroutine that calls Read.
	responses    []byte // received from the transaction, not all read yet
	readOffset   int    // start of the unread part of responses
	lastReceived bool   // responses contains the last response

	mu             sync.Mutex
	reading        bool // a goroutine is in Read
	closed         bool
	releaseStarted bool           // release has been called or is about to be
	requestWriter  *io.PipeWriter // nil before the pipe is created
	requestReader  *io.PipeReader
}

func (l *localStream) sendFirst(first []byte) {
	if len(first) <= maxDirectBytes {
		l.tx.forward(first) // Read reports a failure
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startForwarding(bytes.Clone(first))
}

// startForwarding creates the request pipe and starts a goroutine that sends first, then all
// written requests, to the target. mu must be held.
func (l *localStream) startForwarding(first []byte) {
	l.requestReader, l.requestWriter = io.Pipe()
	source := l.requestReader
	requests := io.MultiReader(bytes.NewReader(first), source)
	go func() {
		l.tx.forwardRequests(requests)
		_ = source.CloseWithError(errTxEnded) // never fails
	}()
}

// Read returns buffered responses, and reads from the target when there are none.
func (l *localStream) Read(p []byte) (int, error) {
	if !l.beginRead() {
		return 0, io.ErrClosedPipe
	}
	defer l.endRead()
	for l.readOffset == len(l.responses) {
		if l.lastReceived {
			return 0, io.EOF
		}
		l.responses, l.readOffset = nil, 0
		l.lastReceived = !l.tx.step()
		if l.lastReceived {
			l.releaseOnce()
		}
	}
	n := copy(p, l.responses[l.readOffset:])
	l.readOffset += n
	return n, nil
}

func (l *localStream) beginRead() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reading = !l.closed
	return l.reading
}

// endRead aborts the transaction if the stream was closed during Read.
func (l *localStream) endRead() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reading = false
	if l.closed {
		l.abort()
	}
}

// Write forwards requests to the target.
func (l *localStream) Write(p []byte) (int, error) {
	l.mu.Lock()
	if l.closed || l.releaseStarted {
		l.mu.Unlock()
		return 0, errTxEnded
	}
	if l.requestWriter == nil {
		l.startForwarding(nil)
	}
	requests := l.requestWriter
	l.mu.Unlock()
	return requests.Write(p)
}

// Close aborts the transaction if it hasn't finished. It doesn't block.
func (l *localStream) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	switch {
	case l.releaseStarted:
	case l.reading:
		go l.tx.callerDisconnected() // makes Read return, which releases the resources
	default:
		l.abort()
	}
	return nil
}

// abort ends an unfinished transaction and releases its resources in the background. It must not be called
// while a Read is running. mu must be held.
func (l *localStream) abort() {
	if l.releaseStarted {
		return
	}
	l.releaseStarted = true
	go func() {
		l.tx.callerDisconnected()
		l.release()
	}()
}

// releaseOnce calls release, unless that has been done or started already.
func (l *localStream) releaseOnce() {
	l.mu.Lock()
	done := l.releaseStarted
	l.releaseStarted = true
	l.mu.Unlock()
	if !done {
		l.release()
	}
}

// release releases the connection of the transaction and removes the transaction from the active ones. It must
// be called once.
func (l *localStream) release() {
	l.tx.finish()
	l.service.txDone()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.requestReader != nil {
		_ = l.requestReader.CloseWithError(errTxEnded) // never fails
	}
}

// respond buffers responses of the transaction for Read.
func (l *localStream) respond(frames []byte) error {
	if l.readOffset == len(l.responses) {
		l.responses, l.readOffset = frames, 0 // no copy: frames are valid until the next step, and Read consumes them first
		return nil
	}
	l.responses = append(l.responses[:len(l.responses):len(l.responses)], frames...)
	return nil
}

// requestReaders pools readers, since most transactions consist of one short request.
var requestReaders = sync.Pool{New: func() any { return pgwire.NewReader(nil, pgwire.MaxFrameBytes) }}
