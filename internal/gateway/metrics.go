package gateway

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/citronrun/citronrun/internal/statement"
)

// gatewayMetrics holds the metrics of sessions and statements.
type gatewayMetrics struct {
	set         *metrics.Set
	opened      *metrics.Counter
	retries     *metrics.Counter
	reroutes    *metrics.Counter
	refusedBusy *metrics.Counter // statements refused without a call, since the targets would refuse them
	latency     *metrics.Histogram
}

func newGatewayMetrics(set *metrics.Set, sessions func() int) *gatewayMetrics {
	if set == nil {
		set = metrics.NewSet()
	}
	set.NewGauge("citron_sessions", func() float64 { return float64(sessions()) })
	return &gatewayMetrics{
		set:         set,
		opened:      set.NewCounter("citron_sessions_opened_total"),
		retries:     set.NewCounter("citron_statement_retries_total"),
		reroutes:    set.NewCounter("citron_statement_reroutes_total"),
		refusedBusy: set.NewCounter("citron_statements_refused_early_total"),
		latency:     set.NewHistogram("citron_statement_seconds"),
	}
}

// countOutcome counts a statement by its kind and SQLSTATE. An empty code means success.
func (m *gatewayMetrics) countOutcome(kind statement.Kind, code string) {
	if code == "" {
		code = "ok"
	}
	m.set.GetOrCreateCounter(`citron_statements_total{kind="` + kind.String() + `",code="` + code + `"}`).Inc()
}
