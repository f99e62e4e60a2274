// Package standin implements a stand-in for a target: a small in-memory database that speaks the
// PostgreSQL protocol, replicates asynchronously within a group, and injects faults on request. Tests,
// benchmarks and the demo use it. It supports only the SQL that they need and stores nothing on disk.
package standin

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Roles of a server in its group. A diverged server has log entries that its primary lacks; it serves
// nothing until Rebuild.
const (
	rolePrimary  = "primary"
	roleReplica  = "replica"
	roleDiverged = "diverged"
)

const (
	serverVersion = "16.0"
	// defaultLockTimeout limits the wait for a row that another transaction has locked.
	defaultLockTimeout = 2 * time.Second
	// maxAuditEntries limits the audit log; later entries are not recorded.
	maxAuditEntries = 100_000
)

// Config describes one stand-in target. The zero value is a primary without limits or delays.
type Config struct {
	Target           string        // name of the target
	Database         string        // name reported by current_database()
	Password         string        // expected cleartext password; empty: no authentication
	Slots            int           // concurrently executing statements; 0: no limit
	MaxConns         int           // open connections, control connections excluded; 0: no limit
	ConnectTime      time.Duration // added delay of opening a connection
	MinStatementTime time.Duration // minimum time that each statement holds its slot
	LockTimeout      time.Duration // wait for a locked row before SQLSTATE 40001; 0: 2 s
	Term             uint64        // initial term; 0: 1
	Audit            bool          // record connects and statements for Server.Audit
}

// Server is a stand-in target. Its methods are safe for concurrent use.
type Server struct {
	cfg   Config
	addr  string
	slots chan struct{} // semaphore of executing statements; nil without a limit
	group *Group        // nil outside of a group

	serviceTime      atomic.Int64 // ns
	receiveLag       atomic.Int64 // ns
	applyLag         atomic.Int64 // ns
	responseDelay    atomic.Int64 // ns
	executed         atomic.Uint64
	commitDropsLeft  atomic.Int64  // commits whose response is still to be dropped
	rowDropThreshold atomic.Int64  // rows to send before the connection is dropped, plus 1; 0: off
	paused           gate          // stops responses and replication, as a stopped process does
	isolated         gate          // stops only the traffic with callers
	replicationWake  chan struct{} // wakes the goroutine that replicates
	closed           chan struct{} // closed by Close
	closeOnce        sync.Once
	goroutines       sync.WaitGroup

	mu          sync.Mutex
	store       *store
	role        string
	term        uint64
	upstream    string // address of the primary that this replica follows
	logVerified bool   // the log is known to be a prefix of the upstream's
	listener    net.Listener
	runCtx      context.Context // cancelled by Kill
	cancelRun   context.CancelFunc
	sessions    map[uint32]*session
	lastPID     uint32
	clientConns int // open connections that count towards MaxConns
	audit       []AuditEntry
}

// AuditEntry records a connect, with Params set, or a received statement.
type AuditEntry struct {
	PID      uint32
	User     string
	Password string            // as received at connect
	Params   map[string]string // startup parameters of a connect, nil for a statement
	SQL      string
	Args     []string // parameters of a Bind message
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
		cfg:             cfg,
		replicationWake: make(chan struct{}, 1),
		closed:          make(chan struct{}),
		store:           newStore(),
		role:            role,
		term:            cfg.Term,
		logVerified:     true,
		sessions:        map[uint32]*session{},
	}
	if cfg.Slots > 0 {
		s.slots = make(chan struct{}, cfg.Slots)
	}
	s.serviceTime.Store(int64(cfg.MinStatementTime))
	s.store.append(cfg.Term, initialTables())
	return s
}

func initialTables() []change {
	booking := &table{name: "booking", columns: []column{{"id", oidText}, {"visitor", oidText}, {"status", oidText}}}
	repair := &table{name: "repair", columns: []column{{"id", oidText}, {"stall", oidText}, {"status", oidText}}}
	return []change{{create: booking}, {create: repair}}
}

// Addr returns the listen address as IP:PORT.
func (s *Server) Addr() string { return s.addr }

// Target returns the name of the target.
func (s *Server) Target() string { return s.cfg.Target }

func (s *Server) listen(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("stand-in target: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.addr == "" { // set only once, since it is read without the mutex afterwards
		s.addr = l.Addr().String()
	}
	s.listener = l
	s.runCtx, s.cancelRun = context.WithCancel(context.Background())
	s.goroutines.Add(1)
	go s.accept(l, s.runCtx)
	return nil
}

func (s *Server) accept(l net.Listener, runCtx context.Context) {
	defer s.goroutines.Done()
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.goroutines.Add(1)
		go func() {
			defer s.goroutines.Done()
			defer c.Close()
			stop := context.AfterFunc(runCtx, func() { _ = c.Close() })
			defer stop()
			s.serveConn(c, runCtx)
		}()
	}
}

// Close stops the server permanently and waits for its goroutines.
func (s *Server) Close() {
	s.closeOnce.Do(func() { close(s.closed) })
	s.Kill()
	s.goroutines.Wait()
}

// Executed returns the number of executed statements. Control functions, SET, SHOW, and statements that
// only begin or end a transaction are not counted.
func (s *Server) Executed() uint64 { return s.executed.Load() }

// Audit returns the connects and statements received so far, if Config.Audit is set.
func (s *Server) Audit() []AuditEntry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]AuditEntry(nil), s.audit...)
}

func (s *Server) recordAudit(e AuditEntry) {
	if !s.cfg.Audit {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.audit) < maxAuditEntries {
		s.audit = append(s.audit, e)
	}
}

// Connections returns the number of open connections, control connections excluded.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clientConns
}

// registerSession assigns a process id to a session, or refuses the session when MaxConns are open.
func (s *Server) registerSession(c *session) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !c.controlOnly {
		if s.cfg.MaxConns > 0 && s.clientConns >= s.cfg.MaxConns {
			return sqlError(codeTooManyConns, "sorry, too many clients already")
		}
		s.clientConns++
	}
	s.lastPID++
	c.pid = s.lastPID
	s.sessions[c.pid] = c
	return nil
}

// unregisterSession removes a session and ends its open transaction.
func (s *Server) unregisterSession(c *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sessions[c.pid] != c {
		return
	}
	delete(s.sessions, c.pid)
	if !c.controlOnly {
		s.clientConns--
	}
	if c.tx != nil {
		s.store.finish(c.tx)
	}
}

// cancelStatement handles a cancel request. A request with a wrong secret has no effect.
func (s *Server) cancelStatement(pid uint32, secret []byte) {
	s.mu.Lock()
	c := s.sessions[pid]
	s.mu.Unlock()
	if c != nil && string(c.secret) == string(secret) {
		c.interruptStatement()
	}
}
