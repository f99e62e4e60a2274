package budget

import "time"

// WaitLimit bounds the wait for memory.
const WaitLimit = time.Second

// LimitWait shortens the wait to half of the time that the client gives a request, so that a refusal reaches it in time.
// It must not be called concurrently with Hold or Keep.
func (a *Account) LimitWait(requestTime time.Duration) { a.maxWait = min(WaitLimit, requestTime/2) }

// Hold sets the bytes that the account holds. If the memory is short, it closes the account that has cost most, and
// waits up to WaitLimit, or as long as LimitWait says, for room. It returns false if there was none, or if the account
// was closed. closable says that the client decides how long the bytes are held. It is not called concurrently.
func (a *Account) Hold(bytes int64, closable bool) bool { return a.hold(bytes, closable, 0) }

// Keep is Hold for bytes that are in memory already, such as a result. It doesn't wait if too many such bytes are
// waiting.
func (a *Account) Keep(bytes int64) bool { return a.hold(bytes, true, bytes) }

// hold is Hold; waiting is the number of bytes that are in memory during the wait.
func (a *Account) hold(bytes int64, closable bool, waiting int64) bool {
	if limits := a.budget.limits; limits.Bytes == 0 || a.bytes == 0 && bytes <= limits.FreeBytes {
		return true
	}
	var timeout <-chan time.Time
	for {
		ok, victim, freed := a.charge(time.Now(), bytes, closable)
		if ok {
			return true
		}
		if freed == nil {
			return false
		}
		if victim != nil {
			victim.close()
		}
		if timeout == nil {
			if !a.budget.addWaiting(waiting) {
				return false
			}
			defer a.budget.addWaiting(-waiting)
			timer := time.NewTimer(a.maxWait)
			defer timer.Stop()
			timeout = timer.C
		}
		ticker := time.NewTimer(closeAge / 2) // an account may become closable meanwhile
		select {
		case <-freed:
		case <-ticker.C:
		case <-timeout:
			ticker.Stop()
			return false
		}
		ticker.Stop()
	}
}

// Closed reports whether the account was closed in favour of another one.
func (a *Account) Closed() bool {
	a.budget.mu.Lock()
	defer a.budget.mu.Unlock()
	return a.closed
}
