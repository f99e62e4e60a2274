package owner

import (
	"context"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/citronrun/citronrun/internal/pgwire"
	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

const (
	codeUniqueViolation = "23505"
	codeUndefinedTable  = "42P01"
	createRequestTable  = "CREATE TABLE IF NOT EXISTS citron_request (id text PRIMARY KEY, team text, result text)"
	// keyedBytes bounds the responses of a statement with a request key.
	keyedBytes = 1 << 20
)

// errKeyExists means that another run of the same request has recorded its outcome.
var errKeyExists = errors.New("request key exists")

// keyed runs one statement with a request key.
type keyed struct {
	t      *tx
	conn   Conn
	ctx    context.Context
	id     string // team and key, quoted for SQL
	frames []byte // responses of the statement, without its completion
	tag    string // its completion
	failed error  // *pgconn.PgError of the statement
}

// serveKeyed runs a statement with a request key: in one transaction with a row that holds its
// outcome, so that a resend finds the row and runs nothing. Only simple queries are supported.
func (s *service) serveKeyed(ctx context.Context, j job, timeout time.Duration, stream io.ReadWriteCloser) {
	t := newTx(ctx, s, j, streamResponder{stream})
	defer t.end()
	f, err := pgwire.NewReader(stream, pgwire.MaxFrameBytes).Next()
	if err != nil {
		return // the caller is gone and nothing was sent
	}
	if f.Type() != pgwire.Query || j.req.InBlock {
		refuse(stream, verdict.New(verdict.NotRun, verdict.CodeNotSupported, "a request key needs a single simple query outside of a block"))
		return
	}
	query := append([]byte(nil), f...)
	placeCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	p, err := s.placePrimary(placeCtx, j)
	if err != nil {
		refuse(stream, err)
		return
	}
	t.attach(p)
	defer t.finish()
	if wire.Write(stream, wire.TxReply{Admitted: true}) != nil {
		return
	}
	writes.Inc()
	k := &keyed{t: t, conn: p.conn, ctx: t.ctx, id: quote(j.team + "/" + j.req.RequestKey)}
	pos, err := k.run(query)
	if err == nil {
		t.detach()
		err = s.confirm(t, pos)
	}
	if err != nil && k.failed == nil {
		t.fail(err)
		return
	}
	t.d.out = append(t.d.out, k.frames...)
	if k.failed == nil {
		t.d.out = pgwire.Append(t.d.out, pgwire.CommandComplete, append([]byte(k.tag), 0))
	}
	t.d.out = pgwire.AppendStatus(t.d.out, pgwire.StatusToken, t.token(pos))
	t.d.out = pgwire.AppendReady(t.d.out, pgwire.TxIdle)
	t.flush()
}

// run returns the position that has to be confirmed before the outcome is relayed.
func (k *keyed) run(query []byte) (position.Position, error) {
	k.t.mu.Lock()
	k.t.sent = true // errors carry their own verdicts: an earlier run may have been committed
	k.t.mu.Unlock()
	found, err := k.recorded()
	if err != nil {
		return position.Position{}, k.unsent(err)
	}
	if found {
		return k.t.s.primaryPosition(k.ctx, k.t.p.term)
	}
	if err := k.exec("BEGIN"); err != nil {
		return position.Position{}, k.unsent(err)
	}
	if err := k.statement(query); err != nil {
		return position.Position{}, err // the connection is closed, which rolls back
	}
	if k.failed == nil {
		err = k.record()
	}
	if err == nil && k.failed == nil {
		return k.commit()
	}
	return k.rolledBack(err)
}

// unsent returns the error of a step before the statement: nothing of the request has run.
func (k *keyed) unsent(err error) error {
	return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "request key can't be checked: %w", err)
}

func (k *keyed) exec(sql string) error {
	_, _, err := k.conn.Exec(k.ctx, sql)
	return err
}

