// Package eventlog writes structured log lines without blocking the caller, and limits the rate of lines:
// each event has a token bucket, and lines above its rate are counted instead of written.
package eventlog

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
)

const (
	// maxQueuedLines is the capacity of the queue to the underlying writer. Lines are dropped when it is full.
	maxQueuedLines = 2048
	// eventLinesPerSecond and eventBurstLines limit the lines of one event. At 10 µs per line, an event at
	// the limit uses 0.1% of a core.
	eventLinesPerSecond = 100.0
	eventBurstLines     = 300.0
	// maxBuckets bounds the memory for token buckets. All of them are discarded when it is exceeded.
	maxBuckets = 1024
	// closeTimeout bounds how long Close waits for a slow underlying writer.
	closeTimeout = 200 * time.Millisecond
)

var (
	droppedLines    = metrics.NewCounter(`citron_log_lines_dropped_total`)
	suppressedLines = metrics.NewCounter(`citron_log_lines_left_out_total`)
	writtenLines    = metrics.NewCounter(`citron_log_lines_written_total`)
)

// Writer queues lines for a goroutine that writes them to an underlying writer.
type Writer struct {
	lines      chan []byte
	unreported atomic.Uint64 // lines dropped since the last report in the log
	closing    chan struct{}
	done       chan struct{}
	closeOnce  sync.Once
}

// NewWriter returns a started Writer. Each call of its method Write must pass exactly one line.
func NewWriter(underlying io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, maxQueuedLines), closing: make(chan struct{}), done: make(chan struct{})}
	go w.run(underlying)
	return w
}

// Write queues a line, or drops and counts it if the queue is full. It never blocks or fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.unreported.Add(1)
		droppedLines.Inc()
	}
	return len(line), nil
}

// run writes queued lines until Close, and then the rest of the queue.
func (w *Writer) run(underlying io.Writer) {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.writeLine(underlying, line)
		case <-w.closing:
			for {
				select {
				case line := <-w.lines:
					w.writeLine(underlying, line)
				default:
					return
				}
			}
		}
	}
}

// writeLine writes a line, preceded by a report if lines were dropped before it.
func (w *Writer) writeLine(underlying io.Writer, line []byte) {
	if n := w.unreported.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(underlying, "level=warn part=log msg=\"lines dropped\" count=%d\n", n)
	}
	if _, err := underlying.Write(line); err != nil {
		droppedLines.Inc() // the error can't be logged either
		return
	}
	writtenLines.Inc()
}

// Close writes the queued lines. It returns after closeTimeout at the latest, even if lines are left.
func (w *Writer) Close() {
	w.closeOnce.Do(func() { close(w.closing) })
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}

// RateLimited returns a logger that forwards the lines of each event to next at a limited rate. An event is
// identified by the values of part, msg and code. After lines were suppressed, the next line of the event has
// their number under the key left_out.
func RateLimited(next log.Logger) log.Logger {
	return &rateLimitedLogger{next: next, now: time.Now, buckets: map[eventKey]*tokenBucket{}}
}

// eventKey identifies an event. Lines with the same key share a token bucket.
type eventKey struct{ part, msg, code string }

type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
	suppressed int
}

type rateLimitedLogger struct {
	next log.Logger
	now  func() time.Time

	mu      sync.Mutex
	buckets map[eventKey]*tokenBucket
}

// Log forwards the line, or only counts it if the event exceeds its rate.
func (l *rateLimitedLogger) Log(keyvals ...any) error {
	suppressed, ok := l.allow(keyOf(keyvals))
	if !ok {
		suppressedLines.Inc()
		return nil
	}
	if suppressed > 0 {
		keyvals = append(keyvals[:len(keyvals):len(keyvals)], "left_out", suppressed)
	}
	return l.next.Log(keyvals...)
}

// allow spends a token from the bucket of an event. If there was one, it returns the number of lines that were
// suppressed before.
func (l *rateLimitedLogger) allow(key eventKey) (suppressed int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	b := l.buckets[key]
	if b == nil {
		if len(l.buckets) >= maxBuckets {
			clear(l.buckets)
		}
		b = &tokenBucket{tokens: eventBurstLines, refilledAt: now}
		l.buckets[key] = b
	}
	b.tokens = min(eventBurstLines, b.tokens+eventLinesPerSecond*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	if b.tokens < 1 {
		b.suppressed++
		return 0, false
	}
	b.tokens--
	suppressed, b.suppressed = b.suppressed, 0
	return suppressed, true
}

func keyOf(keyvals []any) eventKey {
	var key eventKey
	for i := 0; i+1 < len(keyvals); i += 2 {
		value, ok := keyvals[i+1].(string)
		if !ok {
			continue
		}
		switch keyvals[i] {
		case "part":
			key.part = value
		case "msg":
			key.msg = value
		case "code":
			key.code = value
		}
	}
	return key
}
