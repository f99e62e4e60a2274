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

func (c *caller) request(f pgwire.Frame) error {
	switch f.Type() {
	case pgwire.Query:
		return c.query(f)
	case pgwire.Parse:
		return c.parse(f.Body())
	case pgwire.Bind:
		return c.bind(f.Body())
	case pgwire.Describe:
		return c.describeRequest(f.Body())
	case pgwire.Execute:
		return c.execute(f.Body())
	case pgwire.Close:
		return c.closeRequest(f.Body())
	case pgwire.Flush:
		return c.flushRequest()
	case pgwire.Sync:
		return c.sync()
	}
	return protocolError("unsupported message type")
}

func errMalformed() error { return protocolError("malformed message") }

func failedTransaction() error {
	return verdict.New(verdict.NotRun, codeFailedTransaction,
		"current transaction is aborted, commands ignored until end of transaction block")
}

// query handles a simple query.
func (c *caller) query(f pgwire.Frame) error {
	sql, _, ok := pgwire.CString(f.Body())
	if !ok {
		return errMalformed()
	}
	st := session.Classify(string(sql))
	if st.Kind == session.Unsupported {
		return c.refuse(st.Err, true)
	}
	if err := c.admit(st.Kind); err != nil {
		return c.refuse(err, true)
	}
	if c.isLocal(st) || st.Kind == session.Empty && !c.inTransaction() {
		return c.queryLocal(st)
	}
	if c.rolledBack() {
		return c.refuse(failedTransaction(), true)
	}
	c.batch.note(st)
	c.batch.unnamed = nil // a simple query destroys the unnamed statement
	c.batch.remote(pgwire.Query, pgwire.Relay, "", f.Body())
	return c.send(true, 1, true)
}

func (c *caller) queryLocal(st session.Statement) error {
	frames, err := c.executeLocal(st, true)
	if err != nil {
		return c.refuse(err, true)
	}
	if !c.batch.empty() {
		if err := c.send(false, 0, true); err != nil {
			return err
		}
	}
	return c.answer(pgwire.AppendReadyForQuery(frames, c.status()))
}

// parse handles a Parse message. A statement that the target knows already in this transaction isn't
// sent again.
func (c *caller) parse(body []byte) error {
	name, tail, ok := pgwire.CString(body)
	if !ok {
		return errMalformed()
	}
	sql, _, ok := pgwire.CString(tail)
	if !ok {
		return errMalformed()
	}
	p, err := c.st.Prepare(string(name), sql, tail)
	if err != nil {
		return c.refuse(err, false)
	}
	if p.Statement.Kind == session.Unsupported {
		c.st.CloseStatement(string(name))
		return c.refuse(p.Statement.Err, false)
	}
	if c.isLocal(p.Statement) {
		c.batch.local(pgwire.Parse, pgwire.Append(nil, pgwire.ParseComplete, nil))
		return c.sendIfLarge()
	}
	if c.rolledBack() {
		return c.refuse(failedTransaction(), false)
	}
	if p.TargetName != "" && c.knows(p) {
		c.batch.local(pgwire.Parse, pgwire.Append(nil, pgwire.ParseComplete, nil))
		return c.sendIfLarge()
	}
	c.addParse(p, pgwire.Relay)
	return c.sendIfLarge()
}

func (c *caller) addParse(p *session.Prepared, action pgwire.Action) {
	if p.TargetName == "" {
		c.batch.unnamed = p
	} else {
		c.batch.parsed = append(c.batch.parsed, p.TargetName)
	}
	c.batch.remote(pgwire.Parse, action, p.TargetName, []byte(p.TargetName), []byte{0}, p.ParseTail)
}