// recorded looks up the outcome of an earlier run.
func (k *keyed) recorded() (found bool, err error) {
	rows, _, err := k.conn.Exec(k.ctx, "SELECT result FROM citron_request WHERE id = "+k.id)
	if isCode(err, codeUndefinedTable) {
		return false, k.exec(createRequestTable)
	}
	if err != nil || len(rows) == 0 || len(rows[0]) == 0 {
		return false, err
	}
	k.tag, k.frames, k.failed = rows[0][0], nil, nil
	return true, nil
}

// statement runs the caller's statement inside the open block and keeps its responses.
func (k *keyed) statement(query []byte) error {
	if err := k.conn.Send(query); err != nil {
		return err
	}
	for {
		f, err := k.conn.Next()
		if err != nil {
			return err
		}
		switch f.Type() {
		case pgwire.ReadyForQuery:
			return k.inBlock()
		case pgwire.CommandComplete:
			k.tag = strings.TrimSuffix(string(f.Body()), "\x00")
			continue
		case pgwire.ParameterStatus:
			if name, _, ok := pgwire.ParseStatus(f); ok && name == pgwire.StatusPosition {
				continue
			}
		case pgwire.ErrorResponse:
			var m pgproto3.ErrorResponse
			if err := m.Decode(f.Body()); err != nil {
				return err
			}
			k.failed = pgconn.ErrorResponseToPgError(&m)
		}
		if len(k.frames)+len(f) > keyedBytes {
			return verdict.New(verdict.Ran, verdict.CodeNotSupported, "response to a request with a key exceeds %d bytes", keyedBytes)
		}
		k.frames = append(k.frames, f...)
	}
}

// inBlock checks that the statement didn't end the block that it ran in.
func (k *keyed) inBlock() error {
	if k.failed == nil && k.conn.TxStatus() != pgwire.TxBlock {
		return unknownOutcome("the statement with a request key ended its transaction")
	}
	return nil
}

func (k *keyed) record() error {
	err := k.exec("INSERT INTO citron_request (id, team, result) VALUES (" +
		k.id + ", " + quote(k.t.job.team) + ", " + quote(k.tag) + ")")
	if isCode(err, codeUniqueViolation) {
		return errKeyExists
	}
	return err
}

func (k *keyed) commit() (position.Position, error) {
	_, tag, err := k.conn.Exec(k.ctx, "COMMIT")
	if pg, ok := errors.AsType[*pgconn.PgError](err); ok {
		return position.Position{}, verdict.New(verdict.Ran, pg.Code, "commit failed: %w", pg)
	}
	if err != nil {
		return position.Position{}, err
	}
	if tag != "COMMIT" {
		return position.Position{}, verdict.New(verdict.Ran, pgRollback, "the transaction was rolled back")
	}
	return k.t.committed(k.conn.Position()), nil
}

// rolledBack ends a block that can't be committed. The outcome may have been recorded by a concurrent
// run of the same request; then it counts.
func (k *keyed) rolledBack(cause error) (position.Position, error) {
	if err := k.exec("ROLLBACK"); err != nil {
		return position.Position{}, orCause(cause, err)
	}
	failed, frames := k.failed, k.frames
	found, err := k.recorded()
	if err != nil {
		return position.Position{}, unknownOutcome("the outcome of the request can't be read: %w", err)
	}
	if found {
		return k.t.s.primaryPosition(k.ctx, k.t.p.term)
	}
	k.failed, k.frames = failed, frames
	if pg, ok := errors.AsType[*pgconn.PgError](cause); ok {
		return position.Position{}, verdict.New(verdict.Ran, pg.Code, "request key can't be recorded: %w", pg)
	}
	return position.Position{}, cause
}

func orCause(cause, err error) error {
	if cause != nil {
		return cause
	}
	return err
}

func isCode(err error, code string) bool {
	pg, ok := errors.AsType[*pgconn.PgError](err)
	return ok && pg.Code == code
}

// quote returns s as an SQL string literal.
func quote(s string) string {
	return "'" + strings.ReplaceAll(strings.ReplaceAll(s, "\x00", ""), "'", "''") + "'"
}

// pgRollback is the SQLSTATE of a transaction that was rolled back.
const pgRollback = "40000"
