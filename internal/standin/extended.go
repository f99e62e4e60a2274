package standin

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

// prepared is a prepared statement. stmt is nil for an empty text.
type prepared struct {
	sql     string
	stmt    *stmt
	params  []uint32
	columns []column
}

// portal is a bound statement, and its result once it was executed.
type portal struct {
	prepared *prepared
	params   []value
	formats  []int16
	result   *result
}

func (c *session) parse(m *pgproto3.Parse) error {
	c.srv.record(AuditEntry{PID: c.pid, User: c.user, SQL: m.Query})
	if m.Name != "" && c.prepared[m.Name] != nil {
		return sqlError(codeDuplicateStmt, "prepared statement %q already exists", m.Name)
	}
	list, err := parseSQL(m.Query)
	if err != nil {
		return err
	}
	p := &prepared{sql: m.Query}
	switch {
	case len(list) > 1:
		return sqlError(codeSyntax, "cannot insert multiple commands into a prepared statement")
	case len(list) == 1:
		p.stmt = list[0]
		if err := c.describeStatement(p, m.ParameterOIDs); err != nil {
			return err
		}
	}
	c.prepared[m.Name] = p
	c.be.Send(&pgproto3.ParseComplete{})
	return nil
}

func (c *session) describeStatement(p *prepared, given []uint32) (err error) {
	if c.failed && p.stmt.kind != stmtCommit && p.stmt.kind != stmtRollback {
		return sqlError(codeFailedTx, "current transaction is aborted, commands ignored until end of transaction block")
	}
	c.srv.mu.Lock()
	defer c.srv.mu.Unlock()
	tx := c.tx
	if tx == nil {
		tx = newTransaction(true) // sees committed tables only
	}
	p.params, p.columns, err = c.srv.describe(tx, p.stmt, given)
	return err
}

func (c *session) bind(m *pgproto3.Bind) error {
	p := c.prepared[m.PreparedStatement]
	if p == nil {
		return sqlError(codeNoStatement, "prepared statement %q does not exist", m.PreparedStatement)
	}
	if len(m.Parameters) != len(p.params) {
		return sqlError(codeProtocol, "bind message supplies %d parameters, but prepared statement %q requires %d",
			len(m.Parameters), m.PreparedStatement, len(p.params))
	}
	po := &portal{prepared: p, formats: append([]int16(nil), m.ResultFormatCodes...)}
	audit := make([]string, len(m.Parameters))
	for i, b := range m.Parameters {
		v, err := decodeParam(p.params[i], formatOf(m.ParameterFormatCodes, i), b)
		if err != nil {
			return err
		}
		po.params = append(po.params, v)
		if v != nil {
			audit[i] = *v
		}
	}
	c.srv.record(AuditEntry{PID: c.pid, User: c.user, SQL: p.sql, Args: audit})
	c.portals[m.DestinationPortal] = po
	c.be.Send(&pgproto3.BindComplete{})
	return nil
}

func (c *session) describe(m *pgproto3.Describe) error {
	if m.ObjectType == 'S' {
		p := c.prepared[m.Name]
		if p == nil {
			return sqlError(codeNoStatement, "prepared statement %q does not exist", m.Name)
		}
		c.be.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.params})
		c.sendColumns(p.columns, nil)
		return nil
	}
	po := c.portals[m.Name]
	if po == nil {
		return sqlError(codeNoPortal, "portal %q does not exist", m.Name)
	}
	c.sendColumns(po.prepared.columns, po.formats)
	return nil
}

func (c *session) sendColumns(columns []column, formats []int16) {
	if columns == nil {
		c.be.Send(&pgproto3.NoData{})
		return
	}
	c.be.Send(rowDescription(columns, formats))
}

func (c *session) close(m *pgproto3.Close) {
	if m.ObjectType == 'S' {
		delete(c.prepared, m.Name)
	} else {
		delete(c.portals, m.Name)
	}
	c.be.Send(&pgproto3.CloseComplete{})
}

func (c *session) executePortal(m *pgproto3.Execute) error {
	po := c.portals[m.Portal]
	if po == nil {
		return sqlError(codeNoPortal, "portal %q does not exist", m.Portal)
	}
	st := po.prepared.stmt
	if st == nil {
		c.be.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	limit := int(m.MaxRows)
	ctx, done := c.statementContext()
	defer done()
	if po.result == nil {
		res, err := c.run(ctx, st, po.params)
		if err != nil {
			return err
		}
		po.result = res
	}
	before := po.result.sent
	if err := c.sendRows(ctx, st, po.result, po.formats, limit); err != nil {
		return err
	}
	if st.kind != stmtCopyOut && limit > 0 && po.result.sent-before == limit {
		c.be.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	c.be.Send(&pgproto3.CommandComplete{CommandTag: []byte(po.result.commandTag())})
	return nil
}
