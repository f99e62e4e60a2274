package holder

import (
	"github.com/VictoriaMetrics/metrics"
)

// holderMetrics holds the metrics of connections, leases and statements of held targets.
type holderMetrics struct {
	set              *metrics.Set
	dials            *metrics.Counter
	dialsFailed      *metrics.Counter
	evicted          *metrics.Counter
	reused           *metrics.Counter
	gained           *metrics.Counter // leases
	returned         *metrics.Counter // leases returned after their work was drained
	ended            *metrics.Counter // leases that expired or were replaced before they could be returned
	queueSeconds     *metrics.Histogram
	runSeconds       *metrics.Histogram
	replicaRetries   *metrics.Counter   // statements sent again to a replica that was behind
	refusedBehind    *metrics.Counter   // reads refused without a call to a replica that was known to be behind
	refusedUnsampled *metrics.Counter   // reads refused for want of a position sample
	replicaChecks    *metrics.Counter   // queries whether a replica has caught up
	declinedWaits    *metrics.Counter   // statements whose sender had a target with a shorter wait
	declinedFailing  *metrics.Counter   // statements that a failing target did not get
	coldRefusals     *metrics.Counter   // messages that were not sent because the target is cold
	readAge          *metrics.Histogram // of the samples by which reads at replicas are checked
}

var samplesFailed = metrics.NewCounter(`citron_target_samples_failed_total`)

func newHolderMetrics(set *metrics.Set) *holderMetrics {
	if set == nil {
		set = metrics.NewSet()
	}
	return &holderMetrics{
		set:              set,
		dials:            set.NewCounter("citron_target_connections_opened_total"),
		dialsFailed:      set.NewCounter("citron_target_connections_failed_total"),
		evicted:          set.NewCounter("citron_target_connections_evicted_total"),
		reused:           set.NewCounter("citron_target_connections_reused_total"),
		gained:           set.NewCounter("citron_target_leases_gained_total"),
		returned:         set.NewCounter("citron_target_leases_returned_total"),
		ended:            set.NewCounter("citron_target_leases_ended_total"),
		queueSeconds:     set.NewHistogram("citron_target_queue_seconds"),
		runSeconds:       set.NewHistogram("citron_target_run_seconds"),
		replicaRetries:   set.NewCounter("citron_target_replica_retries_total"),
		refusedBehind:    set.NewCounter(`citron_reads_refused_total{reason="behind"}`),
		refusedUnsampled: set.NewCounter(`citron_reads_refused_total{reason="no_sample"}`),
		replicaChecks:    set.NewCounter("citron_target_replica_checks_total"),
		declinedWaits:    set.NewCounter(`citron_target_declines_total{reason="wait"}`),
		declinedFailing:  set.NewCounter(`citron_target_declines_total{reason="failing"}`),
		coldRefusals:     set.NewCounter("citron_target_cold_refusals_total"),
		readAge:          set.NewHistogram("citron_read_sample_age_seconds"),
	}
}

// countOutcome counts a finished statement by its SQLSTATE. An empty code means success.
func (m *holderMetrics) countOutcome(code string) {
	if code == "" {
		code = "ok"
	}
	m.set.GetOrCreateCounter(`citron_target_statements_total{code="` + code + `"}`).Inc()
}
