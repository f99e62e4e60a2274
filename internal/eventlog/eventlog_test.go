package eventlog

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"
)

// blockedWriter blocks in Write until it is released.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	out     bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(p)
}

// Guards against a process that blocks because nothing reads its log.
func TestBlockedWriter(t *testing.T) {
	is := is.New(t)
	blocked := &blockedWriter{release: make(chan struct{})}
	w := NewWriter(blocked)
	logger := log.NewLogfmtLogger(w)
	for i := range maxQueuedLines * 2 {
		is.NoErr(logger.Log("part", "test", "msg", "line", "n", i))
	}
	w.Close() // returns although the underlying writer is blocked
	close(blocked.release)
	<-w.done
	blocked.mu.Lock()
	defer blocked.mu.Unlock()
	is.True(strings.Contains(blocked.out.String(), `msg="lines dropped" count=`))
	is.True(strings.Count(blocked.out.String(), "\n") <= maxQueuedLines+3)
}

// Guards against a burst of one event that floods the log, and against one event that suppresses another.
func TestRateLimited(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l := RateLimited(log.NewLogfmtLogger(&out)).(*rateLimitedLogger)
	now := time.Unix(0, 0)
	l.now = func() time.Time { return now }
	for range 10 * int(eventBurstLines) {
		is.NoErr(l.Log("part", "gateway", "msg", "statement failed", "code", "53400"))
	}
	is.Equal(strings.Count(out.String(), "\n"), int(eventBurstLines))
	is.NoErr(l.Log("part", "gateway", "msg", "statement failed", "code", "08007"))
	is.Equal(strings.Count(out.String(), "\n"), int(eventBurstLines)+1)
	now = now.Add(time.Second)
	out.Reset()
	is.NoErr(l.Log("part", "gateway", "msg", "statement failed", "code", "53400"))
	is.True(strings.Contains(out.String(), "left_out=2700"))
}

// Guards against queued lines that are lost on Close although the underlying writer is fast enough.
func TestCloseFlushesQueue(t *testing.T) {
	is := is.New(t)
	pipeReader, pipeWriter := io.Pipe()
	var out bytes.Buffer
	readDone := make(chan struct{})
	go func() {
		defer close(readDone)
		_, _ = io.Copy(&out, pipeReader)
	}()
	w := NewWriter(pipeWriter)
	for range 100 {
		_, err := w.Write([]byte("line\n"))
		is.NoErr(err)
	}
	w.Close()
	is.NoErr(pipeWriter.Close())
	<-readDone
	is.Equal(strings.Count(out.String(), "\n"), 100)
}
