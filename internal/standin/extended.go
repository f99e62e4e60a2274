package standin

import (
	"github.com/jackc/pgx/v5/pgproto3"
)

// prepared is a prepared statement.
type prepared struct {
	sql     string
	stmt    *stmt    // nil if sql is empty
	params  []uint32 // parameter types
	columns []column // result columns, nil without rows
}

// portal is a prepared statement with bound parameters.
type portal struct {
	prepared *prepared
	params   []value
	formats  []int16 // result formats
	result   *result // nil before the first Execute
}

func (c *session) parse(m *pgproto3.Parse) error {
	c.srv.recordAudit(AuditEntry{PID: c.pid, User: c.user, SQL: m.Query})
	if m.Name != "" && c.statements[m.Name] != nil {
		return sqlError(codeDuplicateStmt, "prepared statement %q already exists", m.Name)
	}
	statements, err := parseSQL(m.Query)
	if err != nil {
		return err
	}
	p := &prepared{sql: m.Query}
	switch {
	case len(statements) > 1:
		return sqlError(codeSyntax, "cannot insert multiple commands into a prepared statement")
	case len(statements) == 1:
		p.stmt = statements[0]
		if err := c.describeStatement(p, m.ParameterOIDs); err != nil {
			return err
		}
	}
	c.statements[m.Name] = p
	c.backend.Send(&pgproto3.ParseComplete{})
	return nil
}

// describeStatement sets the parameter types and result columns of p. Types that the client declares are
// kept.
func (c *session) describeStatement(p *prepared, declared []uint32) (err error) {
	if c.blockFailed && p.stmt.kind != stmtCommit && p.stmt.kind != stmtRollback {
		return sqlError(codeFailedTx, "current transaction is aborted, commands ignored until end of transaction block")
	}
	c.srv.mu.Lock()
	defer c.srv.mu.Unlock()
	tx := c.tx
	if tx == nil {
		tx = newTransaction(true) // sees only committed tables
	}
	p.params, p.columns, err = c.srv.describe(tx, p.stmt, declared)
	return err
}

func (c *session) bind(m *pgproto3.Bind) error {
	p := c.statements[m.PreparedStatement]
	if p == nil {
		return sqlError(codeNoStatement, "prepared statement %q does not exist", m.PreparedStatement)
	}
	if len(m.Parameters) != len(p.params) {
		return sqlError(codeProtocol, "bind message supplies %d parameters, but prepared statement %q requires %d",
			len(m.Parameters), m.PreparedStatement, len(p.params))
	}
	bound := &portal{prepared: p, formats: append([]int16(nil), m.ResultFormatCodes...)}
	args := make([]string, len(m.Parameters))
	for i, b := range m.Parameters {
		v, err := decodeParam(p.params[i], formatCode(m.ParameterFormatCodes, i), b)
		if err != nil {
			return err
		}
		bound.params = append(bound.params, v)
		if v != nil {
			args[i] = *v
		}
	}
	c.srv.recordAudit(AuditEntry{PID: c.pid, User: c.user, SQL: p.sql, Args: args})
	c.portals[m.DestinationPortal] = bound
	c.backend.Send(&pgproto3.BindComplete{})
	return nil
}

func (c *session) describe(m *pgproto3.Describe) error {
	if m.ObjectType == 'S' {
		p := c.statements[m.Name]
		if p == nil {
			return sqlError(codeNoStatement, "prepared statement %q does not exist", m.Name)
		}
		c.backend.Send(&pgproto3.ParameterDescription{ParameterOIDs: p.params})
		c.sendColumns(p.columns, nil)
		return nil
	}
	bound := c.portals[m.Name]
	if bound == nil {
		return sqlError(codeNoPortal, "portal %q does not exist", m.Name)
	}
	c.sendColumns(bound.prepared.columns, bound.formats)
	return nil
}

func (c *session) sendColumns(columns []column, formats []int16) {
	if columns == nil {
		c.backend.Send(&pgproto3.NoData{})
		return
	}
	c.backend.Send(rowDescription(columns, formats))
}

func (c *session) close(m *pgproto3.Close) {
	if m.ObjectType == 'S' {
		delete(c.statements, m.Name)
	} else {
		delete(c.portals, m.Name)
	}
	c.backend.Send(&pgproto3.CloseComplete{})
}

func (c *session) executePortal(m *pgproto3.Execute) error {
	bound := c.portals[m.Portal]
	if bound == nil {
		return sqlError(codeNoPortal, "portal %q does not exist", m.Portal)
	}
	st := bound.prepared.stmt
	if st == nil {
		c.backend.Send(&pgproto3.EmptyQueryResponse{})
		return nil
	}
	limit := int(m.MaxRows)
	ctx, done := c.statementContext()
	defer done()
	if bound.result == nil {
		res, err := c.run(ctx, st, bound.params)
		if err != nil {
			return err
		}
		bound.result = res
	}
	before := bound.result.sent
	if err := c.sendRows(ctx, st, bound.result, bound.formats, limit); err != nil {
		return err
	}
	if st.kind != stmtCopyOut && limit > 0 && bound.result.sent-before == limit {
		c.backend.Send(&pgproto3.PortalSuspended{})
		return nil
	}
	c.backend.Send(&pgproto3.CommandComplete{CommandTag: []byte(bound.result.commandTag())})
	return nil
}
