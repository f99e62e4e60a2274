package history

import (
	"fmt"
	"time"
)

// MaxFailures is the number of examples that a report keeps.
const MaxFailures = 20

// Report counts the violations that a check found.
type Report struct {
	Events int
	// LostAcknowledged counts acknowledged writes that the final state does not contain.
	LostAcknowledged int
	// DuplicateBookings counts bookings with more than one row.
	DuplicateBookings int
	// RepeatedRequests counts request keys and rows whose requests ran more often than sent.
	RepeatedRequests int
	// StaleReads counts reads older than their mode allows.
	StaleReads int
	// MixedTransactions counts transactions that are partly there or carry a foreign tag.
	MixedTransactions int
	// NotRunButRan counts requests reported as not run whose effect exists.
	NotRunButRan int
	// NotLinearizable counts rows and bookings whose history no sequential order explains.
	NotLinearizable int
	// Undecided counts rows and bookings whose search for an order ran out of time.
	Undecided int
	// OverRate is the sum over teams of the statements admitted beyond the bound in the team's worst
	// window, each rounded up.
	OverRate int
	// WorstWindow is the window of the largest excess over all teams.
	WorstWindow Window
	// WrongfulRefusals counts refusals with 53400 while the team's demand was within its limit.
	WrongfulRefusals int
	// Failures describes the first MaxFailures violations.
	Failures []string
}

// Window is a stretch of the run in which a team got more than its limit.
type Window struct {
	Team     string
	From, To time.Duration
	Admitted int
	// Excess is Admitted less rate*(To-From)+burst, in statements.
	Excess float64
}

// OK reports whether no guarantee was violated and every history was decided. Wrongful refusals
// are a measure and not a violation.
func (r *Report) OK() bool {
	violations := r.LostAcknowledged + r.DuplicateBookings + r.RepeatedRequests + r.StaleReads +
		r.MixedTransactions + r.NotRunButRan + r.NotLinearizable + r.OverRate
	return violations == 0 && r.Undecided == 0
}

// fail adds one to a counter and keeps the description while there is room.
func (r *Report) fail(counter *int, format string, args ...any) {
	*counter++
	r.note(format, args...)
}

func (r *Report) note(format string, args ...any) {
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
