package entry

import (
	"context"
	"time"

	"github.com/citronrun/citronrun/internal/pgwire"
	"github.com/citronrun/citronrun/internal/session"
	"github.com/citronrun/citronrun/internal/verdict"
)

const (
	codeFailedTransaction = "25P02"
	codeUnknownStatement  = "26000"
)

func (c *caller) handleRequest(f pgwire.Frame) error {
	switch f.Type() {
	case pgwire.Query:
		return c.handleQuery(f)
	case pgwire.Parse:
		return c.handleParse(f.Body())
	case pgwire.Bind:
		return c.handleBind(f.Body())
	case pgwire.Describe:
		return c.handleDescribe(f.Body())
	case pgwire.Execute:
		return c.handleExecute(f.Body())
	case pgwire.Close:
		return c.handleClose(f.Body())
	case pgwire.Flush:
		return c.handleFlush()
	case pgwire.Sync:
		return c.handleSync()
	}
	return protocolError("unsupported message type %q", f.Type())
}

func errMalformed(msgType byte) error { return protocolError("malformed message %q", msgType) }

func errFailedTransaction() error {
	return verdict.New(verdict.NotRun, codeFailedTransaction,
		"current transaction is aborted, commands ignored until end of transaction block")
}

// handleQuery handles a simple query.
func (c *caller) handleQuery(f pgwire.Frame) error {
	sql, _, ok := pgwire.CString(f.Body())
	if !ok {
		return errMalformed(pgwire.Query)
	}
	stmt := session.Classify(string(sql))
	if stmt.Kind == session.Unsupported {
		return c.refuse(stmt.Err, true)
	}
	if err := c.admit(stmt.Kind); err != nil {
		return c.refuse(err, true)
	}
	if c.isLocal(stmt) || stmt.Kind == session.Empty && !c.inTransaction() {
		return c.queryLocal(stmt)
	}
	if c.rolledBack() {
		return c.refuse(errFailedTransaction(), true)
	}
	c.batch.recordExecute(stmt)
	c.batch.unnamedParse = nil // a simple query destroys the unnamed statement
	c.batch.addRemote(pgwire.Query, pgwire.Relay, "", f.Body())
	return c.send(true, 1, true)
}

func (c *caller) queryLocal(stmt session.Statement) error {
	frames, err := c.executeLocal(stmt, true)
	if err != nil {
		return c.refuse(err, true)
	}
	if !c.batch.empty() {
		if err := c.send(false, 0, true); err != nil {
			return err
		}
	}
	return c.respond(pgwire.AppendReadyForQuery(frames, c.txStatus()))
}

// handleParse handles a Parse message. A named statement that the target connection already has is not
// sent again.
func (c *caller) handleParse(body []byte) error {
	name, tail, ok := pgwire.CString(body)
	if !ok {
		return errMalformed(pgwire.Parse)
	}
	sql, _, ok := pgwire.CString(tail)
	if !ok {
		return errMalformed(pgwire.Parse)
	}
	prepared, err := c.sess.Prepare(string(name), sql, tail)
	if err != nil {
		return c.refuse(err, false)
	}
	if prepared.Statement.Kind == session.Unsupported {
		c.sess.CloseStatement(string(name))
		return c.refuse(prepared.Statement.Err, false)
	}
	if c.isLocal(prepared.Statement) {
		c.batch.addLocal(pgwire.Parse, pgwire.Append(nil, pgwire.ParseComplete, nil))
		return c.sendIfLarge()
	}
	if c.rolledBack() {
		return c.refuse(errFailedTransaction(), false)
	}
	if prepared.TargetName != "" && c.targetHasParsed(prepared) {
		c.batch.addLocal(pgwire.Parse, pgwire.Append(nil, pgwire.ParseComplete, nil))
		return c.sendIfLarge()
	}
	c.addParse(prepared, pgwire.Relay)
	return c.sendIfLarge()
}

func (c *caller) addParse(prepared *session.Prepared, action pgwire.Action) {
	if prepared.TargetName == "" {
		c.batch.unnamedParse = prepared
	} else {
		c.batch.parsedNames = append(c.batch.parsedNames, prepared.TargetName)
	}
	c.batch.addRemote(pgwire.Parse, action, prepared.TargetName, []byte(prepared.TargetName), []byte{0}, prepared.ParseTail)
}

