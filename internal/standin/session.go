package standin

import (
	"context"
	"crypto/rand"
	"errors"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/citronrun/citronrun/internal/groupctl"
	"github.com/citronrun/citronrun/internal/pgwire"
)

// flushBytes is the number of response bytes after which a session writes to the network.
const flushBytes = 16 << 10

// errClosed ends a session without a message to the client.
var errClosed = errors.New("connection closed by a fault control")

// session serves one connection.
type session struct {
	srv     *Server
	conn    net.Conn
	be      *pgproto3.Backend
	life    context.Context
	pid     uint32
	secret  []byte
	user    string
	control bool // may call only control functions, and doesn't count as a work connection

	tx       *transaction // open transaction; set and cleared under the server's mutex
	block    bool         // tx was begun by BEGIN
	failed   bool         // the transaction block has failed
	prepared map[string]*prepared
	portals  map[string]*portal
	skipping bool // an extended request failed; skip to the next Sync
	buffered int  // response bytes since the last flush, roughly

	mu     sync.Mutex
	cancel context.CancelFunc // ends the running statement, nil when there is none
}

// serveConn serves one connection until it ends.
func (s *Server) serveConn(conn net.Conn, life context.Context) {
	c := &session{
		srv:      s,
		conn:     conn,
		be:       pgproto3.NewBackend(conn, conn),
		life:     life,
		secret:   make([]byte, 4),
		prepared: map[string]*prepared{},
		portals:  map[string]*portal{},
	}
	_, _ = rand.Read(c.secret) // never fails
	if !c.startup() {
		return
	}
	defer s.dismiss(c)
	for c.serveOne() {
	}
}

// pass waits while the server is paused or isolated.
func (c *session) pass() bool {
	return c.srv.paused.wait(c.life.Done()) && c.srv.isolated.wait(c.life.Done()) && c.life.Err() == nil
}

// startup performs the start of the protocol. It reports whether the session may go on.
func (c *session) startup() bool {
	for {
		msg, err := c.be.ReceiveStartupMessage()
		if err != nil || !c.pass() {
			return false
		}
		switch m := msg.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := c.conn.Write([]byte{'N'}); err != nil {
				return false
			}
		case *pgproto3.CancelRequest:
			c.srv.cancelStatement(m.ProcessID, m.SecretKey)
			return false
		case *pgproto3.StartupMessage:
			return c.welcome(m)
		}
	}
}

func (c *session) welcome(m *pgproto3.StartupMessage) bool {
	c.user = m.Parameters["user"]
	c.control = m.Parameters["application_name"] == groupctl.ApplicationName
	password, err := c.authenticate()
	params := make(map[string]string, len(m.Parameters))
	for k, v := range m.Parameters {
		params[k] = v
	}
	c.srv.record(AuditEntry{User: c.user, Password: password, Params: params})
	if err == nil {
		err = sleep(c.life, c.srv.cfg.ConnectTime)
	}
	if err == nil {
		err = c.srv.admit(c)
	}
	if err != nil {
		c.be.Send(errorResponse("FATAL", err))
		_ = c.flush()
		return false
	}
	c.be.Send(&pgproto3.AuthenticationOk{})
	for _, p := range startupStatuses {
		c.be.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	c.reportPosition()
	c.be.Send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: c.secret})
	return c.ready() == nil
}

var startupStatuses = [][2]string{
	{"server_version", serverVersion},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"TimeZone", "UTC"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
}

func (c *session) authenticate() (password string, err error) {
	if c.srv.cfg.Password == "" {
		return "", nil
	}
	c.be.Send(&pgproto3.AuthenticationCleartextPassword{})
	if err := c.be.SetAuthType(pgproto3.AuthTypeCleartextPassword); err != nil {
		return "", err
	}
	if err := c.flush(); err != nil {
		return "", err
	}
	msg, err := c.be.Receive()
	if err != nil {
		return "", err
	}
	m, ok := msg.(*pgproto3.PasswordMessage)
	if !ok || m.Password != c.srv.cfg.Password {
		err = sqlError(codePassword, "password authentication failed for user %q", c.user)
	}
	if ok {
		password = m.Password
	}
	return password, err
}

// reportPosition sends the position of a primary.
func (c *session) reportPosition() {
	c.srv.mu.Lock()
	primary, pos := c.srv.role == rolePrimary, c.srv.store.received()
	c.srv.mu.Unlock()
	if primary {
		c.be.Send(&pgproto3.ParameterStatus{Name: pgwire.ParameterPosition, Value: pos.String()})
	}
}

// flush writes the buffered responses.
func (c *session) flush() error {
	if d := time.Duration(c.srv.answerDelay.Load()); d > 0 {
		if err := sleep(c.life, d); err != nil {
			return errClosed
		}
	}
	if !c.pass() {
		return errClosed
	}
	c.buffered = 0
	return c.be.Flush()
}

