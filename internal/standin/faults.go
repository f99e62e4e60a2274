package standin

import (
	"sync"
	"time"
)

// gate blocks traffic while it is closed. The zero value is open.
type gate struct {
	mu       sync.Mutex
	reopened chan struct{} // closed when the gate opens again; nil while the gate is open
}

func (g *gate) setClosed(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case closed && g.reopened == nil:
		g.reopened = make(chan struct{})
	case !closed && g.reopened != nil:
		close(g.reopened)
		g.reopened = nil
	}
}

func (g *gate) isClosed() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.reopened != nil
}

// wait blocks until the gate is open. It returns false if done is closed first.
func (g *gate) wait(done <-chan struct{}) bool {
	for {
		g.mu.Lock()
		reopened := g.reopened
		g.mu.Unlock()
		if reopened == nil {
			return true
		}
		select {
		case <-reopened:
		case <-done:
			return false
		}
	}
}

// Kill closes the listener and all connections at once. Open transactions are rolled back. Committed
// data, role and term are kept for Restart.
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

// Restart kills the server if it runs, and listens again on the same address with the same data, role
// and term.
func (s *Server) Restart() error {
	s.Kill()
	if err := s.listen(s.addr); err != nil {
		return err
	}
	s.wakeReplication()
	return nil
}

// Pause stops all responses and replication, as a stopped process does. Connections stay open; new ones
// are established but get no response.
func (s *Server) Pause() { s.paused.setClosed(true) }

// Resume ends Pause.
func (s *Server) Resume() {
	s.paused.setClosed(false)
	s.wakeReplication()
}

// Isolate cuts the server off from all callers, or reconnects it with isolated false. Replication
// continues. Messages that callers send meanwhile are handled after the reconnection.
func (s *Server) Isolate(isolated bool) { s.isolated.setClosed(isolated) }

// CloseAfterCommit drops the responses of the next n writing transactions: each is committed, then its
// connection is closed.
func (s *Server) CloseAfterCommit(n int) { s.commitDropsLeft.Store(int64(n)) }

// CloseMidResult closes the connection of the next result with more than n rows after n rows were sent.
func (s *Server) CloseMidResult(n int) { s.rowDropThreshold.Store(int64(n) + 1) }

// SetResponseDelay sets the delay of each flush of responses.
func (s *Server) SetResponseDelay(d time.Duration) { s.responseDelay.Store(int64(d)) }

// SetServiceTime sets the minimum time that each statement holds its slot.
func (s *Server) SetServiceTime(d time.Duration) { s.serviceTime.Store(int64(d)) }

// SetLag sets the replication lag of this replica: receive from commit to receipt, apply from receipt to
// application.
func (s *Server) SetLag(receive, apply time.Duration) {
	s.receiveLag.Store(int64(receive))
	s.applyLag.Store(int64(apply))
	s.wakeReplication()
}

// consumeCommitDrop reports whether the response of this commit must be dropped, and counts the drop.
func (s *Server) consumeCommitDrop() bool {
	for {
		n := s.commitDropsLeft.Load()
		if n <= 0 {
			return false
		}
		if s.commitDropsLeft.CompareAndSwap(n, n-1) {
			return true
		}
	}
}

// consumeRowDrop reports whether the connection must be dropped after the given number of rows of a
// result. It returns true once for each DropMidResult.
func (s *Server) consumeRowDrop(sent int) bool {
	threshold := s.rowDropThreshold.Load()
	return threshold > 0 && int64(sent) >= threshold-1 && s.rowDropThreshold.CompareAndSwap(threshold, 0)
}

// wakeReplication wakes the goroutine that replicates. It never blocks.
func (s *Server) wakeReplication() {
	select {
	case s.replicationWake <- struct{}{}:
	default:
	}
}
