package owner

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

var (
	readsReplica = metrics.NewCounter(`citron_owner_reads_total{at="replica"}`)
	readsPrimary = metrics.NewCounter(`citron_owner_reads_total{at="primary"}`)
	writes       = metrics.NewCounter(`citron_owner_writes_total`)
	reruns       = metrics.NewCounter(`citron_owner_reruns_total`)
	elections    = metrics.NewCounter(`citron_owner_elections_total`)
	quorumWait   = metrics.NewHistogram(`citron_owner_quorum_wait_seconds`)
)

func countRefusal(code string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`citron_owner_refusals_total{code=%q}`, code)).Inc()
}

func countQueueWait(team string, d time.Duration) {
	metrics.GetOrCreateHistogram(fmt.Sprintf(`citron_owner_queue_wait_seconds{team=%q}`, team)).Update(d.Seconds())
}
