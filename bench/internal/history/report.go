package history

import (
	"fmt"
	"time"
)

// MaxFailures is the maximum number of failure descriptions in a report.
const MaxFailures = 20

// Report holds the number of violations by kind and descriptions of the first ones.
type Report struct {
	Events int
	// LostAcknowledged counts acknowledged writes that are missing from the final state.
	LostAcknowledged int
	// DuplicateBookings counts bookings with more than one row.
	DuplicateBookings int
	// RepeatedRequests counts request keys and rows whose requests took effect more often than sent.
	RepeatedRequests int
	// StaleReads counts reads older than their mode allows.
	StaleReads int
	// MixedTransactions counts transactions of which only a part is visible, and row versions with the
	// tag of another transaction.
	MixedTransactions int
	// NotRunButRan counts requests that were reported as not run but took effect.
	NotRunButRan int
	// NotLinearizable counts rows and bookings whose history no sequential order explains.
	NotLinearizable int
	// Undecided counts rows and bookings whose linearizability search timed out.
	Undecided int
	// OverRate is the excess of each team's worst window, rounded up and summed over all teams.
	OverRate int
	// WorstWindow is the window with the largest excess of all teams.
	WorstWindow Window
	// WrongfulRefusals counts requests refused with 53400 while the team's demand was within its limit.
	WrongfulRefusals int
	// Failures describes the first MaxFailures violations.
	Failures []string
}

// Window is a time interval of the run in which a team exceeded its limit.
type Window struct {
	Team     string
	From, To time.Duration
	Admitted int
	// Excess is Admitted - (Rate*(To-From) + Burst), in statements.
	Excess float64
}

// OK reports whether no guarantee was violated and no history was left undecided. Wrongful refusals
// are a measurement, not a violation.
func (r *Report) OK() bool {
	violations := r.LostAcknowledged + r.DuplicateBookings + r.RepeatedRequests + r.StaleReads +
		r.MixedTransactions + r.NotRunButRan + r.NotLinearizable + r.OverRate
	return violations == 0 && r.Undecided == 0
}

// recordViolation increments a counter and adds a description unless there are MaxFailures already.
func (r *Report) recordViolation(counter *int, format string, args ...any) {
	*counter++
	r.addFailure(format, args...)
}

func (r *Report) addFailure(format string, args ...any) {
	if len(r.Failures) < MaxFailures {
		r.Failures = append(r.Failures, fmt.Sprintf(format, args...))
	}
}

// Check checks the events of one run against the final state and the limits of the teams.
func Check(events []Event, final Final, limits map[string]Limit) Report {
	r := Report{Events: len(events)}
	x := newIndex(events, final, &r)
	checkBookings(x, &r)
	checkRows(x, &r)
	checkSessions(x, &r)
	checkAges(x, &r)
	checkTransactions(x, &r)
	checkRates(x.events, limits, &r)
	checkRefusals(x.events, limits, &r)
	return r
}
