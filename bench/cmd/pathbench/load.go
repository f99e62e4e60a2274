package main

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/citronrun/citronrun/internal/pgwire"
)

const (
	smallRead = "SELECT id, visitor, status FROM booking WHERE id = 'b1'"
	largeRead = "SELECT id, stall, status FROM repair"

	callTimeout   = 10 * time.Second
	statementName = "read"
)

// caller is a connection that runs one prepared statement repeatedly.
type caller struct {
	conn    net.Conn
	reader  *pgwire.Reader
	request []byte // Bind, Execute, Sync
}

func openCaller(ctx context.Context, url, sql string) (*caller, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := pgconn.Connect(ctx, url)
	if err != nil {
		return nil, err
	}
	if _, err := conn.Prepare(ctx, statementName, sql, nil); err != nil {
		_ = conn.Close(ctx)
		return nil, err
	}
	if err := conn.SyncConn(ctx); err != nil {
		_ = conn.Close(ctx)
		return nil, err
	}
	h, err := conn.Hijack()
	if err != nil {
		return nil, err
	}
	_ = h.Conn.SetDeadline(time.Time{})
	c := &caller{conn: h.Conn, reader: pgwire.NewReaderSize(h.Conn, pgwire.MaxFrameBytes, 1<<10)}
	for _, m := range []pgproto3.FrontendMessage{
		&pgproto3.Bind{PreparedStatement: statementName}, &pgproto3.Execute{}, &pgproto3.Sync{},
	} {
		if c.request, err = m.Encode(c.request); err != nil {
			c.close()
			return nil, err
		}
	}
	return c, nil
}

func (c *caller) close() { _ = c.conn.Close() }

// run runs the statement once and reads the complete response.
func (c *caller) run() error {
	if _, err := c.conn.Write(c.request); err != nil {
		return err
	}
	rows := 0
	for {
		f, err := c.reader.Next()
		if err != nil {
			return err
		}
		switch f.Type() {
		case pgwire.ErrorResponse:
			return fmt.Errorf("statement failed: ErrorResponse %q", f.Body())
		case pgwire.DataRow:
			rows++
		case pgwire.ReadyForQuery:
			if rows == 0 {
				return fmt.Errorf("statement returned no rows, want at least 1")
			}
			return nil
		}
	}
}

// openCallers opens n callers, distributed evenly over the URLs.
func openCallers(ctx context.Context, n int, sql string, urls ...string) ([]*caller, error) {
	const parallel = 50
	callers := make([]*caller, n)
	errs := make(chan error, n)
	semaphore := make(chan struct{}, parallel)
	for i := range n {
		go func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			var err error
			callers[i], err = openCaller(ctx, urls[i%len(urls)], sql)
			errs <- err
		}()
	}
	var first error
	for range n {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	if first != nil {
		closeAll(callers)
		return nil, fmt.Errorf("open %d callers: %w", n, first)
	}
	return callers, nil
}

func closeAll(callers []*caller) {
	for _, c := range callers {
		if c != nil {
			c.close()
		}
	}
}

// runLoad runs statements on all callers concurrently for the duration and returns all latencies.
func runLoad(callers []*caller, duration time.Duration) ([]time.Duration, error) {
	type outcome struct {
		latencies []time.Duration
		err       error
	}
	outcomes := make([]outcome, len(callers))
	deadline := time.Now().Add(duration)
	var wg sync.WaitGroup
	for i, c := range callers {
		wg.Go(func() {
			result := &outcomes[i]
			for start := time.Now(); start.Before(deadline); {
				if result.err = c.run(); result.err != nil {
					return
				}
				now := time.Now()
				result.latencies = append(result.latencies, now.Sub(start))
				start = now
			}
		})
	}
	wg.Wait()
	var all []time.Duration
	for _, result := range outcomes {
		if result.err != nil {
			return nil, result.err
		}
		all = append(all, result.latencies...)
	}
	return all, nil
}
