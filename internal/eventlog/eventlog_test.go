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

// stuckWriter blocks until it is released.
type stuckWriter struct {
	release chan struct{}
	mu      sync.Mutex
	out     bytes.Buffer
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(p)
}

// Guards against a process that stands still because nobody reads its log.
func TestBlockedReader(t *testing.T) {
	is := is.New(t)
	stuck := &stuckWriter{release: make(chan struct{})}
	w := NewWriter(stuck)
	logger := log.NewLogfmtLogger(w)
	for i := range queueLines * 2 {
		is.NoErr(logger.Log("part", "test", "msg", "line", "n", i))
	}
	w.Close() // returns although the reader is stuck
	close(stuck.release)
	<-w.done
	stuck.mu.Lock()
	defer stuck.mu.Unlock()
	is.True(strings.Contains(stuck.out.String(), `msg="lines dropped" count=`))
	is.True(strings.Count(stuck.out.String(), "\n") <= queueLines+3)
}

// Guards against a burst of refusals that fills the log, and against one event that hides another.
func TestLimited(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l := RateLimited(log.NewLogfmtLogger(&out)).(*limited)
	now := time.Unix(0, 0)
	l.now = func() time.Time { return now }
	for range 10 * int(eventBurst) {
		is.NoErr(l.Log("part", "gateway", "msg", "statement failed", "code", "53400"))
	}
	is.Equal(strings.Count(out.String(), "\n"), int(eventBurst))
	is.NoErr(l.Log("part", "gateway", "msg", "statement failed", "code", "08007"))
	is.Equal(strings.Count(out.String(), "\n"), int(eventBurst)+1)
	now = now.Add(time.Second)
	out.Reset()
	is.NoErr(l.Log("part", "gateway", "msg", "statement failed", "code", "53400"))
	is.True(strings.Contains(out.String(), "left_out=2700"))
}

// Guards against lines that are lost although their reader keeps up.
func TestCloseWritesAll(t *testing.T) {
	is := is.New(t)
	r, pw := io.Pipe()
	var out bytes.Buffer
	read := make(chan struct{})
	go func() {
		defer close(read)
		_, _ = io.Copy(&out, r)
	}()
	w := NewWriter(pw)
	for range 100 {
		_, err := w.Write([]byte("line\n"))
		is.NoErr(err)
	}
	w.Close()
	is.NoErr(pw.Close())
	<-read
	is.Equal(strings.Count(out.String(), "\n"), 100)
}
