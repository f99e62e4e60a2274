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
	sqlStateUniqueViolation = "23505"
	sqlStateUndefinedTable  = "42P01"
	createRequestTable      = "CREATE TABLE IF NOT EXISTS citron_request (id text PRIMARY KEY, team text, digest text, result text)"
	// maxKeyedBytes bounds the size of a request with a key, and that of its responses.
	maxKeyedBytes = 1 << 20
)

// keyedRun is one run of a statement with a request key.
type keyedRun struct {
	tx           *tx
	conn         Conn
	ctx          context.Context
	batch        *keyedBatch
	rowID        string // team and key, quoted for SQL
	responses    []byte // of the statement, without CommandComplete
	commandTag   string // from CommandComplete
	statementErr error  // *pgconn.PgError of the statement, nil if it succeeded
}

// serveKeyed runs a statement with a request key at most once. The statement shares a transaction
// with a row of table citron_request that records its outcome. The row is inserted first, so a
// concurrent run of the same request blocks on it until the first run has ended. A resend finds the
// row and doesn't run the statement again; it gets the recorded command tag without rows.
func (s *service) serveKeyed(ctx context.Context, params txParams, timeout time.Duration, stream io.ReadWriteCloser) {
	t := newTx(ctx, s, params, streamResponder{stream})
	defer t.cancelCtx()
	if params.req.InBlock {
		refuse(stream, notSupported("a request key can't be used for a transaction block"))
		return
	}
	batch, err := readBatch(pgwire.NewReader(stream, pgwire.MaxFrameBytes))
	if err != nil {
		refuse(stream, err) // not delivered if the stream has ended
		return
	}
	startCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	acquired, err := s.acquirePrimary(startCtx, params)
	if err != nil {
		refuse(stream, err)
		return
	}
	t.attach(acquired)
	defer t.finish()
	if wire.Write(stream, wire.TxReply{Admitted: true}) != nil {
		return
	}
	writes.Inc()
	k := &keyedRun{tx: t, conn: acquired.conn, ctx: t.ctx, batch: batch, rowID: quote(params.team + "/" + params.req.RequestKey)}
	pos, err := k.run()
	if err == nil {
		t.detach()
		err = s.confirm(t, pos)
	}
	if err != nil {
		t.fail(err)
		return
	}
	k.respond(pos)
}

// respond sends the outcome to the caller.
func (k *keyedRun) respond(pos position.Position) {
	relay := &k.tx.relay
	relay.pending = append(relay.pending, k.responses...)
	if k.statementErr == nil {
		relay.pending = pgwire.Append(relay.pending, pgwire.CommandComplete, append([]byte(k.commandTag), 0))
	}
	relay.positionReported = !pos.IsZero()
	relay.pending = pgwire.AppendParameterStatus(relay.pending, pgwire.ParameterToken, k.tx.sessionToken(pos, pos))
	relay.pending = pgwire.AppendReadyForQuery(relay.pending, pgwire.TxIdle)
	k.tx.flush()
}

// run executes the statement, or loads the outcome of an earlier run. It returns the position that
// must be confirmed before the outcome is sent to the caller.
func (k *keyedRun) run() (position.Position, error) {
	k.tx.mu.Lock()
	k.tx.sent = true // an earlier run may have been committed, so fail must not turn errors into NotRun
	k.tx.mu.Unlock()
	err := k.insertRow()
	if hasSQLState(err, sqlStateUndefinedTable) {
		_ = k.exec(createRequestTable) // may fail when another connection creates it at the same time
		err = k.insertRow()
	}
	if hasSQLState(err, sqlStateUniqueViolation) {
		return k.loadOutcome()
	}
	if err != nil {
		return position.Position{}, k.insertError(err)
	}
	if err := k.runStatement(k.batch.frames); err != nil {
		return position.Position{}, err // the connection gets closed, which rolls back
	}
	if k.statementErr != nil {
		return position.Position{}, k.exec("ROLLBACK")
	}
	if k.conn.TxStatus() != pgwire.TxBlock {
		return position.Position{}, unknownOutcome("the statement with a request key ended its transaction")
	}
	return k.commit()
}

// insertRow opens the transaction block and inserts the row of the request key. If the target
// reports an error, the block is rolled back.
func (k *keyedRun) insertRow() error {
	if err := k.exec("BEGIN"); err != nil {
		return err
	}
	err := k.exec("INSERT INTO citron_request (id, team, digest, result) VALUES (" +
		k.rowID + ", " + quote(k.tx.params.team) + ", " + quote(k.batch.digestHex()) + ", '')")
	if _, rejected := errors.AsType[*pgconn.PgError](err); rejected {
		if rollback := k.exec("ROLLBACK"); rollback != nil {
			return rollback
		}
	}
	return err
}

