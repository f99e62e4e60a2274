package budget

import (
	"net"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Limit names what a client has exceeded.
type Limit string

// Limits of clients.
const (
	LimitConnections  Limit = "connections"   // of the host
	LimitMemory       Limit = "memory"        // for the messages and results of all clients
	LimitSessionState Limit = "session_state" // size of settings and prepared statements
	LimitMessageTime  Limit = "message_time"  // from the first bytes of a large message to its end
	LimitReadTime     Limit = "read_time"     // of a client for a response
)

// Refusals counts and logs the clients that were refused or closed because of a limit.
type Refusals struct{ logger log.Logger }

// NewRefusals returns Refusals that log to logger, which must limit the rate of lines.
func NewRefusals(logger log.Logger) *Refusals { return &Refusals{logger: logger} }

// Record counts a refusal and logs it.
func (r *Refusals) Record(limit Limit, remote net.Addr) {
	metrics.GetOrCreateCounter(`citron_client_refusals_total{limit="` + string(limit) + `"}`).Inc()
	_ = level.Warn(r.logger).Log("msg", "client over a limit", "code", limit, "remote", remote)
}
