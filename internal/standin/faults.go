package standin

import (
	"sync"
	"time"
)

// waitFlag is a boolean on which goroutines can wait until it is cleared. The zero value is clear.
type waitFlag struct {
	mu      sync.Mutex
	cleared chan struct{} // closed when the flag is cleared; nil while the flag is clear
}

func (g *waitFlag) set(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case on && g.cleared == nil:
		g.cleared = make(chan struct{})
	case !on && g.cleared != nil:
		close(g.cleared)
		g.cleared = nil
	}
}

func (g *waitFlag) isSet() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cleared != nil
}

// waitUntilCleared blocks until the flag is clear. It returns false if done is closed first.
func (g *waitFlag) waitUntilCleared(done <-chan struct{}) bool {
	for {
		g.mu.Lock()
		cleared := g.cleared
		g.mu.Unlock()
		if cleared == nil {
			return true
		}
		select {
		case <-cleared:
		case <-done:
			return false
		}
	}
}

// Kill closes the listener and all connections at once, like SIGKILL. Open transactions are rolled back.
// Committed data, role and term are kept for Restart.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return
	}
	s.cancelRun()
	_ = s.listener.Close()
	s.listener = nil
}

// Restart kills the stand-in unless it is killed already, and listens again on the same address with the same
// data, role and term.
func (s *Server) Restart() error {
	s.Kill()
	if err := s.listen(s.addr); err != nil {
		return err
	}
	s.wakeReplication()
	return nil
}

// Pause suspends all responses and replication, like SIGSTOP. Connections stay open; new ones are established
// but get no response.
func (s *Server) Pause() { s.paused.set(true) }

// Resume ends Pause.
func (s *Server) Resume() {
	s.paused.set(false)
	s.wakeReplication()
}

// Isolate suspends all traffic with clients, or resumes it with isolated false. Replication continues. Messages
// that clients send meanwhile are handled afterwards.
func (s *Server) Isolate(isolated bool) { s.isolated.set(isolated) }

// CloseAfterCommit closes the connections of the next n transactions that write: each is committed, but its
// connection is closed instead of a response.
func (s *Server) CloseAfterCommit(n int) { s.commitClosesLeft.Store(int64(n)) }

// CloseMidResult closes the connection of the next result with more than n rows after n rows were sent.
func (s *Server) CloseMidResult(n int) { s.closeAfterRows.Store(int64(n) + 1) }

// SetResponseDelay sets the delay of each flush of responses.
func (s *Server) SetResponseDelay(d time.Duration) { s.responseDelay.Store(int64(d)) }

// SetMinStatementTime sets the minimum time for which each statement holds its slot.
func (s *Server) SetMinStatementTime(d time.Duration) { s.minStatementTime.Store(int64(d)) }

// SetLag sets the replication lag of this replica: an entry is received the time receive after its commit at the
// primary, and applied the time apply after its receipt.
func (s *Server) SetLag(receive, apply time.Duration) {
	s.receiveLag.Store(int64(receive))
	s.applyLag.Store(int64(apply))
	s.wakeReplication()
}

// takeCommitClose reports whether the connection must be closed instead of a response to this commit. If so, it
// reduces the number of such commits left by one.
func (s *Server) takeCommitClose() bool {
	for {
		n := s.commitClosesLeft.Load()
		if n <= 0 {
			return false
		}
		if s.commitClosesLeft.CompareAndSwap(n, n-1) {
			return true
		}
	}
}

// takeRowClose reports whether the connection must be closed after the given number of rows of a result. It
// returns true once for each CloseMidResult.
func (s *Server) takeRowClose(sent int) bool {
	threshold := s.closeAfterRows.Load()
	return threshold > 0 && int64(sent) >= threshold-1 && s.closeAfterRows.CompareAndSwap(threshold, 0)
}

// wakeReplication wakes the goroutine that replicates. It never blocks.
func (s *Server) wakeReplication() {
	select {
	case s.replicationWake <- struct{}{}:
	default:
	}
}