// insertError returns the error of a run that failed before the statement. If the target rejected
// the row, the outcome is unknown, since a concurrent run of the request may hold the row.
func (k *keyedRun) insertError(err error) error {
	if pgErr, rejected := errors.AsType[*pgconn.PgError](err); rejected {
		return unknownOutcome("recording the request key failed, another run of the request may be in progress: %w", pgErr)
	}
	return unavailable("checking the request key failed: %w", err)
}

func (k *keyedRun) exec(sql string) error {
	_, _, err := k.conn.Exec(k.ctx, sql)
	return err
}

// loadOutcome loads the outcome that an earlier run has recorded.
func (k *keyedRun) loadOutcome() (position.Position, error) {
	noPosition := position.Position{}
	rows, _, err := k.conn.Exec(k.ctx, "SELECT digest, result FROM citron_request WHERE id = "+k.rowID)
	if err != nil {
		return noPosition, unknownOutcome("reading the recorded outcome of the request failed: %w", err)
	}
	if len(rows) != 1 || len(rows[0]) != 2 {
		return noPosition, unknownOutcome("the outcome of the request is no longer recorded")
	}
	if rows[0][0] != k.batch.digestHex() {
		return noPosition, verdict.New(verdict.NotRun, verdict.CodeInvalidParameter,
			"request key %q was used for a different statement", k.tx.params.req.RequestKey)
	}
	if rows[0][1] == "" {
		return noPosition, unknownOutcome("an earlier run of the request is recorded without an outcome")
	}
	if len(k.batch.withoutExecute) > 0 {
		if err := k.runStatement(k.batch.withoutExecute); err != nil {
			return noPosition, unknownOutcome("describing the statement of the recorded outcome failed: %w", err)
		}
	}
	k.commandTag = rows[0][1]
	return k.tx.service.primaryPosition(k.ctx, k.tx.acquired.term)
}

// runStatement sends request frames to the target and collects the responses up to ReadyForQuery.
func (k *keyedRun) runStatement(frames []byte) error {
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
			k.commandTag = strings.TrimSuffix(string(f.Body()), "\x00")
			continue
		case pgwire.ParameterStatus:
			if name, _, ok := pgwire.ParseParameterStatus(f); ok && name == pgwire.ParameterPosition {
				continue
			}
		case pgwire.CopyInResponse, pgwire.CopyOutResponse:
			return notSupported("COPY is not supported with a request key") // the connection gets closed, which rolls back
		case pgwire.ErrorResponse:
			var m pgproto3.ErrorResponse
			if err := m.Decode(f.Body()); err != nil {
				return err
			}
			k.statementErr = pgconn.ErrorResponseToPgError(&m)
		}
		if len(k.responses)+len(f) > maxKeyedBytes {
			return notSupported("response to a request with a key exceeds the limit of %d bytes", maxKeyedBytes)
		}
		k.responses = append(k.responses, f...)
	}
}

// commit records the outcome and commits it in the same transaction as the statement.
func (k *keyedRun) commit() (position.Position, error) {
	noPosition := position.Position{}
	err := k.exec("UPDATE citron_request SET result = " + quote(k.commandTag) + " WHERE id = " + k.rowID)
	if pgErr, rejected := errors.AsType[*pgconn.PgError](err); rejected {
		return noPosition, verdict.New(verdict.NotRun, pgErr.Code, "recording the outcome of the request failed: %w", pgErr)
	}
	if err != nil {
		return noPosition, err
	}
	_, tag, err := k.conn.Exec(k.ctx, "COMMIT")
	if pgErr, rejected := errors.AsType[*pgconn.PgError](err); rejected {
		return noPosition, verdict.New(verdict.Ran, pgErr.Code, "commit failed: %w", pgErr)
	}
	if err != nil {
		return noPosition, err
	}
	if tag != "COMMIT" {
		return noPosition, verdict.New(verdict.Ran, sqlStateTransactionRollback, "the target rolled back the transaction instead of committing it")
	}
	return k.tx.committed(k.conn.Position()), nil
}

func hasSQLState(err error, code string) bool {
	pgErr, ok := errors.AsType[*pgconn.PgError](err)
	return ok && pgErr.Code == code
}

// quote returns s as an SQL string literal.
func quote(s string) string {
	return "'" + strings.ReplaceAll(strings.ReplaceAll(s, "\x00", ""), "'", "''") + "'"
}

// sqlStateTransactionRollback is the SQLSTATE transaction_rollback.
const sqlStateTransactionRollback = "40000"