// targetHasParsed reports whether the target connection of this transaction has the statement, or will
// have it once the batch is sent.
func (c *caller) targetHasParsed(prepared *session.Prepared) bool {
	if prepared.TargetName == "" && c.batch.unnamedParse != nil {
		return c.batch.unnamedParse == prepared
	}
	for _, name := range c.batch.parsedNames {
		if name == prepared.TargetName {
			return true
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tx == nil {
		return false
	}
	if prepared.TargetName == "" {
		return c.tx.unnamed == prepared
	}
	return c.tx.parseSent[prepared.TargetName]
}

// resolveStatement returns the caller's statement of that name. If the target connection doesn't have
// the statement, it adds a Parse, whose response is discarded.
func (c *caller) resolveStatement(name string) (*session.Prepared, error) {
	prepared, ok := c.sess.Statement(name)
	if !ok {
		return nil, verdict.New(verdict.NotRun, codeUnknownStatement, "prepared statement %q does not exist", name)
	}
	if c.isLocal(prepared.Statement) {
		return prepared, nil
	}
	if c.rolledBack() {
		return nil, errFailedTransaction()
	}
	if !c.targetHasParsed(prepared) {
		c.addParse(prepared, pgwire.Discard)
	}
	return prepared, nil
}

func (c *caller) handleBind(body []byte) error {
	portal, rest, ok := pgwire.CString(body)
	if !ok {
		return errMalformed(pgwire.Bind)
	}
	name, values, ok := pgwire.CString(rest)
	if !ok {
		return errMalformed(pgwire.Bind)
	}
	prepared, err := c.resolveStatement(string(name))
	if err != nil {
		return c.refuse(err, false)
	}
	if err := c.sess.Bind(string(portal), prepared); err != nil {
		return c.refuse(err, false)
	}
	if c.isLocal(prepared.Statement) {
		c.batch.addLocal(pgwire.Bind, pgwire.Append(nil, pgwire.BindComplete, nil))
		return c.sendIfLarge()
	}
	c.batch.addRemote(pgwire.Bind, pgwire.Relay, "", portal, []byte{0}, []byte(prepared.TargetName), []byte{0}, values)
	return c.sendIfLarge()
}

func (c *caller) handleDescribe(body []byte) error {
	kind, name, ok := objectName(body)
	if !ok {
		return errMalformed(pgwire.Describe)
	}
	if kind == 'P' {
		return c.describePortal(name, body)
	}
	prepared, err := c.resolveStatement(name)
	if err != nil {
		return c.refuse(err, false)
	}
	if c.isLocal(prepared.Statement) {
		c.batch.addLocal(pgwire.Describe, describeLocal(prepared.Statement, true))
		return c.sendIfLarge()
	}
	c.batch.addRemote(pgwire.Describe, pgwire.Relay, "", []byte{'S'}, []byte(prepared.TargetName), []byte{0})
	return c.sendIfLarge()
}

func (c *caller) describePortal(name string, body []byte) error {
	if prepared, ok := c.sess.Portal(name); ok && c.isLocal(prepared.Statement) {
		c.batch.addLocal(pgwire.Describe, describeLocal(prepared.Statement, false))
		return c.sendIfLarge()
	}
	if c.rolledBack() {
		return c.refuse(errFailedTransaction(), false)
	}
	c.batch.addRemote(pgwire.Describe, pgwire.Relay, "", body)
	return c.sendIfLarge()
}

// objectName decodes the body of Describe or Close. The kind is 'S' for a statement and 'P' for a portal.
func objectName(body []byte) (kind byte, name string, ok bool) {
	if len(body) < 2 || body[0] != 'S' && body[0] != 'P' {
		return 0, "", false
	}
	nameBytes, _, ok := pgwire.CString(body[1:])
	return body[0], string(nameBytes), ok
}

func (c *caller) handleExecute(body []byte) error {
	portal, _, ok := pgwire.CString(body)
	if !ok {
		return errMalformed(pgwire.Execute)
	}
	var stmt session.Statement // the zero value, a Write, stands for a portal created by DECLARE
	if prepared, ok := c.sess.Portal(string(portal)); ok {
		stmt = prepared.Statement
	}
	if err := c.admit(stmt.Kind); err != nil {
		return c.refuse(err, false)
	}
	if c.isLocal(stmt) {
		frames, err := c.executeLocal(stmt, false)
		if err != nil {
			return c.refuse(err, false)
		}
		c.batch.addLocal(pgwire.Execute, frames)
		return c.sendIfLarge()
	}
	if c.rolledBack() {
		return c.refuse(errFailedTransaction(), false)
	}
	c.batch.recordExecute(stmt)
	c.batch.addRemote(pgwire.Execute, pgwire.Relay, "", body)
	return c.sendIfLarge()
}

// handleClose handles a Close message. A statement is closed in the session only: targets keep it for
// other callers. A portal is also closed at the target if it may exist there.
func (c *caller) handleClose(body []byte) error {
	kind, name, ok := objectName(body)
	if !ok {
		return errMalformed(pgwire.Close)
	}
	if kind == 'S' {
		c.sess.CloseStatement(name)
	}
	prepared, found := c.sess.Portal(name)
	isRemote := kind == 'P' && !(found && c.isLocal(prepared.Statement)) && (c.inTransaction() || len(c.batch.frames) > 0)
	if kind == 'P' {
		c.sess.ClosePortal(name)
	}
	if isRemote {
		c.batch.addRemote(pgwire.Close, pgwire.Relay, "", body)
		return c.sendIfLarge()
	}
	c.batch.addLocal(pgwire.Close, pgwire.Append(nil, pgwire.CloseComplete, nil))
	return c.sendIfLarge()
}

func (c *caller) sendIfLarge() error {
	if len(c.batch.frames) < maxBatchBytes && len(c.batch.messages) < maxBatchMessages {
		return nil
	}
	return c.send(false, 0, false)
}

func (c *caller) handleFlush() error {
	if len(c.batch.frames) > 0 || c.unsynced() {
		c.batch.addFrame(pgwire.Flush)
	}
	return c.send(false, 0, false)
}

// handleSync ends a batch. The Sync is sent to the owner only if a request since the last Sync was sent
// there.
func (c *caller) handleSync() error {
	if len(c.batch.frames) == 0 && !c.unsynced() {
		c.batch.addLocal(pgwire.Sync, pgwire.AppendReadyForQuery(nil, c.txStatus()))
		return c.send(true, 0, false)
	}
	c.batch.addRemote(pgwire.Sync, pgwire.Relay, "")
	return c.send(true, 1, true)
}

func (c *caller) unsynced() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tx != nil && c.tx.unsynced
}

// admit checks, before a statement, the key, the age of the catalog's confirmation and the team's rate.
// ROLLBACK and the COMMIT of a transaction cost no rate token: refusing them would waste the work of the
// transaction. ROLLBACK doesn't need a recent confirmation either.
func (c *caller) admit(kind session.Kind) error {
	if err := c.checkKey(); err != nil {
		return err
	}
	if kind == session.Rollback {
		return nil
	}
	if err := c.checkConfirmedAge(); err != nil {
		return err
	}
	if kind == session.Commit && (c.inTransaction() || c.rolledBack()) {
		return nil
	}
	return c.acquireRateToken()
}

// rateTokenTryAcquirer is implemented by a Directory that can acquire rate tokens without waiting if the
// host holds enough of them. If it returns false it has acquired none, and AcquireTokens is called.
type rateTokenTryAcquirer interface {
	TryAcquireTokens(team string, tokens int) bool
}

const (
	// blockRateTokenWaitLimit bounds the wait for a rate token of a statement in a transaction block.
	// Refusing the statement at once would waste the tokens and the work of the block's earlier
	// statements.
	blockRateTokenWaitLimit     = time.Second
	blockRateTokenRetryInterval = 50 * time.Millisecond
)

// acquireRateToken acquires a rate token for a statement. In a transaction block it retries for a while if
// the team is over its rate.
func (c *caller) acquireRateToken() error {
	c.srv.metrics.statements.Inc()
	err := c.tryAcquireRateToken()
	if err == nil || !c.inTransaction() {
		return err
	}
	deadline := time.Now().Add(min(blockRateTokenWaitLimit, c.sess.Timeout(c.srv.cfg.StatementTimeout)))
	for verdict.As(err).Code == verdict.CodeRateExceeded && time.Now().Before(deadline) && sleep(c.ctx, blockRateTokenRetryInterval) {
		if err = c.tryAcquireRateToken(); err == nil {
			return nil
		}
	}
	return err
}

// tryAcquireRateToken makes one attempt to acquire a token. Its errors have verdict NotRun.
func (c *caller) tryAcquireRateToken() error {
	if acquirer, ok := c.srv.cfg.Directory.(rateTokenTryAcquirer); ok && acquirer.TryAcquireTokens(c.team, 1) {
		return nil
	}
	ctx, cancel := context.WithTimeout(c.ctx, c.sess.Timeout(c.srv.cfg.StatementTimeout))
	defer cancel()
	err := c.srv.cfg.Directory.AcquireTokens(ctx, c.team, 1)
	if err == nil || verdict.Of(err) == verdict.NotRun {
		return err
	}
	return &verdict.Error{
		Verdict: verdict.NotRun, // the statement has not been sent
		Code:    verdict.CodeRateExceeded,
		Message: "could not acquire a rate token",
		Err:     err,
	}
}

// checkKey returns an error if the caller may no longer use its service. After an error with
// CodeKeyWithdrawn (28000) the connection is closed.
func (c *caller) checkKey() error {
	snap := c.srv.cfg.Directory.Catalog()
	if c.keyID == "" {
		if !snap.IsOpen(c.service) {
			return verdict.New(verdict.NotRun, verdict.CodeKeyWithdrawn,
				"service %q no longer accepts callers without a key", c.service)
		}
		return nil
	}
	team, _ := snap.Team(c.team)
	key, ok := team.Keys[c.keyID]
	if !ok || key.Withdrawn {
		return verdict.New(verdict.NotRun, verdict.CodeKeyWithdrawn, "the key of team %q was withdrawn", c.team)
	}
	if _, ok := snap.Service(c.service); !ok {
		return verdict.New(verdict.NotRun, verdict.CodeUnknownService, "service %q does not exist", c.service)
	}
	return nil
}

// checkConfirmedAge refuses requests with a key while this host's catalog may be outdated, as the key
// may have been withdrawn since.
func (c *caller) checkConfirmedAge() error {
	if c.sess != nil && c.keyID == "" {
		return nil // connected without a key; during startup sess is nil and the key not yet known
	}
	age := c.srv.cfg.Directory.ConfirmedAge()
	if age <= MaxConfirmedAge {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.CodeUnavailable,
		"catalog of this host was last confirmed by the control leader %s ago; the limit is %s",
		age.Round(time.Second), MaxConfirmedAge)
}
