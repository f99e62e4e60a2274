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

// directBytes bounds the first frames that are sent to the target before its responses are read. They
// fit into socket buffers, so that the send can't wait for a target which itself waits for a reader.
const directBytes = 16 << 10

// errEnded is returned by writes to a transaction that has ended.
var errEnded = errors.New("transaction has ended")

// Begin is Serve for an entry host in the same process. It places the transaction and sends its first
// frames in the goroutine of the caller; the responses are read from the target by Read of the
// returned stream. Errors are *verdict.Error with verdict NotRun. Ctx bounds the placement. Requests
// with a key go through Serve.
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
	l.t = newTx(context.WithoutCancel(ctx), s, j, l) // it ends when the stream is closed
	l.t.attach(p)
	count(p, req.ReadOnly)
	l.start(first)
	return l, nil
}

func refusal(err error) error {
	e := verdict.As(err)
	countRefusal(e.Code)
	return &verdict.Error{Verdict: verdict.NotRun, Code: e.Code, Message: e.Message}
}

// localStream is both ends of a stream within one process. The entry host reads, writes and closes it;
// the transaction writes its responses with respond, which happens within Read only. Requests after
// the first ones go through a pipe, whose reader is started with the first of them.
type localStream struct {
	s *service
	t *tx

	out   []byte // responses; of the goroutine in Read
	at    int    // start of the unread part of out
	ended bool   // out holds the last response

	mu       sync.Mutex
	reading  bool // a goroutine is in Read
	closed   bool
	finished bool // the transaction's resources were given back, or are about to be
	requests *io.PipeWriter
	source   *io.PipeReader
}

func (l *localStream) start(first []byte) {
	if len(first) <= directBytes {
		l.t.forward(first) // a failure reaches the caller through Read
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.startUp(bytes.Clone(first))
}

// startUp starts to move requests to the target, those in first before those written. The caller
// holds mu.
func (l *localStream) startUp(first []byte) {
	l.source, l.requests = io.Pipe()
	source := l.source
	requests := io.MultiReader(bytes.NewReader(first), source)
	go func() {
		l.t.up(requests)
		_ = source.CloseWithError(errEnded) // never fails
	}()
}

// Read returns responses. It reads them from the target while there are none.
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

// endRead gives the transaction up when the stream was closed meanwhile.
func (l *localStream) endRead() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reading = false
	if l.closed {
		l.abandon()
	}
}

// Write passes requests on to the target.
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

// Close gives an unfinished transaction up. It doesn't block.
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
		go l.t.callerGone() // ends Read, which gives back the rest
	default:
		l.abandon()
	}
	return nil
}

// abandon gives an unfinished transaction up while nobody reads. The caller holds mu.
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

// finish gives back what an ended transaction holds.
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

// respond takes over responses of the transaction.
func (l *localStream) respond(frames []byte) error {
	if l.at == len(l.out) {
		l.out, l.at = frames, 0 // valid until the next step, which follows when all is read
		return nil
	}
	l.out = append(l.out[:len(l.out):len(l.out)], frames...)
	return nil
}

// requestReaders are reused, since most transactions have one short request.
var requestReaders = sync.Pool{New: func() any { return pgwire.NewReader(nil, pgwire.MaxFrameBytes) }}
