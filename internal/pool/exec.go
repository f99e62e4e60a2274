package pool

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/citronrun/citronrun/internal/pgwire"
)

// Exec runs sql as a simple query. It returns the rows in text format, with NULL as an empty string, and
// the tag of the last command. An error response of the target is returned as a *pgconn.PgError and
// leaves the connection usable. If ctx ends first, the connection is discarded and the outcome of the
// query is unknown.
func (c *Conn) Exec(ctx context.Context, sql string) (rows [][]string, tag string, err error) {
	if err := ctx.Err(); err != nil {
		return nil, "", err
	}
	stop := context.AfterFunc(ctx, func() {
		c.Discard()
		_ = c.SetDeadline(time.Unix(1, 0))
	})
	defer stop()
	frame, err := (&pgproto3.Query{String: sql}).Encode(nil)
	if err != nil {
		return nil, "", fmt.Errorf("encode query: %w", err)
	}
	if err := c.Send(frame); err != nil {
		return nil, "", err
	}
	return c.readQueryResult()
}

// readQueryResult reads the responses to a simple query up to its ReadyForQuery.
func (c *Conn) readQueryResult() (rows [][]string, tag string, err error) {
	for {
		f, readErr := c.Next()
		if readErr != nil {
			return nil, "", readErr
		}
		var decodeErr error
		switch f.Type() {
		case pgwire.DataRow:
			var m pgproto3.DataRow
			decodeErr = m.Decode(f.Body())
			rows = append(rows, textRow(m.Values))
		case pgwire.CommandComplete:
			var m pgproto3.CommandComplete
			decodeErr = m.Decode(f.Body())
			tag = string(m.CommandTag)
		case pgwire.ErrorResponse:
			var m pgproto3.ErrorResponse
			decodeErr = m.Decode(f.Body())
			err = pgconn.ErrorResponseToPgError(&m)
		case pgwire.ReadyForQuery:
			if err != nil {
				return nil, "", err
			}
			return rows, tag, nil
		}
		if decodeErr != nil {
			return nil, "", c.markFailed(fmt.Sprintf("decode response of type %q", f.Type()), decodeErr)
		}
	}
}

func textRow(values [][]byte) []string {
	row := make([]string, len(values))
	for i, v := range values {
		row[i] = string(v)
	}
	return row
}
