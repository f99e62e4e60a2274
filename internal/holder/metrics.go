package holder

import (
	"github.com/VictoriaMetrics/metrics"
)

// holderMetrics counts the work at held targets.
type holderMetrics struct {
	set         *metrics.Set
	dials       *metrics.Counter
	dialsFailed *metrics.Counter
	evicted     *metrics.Counter
	reused      *metrics.Counter
	gained      *metrics.Counter // leases
	returned    *metrics.Counter // leases that were given back without work
	ended       *metrics.Counter // leases that ended with work or by expiry
	queue       *metrics.Histogram
	run         *metrics.Histogram
}

func newHolderMetrics(set *metrics.Set) *holderMetrics {
	if set == nil {
		set = metrics.NewSet()
	}
	return &holderMetrics{
		set:         set,
		dials:       set.NewCounter("citron_target_connections_opened_total"),
		dialsFailed: set.NewCounter("citron_target_connections_failed_total"),
		evicted:     set.NewCounter("citron_target_connections_evicted_total"),
		reused:      set.NewCounter("citron_target_connections_reused_total"),
		gained:      set.NewCounter("citron_target_leases_gained_total"),
		returned:    set.NewCounter("citron_target_leases_returned_total"),
		ended:       set.NewCounter("citron_target_leases_ended_total"),
		queue:       set.NewHistogram("citron_target_queue_seconds"),
		run:         set.NewHistogram("citron_target_run_seconds"),
	}
}

// outcome counts an ended statement by the code of its outcome; empty: success.
func (m *holderMetrics) outcome(code string) {
	if code == "" {
		code = "ok"
	}
	m.set.GetOrCreateCounter(`citron_target_statements_total{code="` + code + `"}`).Inc()
}
