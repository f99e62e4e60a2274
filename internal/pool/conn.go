package pool

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/citronrun/citronrun/internal/pgwire"
	"github.com/citronrun/citronrun/internal/position"
)

// applicationName is shown by the target for connections of the pool.
const applicationName = "citronrun"

// errBroken means that the connection was closed or failed before.
var errBroken = errors.New("connection to the target is closed")

// Conn is a connection to a target. One goroutine may send while another one reads.
type Conn struct {
	net      net.Conn
	cancel   func(ctx context.Context) error
	reader   *pgwire.Reader
	held     pgwire.Frame // read, but preceded by a response that is made here; used by Next only
	checkout uint64       // number of times that the pool handed the connection out

	raw   syscall.RawConn // nil: the connection can't be watched; used by alive only
	peek  func(fd uintptr) bool
	quiet bool // result of peek

	discarded atomic.Bool

	mu         sync.Mutex // guards the fields below
	tracker    pgwire.Tracker
	statements statements
	txStatus   byte
	position   position.Position
	synced     uint64 // Sync and Query requests sent
	ready      uint64 // ReadyForQuery responses received
	open       bool   // requests sent since the last Sync or Query
	lastLocal  bool   // the last request is answered here
	skipping   bool   // the target skips requests up to the next Sync, which has not been sent
	copyEnded  bool   // CopyDone or CopyFail sent since the last Execute

	out []byte // buffer of Send
}

// dial opens a connection through pgconn, which authenticates, and takes it over.
func dial(ctx context.Context, cfg Config) (*Conn, error) {
	pcfg, err := driverConfig(cfg)
	if err != nil {
		return nil, err
	}
	pc, err := pgconn.ConnectConfig(ctx, pcfg)
	if err != nil {
		return nil, err
	}
	if err := pc.SyncConn(ctx); err != nil {
		_ = pc.Close(ctx)
		return nil, err
	}
	h, err := pc.Hijack()
	if err != nil {
		return nil, err
	}
	twin, err := pgconn.Construct(h) // only for its cancel requests
	if err != nil {
		_ = h.Conn.Close()
		return nil, err
	}
	c := &Conn{
		net:      h.Conn,
		cancel:   twin.CancelRequest,
		reader:   pgwire.NewReader(h.Conn, pgwire.MaxFrameBytes),
		txStatus: h.TxStatus,
	}
	c.statements.init()
	if err := c.watch(); err != nil {
		c.close()
		return nil, err
	}
	if pos, err := position.Parse(h.ParameterStatuses[pgwire.ParameterPosition]); err == nil {
		c.position = pos
	}
	return c, nil
}

// driverConfig builds the settings of pgconn. All that the environment may set is overwritten.
func driverConfig(cfg Config) (*pgconn.Config, error) {
	host, portText, err := net.SplitHostPort(cfg.Addr)
	if err != nil {
		return nil, fmt.Errorf("address of target %s: %w", cfg.Target, err)
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return nil, fmt.Errorf("port of target %s: %w", cfg.Target, err)
	}
	pcfg, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, err
	}
	pcfg.Host, pcfg.Port = host, uint16(port)
	pcfg.User, pcfg.Password, pcfg.Database = cfg.User, cfg.Password, cfg.Database
	pcfg.TLSConfig = cfg.TLS
	pcfg.Fallbacks = nil
	pcfg.RuntimeParams = map[string]string{"application_name": applicationName}
	return pcfg, nil
}

// TxStatus returns the transaction state from the last ReadyForQuery: 'I', 'T' or 'E'.
func (c *Conn) TxStatus() byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.txStatus
}

// Position returns the last position that the target reported on this connection.
func (c *Conn) Position() position.Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.position
}

// Pending reports whether requests were sent whose ReadyForQuery has not been read.
func (c *Conn) Pending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending()
}

func (c *Conn) pending() bool { return c.open || c.synced != c.ready || c.tracker.Len() > 0 }

// HasNext reports whether Next would return without waiting for the target. Only the goroutine that
// calls Next may call it.
func (c *Conn) HasNext() bool { return c.held != nil || c.reader.HasFrame() }

// Discard prevents any later use of the connection: Put closes it.
func (c *Conn) Discard() { c.discarded.Store(true) }

// Cancel asks the target, on a connection of its own, to cancel the running statement. The
// statement may end before the request arrives.
func (c *Conn) Cancel(ctx context.Context) error { return c.cancel(ctx) }

// SetDeadline bounds Send and Next, as net.Conn does. The zero time removes the bound.
func (c *Conn) SetDeadline(t time.Time) error { return c.net.SetDeadline(t) }

// clean reports whether another transaction may use the connection.
func (c *Conn) clean() bool {
	if c.discarded.Load() || c.held != nil || c.reader.Buffered() > 0 {
		return false
	}
	if c.net.SetDeadline(time.Time{}) != nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.pending() && c.txStatus == pgwire.TxIdle
}

func (c *Conn) close() {
	c.discarded.Store(true)
	_ = c.net.Close()
}

// fail marks the connection as unusable and returns the error.
func (c *Conn) fail(doing string, err error) error {
	c.discarded.Store(true)
	return fmt.Errorf("%s: %w", doing, err)
}
