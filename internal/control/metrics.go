package control

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/citronrun/citronrun/internal/failover"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

var (
	renewals           = metrics.NewCounter(`citron_control_renewals_total`)
	redirects          = metrics.NewCounter(`citron_control_referrals_total`)       // renewals received while not leading
	forwards           = metrics.NewCounter(`citron_control_forwards_total`)        // renewals and requests for tokens that were passed on to the leader
	forwardsFailed     = metrics.NewCounter(`citron_control_forwards_failed_total`) // that the leader didn't answer
	tokenGrants        = metrics.NewCounter(`citron_control_lots_total`)
	grantedTokens      = metrics.NewCounter(`citron_control_lot_tokens_total`)
	refusedTokenGrants = metrics.NewCounter(`citron_control_lots_refused_total`)
	takeovers          = metrics.NewCounter(`citron_control_takeovers_total`)

	promotions                   = metrics.NewCounter(`citron_control_promotions_total`)       // primaries recorded after a promotion order
	promotionSeconds             = metrics.NewHistogram(`citron_control_promotion_seconds`)    // time from leaving the steady state until a primary serves again
	targetLeasesAssigned         = metrics.NewCounter(`citron_control_target_leases_total`)    // target leases assigned to a host
	targetLeasesNotRenewedFormat = `citron_control_target_leases_not_renewed_total{reason=%q}` // target leases that the leader stopped renewing before the holder returned them
	promotionOrdersFormat        = `citron_control_promotion_orders_total{verdict=%q}`         // promotion calls to the platform
)

// countPromotionOrder counts a promotion order by its outcome.
func countPromotionOrder(err error) {
	outcome := "done"
	if err != nil {
		outcome = verdict.Of(err).String()
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(promotionOrdersFormat, outcome)).Inc()
}

// countLeaseNotRenewed counts a target lease that the leader stops renewing, by reason.
func countLeaseNotRenewed(draining, unreachable bool) {
	reason := "moved"
	switch {
	case unreachable:
		reason = "cut"
	case draining:
		reason = "draining"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(targetLeasesNotRenewedFormat, reason)).Inc()
}

func countPhase(p failover.Phase) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`citron_control_phases_total{phase=%q}`, p)).Inc()
}

// countTokenGrant counts a request for rate tokens by its outcome.
func countTokenGrant(grant wire.TokenGrant) {
	if grant.Tokens == 0 {
		refusedTokenGrants.Inc()
		return
	}
	tokenGrants.Inc()
	grantedTokens.AddInt64(int64(grant.Tokens))
}

func countChange(code string) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`citron_control_changes_total{result=%q}`, code)).Inc()
}
