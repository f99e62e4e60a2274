// Package budget accounts for the memory that a host uses for the messages and results of its clients.
//
// Each connection has an Account. What a message or a result holds above a small free amount is charged to it. If
// the host's memory is short, the account that has cost most (bytes times the time for which it holds them) is
// closed, provided that its client is the one that keeps it: because it sends or reads slowly.
package budget

import (
	"sync"
	"sync/atomic"
	"time"
)

// closeAge is the time for which an account must have held its bytes before it is closed in favour of another one.
// It is longer than a large message needs on a slow link, so that fast clients wait for each other instead.
const closeAge = 500 * time.Millisecond

// Limits are the limits of a Budget.
type Limits struct {
	Bytes     int64 // charged to all accounts; 0: unlimited, and nothing is counted
	FreeBytes int64 // of each account, not charged
}

// Budget is the memory for all clients of a host. It is safe for concurrent use.
type Budget struct {
	limits Limits

	mu      sync.Mutex
	used    int64
	peak    int64
	waiting int64                 // in memory, but not charged yet
	charged map[*Account]struct{} // accounts with a charge
	freed   chan struct{}         // closed when a charge decreases
}

// New returns a Budget without charges.
func New(limits Limits) *Budget {
	return &Budget{limits: limits, charged: map[*Account]struct{}{}, freed: make(chan struct{})}
}

// Used returns the bytes that are charged now, and the greatest number so far.
func (b *Budget) Used() (bytes, peak int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used, b.peak
}

// Account is the part of one connection.
type Account struct {
	budget  *Budget
	close   func()
	maxWait time.Duration // for room

	// The budget's mutex guards the following fields. bytes is changed by the connection's goroutine only, which may
	// therefore read it without the mutex.
	bytes    int64     // charged
	since    time.Time // the account has had a charge since then
	closable bool      // the client decides how long the bytes are held
	closed   bool      // close was called
	hasBytes atomic.Bool
}

// Open returns an account without a charge. close closes its connection; it is called at most once, and not while
// the budget is locked.
func (b *Budget) Open(close func()) *Account {
	return &Account{budget: b, close: close, maxWait: WaitLimit}
}

// charge sets the bytes that the account holds. If that exceeds the budget, it changes nothing and returns false, with
// the account to close, or nil if there is none, and a channel that is closed when there may be room. The channel is
// nil if the account itself was closed; it gets no more. closable says that the client decides how long the bytes are
// held. A decrease is never refused. A single account may exceed the limit if no other one has a charge, so that each
// message of legal size is served by a host at rest.
func (a *Account) charge(now time.Time, bytes int64, closable bool) (ok bool, victim *Account, freed <-chan struct{}) {
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if bytes = max(0, bytes-b.limits.FreeBytes); b.limits.Bytes > 0 {
		bytes = min(bytes, b.limits.Bytes)
	}
	a.closable = closable
	if bytes > a.bytes && a.closed {
		return false, nil, nil
	}
	if excess := b.used - a.bytes + bytes - b.limits.Bytes; bytes > a.bytes && b.limits.Bytes > 0 && excess > 0 {
		if victim = b.costliest(now, a, excess); victim != nil {
			b.wake() // it may be waiting for memory itself
		}
		return false, victim, b.freed
	}
	if a.bytes == 0 {
		a.since = now
	}
	if bytes < a.bytes {
		b.wake()
	}
	b.used += bytes - a.bytes
	b.peak = max(b.peak, b.used)
	a.bytes = bytes
	a.hasBytes.Store(bytes > 0)
	if bytes > 0 {
		b.charged[a] = struct{}{}
	} else {
		delete(b.charged, a)
	}
	return true, nil, nil
}

// wake makes waiting accounts try again. The mutex is held.
func (b *Budget) wake() {
	close(b.freed)
	b.freed = make(chan struct{})
}

// SetClosable says whether the client decides from now on how long the bytes are held.
func (a *Account) SetClosable(closable bool) {
	if !a.hasBytes.Load() {
		return
	}
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	a.closable = closable
}

// addWaiting adds to the bytes that wait in memory. It changes nothing and returns false if they would exceed the limit.
func (b *Budget) addWaiting(bytes int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if bytes > 0 && b.waiting+bytes > b.limits.Bytes {
		return false
	}
	b.waiting += bytes
	return true
}

// costliest marks the account that has cost most as closed and returns it, or nil if none may be closed in favour
// of a, or if those that were closed before are about to free the excess.
func (b *Budget) costliest(now time.Time, a *Account, excess int64) *Account {
	var victim *Account
	var most float64
	for other := range b.charged {
		if other.closed && other.closable {
			excess -= other.bytes
		}
		age := now.Sub(other.since)
		if cost := float64(other.bytes) * age.Seconds(); other != a && other.closable && !other.closed && age >= closeAge && cost > most {
			victim, most = other, cost
		}
	}
	if victim == nil || excess <= 0 {
		return nil
	}
	victim.closed = true
	return victim
}
