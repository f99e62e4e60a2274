package standin

import (
	"sync"
	"time"
)

// gate holds up traffic while it is shut. The zero value is open.
type gate struct {
	mu   sync.Mutex
	shut chan struct{} // closed when the gate opens; nil while it is open
}

func (g *gate) set(shut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case shut && g.shut == nil:
		g.shut = make(chan struct{})
	case !shut && g.shut != nil:
		close(g.shut)
		g.shut = nil
	}
}

func (g *gate) isShut() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.shut != nil
}

// wait returns once the gate is open, or false when done is closed first.
func (g *gate) wait(done <-chan struct{}) bool {
	for {
		g.mu.Lock()
		shut := g.shut
		g.mu.Unlock()
		if shut == nil {
			return true
		}
		select {
		case <-shut:
		case <-done:
			return false
		}
	}
}

// Kill closes the listener and all connections at once. Open transactions are rolled back; committed
// data stays for Restart.
func (s *Server) Kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return
	}
	s.kill()
	_ = s.listener.Close()
	s.listener = nil
}

// Restart listens again on the former address, with the data, role and term of before Kill.
func (s *Server) Restart() error {
	s.Kill()
	if err := s.listen(s.addr); err != nil {
		return err
	}
	s.notify()
	return nil
}

// Pause stops all answers and replication. Connections stay open, and new ones are accepted by the
// operating system only.
func (s *Server) Pause() { s.paused.set(true) }

// Resume ends Pause.
func (s *Server) Resume() {
	s.paused.set(false)
	s.notify()
}

// Isolate cuts the server off from all callers, with shut set, or connects it again. Replication
// goes on. What callers sent meanwhile arrives afterwards.
func (s *Server) Isolate(shut bool) { s.isolated.set(shut) }

// DropAfterCommit makes the next n transactions that wrote end without an answer: they are
// committed, then the connection is closed.
func (s *Server) DropAfterCommit(n int) { s.dropCommits.Store(int64(n)) }

// DropMidResult closes the connection of the next result that has more than n rows, after n rows.
func (s *Server) DropMidResult(n int) { s.dropAfterRows.Store(int64(n) + 1) }

// SetResponseDelay delays each group of answers.
func (s *Server) SetResponseDelay(d time.Duration) { s.answerDelay.Store(int64(d)) }

// SetServiceTime changes the time that each statement holds its slot, at least.
func (s *Server) SetServiceTime(d time.Duration) { s.serviceTime.Store(int64(d)) }

// SetLag changes the delays of replication: from commit to receipt, and from receipt to application.
func (s *Server) SetLag(receive, apply time.Duration) {
	s.receiveLag.Store(int64(receive))
	s.applyLag.Store(int64(apply))
	s.notify()
}

// takeDropCommit reports whether this commit is to be left without an answer.
func (s *Server) takeDropCommit() bool {
	for {
		n := s.dropCommits.Load()
		if n <= 0 {
			return false
		}
		if s.dropCommits.CompareAndSwap(n, n-1) {
			return true
		}
	}
}

// takeDropRow reports whether the connection breaks after the given number of rows of a result.
func (s *Server) takeDropRow(sent int) bool {
	armed := s.dropAfterRows.Load()
	return armed > 0 && int64(sent) >= armed-1 && s.dropAfterRows.CompareAndSwap(armed, 0)
}

// notify wakes replication.
func (s *Server) notify() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}
