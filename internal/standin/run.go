package standin

import (
	"context"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// simple serves a simple query. All of its statements outside of a transaction block form one
// transaction.
func (c *session) simple(sql string) error {
	c.srv.record(AuditEntry{PID: c.pid, User: c.user, SQL: sql})
	ctx, done := c.statementContext()
	err := c.simpleStatements(ctx, sql)
	done()
	if err != nil {
		if err := c.fail(err); err != nil {
			return err
		}
	}
	return c.ready()
}

func (c *session) simpleStatements(ctx context.Context, sql string) error {
	list, err := parseSQL(sql)
	if err != nil {
		return err
	}
	if len(list) == 0 {
		c.be.Send(&pgproto3.EmptyQueryResponse{})
	}
	for i, st := range list {
		if st.params > 0 {
			return sqlError(codeProtocol, "there is no parameter $%d", st.params)
		}
		res, err := c.run(ctx, st, nil)
		if err != nil {
			return err
		}
		if res.columns != nil && st.kind != stmtCopyOut {
			c.be.Send(rowDescription(res.columns, nil))
		}
		if err := c.sendRows(ctx, st, res, nil, 0); err != nil {
			return err
		}
		if i == len(list)-1 && !c.block {
			if err := c.commit(); err != nil {
				return err
			}
		}
		c.be.Send(&pgproto3.CommandComplete{CommandTag: []byte(res.commandTag())})
	}
	return nil
}

// run executes a statement up to the point where its rows can be read.
func (c *session) run(ctx context.Context, st *stmt, params []value) (*result, error) {
	switch st.kind {
	case stmtCommit:
		return c.runCommit()
	case stmtRollback:
		c.abort()
		c.block, c.failed = false, false
		return &result{tag: "ROLLBACK"}, nil
	}
	if c.failed {
		return nil, sqlError(codeFailedTx, "current transaction is aborted, commands ignored until end of transaction block")
	}
	if st.control() {
		return c.srv.runControl(st, params)
	}
	if c.control {
		return nil, sqlError(codeNotSupported, "a control connection runs only control functions")
	}
	if err := c.srv.checkServing(); err != nil {
		return nil, err
	}
	switch st.kind {
	case stmtBegin:
		c.begin(st.readOnly)
		c.block = true
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

func (c *session) runCommit() (*result, error) {
	failed := c.failed
	c.block, c.failed = false, false
	if failed {
		c.abort()
		return &result{tag: "ROLLBACK"}, nil
	}
	return &result{tag: "COMMIT"}, c.commit()
}

func (c *session) show(st *stmt) (*result, error) {
	name := strings.ToLower(st.name)
	var v string
	switch name {
	case "transaction_isolation":
		v = "read committed"
	case "transaction_read_only":
		v = "off"
		if c.srv.Role() != rolePrimary || c.tx != nil && c.tx.readOnly {
			v = "on"
		}
	default:
		for _, p := range startupStatuses {
			if strings.EqualFold(p[0], name) {
				v = p[1]
			}
		}
		if v == "" {
			return nil, sqlError("42704", "unrecognized configuration parameter %q", st.name)
		}
	}
	return rowsResult([]column{{st.name, oidText}}, []row{{text(v)}}, "SHOW", false), nil
}

// sendRows sends up to limit rows, all with limit 0. It leaves the rest in res.
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
		if c.srv.takeDropRow(res.sent) {
			_ = c.flush()
			return errClosed
		}
		c.be.Send(&pgproto3.DataRow{Values: data})
		res.sent++
		if err := c.sent(ctx, len(buf)+len(data)*4); err != nil {
			return err
		}
	}
	return nil
}

// sent counts buffered bytes, and flushes and looks for a cancel request now and then.
func (c *session) sent(ctx context.Context, n int) error {
	c.buffered += n
	if c.buffered < flushBytes {
		return nil
	}
	if ctx.Err() != nil {
		return cancelled()
	}
	return c.flush()
}

// encodeRow encodes the values of a row into buf and returns them as slices of it.
func encodeRow(data [][]byte, buf []byte, columns []column, formats []int16, r row) ([][]byte, []byte, error) {
	for i, v := range r {
		if v == nil {
			data = append(data, nil)
			continue
		}
		start := len(buf)
		var err error
		if buf, err = appendValue(buf, columns[i].oid, formatOf(formats, i), *v); err != nil {
			return nil, nil, err
		}
		data = append(data, buf[start:len(buf):len(buf)])
	}
	return data, buf, nil
}
