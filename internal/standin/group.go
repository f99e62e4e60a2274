package standin

import (
	"fmt"
	"sync"
	"time"
)

// GroupConfig describes the databases of one service.
type GroupConfig struct {
	Databases int    // at least 1; the first one is the primary
	Config    Config // for each database; Target is a prefix that gets a number from 1
}

// Group is a service of stand-in targets with asynchronous replication in memory.
type Group struct {
	// Servers holds the databases in the order of their numbers.
	Servers []*Server

	mu  sync.Mutex
	cut map[link]bool
}

type link struct{ from, to *Server }

// StartGroup starts the databases of a service. The first one is the primary.
func StartGroup(cfg GroupConfig) (*Group, error) {
	g := &Group{cut: map[link]bool{}}
	for i := range max(cfg.Databases, 1) {
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
		s.running.Add(1)
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

// Primary returns the primary of the highest term, nil if there is none.
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

// CutReplication cuts the link on which the log goes from one database to another, or restores it.
func (g *Group) CutReplication(from, to *Server, cut bool) {
	g.mu.Lock()
	g.cut[link{from, to}] = cut
	g.mu.Unlock()
	g.notify()
}

func (g *Group) isCut(from, to *Server) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.cut[link{from, to}]
}

func (g *Group) notify() {
	for _, s := range g.Servers {
		s.notify()
	}
}

func (g *Group) at(addr string) *Server {
	for _, s := range g.Servers {
		if s.addr == addr {
			return s
		}
	}
	return nil
}

// idleWait is the time between two looks at the upstream when nothing is due and nothing wakes the
// replica.
const idleWait = time.Second

// replicate receives and applies the log until the server is closed.
func (s *Server) replicate() {
	defer s.running.Done()
	for {
		timer := time.NewTimer(s.step())
		select {
		case <-s.wake:
		case <-timer.C:
		case <-s.closed:
			timer.Stop()
			return
		}
		timer.Stop()
	}
}

// step receives and applies what is due, and returns the time until more is due.
func (s *Server) step() time.Duration {
	if s.stopped() {
		return idleWait
	}
	s.mu.Lock()
	upstream, term, replica := s.upstream, s.term, s.role == roleReplica
	s.mu.Unlock()
	if !replica {
		return idleWait
	}
	var source *store
	up := s.group.at(upstream)
	if up != nil && !up.stopped() && !s.group.isCut(up, s) {
		source = up.sourceFor(term)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != roleReplica || s.term != term || s.upstream != upstream {
		return 0 // changed meanwhile
	}
	now := time.Now()
	wait := idleWait
	if source != nil {
		wait = s.receive(source, now)
	}
	if !s.linked || s.role != roleReplica {
		return wait
	}
	return min(wait, s.applyDue(now))
}

// stopped reports whether the process doesn't run.
func (s *Server) stopped() bool {
	if s.paused.isShut() {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener == nil
}

// sourceFor returns the log for replicas of the given term, nil if this isn't their primary.
func (s *Server) sourceFor(term uint64) *store {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.role != rolePrimary || s.term != term {
		return nil
	}
	return &store{log: s.store.log} // entries are never changed after they were appended
}

// receive compares the logs if necessary, and copies the entries that are due.
func (s *Server) receive(source *store, now time.Time) time.Duration {
	if !s.linked {
		if !s.store.agrees(source) {
			s.role = roleDiverged
			return idleWait
		}
		s.linked = true
	}
	lag := time.Duration(s.receiveLag.Load())
	for n := len(s.store.log); n < len(source.log); n++ {
		e := source.log[n]
		if wait := e.at.Add(lag).Sub(now); wait > 0 {
			return wait
		}
		e.at = now
		s.store.log = append(s.store.log, e)
	}
	return idleWait
}

// applyDue applies the entries that are due.
func (s *Server) applyDue(now time.Time) time.Duration {
	lag := time.Duration(s.applyLag.Load())
	for s.store.applied < len(s.store.log) {
		if wait := s.store.log[s.store.applied].at.Add(lag).Sub(now); wait > 0 {
			return wait
		}
		s.store.applyTo(s.store.applied + 1)
	}
	return idleWait
}

// Rebuild replaces the data by a copy of the current primary's, and makes this server its replica.
func (s *Server) Rebuild() error {
	if s.group == nil {
		return fmt.Errorf("target %s is not in a group", s.cfg.Target)
	}
	up := s.group.Primary()
	if up == nil || up == s {
		return fmt.Errorf("target %s has no primary to copy", s.cfg.Target)
	}
	up.mu.Lock()
	log, term, addr := up.store.log, up.term, up.addr
	up.mu.Unlock()
	fresh := newStore()
	fresh.log = append(fresh.log, log...)
	fresh.applyTo(len(fresh.log))
	s.mu.Lock()
	defer s.mu.Unlock()
	if term < s.term {
		return fmt.Errorf("the primary has term %d, below the term %d of target %s", term, s.term, s.cfg.Target)
	}
	s.store, s.role, s.term, s.upstream, s.linked = fresh, roleReplica, term, addr, true
	s.notify()
	return nil
}

// Role returns the role in the group: primary, replica or diverged.
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
