package gateway

import "time"

const (
	// maxTokenWait bounds the wait for a rate token from the control leader.
	maxTokenWait = 200 * time.Millisecond
	// controlSilence is the time without a confirmation from the control leader after which it counts as silent.
	// Confirmations come twice as often.
	controlSilence = time.Second
)

// tokenWait returns how long an operation with the given latency objective may wait for a rate token, if the control leader has
// been heard confirmedAge ago: a third of the objective, since most of it has to be left for the operation, and half of that
// while the leader is silent.
func tokenWait(objective, confirmedAge time.Duration) time.Duration {
	wait := maxTokenWait
	if objective > 0 {
		wait = min(wait, objective/3)
	}
	if confirmedAge > controlSilence {
		wait /= 2
	}
	return wait
}
