package gateway

import "time"

const (
	// maxTokenWait bounds the wait for a rate token from the control leader.
	maxTokenWait = 200 * time.Millisecond
	// silentTokenWait bounds that wait while control is silent.
	silentTokenWait = 10 * time.Millisecond
	// controlSilence is the time without a confirmation from the control leader after which no token is expected from it.
	// Confirmations come twice as often.
	controlSilence = time.Second
)

// tokenWait returns how long an operation with the given latency objective may wait for a rate token, if the control leader has
// been heard confirmedAge ago: half of the objective, so that the other half is left for the operation, or hardly at all
// while no answer is expected.
func tokenWait(objective, confirmedAge time.Duration) time.Duration {
	switch {
	case confirmedAge > controlSilence:
		return silentTokenWait
	case objective > 0:
		return min(maxTokenWait, objective/2)
	default:
		return maxTokenWait
	}
}
