package standin

import (
	"context"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// simpleQuery runs the statements of a Query message. Those outside of a transaction block form one
// implicit transaction.
func (c *session) simpleQuery(sql string) error {
	c.srv.recordAudit(AuditEntry{PID: c.pid, User: c.user, SQL: sql})
	ctx, done := c.statementContext()
	err := c.simpleStatements(ctx, sql)
	done()
	if err != nil {
		if err := c.reportError(err); err != nil {
			return err
		}
	}
	return c.sendReady()
}

// simpleStatements runs the statements and sends their results, without ReadyForQuery.
func (c *session) simpleStatements(ctx context.Context, sql string) error {
	statements, err := parseSQL(sql)
	if err != nil {
		return err
	}
	if len(statements) == 0 {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
	}
	for i, st := range statements {
		if st.params > 0 {
			return sqlError(codeProtocol, "there is no parameter $%d", st.params)
		}
		res, err := c.run(ctx, st, nil)
		if err != nil {
			return err
		}
		if res.columns != nil && st.kind != stmtCopyOut {
			c.backend.Send(rowDescription(res.columns, nil))
		}
		if err := c.sendRows(ctx, st, res, nil, 0); err != nil {
			return err
		}
		if i == len(statements)-1 && !c.inBlock {
			if err := c.commit(); err != nil {
				return err
			}
		}
		c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(res.commandTag())})
	}
	return nil
}

// run executes a statement. The rows of the result are read from it afterwards.
func (c *session) run(ctx context.Context, st *stmt, params []value) (*result, error) {
	switch st.kind {
	case stmtCommit:
		return c.runCommit()
	case stmtRollback:
		c.rollback()
		c.inBlock, c.blockFailed = false, false
		return &result{tag: "ROLLBACK"}, nil
	}
	if c.blockFailed {
		return nil, sqlError(codeFailedTx, "current transaction is aborted, commands ignored until end of transaction block")
	}
	if st.isControl() {
		return c.srv.runControl(st, params)
	}
	if c.controlOnly {
		return nil, sqlError(codeNotSupported, "control connections accept only group_status, group_promote and group_follow")
	}
	if err := c.srv.checkServing(); err != nil {
		return nil, err
	}
	switch st.kind {
	case stmtBegin:
		c.begin(st.readOnly)
		c.inBlock = true
		return &result{tag: "BEGIN"}, nil
	case stmtSet:
		return &result{tag: "SET"}, c.set(st)
	case stmtShow:
		return c.show(st)
	}
	c.begin(false)
	if st.kind == stmtCopyIn {
		return c.copyIn(ctx, st)
	}
	return c.srv.execute(ctx, c.tx, st, params)
}

// runCommit ends the transaction block. A failed block is rolled back, as in PostgreSQL.
func (c *session) runCommit() (*result, error) {
	failed := c.blockFailed
	c.inBlock, c.blockFailed = false, false
	if failed {
		c.rollback()
		return &result{tag: "ROLLBACK"}, nil
	}
	return &result{tag: "COMMIT"}, c.commit()
}

func (c *session) show(st *stmt) (*result, error) {
	name := strings.ToLower(st.name)
	var setting string
	switch name {
	case "transaction_isolation":
		setting = "read committed"
	case "transaction_read_only":
		setting = "off"
		if c.srv.Role() != rolePrimary || c.tx != nil && c.tx.readOnly {
			setting = "on"
		}
	default:
		for _, p := range startupParameters {
			if strings.EqualFold(p[0], name) {
				setting = p[1]
			}
		}
		if setting == "" {
			return nil, sqlError("42704", "unrecognized configuration parameter %q", st.name)
		}
	}
	return rowsResult([]column{{st.name, oidText}}, []row{{textValue(setting)}}, "SHOW", false), nil
}

// sendRows sends up to limit rows of res, or all of them if limit is 0. The rest can be sent later.
func (c *session) sendRows(ctx context.Context, st *stmt, res *result, formats []int16, limit int) error {
	if res.next == nil {
		return nil
	}
	if st.kind == stmtCopyOut {
		return c.copyOut(ctx, res)
	}
	var data [][]byte
	var buf []byte
	for n := 0; limit == 0 || n < limit; n++ {
		r, ok := res.next()
		if !ok {
			return nil
		}
		var err error
		if data, buf, err = encodeRow(data[:0], buf[:0], res.columns, formats, r); err != nil {
			return err
		}
		if c.srv.takeRowClose(res.sent) {
			_ = c.flush()
			return errConnClosed
		}
		c.backend.Send(&pgproto3.DataRow{Values: data})
		res.sent++
		if err := c.flushIfFull(ctx, len(buf)+len(data)*4); err != nil {
			return err
		}
	}
	return nil
}

// flushIfFull adds n to the buffered bytes. Each time that they reach flushBytes, it checks whether the
// statement was cancelled, and flushes.
func (c *session) flushIfFull(ctx context.Context, n int) error {
	c.bufferedBytes += n
	if c.bufferedBytes < flushBytes {
		return nil
	}
	if ctx.Err() != nil {
		return cancelled()
	}
	return c.flush()
}

// encodeRow appends the encoded values of a row to buf, and the slices of buf that hold them to data.
func encodeRow(data [][]byte, buf []byte, columns []column, formats []int16, r row) ([][]byte, []byte, error) {
	for i, v := range r {
		if v == nil {
			data = append(data, nil)
			continue
		}
		start := len(buf)
		var err error
		if buf, err = appendValue(buf, columns[i].oid, formatCode(formats, i), *v); err != nil {
			return nil, nil, err
		}
		data = append(data, buf[start:len(buf):len(buf)])
	}
	return data, buf, nil
}
