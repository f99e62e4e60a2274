// Package standin is a stand-in for a target: a small database in memory that speaks the PostgreSQL
// protocol, replicates asynchronously within a group, and fails on request. It serves tests and the
// demo. It knows just enough SQL for them, and it keeps nothing on disk.
package standin

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Roles of a server in its group.
const (
	rolePrimary  = "primary"
	roleReplica  = "replica"
	roleDiverged = "diverged"
)

const (
	serverVersion = "16.0"
	// defaultLockTimeout bounds the wait for a row that another transaction has changed.
	defaultLockTimeout = 2 * time.Second
	// maxAudit bounds the audit log; later statements aren't recorded.
	maxAudit = 100_000
)

// Config describes one stand-in target. The zero value is a primary without limits or delays.
type Config struct {
	Target      string        // name
	Database    string        // name reported by current_database()
	Password    string        // empty: no password is asked for
	Slots       int           // statements executing at once; 0 has no limit
	MaxConns    int           // connections open at once, without control connections; 0 has no limit
	ConnectTime time.Duration // time to open a connection
	ServiceTime time.Duration // time that each statement holds its slot, at least
	LockTimeout time.Duration // wait for a locked row before 40001; 0 means 2 s
	Term        uint64        // initial term; 0 means 1
	Audit       bool          // keep the audit log
}

// Server is a stand-in target. Its methods are safe for concurrent use.
type Server struct {
	cfg   Config
	addr  string
	slots chan struct{} // nil without a limit
	group *Group        // nil outside of a group

	serviceTime   atomic.Int64 // ns
	receiveLag    atomic.Int64 // ns
	applyLag      atomic.Int64 // ns
	answerDelay   atomic.Int64 // ns
	executed      atomic.Uint64
	dropCommits   atomic.Int64 // commits still to be left without an answer
	dropAfterRows atomic.Int64 // rows before the next break, plus 1; 0 is off
	paused        gate         // the whole process
	isolated      gate         // traffic with callers
	wake          chan struct{}
	closed        chan struct{} // closed by Close
	closeOnce     sync.Once
	running       sync.WaitGroup

	mu       sync.Mutex
	store    *store
	role     string
	term     uint64
	upstream string // address of the primary that a replica follows
	linked   bool   // the log was found to agree with the upstream's
	listener net.Listener
	life     context.Context // ends with Kill
	kill     context.CancelFunc
	sessions map[uint32]*session
	nextPID  uint32
	working  int // connections that count towards MaxConns
	audit    []AuditEntry
}

// AuditEntry records a connect (with Params set) or a statement that arrived.
type AuditEntry struct {
	PID      uint32
	User     string
	Password string            // as received at connect
	Params   map[string]string // startup parameters at connect, else nil
	SQL      string
	Args     []string // parameters of Bind
}

// Start starts a primary on a free port of the loopback interface.
func Start(cfg Config) (*Server, error) {
	s := newServer(cfg, rolePrimary)
	if err := s.listen("127.0.0.1:0"); err != nil {
		return nil, err
	}
	return s, nil
}

func newServer(cfg Config, role string) *Server {
	if cfg.LockTimeout <= 0 {
		cfg.LockTimeout = defaultLockTimeout
	}
	cfg.Term = max(cfg.Term, 1)
	s := &Server{
		cfg:      cfg,
		wake:     make(chan struct{}, 1),
		closed:   make(chan struct{}),
		store:    newStore(),
		role:     role,
		term:     cfg.Term,
		linked:   true,
		sessions: map[uint32]*session{},
	}
	if cfg.Slots > 0 {
		s.slots = make(chan struct{}, cfg.Slots)
	}
	s.serviceTime.Store(int64(cfg.ServiceTime))
	s.store.append(cfg.Term, initialTables())
	return s
}

func initialTables() []change {
	booking := &table{name: "booking", columns: []column{{"id", oidText}, {"visitor", oidText}, {"status", oidText}}}
	repair := &table{name: "repair", columns: []column{{"id", oidText}, {"stall", oidText}, {"status", oidText}}}
	return []change{{create: booking}, {create: repair}}
}

// Addr returns the address IP:PORT.
func (s *Server) Addr() string { return s.addr }

// Target returns the name.
func (s *Server) Target() string { return s.cfg.Target }

func (s *Server) listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("stand-in target: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.addr == "" { // read without the mutex afterwards
		s.addr = l.Addr().String()
	}
	s.listener = l
	s.life, s.kill = context.WithCancel(context.Background())
	s.running.Add(1)
	go s.accept(l, s.life)
	return nil
}

func (s *Server) accept(l net.Listener, life context.Context) {
	defer s.running.Done()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.running.Add(1)
		go func() {
			defer s.running.Done()
			defer c.Close()
			stop := context.AfterFunc(life, func() { _ = c.Close() })
			defer stop()
			s.serveConn(c, life)
		}()
	}
}

// Close stops the server for good and waits for its goroutines.
func (s *Server) Close() {
	s.closeOnce.Do(func() { close(s.closed) })
	s.Kill()
	s.running.Wait()
}

// Executed returns the number of statements that were executed, without control functions and
// statements that only begin or end a transaction.
func (s *Server) Executed() uint64 { return s.executed.Load() }

// Audit returns what arrived so far, if Config.Audit is set.
func (s *Server) Audit() []AuditEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]AuditEntry(nil), s.audit...)
}

func (s *Server) record(e AuditEntry) {
	if !s.cfg.Audit {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.audit) < maxAudit {
		s.audit = append(s.audit, e)
	}
}

// Connections returns the number of open connections, without control connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.working
}

// admit registers a session, or refuses it when there are too many.
func (s *Server) admit(c *session) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.control {
		if s.cfg.MaxConns > 0 && s.working >= s.cfg.MaxConns {
			return sqlError(codeTooManyConns, "sorry, too many clients already")
		}
		s.working++
	}
	s.nextPID++
	c.pid = s.nextPID
	s.sessions[c.pid] = c
	return nil
}

func (s *Server) dismiss(c *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions[c.pid] != c {
		return
	}
	delete(s.sessions, c.pid)
	if !c.control {
		s.working--
	}
	if c.tx != nil {
		s.store.finish(c.tx)
	}
}

// cancelStatement handles a cancel request. A wrong secret has no effect.
func (s *Server) cancelStatement(pid uint32, secret []byte) {
	s.mu.Lock()
	c := s.sessions[pid]
	s.mu.Unlock()
	if c != nil && string(c.secret) == string(secret) {
		c.interrupt()
	}
}
