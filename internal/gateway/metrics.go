package gateway

import (
	"github.com/VictoriaMetrics/metrics"

	"github.com/citronrun/citronrun/internal/spill"
	"github.com/citronrun/citronrun/internal/statement"
)

// gatewayMetrics holds the metrics of sessions and statements.
type gatewayMetrics struct {
	set         *metrics.Set
	opened      *metrics.Counter
	retries     *metrics.Counter
	reroutes    *metrics.Counter
	declines    *metrics.Counter                  // statements that the holder of a target has declined in favour of another one
	sent        map[spill.Reason]*metrics.Counter // statements sent to a target, by why they stay in their place or leave it
	refusedBusy *metrics.Counter                  // statements refused without a call, since the targets would refuse them
	latency     *metrics.Histogram
}

func newGatewayMetrics(set *metrics.Set, sessions func() int) *gatewayMetrics {
	if set == nil {
		set = metrics.NewSet()
	}
	set.NewGauge("citron_sessions", func() float64 { return float64(sessions()) })
	sent := map[spill.Reason]*metrics.Counter{}
	for _, reason := range spill.Reasons {
		sent[reason] = set.NewCounter(`citron_statements_sent_total{reason="` + string(reason) + `"}`)
	}
	return &gatewayMetrics{
		set:         set,
		opened:      set.NewCounter("citron_sessions_opened_total"),
		retries:     set.NewCounter("citron_statement_retries_total"),
		reroutes:    set.NewCounter("citron_statement_reroutes_total"),
		declines:    set.NewCounter("citron_statement_declines_total"),
		sent:        sent,
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
