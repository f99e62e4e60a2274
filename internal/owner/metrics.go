package owner

import (
	"fmt"
	"sync"
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

// queueWaits caches the histogram of each team, to avoid formatting its name for every statement.
var queueWaits sync.Map // string to *metrics.Histogram

func observeQueueWait(team string, d time.Duration) {
	h, ok := queueWaits.Load(team)
	if !ok {
		h = metrics.GetOrCreateHistogram(fmt.Sprintf(`citron_owner_queue_wait_seconds{team=%q}`, team))
		queueWaits.Store(team, h)
	}
	h.(*metrics.Histogram).Update(d.Seconds())
}
