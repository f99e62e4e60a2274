package control

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/citronrun/citronrun/internal/failover"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

var (
	renewals   = metrics.NewCounter(`citron_control_renewals_total`)
	referrals  = metrics.NewCounter(`citron_control_referrals_total`) // renewals sent to a host that doesn't lead
	lots       = metrics.NewCounter(`citron_control_lots_total`)
	lotTokens  = metrics.NewCounter(`citron_control_lot_tokens_total`)
	lotRefused = metrics.NewCounter(`citron_control_lots_refused_total`)
	takeovers  = metrics.NewCounter(`citron_control_takeovers_total`)

	promotions      = metrics.NewCounter(`citron_control_promotions_total`)       // primaries recorded after an order
	promotionTime   = metrics.NewHistogram(`citron_control_promotion_seconds`)    // from a doubt about a primary, or its leaving, until one serves
	leasesAssigned  = metrics.NewCounter(`citron_control_target_leases_total`)    // given to a host
	leaseNotRenewed = `citron_control_target_leases_not_renewed_total{reason=%q}` // taken back from a host
	promotionOrders = `citron_control_promotion_orders_total{verdict=%q}`         // calls of the platform
)

// countOrder counts the answer to an order to promote.
func countOrder(err error) {
	answer := "done"
	if err != nil {
		answer = verdict.Of(err).String()
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(promotionOrders, answer)).Inc()
}

// countNotRenewed counts a target lease that is taken back although its holder renews it.
func countNotRenewed(draining, cut bool) {
	reason := "moved"
	switch {
	case cut:
		reason = "cut"
	case draining:
		reason = "draining"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(leaseNotRenewed, reason)).Inc()
}

func countPhase(p failover.Phase) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`citron_control_phases_total{phase=%q}`, p)).Inc()
}

// countLot counts the answer to a request for tokens.
func countLot(lot wire.TokenGrant) {
	if lot.Tokens == 0 {
		lotRefused.Inc()
		return
	}
	lots.Inc()
	lotTokens.AddInt64(int64(lot.Tokens))
}

func countChange(code string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`citron_control_changes_total{result=%q}`, code)).Inc()
}
