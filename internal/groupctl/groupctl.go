// Package groupctl calls the control functions of a target: its status in the database group,
// promotion, and following another primary.
//
// A Client has a connection of its own, which doesn't count among a pool's work connections. The
// target recognises it by its application name.
package groupctl

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/citronrun/citronrun/internal/position"
)

// ApplicationName is the startup parameter application_name of control connections.
const ApplicationName = "citronrun-control"

// Roles that a target reports.
const (
	RolePrimary  = "primary"
	RoleReplica  = "replica"
	RoleDiverged = "diverged" // its log went past a fork; it serves nothing until it is rebuilt
)

// Config says how to connect to a target.
type Config struct {
	Addr     string // IP:PORT
	User     string
	Password string
	Database string
	TLS      *tls.Config // nil connects without TLS
}

// Status is a target's state within its group.
type Status struct {
	Role     string // primary, replica or diverged
	Term     uint64
	Received position.Position // end of the log on the target
	Applied  position.Position // what its reads reflect
}

// Client calls the control functions of one target. It is safe for concurrent use; calls run one
// after another. After a call that failed other than by an answer of the target, the client is
// closed and must be dialled again.
type Client struct {
	turn chan struct{} // holds one token while a call runs
	conn *pgconn.PgConn
	once sync.Once
}

// Dial connects to a target within ctx.
func Dial(ctx context.Context, cfg Config) (*Client, error) {
	host, portText, err := net.SplitHostPort(cfg.Addr)
	if err != nil {
		return nil, fmt.Errorf("control address: %w", err)
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return nil, fmt.Errorf("control port: %w", err)
	}
	pcfg, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, err
	}
	pcfg.Host, pcfg.Port = host, uint16(port)
	pcfg.User, pcfg.Password, pcfg.Database = cfg.User, cfg.Password, cfg.Database
	pcfg.TLSConfig = cfg.TLS
	pcfg.Fallbacks = nil
	pcfg.RuntimeParams = map[string]string{"application_name": ApplicationName}
	conn, err := pgconn.ConnectConfig(ctx, pcfg)
	if err != nil {
		return nil, fmt.Errorf("control connection: %w", err)
	}
	return &Client{turn: make(chan struct{}, 1), conn: conn}, nil
}

// Status returns the target's role, term and positions.
func (c *Client) Status(ctx context.Context) (Status, error) {
	row, err := c.call(ctx, "SELECT * FROM group_status()")
	if err != nil {
		return Status{}, fmt.Errorf("group_status: %w", err)
	}
	if len(row) != 4 {
		return Status{}, fmt.Errorf("group_status returned %d columns, want 4", len(row))
	}
	st := Status{Role: row[0]}
	if st.Term, err = strconv.ParseUint(row[1], 10, 64); err != nil {
		return Status{}, fmt.Errorf("group_status term: %w", err)
	}
	if st.Received, err = position.Parse(row[2]); err != nil {
		return Status{}, fmt.Errorf("group_status received: %w", err)
	}
	if st.Applied, err = position.Parse(row[3]); err != nil {
		return Status{}, fmt.Errorf("group_status applied: %w", err)
	}
	return st, nil
}

// Promote makes the target the primary of term. A repeated call is no error. The target refuses a
// term that isn't above its own.
func (c *Client) Promote(ctx context.Context, term uint64) error {
	sql := fmt.Sprintf("SELECT group_promote(%d)", term)
	if _, err := c.call(ctx, sql); err != nil {
		return fmt.Errorf("group_promote(%d): %w", term, err)
	}
	return nil
}

// Follow makes the target a replica of the primary of term at addr (IP:PORT). The target refuses a
// term below its own.
func (c *Client) Follow(ctx context.Context, term uint64, addr string) error {
	sql := fmt.Sprintf("SELECT group_follow(%d, '%s')", term, strings.ReplaceAll(addr, "'", "''"))
	if _, err := c.call(ctx, sql); err != nil {
		return fmt.Errorf("group_follow(%d): %w", term, err)
	}
	return nil
}

// Close ends the connection, also under a running call.
func (c *Client) Close() error {
	var err error
	c.once.Do(func() { err = c.conn.Conn().Close() })
	return err
}

// call runs sql and returns the first row of its result.
func (c *Client) call(ctx context.Context, sql string) ([]string, error) {
	select {
	case c.turn <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-c.turn }()
	results, err := c.conn.Exec(ctx, sql).ReadAll()
	if err != nil {
		return nil, err
	}
	if len(results) != 1 || len(results[0].Rows) != 1 {
		return nil, fmt.Errorf("%d results, want one with one row", len(results))
	}
	row := make([]string, len(results[0].Rows[0]))
	for i, v := range results[0].Rows[0] {
		row[i] = string(v)
	}
	return row, nil
}
