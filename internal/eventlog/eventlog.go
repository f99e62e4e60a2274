// Package eventlog writes structured log lines without ever blocking the caller, and keeps their number
// bounded: each event has a rate of its own, and lines beyond it are counted instead of written.
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
	// queueLines is the number of lines that wait for a slow reader before lines are dropped.
	queueLines = 2048
	// eventRate and eventBurst bound the lines of one event: lines/s and lines. At 10 µs a line, an event at
	// its rate takes 0.1% of a core.
	eventRate  = 100.0
	eventBurst = 300.0
	// maxEvents bounds the events whose rate is remembered.
	maxEvents = 1024
	// flushTime bounds the wait for a slow reader at the end of the process.
	flushTime = 200 * time.Millisecond
)

var (
	dropped = metrics.NewCounter(`citron_log_lines_dropped_total`)
	leftOut = metrics.NewCounter(`citron_log_lines_left_out_total`)
	written = metrics.NewCounter(`citron_log_lines_written_total`)
)

// Writer hands lines to a goroutine that writes them to the underlying writer.
type Writer struct {
	lines   chan []byte
	lost    atomic.Uint64 // since the last line that says so
	closing chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewWriter starts a Writer. Each call of Write must carry one line.
func NewWriter(w io.Writer) *Writer {
	x := &Writer{lines: make(chan []byte, queueLines), closing: make(chan struct{}), done: make(chan struct{})}
	go x.run(w)
	return x
}

// Write queues a line. When the queue is full, the line is dropped and counted; it never blocks and never
// fails.
func (x *Writer) Write(line []byte) (int, error) {
	select {
	case x.lines <- append([]byte(nil), line...):
	default:
		x.lost.Add(1)
		dropped.Inc()
	}
	return len(line), nil
}

func (x *Writer) run(w io.Writer) {
	defer close(x.done)
	for {
		select {
		case line := <-x.lines:
			x.put(w, line)
		case <-x.closing:
			for {
				select {
				case line := <-x.lines:
					x.put(w, line)
				default:
					return
				}
			}
		}
	}
}

func (x *Writer) put(w io.Writer, line []byte) {
	if n := x.lost.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w, "level=warn part=log msg=\"lines dropped\" count=%d\n", n)
	}
	if _, err := w.Write(line); err != nil {
		dropped.Inc() // a log that can't be written can't say so either
		return
	}
	written.Inc()
}

// Close writes the queued lines, for a short time if the reader is slow.
func (x *Writer) Close() {
	x.once.Do(func() { close(x.closing) })
	timer := time.NewTimer(flushTime)
	defer timer.Stop()
	select {
	case <-x.done:
	case <-timer.C:
	}
}

// RateLimited returns a logger that passes each event on at a bounded rate. An event is named by the values
// of part, msg and code. The first line after some were left out says how many.
func RateLimited(next log.Logger) log.Logger {
	return &limited{next: next, now: time.Now, events: map[event]*bucket{}}
}

// event names what a line reports. Only lines of the same event share a rate.
type event struct{ part, msg, code string }

type bucket struct {
	tokens  float64
	at      time.Time
	skipped int
}

type limited struct {
	next log.Logger
	now  func() time.Time

	mu     sync.Mutex
	events map[event]*bucket
}

// Log writes the line or counts it.
func (l *limited) Log(keyvals ...any) error {
	skipped, ok := l.take(eventOf(keyvals))
	if !ok {
		leftOut.Inc()
		return nil
	}
	if skipped > 0 {
		keyvals = append(keyvals[:len(keyvals):len(keyvals)], "left_out", skipped)
	}
	return l.next.Log(keyvals...)
}

func (l *limited) take(e event) (skipped int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	b := l.events[e]
	if b == nil {
		if len(l.events) >= maxEvents {
			clear(l.events)
		}
		b = &bucket{tokens: eventBurst, at: now}
		l.events[e] = b
	}
	b.tokens = min(eventBurst, b.tokens+eventRate*now.Sub(b.at).Seconds())
	b.at = now
	if b.tokens < 1 {
		b.skipped++
		return 0, false
	}
	b.tokens--
	skipped, b.skipped = b.skipped, 0
	return skipped, true
}

func eventOf(keyvals []any) event {
	var e event
	for i := 0; i+1 < len(keyvals); i += 2 {
		value, ok := keyvals[i+1].(string)
		if !ok {
			continue
		}
		switch keyvals[i] {
		case "part":
			e.part = value
		case "msg":
			e.msg = value
		case "code":
			e.code = value
		}
	}
	return e
}
