package standin

import (
	"fmt"
	"sync"
	"time"
)

// GroupConfig describes the replica group of one service.
type GroupConfig struct {
	Targets int    // number of databases, at least 1; the first one is the primary
	Config  Config // of each database; Target is the prefix of the names, which are numbered from 1
}

// Group is the replica group of a service: stand-in targets that replicate asynchronously in memory.
type Group struct {
	// Servers holds the databases in the order of their numbers.
	Servers []*Server

	mu  sync.Mutex
	cut map[link]bool // links that CutReplication has cut
}

// link is the path on which a replica receives the log.
type link struct{ from, to *Server }

// StartGroup starts the databases of a service. The first one is the primary.
func StartGroup(cfg GroupConfig) (*Group, error) {
	g := &Group{cut: map[link]bool{}}
	for i := range max(cfg.Targets, 1) {
		c := cfg.Config
		c.Target = fmt.Sprintf("%s%d", cfg.Config.Target, i+1)
		role := roleReplica
		if i == 0 {
			role = rolePrimary
		}
		s := newServer(c, role)
		s.group = g
		if i > 0 {
			s.upstream = g.Servers[0].addr
		}
		if err := s.listen("127.0.0.1:0"); err != nil {
			g.Close()
			return nil, err
		}
		g.Servers = append(g.Servers, s)
	}
	for _, s := range g.Servers {
		s.goroutines.Add(1)
		go s.replicate()
	}
	return g, nil
}

// Close stops all databases.
func (g *Group) Close() {
	for _, s := range g.Servers {
		s.Close()
	}
}

// Primary returns the primary with the highest term, nil if there is none.
func (g *Group) Primary() *Server {
	var found *Server
	var highest uint64
	for _, s := range g.Servers {
		s.mu.Lock()
		if s.role == rolePrimary && s.term > highest {
			found, highest = s, s.term
		}
		s.mu.Unlock()
	}
	return found
}

// CutReplication cuts replication from one database to another, or restores it with cut false.
func (g *Group) CutReplication(from, to *Server, cut bool) {
	g.mu.Lock()
	g.cut[link{from, to}] = cut
	g.mu.Unlock()
	g.wakeReplication()
}

func (g *Group) isCut(from, to *Server) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cut[link{from, to}]
}

func (g *Group) wakeReplication() {
	for _, s := range g.Servers {
		s.wakeReplication()
	}
}

func (g *Group) serverAt(addr string) *Server {
	for _, s := range g.Servers {
		if s.addr == addr {
			return s
		}
	}
	return nil
}

// idlePollInterval is the interval at which a replica polls its upstream when no entry is due and
// nothing wakes it.
const idlePollInterval = time.Second

// replicate receives and applies the log until the server is closed.
func (s *Server) replicate() {
	defer s.goroutines.Done()
	for {
		timer := time.NewTimer(s.replicateOnce())
		select {
		case <-s.replicationWake:
		case <-timer.C:
		case <-s.closed:
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// replicateOnce receives and applies the entries that are due, and returns the time until the next call.
func (s *Server) replicateOnce() time.Duration {
	if s.stopped() {
		return idlePollInterval
	}
	s.mu.Lock()
	upstream, term, replica := s.upstream, s.term, s.role == roleReplica
	s.mu.Unlock()
	if !replica {
		return idlePollInterval
	}
	var source *store
	primary := s.group.serverAt(upstream)
	if primary != nil && !primary.stopped() && !s.group.isCut(primary, s) {
		source = primary.logForReplica(term)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != roleReplica || s.term != term || s.upstream != upstream {
		return 0 // promoted or given another primary meanwhile
	}
	now := time.Now()
	wait := idlePollInterval
	if source != nil {
		wait = s.receiveDue(source, now)
	}
	if !s.logVerified || s.role != roleReplica {
		return wait
	}
	return min(wait, s.applyDue(now))
}

// stopped reports whether the server is paused or killed.
func (s *Server) stopped() bool {
	if s.paused.isClosed() {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener == nil
}

// logForReplica returns the log for a replica that follows the given term. It returns nil unless this
// server is the primary of that term.
func (s *Server) logForReplica(term uint64) *store {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != rolePrimary || s.term != term {
		return nil
	}
	return &store{log: s.store.log} // no copy is needed: appended entries never change
}

// receiveDue copies the entries that are due by the receive lag, and returns the time until the next
// one. Unless the log is verified, it first checks that the log is a prefix of source; if not, the server
// becomes diverged. The caller holds the mutex.
func (s *Server) receiveDue(source *store, now time.Time) time.Duration {
	if !s.logVerified {
		if !s.store.isPrefixOf(source) {
			s.role = roleDiverged
			return idlePollInterval
		}
		s.logVerified = true
	}
	lag := time.Duration(s.receiveLag.Load())
	for n := len(s.store.log); n < len(source.log); n++ {
		received := source.log[n]
		if wait := received.receivedAt.Add(lag).Sub(now); wait > 0 {
			return wait
		}
		received.receivedAt = now
		s.store.log = append(s.store.log, received)
	}
	return idlePollInterval
}

// applyDue applies the entries that are due by the apply lag, and returns the time until the next one.
// The caller holds the mutex.
func (s *Server) applyDue(now time.Time) time.Duration {
	lag := time.Duration(s.applyLag.Load())
	for s.store.applied < len(s.store.log) {
		if wait := s.store.log[s.store.applied].receivedAt.Add(lag).Sub(now); wait > 0 {
			return wait
		}
		s.store.applyTo(s.store.applied + 1)
	}
	return idlePollInterval
}

// Rebuild replaces the data with a copy of the current primary's, and makes this server its replica.
func (s *Server) Rebuild() error {
	if s.group == nil {
		return fmt.Errorf("rebuild of target %s: it is not in a group", s.cfg.Target)
	}
	primary := s.group.Primary()
	if primary == nil || primary == s {
		return fmt.Errorf("rebuild of target %s: the group has no other primary to copy", s.cfg.Target)
	}
	primary.mu.Lock()
	log, term, addr := primary.store.log, primary.term, primary.addr
	primary.mu.Unlock()
	rebuilt := newStore()
	rebuilt.log = append(rebuilt.log, log...)
	rebuilt.applyTo(len(rebuilt.log))
	s.mu.Lock()
	defer s.mu.Unlock()
	if term < s.term {
		return fmt.Errorf("rebuild of target %s: term %d of the primary is below its own term %d", s.cfg.Target, term, s.term)
	}
	s.store, s.role, s.term, s.upstream, s.logVerified = rebuilt, roleReplica, term, addr, true
	s.wakeReplication()
	return nil
}

// Role returns the role in the group: "primary", "replica" or "diverged".
func (s *Server) Role() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.role
}

// Term returns the highest term that the server has accepted.
func (s *Server) Term() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.term
}
