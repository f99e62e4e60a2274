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

// flushBytes is the number of buffered response bytes at which a session flushes.
const flushBytes = 16 << 10

// errConnClosed ends a session without an error response to the client.
var errConnClosed = errors.New("connection closed by fault injection")

// session is the state of one client connection.
type session struct {
	srv         *Server
	conn        net.Conn
	backend     *pgproto3.Backend
	runCtx      context.Context
	pid         uint32
	secret      []byte
	user        string
	controlOnly bool // control connection: runs only control functions, and doesn't count towards MaxConns

	tx            *transaction // open transaction; set and cleared under the server's mutex
	inBlock       bool         // in a transaction block, that is after BEGIN
	blockFailed   bool         // the transaction block has failed
	statements    map[string]*prepared
	portals       map[string]*portal
	skipToSync    bool // an extended request failed; messages are skipped up to the next Sync
	bufferedBytes int  // approximate size of the responses since the last flush

	mu              sync.Mutex
	cancelStatement context.CancelFunc // cancels the running statement; nil when none runs
}

// serveConn serves one connection until it ends.
func (s *Server) serveConn(conn net.Conn, runCtx context.Context) {
	c := &session{
		srv:        s,
		conn:       conn,
		backend:    pgproto3.NewBackend(conn, conn),
		runCtx:     runCtx,
		secret:     make([]byte, 4),
		statements: map[string]*prepared{},
		portals:    map[string]*portal{},
	}
	_, _ = rand.Read(c.secret) // never fails
	if !c.startup() {
		return
	}
	defer s.unregisterSession(c)
	for c.serveMessage() {
	}
}

// waitWhilePausedOrIsolated waits while the stand-in is paused or isolated. It returns false when the session
// must end because the stand-in was killed.
func (c *session) waitWhilePausedOrIsolated() bool {
	return c.srv.paused.waitUntilCleared(c.runCtx.Done()) && c.srv.isolated.waitUntilCleared(c.runCtx.Done()) && c.runCtx.Err() == nil
}

// startup performs the startup phase of the protocol. It reports whether the session is established.
func (c *session) startup() bool {
	for {
		msg, err := c.backend.ReceiveStartupMessage()
		if err != nil || !c.waitWhilePausedOrIsolated() {
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
			return c.startSession(m)
		}
	}
}

// startSession authenticates the client, registers the session and completes the startup phase.
func (c *session) startSession(m *pgproto3.StartupMessage) bool {
	c.user = m.Parameters["user"]
	c.controlOnly = m.Parameters["application_name"] == groupctl.ApplicationName
	password, err := c.authenticate()
	params := make(map[string]string, len(m.Parameters))
	for k, v := range m.Parameters {
		params[k] = v
	}
	c.srv.recordAudit(AuditEntry{User: c.user, Password: password, Params: params})
	if err == nil {
		err = sleep(c.runCtx, c.srv.cfg.ConnectTime)
	}
	if err == nil {
		err = c.srv.registerSession(c)
	}
	if err != nil {
		c.backend.Send(errorResponse("FATAL", err))
		_ = c.flush()
		return false
	}
	c.backend.Send(&pgproto3.AuthenticationOk{})
	for _, p := range startupParameters {
		c.backend.Send(&pgproto3.ParameterStatus{Name: p[0], Value: p[1]})
	}
	c.reportPosition()
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: c.secret})
	return c.sendReady() == nil
}

// startupParameters are the parameter statuses that are sent at startup.
var startupParameters = [][2]string{
	{"server_version", serverVersion},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"DateStyle", "ISO, MDY"},
	{"TimeZone", "UTC"},
	{"integer_datetimes", "on"},
	{"standard_conforming_strings", "on"},
}

// authenticate requests the cleartext password, if one is configured, and checks it. It returns the received
// password for the audit, also with an error.
func (c *session) authenticate() (password string, err error) {
	if c.srv.cfg.Password == "" {
		return "", nil
	}
	c.backend.Send(&pgproto3.AuthenticationCleartextPassword{})
	if err := c.backend.SetAuthType(pgproto3.AuthTypeCleartextPassword); err != nil {
		return "", err
	}
	if err := c.flush(); err != nil {
		return "", err
	}
	msg, err := c.backend.Receive()
	if err != nil {
		return "", err
	}
	m, ok := msg.(*pgproto3.PasswordMessage)
	if !ok || m.Password != c.srv.cfg.Password {
		err = sqlError(codeInvalidPassword, "password authentication failed for user %q", c.user)
	}
	if ok {
		password = m.Password
	}
	return password, err
}

// reportPosition sends the received position as a parameter status if this stand-in is the primary.
func (c *session) reportPosition() {
	c.srv.mu.Lock()
	primary, pos := c.srv.role == rolePrimary, c.srv.store.received()
	c.srv.mu.Unlock()
	if primary {
		c.backend.Send(&pgproto3.ParameterStatus{Name: pgwire.ParameterPosition, Value: pos.String()})
	}
}

