package entry

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/citronrun/citronrun/internal/verdict"
)

type serverMetrics struct {
	set            *metrics.Set
	accepted       *metrics.Counter
	statements     *metrics.Counter
	localResponses *metrics.Counter
	retries        *metrics.Counter
	requestSeconds *metrics.Histogram
}

func newServerMetrics(set *metrics.Set, connections func() float64) *serverMetrics {
	_ = set.GetOrCreateGauge("citron_entry_connections", connections)
	return &serverMetrics{
		set:            set,
		accepted:       set.GetOrCreateCounter("citron_entry_connections_total"),
		statements:     set.GetOrCreateCounter("citron_entry_statements_total"),
		localResponses: set.GetOrCreateCounter("citron_entry_local_answers_total"),
		retries:        set.GetOrCreateCounter("citron_entry_retries_total"),
		requestSeconds: set.GetOrCreateHistogram("citron_entry_request_seconds"),
	}
}

func (m *serverMetrics) countRefusal(err error) {
	e := verdict.As(err)
	name := fmt.Sprintf("citron_entry_refusals_total{verdict=%q,code=%q}", e.Verdict, e.Code)
	m.set.GetOrCreateCounter(name).Inc()
}
