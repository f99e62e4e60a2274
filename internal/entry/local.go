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

// isLocal reports whether the entry host answers a statement itself.
func (c *caller) isLocal(st session.Statement) bool {
	switch st.Kind {
	case session.Set, session.Show:
		return true
	case session.Commit, session.Rollback:
		return c.rolledBack()
	}
	return false
}

// executeLocal runs a statement at the entry host and returns its response without ReadyForQuery.
// Rows are described in answers to simple queries only.
func (c *caller) executeLocal(st session.Statement, simple bool) ([]byte, error) {
	c.srv.metrics.local.Inc()
	switch st.Kind {
	case session.Set:
		return c.executeSet(st)
	case session.Show:
		return c.executeShow(st, simple)
	case session.Commit, session.Rollback:
		c.mu.Lock()
		defer c.mu.Unlock()
		c.fire(session.EventEnded)
		return commandComplete(nil, "ROLLBACK"), nil
	}
	return pgwire.Append(nil, pgwire.EmptyQueryResponse, nil), nil
}

func (c *caller) executeSet(st session.Statement) ([]byte, error) {
	if c.status() == pgwire.TxFailed {
		return nil, failedTransaction()
	}
	if used, ok := c.usedParameter(st.Name); ok && !strings.HasPrefix(st.Name, "citron.") {
		if !st.Reset {
			if err := session.CheckDriverSetting(st.Name, st.Value, used); err != nil {
				return nil, err
			}
		}
		return commandComplete(nil, "SET"), nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.st.ApplySetting(st.Name, st.Value, st.Reset); err != nil {
		return nil, err
	}
	return commandComplete(nil, "SET"), nil
}

func (c *caller) executeShow(st session.Statement, simple bool) ([]byte, error) {
	if c.status() == pgwire.TxFailed {
		return nil, failedTransaction()
	}
	c.mu.Lock()
	value, err := c.st.SettingValue(st.Name)
	c.mu.Unlock()
	if err != nil {
		return nil, err
	}
	var out []byte
	if simple {
		out = rowDescription(nil, st.Name)
	}
	out, err = (&pgproto3.DataRow{Values: [][]byte{[]byte(value)}}).Encode(out)
	if err != nil {
		return nil, err
	}
	return commandComplete(out, "SHOW"), nil
}

// describeLocal returns the answer to Describe of a statement or portal.
func describeLocal(st session.Statement, statement bool) []byte {
	var out []byte
	if statement {
		out = pgwire.Append(out, pgwire.ParameterDescription, []byte{0, 0})
	}
	if st.Kind == session.Show {
		return rowDescription(out, st.Name)
	}
	return pgwire.Append(out, pgwire.NoData, nil)
}

func rowDescription(dst []byte, name string) []byte {
	field := pgproto3.FieldDescription{Name: []byte(name), DataTypeOID: oidText, DataTypeSize: textSize, TypeModifier: -1}
	out, err := (&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{field}}).Encode(dst)
	if err != nil {
		return dst // one field can't fail to encode
	}
	return out
}
