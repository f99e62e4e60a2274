package standin

import (
	"fmt"
	"sync"
	"time"
)

// GroupConfig describes the replica group of one service.
type GroupConfig struct {
	Targets int    // number of targets, at least 1; the first one is the primary
	Config  Config // of each stand-in; Target is the prefix of the targets' names, which are numbered from 1
}

// Group is the replica group of a service. Each Server is the stand-in for one target of it. They replicate
// asynchronously in memory.
type Group struct {
	// Servers holds the stand-ins in the order of their numbers.
	Servers []*Server

	mu  sync.Mutex
	cut map[replicationLink]bool // links that CutReplication has cut
}

// replicationLink is the path on which a replica receives the log.
type replicationLink struct{ from, to *Server }

// StartGroup starts the stand-ins of a group. The first one is the primary.
func StartGroup(cfg GroupConfig) (*Group, error) {
	g := &Group{cut: map[replicationLink]bool{}}
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
			s.primaryAddr = g.Servers[0].addr
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

// Close closes all stand-ins.
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

// CutReplication cuts replication from one stand-in to another, or restores it with cut false.
func (g *Group) CutReplication(from, to *Server, cut bool) {
	g.mu.Lock()
	g.cut[replicationLink{from, to}] = cut
	g.mu.Unlock()
	g.wakeReplication()
}

// isCut reports whether CutReplication has cut replication from one stand-in to another.
func (g *Group) isCut(from, to *Server) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cut[replicationLink{from, to}]
}

func (g *Group) wakeReplication() {
	for _, s := range g.Servers {
		s.wakeReplication()
	}
}

// serverAt returns the stand-in that listens at addr, nil if there is none.
func (g *Group) serverAt(addr string) *Server {
	for _, s := range g.Servers {
		if s.addr == addr {
			return s
		}
	}
	return nil
}

// idlePollInterval is the interval at which a replica polls its primary when no entry is due and nothing wakes
// it.
const idlePollInterval = time.Second

// replicate receives and applies the primary's log until Close.
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
	if s.pausedOrKilled() {
		return idlePollInterval
	}
	s.mu.Lock()
	primaryAddr, term, replica := s.primaryAddr, s.term, s.role == roleReplica
	s.mu.Unlock()
	if !replica {
		return idlePollInterval
	}
	var source *store
	primary := s.group.serverAt(primaryAddr)
	if primary != nil && !primary.pausedOrKilled() && !s.group.isCut(primary, s) {
		source = primary.logForReplica(term)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != roleReplica || s.term != term || s.primaryAddr != primaryAddr {
		return 0 // promoted, or made to follow another primary, meanwhile
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

// pausedOrKilled reports whether the stand-in is paused or killed. A killed one has no listener.
func (s *Server) pausedOrKilled() bool {
	if s.paused.isSet() {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener == nil
}

// logForReplica returns the log for a replica that follows the given term. It returns nil unless this stand-in
// is the primary of that term.
func (s *Server) logForReplica(term uint64) *store {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != rolePrimary || s.term != term {
		return nil
	}
	return &store{log: s.store.log} // no copy is needed: appended entries never change
}

// receiveDue copies the entries of source, the primary's log, that the primary appended at least the receive lag
// ago. It returns the time until the next one is due. Unless the log is verified, it first checks that the log
// is a prefix of source; if not, the stand-in becomes diverged. The caller holds the mutex.
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
		next := source.log[n]
		if wait := next.appendedAt.Add(lag).Sub(now); wait > 0 {
			return wait
		}
		next.appendedAt = now
		s.store.log = append(s.store.log, next)
	}
	return idlePollInterval
}

// applyDue applies the entries that were received at least the apply lag ago, and returns the time until the
// next one is due. Thus the receive lag counts from the primary's appendedAt, the apply lag from the replica's.
// The caller holds the mutex.
func (s *Server) applyDue(now time.Time) time.Duration {
	lag := time.Duration(s.applyLag.Load())
	for s.store.applied < len(s.store.log) {
		if wait := s.store.log[s.store.applied].appendedAt.Add(lag).Sub(now); wait > 0 {
			return wait
		}
		s.store.applyTo(s.store.applied + 1)
	}
	return idlePollInterval
}

// Rebuild replaces the data with a copy of the current primary's, and makes this stand-in its replica.
func (s *Server) Rebuild() error {
	if s.group == nil {
		return fmt.Errorf("rebuild of target %s: the target is not in a group", s.cfg.Target)
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
		return fmt.Errorf("rebuild of target %s: term %d of the primary is below term %d of the target", s.cfg.Target, term, s.term)
	}
	s.store, s.role, s.term, s.primaryAddr, s.logVerified = rebuilt, roleReplica, term, addr, true
	s.wakeReplication()
	return nil
}

// Role returns the role in the group: "primary", "replica" or "diverged".
func (s *Server) Role() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.role
}

// Term returns the highest term that the stand-in has accepted.
func (s *Server) Term() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.term
}
