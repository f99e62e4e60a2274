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
const directBytes = 16 << 10

// errTxEnded is returned by writes to a stream whose transaction has ended.
var errEnded = errors.New("transaction has ended")

// Begin is the counterpart of Serve for an entry host in the same process. It acquires a connection
// and sends the first frames in the calling goroutine; Read of the returned stream reads the
// responses directly from the target. Errors are *verdict.Error with verdict NotRun. ctx bounds
// only the wait for the connection. Writes with a request key must use Serve.
func (m *Manager) Begin(ctx context.Context, req wire.TxRequest, first []byte) (io.ReadWriteCloser, error) {
	s := m.lookup(req.Service)
	if s == nil {
		return nil, refusal(unavailable("service %q is not owned by this host", req.Service))
	}
	if err := s.enter(); err != nil {
		return nil, refusal(err)
	}
	j, timeout := s.newJob(req)
	p, err := s.placeInTime(ctx, j, timeout)
	if err != nil {
		s.leave()
		return nil, refusal(err)
	}
	l := &localStream{s: s}
	l.t = newTx(context.WithoutCancel(ctx), s, j, l) // ended by Close of the stream, not by ctx
	l.t.attach(p)
	count(p, req.ReadOnly)
	l.start(first)
	return l, nil
}

// refusal counts a request that was not admitted and returns its error with verdict NotRun.
func refusal(err error) error {
	e := verdict.As(err)
	countRefusal(e.Code)
	return &verdict.Error{Verdict: verdict.NotRun, Code: e.Code, Message: e.Message}
}

// localStream connects an entry host with a transaction in the same process. The entry host reads,
// writes and closes it. The transaction passes its responses to respond, which is called only
// within Read. Requests after the first frames go through a pipe, which the first Write creates.
type localStream struct {
	s *service
	t *tx

	// Used only by the goroutine that calls Read.
	out   []byte // responses
	at    int    // offset of the unread part of out
	ended bool   // out holds the last response

	mu       sync.Mutex
	reading  bool // a goroutine is in Read
	closed   bool
	finished bool           // the transaction's resources have been released, or are about to be
	requests *io.PipeWriter // nil before the pipe is created
	source   *io.PipeReader
}

func (l *localStream) start(first []byte) {
	if len(first) <= directBytes {
		l.t.forward(first) // Read reports a failure
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startUp(bytes.Clone(first))
}

// startForwarding creates the request pipe and starts a goroutine that sends first, then all
// written requests, to the target. The caller holds mu.
func (l *localStream) startUp(first []byte) {
	l.source, l.requests = io.Pipe()
	source := l.source
	requests := io.MultiReader(bytes.NewReader(first), source)
	go func() {
		l.t.up(requests)
		_ = source.CloseWithError(errEnded) // never fails
	}()
}

// Read returns buffered responses, and reads from the target when there are none.
func (l *localStream) Read(p []byte) (int, error) {
	if !l.beginRead() {
		return 0, io.ErrClosedPipe
	}
	defer l.endRead()
	for l.at == len(l.out) {
		if l.ended {
			return 0, io.EOF
		}
		l.out, l.at = nil, 0
		l.ended = !l.t.step()
		if l.ended {
			l.finish()
		}
	}
	n := copy(p, l.out[l.at:])
	l.at += n
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
		l.abandon()
	}
}

// Write forwards requests to the target.
func (l *localStream) Write(p []byte) (int, error) {
	l.mu.Lock()
	if l.closed || l.finished {
		l.mu.Unlock()
		return 0, errEnded
	}
	if l.requests == nil {
		l.startUp(nil)
	}
	requests := l.requests
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
	case l.finished:
	case l.reading:
		go l.t.callerGone() // makes Read return, which releases the resources
	default:
		l.abandon()
	}
	return nil
}

// abandon aborts an unfinished transaction while no Read is running. The caller holds mu.
func (l *localStream) abandon() {
	if l.finished {
		return
	}
	l.finished = true
	go func() {
		l.t.callerGone()
		l.giveBack()
	}()
}

// finish releases the resources of an ended transaction, unless that has been done already.
func (l *localStream) finish() {
	l.mu.Lock()
	done := l.finished
	l.finished = true
	l.mu.Unlock()
	if !done {
		l.giveBack()
	}
}

func (l *localStream) giveBack() {
	l.t.finish()
	l.s.leave()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.source != nil {
		_ = l.source.CloseWithError(errEnded) // never fails
	}
}

// respond buffers responses of the transaction for Read.
func (l *localStream) respond(frames []byte) error {
	if l.at == len(l.out) {
		l.out, l.at = frames, 0 // no copy: frames are valid until the next step, and Read consumes them first
		return nil
	}
	l.out = append(l.out[:len(l.out):len(l.out)], frames...)
	return nil
}

// requestReaders pools readers, since most transactions consist of one short request.
var requestReaders = sync.Pool{New: func() any { return pgwire.NewReader(nil, pgwire.MaxFrameBytes) }}
