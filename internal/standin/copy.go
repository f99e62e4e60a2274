package standin

import (
	"bytes"
	"context"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// maxCopyBytes bounds the data of one COPY FROM STDIN.
const maxCopyBytes = 64 << 20

// copyIn reads the rows of COPY FROM STDIN and inserts them, all or none.
func (c *session) copyIn(ctx context.Context, st *stmt) (*result, error) {
	t, at, err := c.copyTarget(st)
	if err != nil {
		return nil, err
	}
	c.be.Send(&pgproto3.CopyInResponse{ColumnFormatCodes: make([]uint16, len(at))})
	if err := c.flush(); err != nil {
		return nil, err
	}
	data, err := c.readCopy()
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
		if len(fields) != len(at) {
			return nil, sqlError(codeBadCopy, "a line has %d columns, want %d", len(fields), len(at))
		}
		exprs := make([]expr, len(fields))
		for i, f := range fields {
			exprs[i] = copyField(f)
		}
		insert.rows = append(insert.rows, exprs)
	}
	res, err := c.srv.execute(ctx, c.tx, insert, nil)
	if err != nil {
		return nil, err
	}
	return &result{tag: "COPY" + strings.TrimPrefix(res.tag, "INSERT 0")}, nil
}

// copyTarget checks whether the statement can run before the client sends its rows.
func (c *session) copyTarget(st *stmt) (*table, []int, error) {
	c.srv.mu.Lock()
	defer c.srv.mu.Unlock()
	if err := c.srv.serving(); err != nil {
		return nil, nil, err
	}
	if err := c.srv.writable(c.tx); err != nil {
		return nil, nil, err
	}
	t, err := c.srv.store.table(c.tx, st.table)
	if err != nil {
		return nil, nil, err
	}
	at, err := t.indexes(st.names)
	return t, at, err
}

func (c *session) readCopy() (string, error) {
	var data strings.Builder
	for {
		msg, err := c.be.Receive()
		if err != nil {
			return "", err
		}
		if !c.pass() {
			return "", errClosed
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

func copyField(f string) expr {
	if f == `\N` {
		return expr{null: true}
	}
	return expr{text: copyUnescape.Replace(f), oid: oidText}
}

// copyOut sends the rows of COPY TO STDOUT.
func (c *session) copyOut(ctx context.Context, res *result) error {
	c.be.Send(&pgproto3.CopyOutResponse{ColumnFormatCodes: make([]uint16, len(res.columns))})
	var line bytes.Buffer
	for {
		r, ok := res.next()
		if !ok {
			c.be.Send(&pgproto3.CopyDone{})
			return nil
		}
		if c.srv.takeDropRow(res.sent) {
			_ = c.flush()
			return errClosed
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
		c.be.Send(&pgproto3.CopyData{Data: line.Bytes()})
		res.sent++
		if err := c.sent(ctx, line.Len()); err != nil {
			return err
		}
	}
}
