// Package entry accepts callers, authenticates them and relays their transactions to the owners of
// services. It answers settings and refusals itself and retries only requests that did not run.
package entry

import (
	"context"
	"crypto/tls"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/wire"
)

// Transactor opens transactions at the owners of services.
type Transactor interface {
	// Begin sends the header and the first frames to the owner of req.Service. A refusal is a
	// *verdict.Error; with verdict NotRun nothing reached a target. The stream lives until it is
	// closed or ctx ends; closing it before the end of the transaction rolls the transaction back
	// and ends a pending Read. Begin doesn't keep first.
	Begin(ctx context.Context, req wire.TxRequest, first []byte) (io.ReadWriteCloser, error)
}

// Snapshot is an immutable view of the catalog.
type Snapshot interface {
	Service(name string) (catalog.Service, bool)
	IsOpen(service string) bool // callers need no key
	Team(name string) (catalog.Team, bool)
	EffectivePolicy(team, service string) catalog.EffectivePolicy
	Revision() uint64
}

// Directory is the host's view of the configuration and of its teams' rates.
type Directory interface {
	Catalog() Snapshot
	ConfirmedAge() time.Duration                                      // age of the last confirmation by the control leader
	AcquireTokens(ctx context.Context, team string, tokens int) error // rate; NotRun when refused
}

// Canceler asks the owner to cancel a running statement.
type Canceler interface {
	Cancel(ctx context.Context, c wire.Cancel) error
}

// Config has the settings of a Server. Zero values of limits and times mean their defaults.
type Config struct {
	Place      string
	Transactor Transactor
	Directory  Directory
	Canceler   Canceler    // nil: cancel requests are ignored
	TLS        *tls.Config // nil: callers' requests for TLS are declined
	RequireTLS bool        // callers without TLS are refused
	Logger     log.Logger
	Metrics    *metrics.Set // nil: a new set

	MaxConnections   int           // callers
	MaxFrameBytes    int           // one frame of a caller
	AuthTimeout      time.Duration // from accept to the end of authentication
	WriteTimeout     time.Duration // one write to a caller
	StatementTimeout time.Duration // time to start running, unless citron.timeout says otherwise
	RetryTimeout     time.Duration // for refused requests, from the first attempt
	ReadBufferBytes  int           // per caller
	IdleTimeout      time.Duration // wait for a caller within a transaction

	// Parameters are reported to callers at connect and are what targets use. Nil: defaults.
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
	// DefaultIdleTimeout bounds the wait for the caller while its transaction holds a connection.
	// Connections are scarce: one that is held by an idle caller is missing for all others.
	DefaultIdleTimeout = 60 * time.Second
)

const (
	// maxStartupBytes bounds a startup packet, as PostgreSQL does.
	maxStartupBytes = 10000
	// maxAuthFrameBytes bounds a frame of a caller that isn't authenticated yet.
	maxAuthFrameBytes = 8 << 10
	authBufferBytes   = 512
	// MaxConfirmedAge is the age of the last confirmation above which keyed requests are refused.
	MaxConfirmedAge = 5 * time.Second
	// batchBytes is the amount of extended requests held before a transaction is opened without
	// waiting for the Sync.
	batchBytes = 64 << 10
	// batchEntries is the number of requests held likewise.
	batchEntries = 4096
	// maxOutstanding is the number of requests without a response above which the relay asks the
	// owner for the responses and waits.
	maxOutstanding = 1 << 16
	// maxIdleResponders bounds the goroutines that wait for the next transaction to relay.
	maxIdleResponders = 256
	// outBytes is the amount of responses collected before a write to the caller.
	outBytes = 16 << 10
	// relayBufferBytes is the read buffer of one open transaction.
	relayBufferBytes = 16 << 10
	// lingerTime bounds the wait for a caller to close after a fatal error, so that a reset doesn't
	// discard the error on its way.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 1 << 20
	// beginGrace is added to a request's timeout before Begin is given up.
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
	setInt(&c.MaxConnections, DefaultMaxConnections)
	setInt(&c.MaxFrameBytes, DefaultMaxFrameBytes)
	setInt(&c.ReadBufferBytes, DefaultReadBufferBytes)
	setTime(&c.AuthTimeout, DefaultAuthTimeout)
	setTime(&c.WriteTimeout, DefaultWriteTimeout)
	setTime(&c.StatementTimeout, DefaultStatementTimeout)
	setTime(&c.RetryTimeout, DefaultRetryTimeout)
	setTime(&c.IdleTimeout, DefaultIdleTimeout)
	if c.Parameters == nil {
		c.Parameters = defaultParameters()
	}
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	return c
}

func setInt(v *int, def int) {
	if *v <= 0 {
		*v = def
	}
}

func setTime(v *time.Duration, def time.Duration) {
	if *v <= 0 {
		*v = def
	}
}
