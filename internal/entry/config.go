// Package entry accepts connections of callers, authenticates them and relays their transactions to
// the owners of services. It answers SET, SHOW and refused requests itself, and retries a request
// only when the refusal guarantees that it did not run.
package entry

import (
	"context"
	"crypto/tls"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"github.com/citronrun/citronrun/internal/budget"
	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/wire"
)

// Transactor opens transactions at the owners of services.
type Transactor interface {
	// Begin sends req and the first frames to the owner of req.Service. A refusal is a
	// *verdict.Error; verdict NotRun guarantees that nothing reached a target. The stream stays open
	// until it is closed or ctx is done. Closing it before the end of the transaction rolls the
	// transaction back and unblocks a pending Read. Begin doesn't retain first.
	Begin(ctx context.Context, req wire.TxRequest, first []byte) (io.ReadWriteCloser, error)
}

// Snapshot is an immutable view of the catalog.
type Snapshot interface {
	Service(name string) (catalog.Service, bool)
	IsOpen(service string) bool // the service accepts callers without a key
	Team(name string) (catalog.Team, bool)
	EffectivePolicy(team, service string) catalog.EffectivePolicy
	Revision() uint64
}

// Directory provides the catalog as this host knows it, and the rate limits of teams.
type Directory interface {
	Catalog() Snapshot
	// ConfirmedAge returns the time since the control leader last confirmed the catalog.
	ConfirmedAge() time.Duration
	// AcquireTokens acquires rate tokens of the team. It fails with verdict NotRun when the team is over
	// its rate.
	AcquireTokens(ctx context.Context, team string, tokens int) error
}

// Canceler sends a cancel request to the owner of a running statement.
type Canceler interface {
	Cancel(ctx context.Context, c wire.Cancel) error
}

// Config has the settings of a Server. A limit or duration of zero means its default.
type Config struct {
	Place      string
	Transactor Transactor
	Directory  Directory
	Canceler   Canceler    // nil: cancel requests are ignored
	TLS        *tls.Config // nil: SSLRequest is declined
	RequireTLS bool        // connections without TLS are refused
	Logger     log.Logger
	Metrics    *metrics.Set // nil: a new set

	MaxConnections   int           // connections of callers
	MaxFrameBytes    int           // one frame from a caller
	AuthTimeout      time.Duration // from accept to the end of authentication
	WriteTimeout     time.Duration // one write to a caller
	StatementTimeout time.Duration // until a statement starts to run, unless citron.timeout is set
	RetryTimeout     time.Duration // for retries of a refused request
	ReadBufferBytes  int           // per caller
	IdleTimeout      time.Duration // wait for the caller while its transaction is open
	MessageTimeout   time.Duration // from the first bytes of a large message to its end
	SocketBuffer     int           // receive buffer of a connection; 0: the default of the kernel

	Budget   *budget.Budget   // memory for large messages; nil: unlimited
	Refusals *budget.Refusals // nil: callers over a limit are counted only

	// Parameters are the values that targets use; they are reported to callers at connect. Nil means
	// the defaults.
	Parameters map[string]string
}

// Defaults of Config.
const (
	DefaultMaxConnections   = 20000
	DefaultMaxFrameBytes    = 16 << 20
	DefaultAuthTimeout      = 10 * time.Second
	DefaultWriteTimeout     = 30 * time.Second
	DefaultStatementTimeout = 10 * time.Second
	DefaultRetryTimeout     = 5 * time.Second
	DefaultReadBufferBytes  = 2 << 10
	DefaultMessageTimeout   = 60 * time.Second
	// DefaultIdleTimeout bounds the wait for the caller while its transaction is open. An open
	// transaction occupies a target connection, and those are few: while its caller is idle, no other
	// caller can use the connection.
	DefaultIdleTimeout = 60 * time.Second
)

const (
	// maxRefusing is the number of connections above MaxConnections that are told why they are refused.
	maxRefusing = 64
	// frameCopies is the number of copies of a large frame that exist while it is received and passed on.
	frameCopies = 4
	// maxStartupBytes is PostgreSQL's limit for a startup packet.
	maxStartupBytes = 10000
	// maxAuthFrameBytes bounds a frame from a caller that isn't authenticated yet.
	maxAuthFrameBytes = 8 << 10
	authBufferBytes   = 512 // read buffer during authentication
	// MaxConfirmedAge is the Directory.ConfirmedAge above which requests with a key are refused: the
	// key may have been withdrawn meanwhile.
	MaxConfirmedAge = 5 * time.Second
	// maxBatchBytes and maxBatchRequests bound the messages buffered before a Sync. A batch that
	// reaches either is sent to the owner at once.
	maxBatchBytes    = 64 << 10
	maxBatchMessages = 4096
	// maxUnanswered is the number of messages without a response above which the read loop sends a
	// Flush to the owner and waits for all responses.
	maxUnanswered = 1 << 16
	// maxIdleRelayWorkers bounds the pooled goroutines that wait for a transaction to relay.
	maxIdleRelayWorkers = 256
	// writeBufferBytes is the size of the buffer that collects responses for one write to the caller.
	writeBufferBytes = 16 << 10
	// relayBufferBytes is the size of the read buffer of an open transaction.
	relayBufferBytes = 16 << 10
	// lingerTimeout and maxLingerBytes bound the wait for the caller to close its side after a fatal
	// error. Closing at once could send a TCP reset, which can discard the error in transit.
	lingerTimeout  = 500 * time.Millisecond
	maxLingerBytes = 1 << 20
	// beginGrace is the time beyond a request's timeout after which a pending Begin is canceled.
	beginGrace    = time.Second
	cancelTimeout = 5 * time.Second
)

func defaultParameters() map[string]string {
	return map[string]string{
		"server_version":              "16.0",
		"server_encoding":             "UTF8",
		"client_encoding":             "UTF8",
		"DateStyle":                   "ISO, MDY",
		"IntervalStyle":               "postgres",
		"TimeZone":                    "UTC",
		"integer_datetimes":           "on",
		"standard_conforming_strings": "on",
		"extra_float_digits":          "1",
		"search_path":                 "public",
		"statement_timeout":           "0",
	}
}

func (c Config) withDefaults() Config {
	defaultInt(&c.MaxConnections, DefaultMaxConnections)
	defaultInt(&c.MaxFrameBytes, DefaultMaxFrameBytes)
	defaultInt(&c.ReadBufferBytes, DefaultReadBufferBytes)
	defaultDuration(&c.AuthTimeout, DefaultAuthTimeout)
	defaultDuration(&c.WriteTimeout, DefaultWriteTimeout)
	defaultDuration(&c.StatementTimeout, DefaultStatementTimeout)
	defaultDuration(&c.RetryTimeout, DefaultRetryTimeout)
	defaultDuration(&c.IdleTimeout, DefaultIdleTimeout)
	defaultDuration(&c.MessageTimeout, DefaultMessageTimeout)
	if c.Parameters == nil {
		c.Parameters = defaultParameters()
	}
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Budget == nil {
		c.Budget = budget.New(budget.Limits{})
	}
	if c.Refusals == nil {
		c.Refusals = budget.NewRefusals(c.Logger)
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	return c
}

func defaultInt(v *int, defaultValue int) {
	if *v <= 0 {
		*v = defaultValue
	}
}

func defaultDuration(v *time.Duration, defaultValue time.Duration) {
	if *v <= 0 {
		*v = defaultValue
	}
}
