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

// applicationName identifies the connections of the pool at the target.
const applicationName = "citronrun"

// errConnClosed means that the connection was closed or failed before.
var errConnClosed = errors.New("connection to the target is closed")

// Conn is a connection to a target. One goroutine may call Send while another one calls Next.
//
// A batch is the requests up to and including a Sync or simple Query. Batches are numbered from 0; the target
// ends each with a ReadyForQuery. A local response is one that Next generates for a request that was not sent.
type Conn struct {
	net       net.Conn
	cancel    func(ctx context.Context) error
	reader    *pgwire.Reader
	buffered  pgwire.Frame // response of the target that is due after local responses; used by Next only
	checkouts uint64       // number of times that the pool handed the connection out

	rawConn       syscall.RawConn // nil: the connection has TLS and can't be checked; used by alive only
	peekSocket    func(fd uintptr) bool
	noDataPending bool // result of peekSocket

	discarded atomic.Bool

	mu                sync.Mutex // guards the fields below
	tracker           pgwire.Tracker
	statements        statements
	txStatus          byte
	position          position.Position
	batchesSent       uint64 // Sync and Query requests sent; also the number of the current batch
	batchesCompleted  uint64 // ReadyForQuery responses received
	batchOpen         bool   // requests sent since the last Sync or Query
	lastIsLocal       bool   // the last request gets a local response
	targetSkipsToSync bool   // after an error the target skips all requests up to the next Sync, which has not been sent
	copyEndSent       bool   // CopyDone or CopyFail sent since the last Execute

	sendBuf []byte // buffer of Send
}

// dial opens and authenticates a connection with pgconn, and then hijacks it.
func dial(ctx context.Context, cfg Config) (*Conn, error) {
	driverCfg, err := driverConfig(cfg)
	if err != nil {
		return nil, err
	}
	pgConn, err := pgconn.ConnectConfig(ctx, driverCfg)
	if err != nil {
		return nil, err
	}
	if err := pgConn.SyncConn(ctx); err != nil {
		_ = pgConn.Close(ctx)
		return nil, err
	}
	hijacked, err := pgConn.Hijack()
	if err != nil {
		return nil, err
	}
	cancelConn, err := pgconn.Construct(hijacked) // used only for cancel requests
	if err != nil {
		_ = hijacked.Conn.Close()
		return nil, err
	}
	c := &Conn{
		net:      hijacked.Conn,
		cancel:   cancelConn.CancelRequest,
		reader:   pgwire.NewReader(hijacked.Conn, pgwire.MaxFrameBytes),
		txStatus: hijacked.TxStatus,
	}
	c.statements.init()
	if err := c.initAliveCheck(); err != nil {
		c.close()
		return nil, err
	}
	if pos, err := position.Parse(hijacked.ParameterStatuses[pgwire.ParameterPosition]); err == nil {
		c.position = pos
	}
	return c, nil
}

// driverConfig returns the configuration of pgconn. It overwrites every value that pgconn would take from
// the environment.
func driverConfig(cfg Config) (*pgconn.Config, error) {
	host, portText, err := net.SplitHostPort(cfg.Addr)
	if err != nil {
		return nil, fmt.Errorf("invalid address of target %s: %w", cfg.Target, err)
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return nil, fmt.Errorf("invalid port of target %s: %w", cfg.Target, err)
	}
	driverCfg, err := pgconn.ParseConfig("sslmode=disable")
	if err != nil {
		return nil, err
	}
	driverCfg.Host, driverCfg.Port = host, uint16(port)
	driverCfg.User, driverCfg.Password, driverCfg.Database = cfg.User, cfg.Password, cfg.Database
	driverCfg.TLSConfig = cfg.TLS
	driverCfg.Fallbacks = nil
	driverCfg.RuntimeParams = map[string]string{"application_name": applicationName}
	return driverCfg, nil
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

// Pending reports whether the ReadyForQuery of a sent request has not been read yet.
func (c *Conn) Pending() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending()
}

func (c *Conn) pending() bool {
	return c.batchOpen || c.batchesSent != c.batchesCompleted || c.tracker.Len() > 0
}

// HasNext reports whether Next would return without waiting for the target. Only the goroutine that
// calls Next may call it.
func (c *Conn) HasNext() bool { return c.buffered != nil || c.reader.HasFrame() }

// Discard marks the connection as unusable, so that Put closes it.
func (c *Conn) Discard() { c.discarded.Store(true) }

// Cancel sends a cancel request for the running statement on a separate connection. The statement may
// end before the request arrives.
func (c *Conn) Cancel(ctx context.Context) error { return c.cancel(ctx) }

// SetDeadline sets the deadline of Send and Next, as net.Conn does. The zero time removes it.
func (c *Conn) SetDeadline(t time.Time) error { return c.net.SetDeadline(t) }

// reusable reports whether another transaction may use the connection. It also removes the deadline.
func (c *Conn) reusable() bool {
	if c.discarded.Load() || c.buffered != nil || c.reader.Buffered() > 0 {
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

// markFailed marks the connection as unusable and returns err with the name of the failed operation.
func (c *Conn) markFailed(operation string, err error) error {
	c.discarded.Store(true)
	return fmt.Errorf("%s: %w", operation, err)
}
