package control

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/citronrun/citronrun/internal/failover"
	"github.com/citronrun/citronrun/internal/wire"
)

var (
	renewals   = metrics.NewCounter(`citron_control_renewals_total`)
	referrals  = metrics.NewCounter(`citron_control_referrals_total`) // renewals sent to a host that doesn't lead
	lots       = metrics.NewCounter(`citron_control_lots_total`)
	lotTokens  = metrics.NewCounter(`citron_control_lot_tokens_total`)
	lotRefused = metrics.NewCounter(`citron_control_lots_refused_total`)
	takeovers  = metrics.NewCounter(`citron_control_takeovers_total`)
)

func countPhase(p failover.Phase) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`citron_control_phases_total{phase=%q}`, p)).Inc()
}

// countLot counts the answer to a request for tokens.
func countLot(lot wire.Lot) {
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
