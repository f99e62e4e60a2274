package agent

import "github.com/VictoriaMetrics/metrics"

var (
	renewals        = metrics.NewCounter(`citron_agent_renewals_total`)
	renewalsFailed  = metrics.NewCounter(`citron_agent_renewals_failed_total`)
	renewalSeconds  = metrics.NewHistogram(`citron_agent_renewal_seconds`)  // from the request to the reply of the leader
	borrowCalls     = metrics.NewCounter(`citron_agent_borrow_calls_total`) // each for one team or more
	borrowsGranted  = metrics.NewCounter(`citron_agent_borrows_total{result="lot"}`)
	borrowsEmpty    = metrics.NewCounter(`citron_agent_borrows_total{result="empty"}`)
	borrowsFailed   = metrics.NewCounter(`citron_agent_borrows_total{result="failed"}`)
	rateRefusals    = metrics.NewCounter(`citron_agent_rate_refusals_total`)
	catalogsApplied = metrics.NewCounter(`citron_agent_catalogs_total`)
)

// LeaseCount returns the number of leases held.
func (a *Agent) LeaseCount() int { return len(*a.leases.Load()) }
