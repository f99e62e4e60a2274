// Package warmup limits what is sent to a target that is cold: one that has started a short time ago, or has had no work, and
// bears only so many statements a second until it is warm. It does no I/O and reads no clock.
//
// Only the holder of a target's lease sends to the target, so its Limiter sees all statements of callers. It must never
// take a cold target for a warm one. What is known of a target is what it said of itself at some moment; after anything that may have
// hidden a restart, the target counts as cold until it has said later that it is warm.
package warmup

import "time"

const (
	// Window is the time in which at most the limit of statements is sent.
	Window = time.Second
	// ReportDelay is the greatest time from a target's report on itself until control has received it.
	ReportDelay = time.Second
	// windowMargin covers the time between the check of a statement and its sending.
	windowMargin = 20 * time.Millisecond
	// newWorkShare is the share of the limit up to which new work is admitted. The rest is for open blocks, whose work so
	// far would be lost.
	newWorkShare = 0.75
)

// Limiter decides what may be sent to one target during one lease. It is not safe for concurrent use.
type Limiter struct {
	limit       int         // statements in any Window while the target is cold; 0: unlimited
	sent        []time.Time // the latest statements, limit of them, in order
	uncertainAt time.Time   // latest event that may have hidden a restart of the target
	coldUntil   time.Time
	reportedAt  time.Time // lower bound of the time of the latest report
}

// New returns a Limiter for a lease that starts now. An earlier holder may have sent limit statements until now, and the
// target counts as cold until it reports.
func New(now time.Time) *Limiter { return &Limiter{uncertainAt: now} }

// Report is what control knows of a target from its latest report on itself.
type Report struct {
	At        time.Time     // lower bound of the time at which control received the report; zero: no report is known
	Remaining time.Duration // how long the target stays cold, from now at most
}

// Record takes over the limit and the latest report that control has sent.
func (l *Limiter) Record(now time.Time, limit int, r Report) {
	if limit != l.limit {
		l.setLimit(now, limit)
	}
	l.reportedAt = r.At
	l.coldUntil = now.Add(r.Remaining)
}

// setLimit keeps as many of the latest statements as the new limit asks for. With a higher one those before the kept ones
// aren't known, and are taken to have been sent with the oldest that is; without an earlier limit, just now.
func (l *Limiter) setLimit(now time.Time, limit int) {
	oldest := now
	if len(l.sent) > 0 {
		oldest = l.sent[0]
	}
	sent := make([]time.Time, 0, limit)
	for i := len(l.sent); i < limit; i++ {
		sent = append(sent, oldest)
	}
	l.sent = append(sent, l.sent[max(0, len(l.sent)-limit):]...)
	l.limit = limit
}

// RecordUncertain records an event after which the target may have restarted: a broken connection, a first connection, an order
// for its place.
func (l *Limiter) RecordUncertain(now time.Time) { l.uncertainAt = now }

// Cold reports whether the target is cold, or may be.
func (l *Limiter) Cold(now time.Time) bool {
	if l.limit == 0 {
		return false
	}
	return now.Before(l.coldUntil) || l.reportedAt.Before(l.uncertainAt.Add(ReportDelay))
}

// HasRoom reports whether new work may start.
func (l *Limiter) HasRoom(now time.Time) bool {
	return !l.Cold(now) || l.sentWithin(now) < max(1, int(newWorkShare*float64(l.limit)))
}

// Admit reports whether a statement may be sent now, and counts it if so.
func (l *Limiter) Admit(now time.Time) bool {
	if l.limit == 0 {
		return true
	}
	if l.Cold(now) && l.sentWithin(now) >= l.limit {
		return false
	}
	l.sent = append(l.sent[1:], now)
	return true
}

// sentWithin returns how many of the latest statements were sent within a Window before now.
func (l *Limiter) sentWithin(now time.Time) int {
	n := 0
	for i := len(l.sent) - 1; i >= 0 && now.Sub(l.sent[i]) <= Window+windowMargin; i-- {
		n++
	}
	return n
}