// ready sends ReadyForQuery and flushes.
func (c *session) ready() error {
	status := byte(pgwire.TxIdle)
	switch {
	case c.failed:
		status = pgwire.TxFailed
	case c.block:
		status = pgwire.TxBlock
	}
	c.be.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	return c.flush()
}

// serveOne handles one message. It reports whether the session goes on.
func (c *session) serveOne() bool {
	msg, err := c.be.Receive()
	if err != nil || !c.pass() {
		return false
	}
	if c.skipping {
		switch msg.(type) {
		case *pgproto3.Sync, *pgproto3.Terminate:
		default:
			return true
		}
	}
	switch m := msg.(type) {
	case *pgproto3.Terminate:
		return false
	case *pgproto3.Query:
		return c.simple(m.String) == nil
	case *pgproto3.Sync:
		return c.sync() == nil
	case *pgproto3.Flush:
		return c.flush() == nil
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return true // left over from a COPY that failed
	}
	return c.extended(msg) == nil
}

// extended handles a request of the extended protocol other than Sync and Flush.
func (c *session) extended(msg pgproto3.FrontendMessage) error {
	var err error
	switch m := msg.(type) {
	case *pgproto3.Parse:
		err = c.parse(m)
	case *pgproto3.Bind:
		err = c.bind(m)
	case *pgproto3.Describe:
		err = c.describe(m)
	case *pgproto3.Execute:
		err = c.executePortal(m)
	case *pgproto3.Close:
		c.close(m)
	default:
		err = sqlError(codeProtocol, "unexpected message %T", msg)
	}
	if err == nil {
		return nil
	}
	c.skipping = true
	if err := c.fail(err); err != nil {
		return err
	}
	return c.flush() // PostgreSQL writes errors at once, too
}

// fail reports a statement's error and fails the transaction. It returns an error only when the
// session must end.
func (c *session) fail(err error) error {
	if _, ok := errors.AsType[*pgError](err); !ok {
		return err
	}
	c.abort()
	if c.block {
		c.failed = true
	}
	c.be.Send(errorResponse("ERROR", err))
	return nil
}

// sync ends an implicit transaction and answers ReadyForQuery.
func (c *session) sync() error {
	c.skipping = false
	if !c.block {
		if err := c.commit(); err != nil {
			if err := c.fail(err); err != nil {
				return err
			}
		}
		clear(c.portals)
	}
	return c.ready()
}

// begin opens a transaction unless there is one.
func (c *session) begin(readOnly bool) {
	if c.tx != nil {
		return
	}
	c.srv.mu.Lock()
	defer c.srv.mu.Unlock()
	c.tx = newTransaction(readOnly)
}

// commit ends the transaction, if there is one, and reports the position.
func (c *session) commit() error {
	if c.tx == nil {
		return nil
	}
	if !c.srv.paused.wait(c.life.Done()) || c.life.Err() != nil {
		return errClosed // a stopped process commits nothing
	}
	tx := c.takeTx()
	pos, err := c.srv.commit(tx)
	if err != nil {
		return err
	}
	if tx.wrote && c.srv.takeDropCommit() {
		return errClosed
	}
	if !tx.readOnly && !pos.IsZero() {
		c.be.Send(&pgproto3.ParameterStatus{Name: pgwire.ParameterPosition, Value: pos.String()})
	}
	return nil
}

func (c *session) abort() {
	if c.tx != nil {
		c.srv.rollback(c.takeTx())
	}
}

func (c *session) takeTx() *transaction {
	c.srv.mu.Lock()
	defer c.srv.mu.Unlock()
	tx := c.tx
	c.tx = nil
	return tx
}

// interrupt cancels the running statement, if there is one.
func (c *session) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancel != nil {
		c.cancel()
	}
}

// statementContext returns a context that ends with a cancel request or Kill. The caller calls done
// when the statement has ended.
func (c *session) statementContext() (ctx context.Context, done func()) {
	ctx, cancel := context.WithCancel(c.life)
	c.mu.Lock()
	c.cancel = cancel
	c.mu.Unlock()
	return ctx, func() {
		c.mu.Lock()
		c.cancel = nil
		c.mu.Unlock()
		cancel()
	}
}

// settings are the names that drivers set at connect or per transaction.
var settings = []string{
	"application_name", "client_encoding", "datestyle", "extra_float_digits", "intervalstyle",
	"lock_timeout", "search_path", "standard_conforming_strings", "statement_timeout", "timezone",
	"time", "bytea_output", "client_min_messages", "synchronous_commit", "default_transaction_read_only",
}

func (c *session) set(st *stmt) error {
	if !slices.Contains(settings, st.name) {
		return sqlError(codeNotSupported, "SET %s is not supported by the stand-in", st.name)
	}
	return nil
}
