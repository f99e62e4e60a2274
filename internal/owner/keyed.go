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
	createRequestTable  = "CREATE TABLE IF NOT EXISTS citron_request (id text PRIMARY KEY, team text, digest text, result text)"
	// keyedBytes bounds a request with a key, and its responses.
	keyedBytes = 1 << 20
)

// keyed runs one statement with a request key.
type keyed struct {
	t      *tx
	conn   Conn
	ctx    context.Context
	batch  *keyedBatch
	id     string // team and key, quoted for SQL
	frames []byte // responses of the statement, without its completion
	tag    string // its completion
	failed error  // *pgconn.PgError of the statement
}

// serveKeyed runs a statement with a request key in one transaction with a row that holds its outcome.
// The row is inserted first: of two runs of the same request, the second one waits at the row until
// the first has ended. A resend finds the row and runs nothing; it gets the command tag without rows.
func (s *service) serveKeyed(ctx context.Context, j job, timeout time.Duration, stream io.ReadWriteCloser) {
	t := newTx(ctx, s, j, streamResponder{stream})
	defer t.end()
	if j.req.InBlock {
		refuse(stream, notSupported("a request key can't be used for a transaction block"))
		return
	}
	batch, err := readBatch(pgwire.NewReader(stream, pgwire.MaxFrameBytes))
	if err != nil {
		refuse(stream, err) // reaches nobody if the stream has ended
		return
	}
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
	k := &keyed{t: t, conn: p.conn, ctx: t.ctx, batch: batch, id: quote(j.team + "/" + j.req.RequestKey)}
	pos, err := k.run()
	if err == nil {
		t.detach()
		err = s.confirm(t, pos)
	}
	if err != nil {
		t.fail(err)
		return
	}
	k.answer(pos)
}

// answer relays the outcome.
func (k *keyed) answer(pos position.Position) {
	d := &k.t.d
	d.out = append(d.out, k.frames...)
	if k.failed == nil {
		d.out = pgwire.Append(d.out, pgwire.CommandComplete, append([]byte(k.tag), 0))
	}
	d.reported = !pos.IsZero()
	d.out = pgwire.AppendParameterStatus(d.out, pgwire.ParameterToken, k.t.token(pos, pos))
	d.out = pgwire.AppendReadyForQuery(d.out, pgwire.TxIdle)
	k.t.flush()
}

// run returns the position that has to be confirmed before the outcome is relayed.
func (k *keyed) run() (position.Position, error) {
	k.t.mu.Lock()
	k.t.sent = true // errors carry their own verdicts: an earlier run may have been committed
	k.t.mu.Unlock()
	err := k.reserve()
	if isCode(err, codeUndefinedTable) {
		_ = k.exec(createRequestTable) // may fail because another connection creates it
		err = k.reserve()
	}
	if isCode(err, codeUniqueViolation) {
		return k.recorded()
	}
	if err != nil {
		return position.Position{}, k.notReserved(err)
	}
	if err := k.statement(k.batch.frames); err != nil {
		return position.Position{}, err // the connection is closed, which rolls back
	}
	if k.failed != nil {
		return position.Position{}, k.exec("ROLLBACK")
	}
	if k.conn.TxStatus() != pgwire.TxBlock {
		return position.Position{}, unknownOutcome("the statement with a request key ended its transaction")
	}
	return k.commit()
}

// reserve opens the block and inserts the row of the key. After an error of the target the block is
// rolled back.
func (k *keyed) reserve() error {
	if err := k.exec("BEGIN"); err != nil {
		return err
	}
	err := k.exec("INSERT INTO citron_request (id, team, digest, result) VALUES (" +
		k.id + ", " + quote(k.t.job.team) + ", " + quote(k.batch.sum()) + ", '')")
	if _, refused := errors.AsType[*pgconn.PgError](err); refused {
		if rollback := k.exec("ROLLBACK"); rollback != nil {
			return rollback
		}
	}
	return err
}