// flush writes the buffered responses to the network, after the configured response delay.
func (c *session) flush() error {
	if d := time.Duration(c.srv.responseDelay.Load()); d > 0 {
		if err := sleep(c.runCtx, d); err != nil {
			return errConnClosed
		}
	}
	if !c.waitWhilePausedOrIsolated() {
		return errConnClosed
	}
	c.bufferedBytes = 0
	return c.backend.Flush()
}

// sendReady sends ReadyForQuery with the transaction status, and flushes.
func (c *session) sendReady() error {
	status := byte(pgwire.TxIdle)
	switch {
	case c.blockFailed:
		status = pgwire.TxFailed
	case c.inBlock:
		status = pgwire.TxBlock
	}
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: status})
	return c.flush()
}

// serveMessage handles one message. It reports whether the session continues.
func (c *session) serveMessage() bool {
	msg, err := c.backend.Receive()
	if err != nil || !c.waitWhilePausedOrIsolated() {
		return false
	}
	if c.skipToSync {
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
		return c.simpleQuery(m.String) == nil
	case *pgproto3.Sync:
		return c.sync() == nil
	case *pgproto3.Flush:
		return c.flush() == nil
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		return true // sent before the client noticed that its COPY failed
	}
	return c.extendedMessage(msg) == nil
}

// extendedMessage handles a message of the extended query protocol other than Sync and Flush.
func (c *session) extendedMessage(msg pgproto3.FrontendMessage) error {
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
	c.skipToSync = true
	if err := c.reportError(err); err != nil {
		return err
	}
	return c.flush() // as PostgreSQL, which flushes an error before the Sync
}

// reportError sends a statement's error to the client and fails the transaction. It returns an error
// only when the session must end.
func (c *session) reportError(err error) error {
	if _, ok := errors.AsType[*pgError](err); !ok {
		return err
	}
	c.rollback()
	if c.inBlock {
		c.blockFailed = true
	}
	c.backend.Send(errorResponse("ERROR", err))
	return nil
}

// sync commits an implicit transaction and sends ReadyForQuery.
func (c *session) sync() error {
	c.skipToSync = false
	if !c.inBlock {
		if err := c.commit(); err != nil {
			if err := c.reportError(err); err != nil {
				return err
			}
		}
		clear(c.portals)
	}
	return c.sendReady()
}

// begin opens a transaction unless one is open.
func (c *session) begin(readOnly bool) {
	if c.tx != nil {
		return
	}
	c.srv.mu.Lock()
	defer c.srv.mu.Unlock()
	c.tx = newTransaction(readOnly)
}

// commit commits the open transaction, if any, and reports the primary's position to the client.
func (c *session) commit() error {
	if c.tx == nil {
		return nil
	}
	if !c.srv.paused.waitUntilCleared(c.runCtx.Done()) || c.runCtx.Err() != nil {
		return errConnClosed // a paused process commits nothing until it is resumed, a killed one never
	}
	tx := c.detachTx()
	pos, err := c.srv.commit(tx)
	if err != nil {
		return err
	}
	if tx.wrote && c.srv.takeCommitClose() {
		return errConnClosed
	}
	if !tx.readOnly && !pos.IsZero() {
		c.backend.Send(&pgproto3.ParameterStatus{Name: pgwire.ParameterPosition, Value: pos.String()})
	}
	return nil
}

func (c *session) rollback() {
	if c.tx != nil {
		c.srv.rollback(c.detachTx())
	}
}

// detachTx removes the open transaction from the session and returns it.
func (c *session) detachTx() *transaction {
	c.srv.mu.Lock()
	defer c.srv.mu.Unlock()
	tx := c.tx
	c.tx = nil
	return tx
}

// interruptStatement cancels the running statement, if any.
func (c *session) interruptStatement() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cancelStatement != nil {
		c.cancelStatement()
	}
}

// statementContext returns a context that is cancelled by a cancel request or by Kill. The caller must
// call done when the statement has ended.
func (c *session) statementContext() (ctx context.Context, done func()) {
	ctx, cancel := context.WithCancel(c.runCtx)
	c.mu.Lock()
	c.cancelStatement = cancel
	c.mu.Unlock()
	return ctx, func() {
		c.mu.Lock()
		c.cancelStatement = nil
		c.mu.Unlock()
		cancel()
	}
}

// acceptedSettings are the parameters that drivers set at connect or per transaction. SET accepts them
// without effect.
var acceptedSettings = []string{
	"application_name", "client_encoding", "datestyle", "extra_float_digits", "intervalstyle",
	"lock_timeout", "search_path", "standard_conforming_strings", "statement_timeout", "timezone",
	"time", "bytea_output", "client_min_messages", "synchronous_commit", "default_transaction_read_only",
}

func (c *session) set(st *stmt) error {
	if !slices.Contains(acceptedSettings, st.name) {
		return sqlError(codeNotSupported, "SET %s is not supported by the stand-in", st.name)
	}
	return nil
}
