package standin

import (
	"bytes"
	"context"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// maxCopyBytes limits the data of one COPY FROM STDIN.
const maxCopyBytes = 64 << 20

// copyIn reads the rows of COPY FROM STDIN and inserts all or none of them.
func (c *session) copyIn(ctx context.Context, st *stmt) (*result, error) {
	t, indexes, err := c.checkCopyIn(st)
	if err != nil {
		return nil, err
	}
	c.backend.Send(&pgproto3.CopyInResponse{ColumnFormatCodes: make([]uint16, len(indexes))})
	if err := c.flush(); err != nil {
		return nil, err
	}
	data, err := c.readCopyData()
	if err != nil {
		return nil, err
	}
	insert := &stmt{kind: stmtInsert, table: t.name, names: st.names}
	for line := range strings.Lines(data) {
		line = strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r")
		if line == `\.` {
			break
		}
		fields := strings.Split(line, "\t")
		if len(fields) != len(indexes) {
			return nil, sqlError(codeInvalidCopyFormat, "COPY line has %d columns, want %d", len(fields), len(indexes))
		}
		exprs := make([]expr, len(fields))
		for i, f := range fields {
			exprs[i] = parseCopyField(f)
		}
		insert.rows = append(insert.rows, exprs)
	}
	res, err := c.srv.execute(ctx, c.tx, insert, nil)
	if err != nil {
		return nil, err
	}
	return &result{tag: "COPY" + strings.TrimPrefix(res.tag, "INSERT 0")}, nil
}

// checkCopyIn checks that the statement can run, before the client sends its rows. It returns the table
// and the indexes of the columns.
func (c *session) checkCopyIn(st *stmt) (*table, []int, error) {
	c.srv.mu.Lock()
	defer c.srv.mu.Unlock()
	if err := c.srv.checkServingLocked(); err != nil {
		return nil, nil, err
	}
	if err := c.srv.checkWritableLocked(c.tx); err != nil {
		return nil, nil, err
	}
	t, err := c.srv.store.table(c.tx, st.table)
	if err != nil {
		return nil, nil, err
	}
	indexes, err := t.indexes(st.names)
	return t, indexes, err
}

// readCopyData reads the data of COPY FROM STDIN up to CopyDone.
func (c *session) readCopyData() (string, error) {
	var data strings.Builder
	for {
		msg, err := c.backend.Receive()
		if err != nil {
			return "", err
		}
		if !c.waitWhilePausedOrIsolated() {
			return "", errConnClosed
		}
		switch m := msg.(type) {
		case *pgproto3.CopyData:
			if data.Len()+len(m.Data) > maxCopyBytes {
				return "", sqlError("54000", "COPY data exceeds %d bytes", maxCopyBytes)
			}
			data.Write(m.Data)
		case *pgproto3.CopyDone:
			return data.String(), nil
		case *pgproto3.CopyFail:
			return "", sqlError(codeCancelled, "COPY from stdin failed: %s", m.Message)
		case *pgproto3.Flush, *pgproto3.Sync:
		default:
			return "", sqlError(codeProtocol, "unexpected message %T during COPY from stdin", msg)
		}
	}
}

var (
	copyUnescape = strings.NewReplacer(`\\`, `\`, `\t`, "\t", `\n`, "\n", `\r`, "\r")
	copyEscape   = strings.NewReplacer(`\`, `\\`, "\t", `\t`, "\n", `\n`, "\r", `\r`)
)

// parseCopyField parses a field in the COPY text format.
func parseCopyField(f string) expr {
	if f == `\N` {
		return expr{null: true}
	}
	return expr{text: copyUnescape.Replace(f), oid: oidText}
}

// copyOut sends the rows of COPY TO STDOUT in text format.
func (c *session) copyOut(ctx context.Context, res *result) error {
	c.backend.Send(&pgproto3.CopyOutResponse{ColumnFormatCodes: make([]uint16, len(res.columns))})
	var line bytes.Buffer
	for {
		r, ok := res.next()
		if !ok {
			c.backend.Send(&pgproto3.CopyDone{})
			return nil
		}
		if c.srv.takeRowClose(res.sent) {
			_ = c.flush()
			return errConnClosed
		}
		line.Reset()
		for i, v := range r {
			if i > 0 {
				line.WriteByte('\t')
			}
			if v == nil {
				line.WriteString(`\N`)
				continue
			}
			line.WriteString(copyEscape.Replace(*v))
		}
		line.WriteByte('\n')
		c.backend.Send(&pgproto3.CopyData{Data: line.Bytes()})
		res.sent++
		if err := c.flushIfFull(ctx, line.Len()); err != nil {
			return err
		}
	}
}