// knows reports whether the target connection of this transaction has the statement.
func (c *caller) knows(p *session.Prepared) bool {
	if p.TargetName == "" && c.batch.unnamed != nil {
		return c.batch.unnamed == p
	}
	for _, name := range c.batch.parsed {
		if name == p.TargetName {
			return true
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tx == nil {
		return false
	}
	if p.TargetName == "" {
		return c.tx.unnamed == p
	}
	return c.tx.parsed[p.TargetName]
}

// lookup finds a statement and makes sure that the target has it.
func (c *caller) lookup(name string) (*session.Prepared, error) {
	p, ok := c.st.Statement(name)
	if !ok {
		return nil, verdict.New(verdict.NotRun, codeUnknownStatement, "prepared statement %q does not exist", name)
	}
	if c.isLocal(p.Statement) {
		return p, nil
	}
	if c.rolledBack() {
		return nil, failedTransaction()
	}
	if !c.knows(p) {
		c.addParse(p, pgwire.Discard)
	}
	return p, nil
}

func (c *caller) bind(body []byte) error {
	portal, rest, ok := pgwire.CString(body)
	if !ok {
		return errMalformed()
	}
	name, values, ok := pgwire.CString(rest)
	if !ok {
		return errMalformed()
	}
	p, err := c.lookup(string(name))
	if err != nil {
		return c.refuse(err, false)
	}
	if err := c.st.Bind(string(portal), p); err != nil {
		return c.refuse(err, false)
	}
	if c.isLocal(p.Statement) {
		c.batch.local(pgwire.Bind, pgwire.Append(nil, pgwire.BindComplete, nil))
		return c.sendIfLarge()
	}
	c.batch.remote(pgwire.Bind, pgwire.Relay, "", portal, []byte{0}, []byte(p.TargetName), []byte{0}, values)
	return c.sendIfLarge()
}

func (c *caller) describeRequest(body []byte) error {
	kind, name, ok := objectName(body)
	if !ok {
		return errMalformed()
	}
	if kind == 'P' {
		return c.describePortal(name, body)
	}
	p, err := c.lookup(name)
	if err != nil {
		return c.refuse(err, false)
	}
	if c.isLocal(p.Statement) {
		c.batch.local(pgwire.Describe, describeLocal(p.Statement, true))
		return c.sendIfLarge()
	}
	c.batch.remote(pgwire.Describe, pgwire.Relay, "", []byte{'S'}, []byte(p.TargetName), []byte{0})
	return c.sendIfLarge()
}

func (c *caller) describePortal(name string, body []byte) error {
	if p, ok := c.st.Portal(name); ok && c.isLocal(p.Statement) {
		c.batch.local(pgwire.Describe, describeLocal(p.Statement, false))
		return c.sendIfLarge()
	}
	if c.rolledBack() {
		return c.refuse(failedTransaction(), false)
	}
	c.batch.remote(pgwire.Describe, pgwire.Relay, "", body)
	return c.sendIfLarge()
}

// objectName reads the body of Describe and Close.
func objectName(body []byte) (kind byte, name string, ok bool) {
	if len(body) < 2 || body[0] != 'S' && body[0] != 'P' {
		return 0, "", false
	}
	s, _, ok := pgwire.CString(body[1:])
	return body[0], string(s), ok
}

func (c *caller) execute(body []byte) error {
	portal, _, ok := pgwire.CString(body)
	if !ok {
		return errMalformed()
	}
	var st session.Statement // a Write, for a portal that DECLARE made
	if p, ok := c.st.Portal(string(portal)); ok {
		st = p.Statement
	}
	if err := c.admit(st.Kind); err != nil {
		return c.refuse(err, false)
	}
	if c.isLocal(st) {
		frames, err := c.executeLocal(st, false)
		if err != nil {
			return c.refuse(err, false)
		}
		c.batch.local(pgwire.Execute, frames)
		return c.sendIfLarge()
	}
	if c.rolledBack() {
		return c.refuse(failedTransaction(), false)
	}
	c.batch.note(st)
	c.batch.remote(pgwire.Execute, pgwire.Relay, "", body)
	return c.sendIfLarge()
}

// closeRequest closes a statement here only: at targets it stays for other callers. A portal is
// closed at the target if there may be one.
func (c *caller) closeRequest(body []byte) error {
	kind, name, ok := objectName(body)
	if !ok {
		return errMalformed()
	}
	if kind == 'S' {
		c.st.CloseStatement(name)
	}
	p, known := c.st.Portal(name)
	isRemote := kind == 'P' && !(known && c.isLocal(p.Statement)) && (c.inTransaction() || len(c.batch.frames) > 0)
	if kind == 'P' {
		c.st.ClosePortal(name)
	}
	if isRemote {
		c.batch.remote(pgwire.Close, pgwire.Relay, "", body)
		return c.sendIfLarge()
	}
	c.batch.local(pgwire.Close, pgwire.Append(nil, pgwire.CloseComplete, nil))
	return c.sendIfLarge()
}

func (c *caller) sendIfLarge() error {
	if len(c.batch.frames) < batchBytes && len(c.batch.entries) < batchEntries {
		return nil
	}
	return c.send(false, 0, false)
}

func (c *caller) flushRequest() error {
	if len(c.batch.frames) > 0 || c.unsynced() {
		c.batch.raw(pgwire.Flush)
	}
	return c.send(false, 0, false)
}

// sync ends a batch. The owner sees the Sync only if it saw a request of the batch.
func (c *caller) sync() error {
	if len(c.batch.frames) == 0 && !c.unsynced() {
		c.batch.local(pgwire.Sync, pgwire.AppendReadyForQuery(nil, c.status()))
		return c.send(true, 0, false)
	}
	c.batch.remote(pgwire.Sync, pgwire.Relay, "")
	return c.send(true, 1, true)
}

func (c *caller) unsynced() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tx != nil && c.tx.unsynced
}

// admit checks key, confirmation and rate before a statement. The end of a transaction costs no
// token: its refusal would waste the work done.
func (c *caller) admit(kind session.Kind) error {
	if err := c.checkKey(); err != nil {
		return err
	}
	if kind == session.Rollback {
		return nil
	}
	if err := c.checkConfirmed(); err != nil {
		return err
	}
	if kind == session.Commit && (c.inTransaction() || c.rolledBack()) {
		return nil
	}
	return c.take()
}

// quickTaker is a Directory that can spend the tokens at hand without a wait. When there are too few,
// it spends none and Take is called.
type quickTaker interface {
	TryAcquireTokens(team string, tokens int) bool
}

const (
	// blockTokenWait bounds the wait of a statement in a transaction block for a rate token. Refusing
	// it at once would waste the tokens and the work of the block's earlier statements.
	blockTokenWait  = time.Second
	blockTokenPause = 50 * time.Millisecond
)

// take takes a rate token for a statement. In a block it waits for one while the team is over its
// rate.
func (c *caller) take() error {
	c.srv.metrics.statements.Inc()
	err := c.takeNow()
	if err == nil || !c.inTransaction() {
		return err
	}
	until := time.Now().Add(min(blockTokenWait, c.st.Timeout(c.srv.cfg.StatementTimeout)))
	for verdict.As(err).Code == verdict.CodeRateExceeded && time.Now().Before(until) && pause(c.ctx, blockTokenPause) {
		if err = c.takeNow(); err == nil {
			return nil
		}
	}
	return err
}

func (c *caller) takeNow() error {
	if d, ok := c.srv.cfg.Directory.(quickTaker); ok && d.TryAcquireTokens(c.team, 1) {
		return nil
	}
	ctx, stop := context.WithTimeout(c.ctx, c.st.Timeout(c.srv.cfg.StatementTimeout))
	defer stop()
	err := c.srv.cfg.Directory.AcquireTokens(ctx, c.team, 1)
	if err == nil || verdict.Of(err) == verdict.NotRun {
		return err
	}
	return &verdict.Error{
		Verdict: verdict.NotRun, // nothing was sent yet
		Code:    verdict.CodeRateExceeded,
		Message: "rate of the team could not be checked",
		Err:     err,
	}
}

// checkKey returns a 28000 error, after which the connection is closed, when the caller may no
// longer use its service.
func (c *caller) checkKey() error {
	snap := c.srv.cfg.Directory.Catalog()
	if c.keyID == "" {
		if !snap.IsOpen(c.service) {
			return verdict.New(verdict.NotRun, verdict.CodeKeyWithdrawn, "the service needs a key now")
		}
		return nil
	}
	team, _ := snap.Team(c.team)
	key, ok := team.Keys[c.keyID]
	if !ok || key.Withdrawn {
		return verdict.New(verdict.NotRun, verdict.CodeKeyWithdrawn, "the key was withdrawn")
	}
	if _, ok := snap.Service(c.service); !ok {
		return verdict.New(verdict.NotRun, verdict.CodeUnknownService, "service %q does not exist", c.service)
	}
	return nil
}

// checkConfirmed refuses keyed requests while the host's view of keys may be outdated.
func (c *caller) checkConfirmed() error {
	if c.st != nil && c.keyID == "" {
		return nil // an open route
	}
	age := c.srv.cfg.Directory.ConfirmedAge()
	if age <= MaxConfirmedAge {
		return nil
	}
	return verdict.New(verdict.NotRun, verdict.CodeUnavailable,
		"this host has not been confirmed by control for %s", age.Round(time.Second))
}
