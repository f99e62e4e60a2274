package entry

import (
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/citronrun/citronrun/internal/pgwire"
	"github.com/citronrun/citronrun/internal/session"
)

const (
	oidText  = 25
	textSize = -1 // variable length
)

// isLocal reports whether the entry host answers a statement itself: SET, SHOW, and the end of a block
// that is already rolled back.
func (c *caller) isLocal(stmt session.Statement) bool {
	switch stmt.Kind {
	case session.Set, session.Show:
		return true
	case session.Commit, session.Rollback:
		return c.rolledBack()
	}
	return false
}

// executeLocal runs a statement at the entry host and returns its response without ReadyForQuery. The
// statement is one of isLocal, or an empty simple query outside of a transaction. Only the response to a
// simple query contains a RowDescription.
func (c *caller) executeLocal(stmt session.Statement, simple bool) ([]byte, error) {
	c.srv.metrics.localResponses.Inc()
	switch stmt.Kind {
	case session.Set:
		return c.executeSet(stmt)
	case session.Show:
		return c.executeShow(stmt, simple)
	case session.Commit, session.Rollback:
		c.mu.Lock()
		defer c.mu.Unlock()
		c.fire(session.EventEnded)
		return commandComplete(nil, "ROLLBACK"), nil
	}
	return pgwire.Append(nil, pgwire.EmptyQueryResponse, nil), nil
}

func (c *caller) executeSet(stmt session.Statement) ([]byte, error) {
	if c.txStatus() == pgwire.TxFailed {
		return nil, errFailedTransaction()
	}
	if effective, ok := c.targetParameter(stmt.Name); ok && !strings.HasPrefix(stmt.Name, "citron.") {
		if !stmt.Reset {
			if err := session.CheckDriverSetting(stmt.Name, stmt.Value, effective); err != nil {
				return nil, err
			}
		}
		return commandComplete(nil, "SET"), nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.sess.ApplySetting(stmt.Name, stmt.Value, stmt.Reset); err != nil {
		return nil, err
	}
	return commandComplete(nil, "SET"), nil
}

func (c *caller) executeShow(stmt session.Statement, simple bool) ([]byte, error) {
	if c.txStatus() == pgwire.TxFailed {
		return nil, errFailedTransaction()
	}
	c.mu.Lock()
	value, err := c.sess.SettingValue(stmt.Name)
	c.mu.Unlock()
	if err != nil {
		return nil, err
	}
	var out []byte
	if simple {
		out = rowDescription(nil, stmt.Name)
	}
	out, err = (&pgproto3.DataRow{Values: [][]byte{[]byte(value)}}).Encode(out)
	if err != nil {
		return nil, err
	}
	return commandComplete(out, "SHOW"), nil
}

// describeLocal returns the response to Describe. Only that for a statement, as opposed to a portal,
// contains a ParameterDescription.
func describeLocal(stmt session.Statement, isStatement bool) []byte {
	var out []byte
	if isStatement {
		out = pgwire.Append(out, pgwire.ParameterDescription, []byte{0, 0})
	}
	if stmt.Kind == session.Show {
		return rowDescription(out, stmt.Name)
	}
	return pgwire.Append(out, pgwire.NoData, nil)
}

func rowDescription(dst []byte, name string) []byte {
	field := pgproto3.FieldDescription{Name: []byte(name), DataTypeOID: oidText, DataTypeSize: textSize, TypeModifier: -1}
	out, err := (&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{field}}).Encode(dst)
	if err != nil {
		return dst // not reached: encoding a single field always succeeds
	}
	return out
}
