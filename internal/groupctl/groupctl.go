// Package groupctl calls the control functions of a target. They return its status within the replication
// group, promote it, and make it follow another primary.
//
// A Client uses a separate connection, which the target recognises by its application name and does not count
// towards its limits of connections and slots.
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

// ApplicationName is the value of the startup parameter application_name on control connections.
const ApplicationName = "citronrun-control"

// Roles that a target reports.
const (
	RolePrimary  = "primary"
	RoleReplica  = "replica"
	RoleDiverged = "diverged" // its log has entries that the primary's lacks; it serves nothing until it is rebuilt
)

// Config describes how to connect to a target.
type Config struct {
	Addr     string // IP:PORT
	User     string
	Password string
	Database string
	TLS      *tls.Config // nil: no TLS
}

// Status is the state of a target within its replication group.
type Status struct {
	Role     string // RolePrimary, RoleReplica or RoleDiverged
	Term     uint64
	Received position.Position // end of the target's log
	Applied  position.Position // position that reads at the target reflect
}

// Client calls the control functions of one target. It is safe for concurrent use; calls run one at a time. An
// error response of the target, or a context that ends before the call is sent, leaves the Client usable; after
// any other error its connection is closed and a new Client is needed.
type Client struct {
	sem       chan struct{} // held while a call runs
	conn      *pgconn.PgConn
	closeOnce sync.Once
}

// Dial connects to a target.
func Dial(ctx context.Context, cfg Config) (*Client, error) {
	host, portText, err := net.SplitHostPort(cfg.Addr)
	if err != nil {
		return nil, fmt.Errorf("invalid address of target: %w", err)
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return nil, fmt.Errorf("invalid port of target: %w", err)
	}
	driverCfg, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, err
	}
	driverCfg.Host, driverCfg.Port = host, uint16(port)
	driverCfg.User, driverCfg.Password, driverCfg.Database = cfg.User, cfg.Password, cfg.Database
	driverCfg.TLSConfig = cfg.TLS
	driverCfg.Fallbacks = nil
	driverCfg.RuntimeParams = map[string]string{"application_name": ApplicationName}
	conn, err := pgconn.ConnectConfig(ctx, driverCfg)
	if err != nil {
		return nil, fmt.Errorf("open control connection: %w", err)
	}
	return &Client{sem: make(chan struct{}, 1), conn: conn}, nil
}

// Status returns the target's role, term and positions.
func (c *Client) Status(ctx context.Context) (Status, error) {
	row, err := c.queryRow(ctx, "SELECT * FROM group_status()")
	if err != nil {
		return Status{}, fmt.Errorf("group_status: %w", err)
	}
	if len(row) != 4 {
		return Status{}, fmt.Errorf("group_status returned %d columns, want 4", len(row))
	}
	st := Status{Role: row[0]}
	if st.Term, err = strconv.ParseUint(row[1], 10, 64); err != nil {
		return Status{}, fmt.Errorf("parse term of group_status: %w", err)
	}
	if st.Received, err = position.Parse(row[2]); err != nil {
		return Status{}, fmt.Errorf("parse received position of group_status: %w", err)
	}
	if st.Applied, err = position.Parse(row[3]); err != nil {
		return Status{}, fmt.Errorf("parse applied position of group_status: %w", err)
	}
	return st, nil
}

// Promote makes the target the primary of term. The call is idempotent. The target refuses a term that is not
// higher than its own, except one of which it is the primary already.
func (c *Client) Promote(ctx context.Context, term uint64) error {
	sql := fmt.Sprintf("SELECT group_promote(%d)", term)
	if _, err := c.queryRow(ctx, sql); err != nil {
		return fmt.Errorf("group_promote(%d): %w", term, err)
	}
	return nil
}

// Follow makes the target a replica of the primary of term at addr (IP:PORT). The target refuses a term lower
// than its own.
func (c *Client) Follow(ctx context.Context, term uint64, addr string) error {
	sql := fmt.Sprintf("SELECT group_follow(%d, '%s')", term, strings.ReplaceAll(addr, "'", "''"))
	if _, err := c.queryRow(ctx, sql); err != nil {
		return fmt.Errorf("group_follow(%d): %w", term, err)
	}
	return nil
}

// Close closes the connection, which also ends a running call.
func (c *Client) Close() error {
	var err error
	c.closeOnce.Do(func() { err = c.conn.Conn().Close() })
	return err
}

// queryRow runs sql and returns the only row of its result.
func (c *Client) queryRow(ctx context.Context, sql string) ([]string, error) {
	select {
	case c.sem <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	defer func() { <-c.sem }()
	results, err := c.conn.Exec(ctx, sql).ReadAll()
	if err != nil {
		return nil, err
	}
	if len(results) != 1 {
		return nil, fmt.Errorf("got %d results, want 1", len(results))
	}
	if n := len(results[0].Rows); n != 1 {
		return nil, fmt.Errorf("got %d rows, want 1", n)
	}
	row := make([]string, len(results[0].Rows[0]))
	for i, v := range results[0].Rows[0] {
		row[i] = string(v)
	}
	return row, nil
}