// notReserved returns the error of a run that didn't reach the statement. When the target refused the
// row, another run of the request may be holding it.
func (k *keyed) notReserved(err error) error {
	if pg, refused := errors.AsType[*pgconn.PgError](err); refused {
		return unknownOutcome("the request key can't be recorded, another run of the request may be under way: %w", pg)
	}
	return unavailable("the request key can't be checked: %w", err)
}

func (k *keyed) exec(sql string) error {
	_, _, err := k.conn.Exec(k.ctx, sql)
	return err
}

// recorded takes over the outcome of an earlier run.
func (k *keyed) recorded() (position.Position, error) {
	none := position.Position{}
	rows, _, err := k.conn.Exec(k.ctx, "SELECT digest, result FROM citron_request WHERE id = "+k.id)
	if err != nil {
		return none, unknownOutcome("the outcome of the request can't be read: %w", err)
	}
	if len(rows) != 1 || len(rows[0]) != 2 {
		return none, unknownOutcome("the outcome of the request is no longer recorded")
	}
	if rows[0][0] != k.batch.sum() {
		return none, verdict.New(verdict.NotRun, verdict.CodeInvalidParameter,
			"request key %q was used for a different statement", k.t.job.req.RequestKey)
	}
	if rows[0][1] == "" {
		return none, unknownOutcome("an earlier run of the request has recorded no outcome")
	}
	if len(k.batch.describe) > 0 {
		if err := k.statement(k.batch.describe); err != nil {
			return none, unknownOutcome("the recorded outcome can't be described: %w", err)
		}
	}
	k.tag = rows[0][1]
	return k.t.s.primaryPosition(k.ctx, k.t.p.term)
}

// statement sends requests of the caller and keeps their responses.
func (k *keyed) statement(frames []byte) error {
	if err := k.conn.Send(frames); err != nil {
		return err
	}
	for {
		f, err := k.conn.Next()
		if err != nil {
			return err
		}
		switch f.Type() {
		case pgwire.ReadyForQuery:
			return nil
		case pgwire.CommandComplete:
			k.tag = strings.TrimSuffix(string(f.Body()), "\x00")
			continue
		case pgwire.ParameterStatus:
			if name, _, ok := pgwire.ParseParameterStatus(f); ok && name == pgwire.ParameterPosition {
				continue
			}
		case pgwire.CopyInResponse, pgwire.CopyOutResponse:
			return notSupported("COPY can't have a request key") // the connection is closed, which rolls back
		case pgwire.ErrorResponse:
			var m pgproto3.ErrorResponse
			if err := m.Decode(f.Body()); err != nil {
				return err
			}
			k.failed = pgconn.ErrorResponseToPgError(&m)
		}
		if len(k.frames)+len(f) > keyedBytes {
			return notSupported("response to a request with a key exceeds %d bytes", keyedBytes)
		}
		k.frames = append(k.frames, f...)
	}
}

// commit records the outcome and commits it together with the statement.
func (k *keyed) commit() (position.Position, error) {
	none := position.Position{}
	err := k.exec("UPDATE citron_request SET result = " + quote(k.tag) + " WHERE id = " + k.id)
	if pg, refused := errors.AsType[*pgconn.PgError](err); refused {
		return none, verdict.New(verdict.NotRun, pg.Code, "the outcome of the request can't be recorded: %w", pg)
	}
	if err != nil {
		return none, err
	}
	_, tag, err := k.conn.Exec(k.ctx, "COMMIT")
	if pg, refused := errors.AsType[*pgconn.PgError](err); refused {
		return none, verdict.New(verdict.Ran, pg.Code, "commit failed: %w", pg)
	}
	if err != nil {
		return none, err
	}
	if tag != "COMMIT" {
		return none, verdict.New(verdict.Ran, pgRollback, "the transaction was rolled back")
	}
	return k.t.committed(k.conn.Position()), nil
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
