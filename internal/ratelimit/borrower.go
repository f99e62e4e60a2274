package ratelimit

import (
	"math"
	"time"

	"github.com/citronrun/citronrun/internal/wire"
)

const (
	// DefaultReserve is the number of intervals whose estimated demand a renewal asks for. An interval is the
	// time between two renewals of the host, see RenewalInterval.
	DefaultReserve = 1.25
	// demandDecay is the weight of the previous estimate.
	demandDecay = 0.5
	// minEstimate is the demand in tokens per interval below which a host keeps no reserve of a team.
	minEstimate = 2
)

// Borrower holds the grants of one host and spends them. It is not safe for concurrent use.
type Borrower struct {
	reserve     float64 // intervals of estimated demand to ask for, at RenewalInterval
	intervals   float64 // the same for the current interval
	minEstimate float64 // demand of an interval from which a reserve is asked for
	teams       map[string]*teamState
}

// teamState is the state of one team at the host.
type teamState struct {
	grants     []heldGrant
	receivedID uint64  // highest id of a reserve received
	reportedID uint64  // highest id of a reserve reported to a leader
	dirty      bool    // changed since the last report
	demand     float64 // tokens that statements needed since the last renewal, whether spent or refused
	estimate   float64 // estimated demand in tokens per interval
}

type heldGrant struct {
	tokens    uint64
	expiresAt time.Time
	reserve   bool // the leader expects reports; it settles borrowed tokens by time alone
}

// NewBorrower returns a Borrower without grants. A renewal asks for the estimated demand of reserve
// intervals; 0 means DefaultReserve.
func NewBorrower(reserve float64) *Borrower {
	if reserve <= 0 {
		reserve = DefaultReserve
	}
	return &Borrower{reserve: reserve, intervals: reserve, minEstimate: minEstimate, teams: map[string]*teamState{}}
}

// minReserve is the least number of intervals for which a reserve lasts: until the next renewal is answered.
const minReserve = 1.3

// minSharedEstimate is like minEstimate for a host that borrows for all hosts of its place, so that only a few hosts
// have reserves of a team.
const minSharedEstimate = 0.5

// SetInterval sets the time between renewals, and whether this host borrows for all hosts of its place.
func (b *Borrower) SetInterval(interval time.Duration, shared bool) {
	b.intervals = max(minReserve, b.reserve*float64(RenewalInterval)/float64(interval))
	b.minEstimate = minEstimate
	if shared {
		b.minEstimate = minSharedEstimate
	}
}

func (b *Borrower) teamState(team string) *teamState {
	state := b.teams[team]
	if state == nil {
		state = &teamState{}
		b.teams[team] = state
	}
	return state
}

// AddGrant records a grant that the leader sent in reply to a renewal or a borrow call, which was sent at the
// given time. It discards a reserve whose id is not above the last reported one, because the leader has counted
// every reserve up to that id as received, and its missing tokens as spent.
func (b *Borrower) AddGrant(sent time.Time, grant wire.TokenGrant) {
	if grant.Tokens == 0 {
		return
	}
	state := b.teamState(grant.Team)
	held := heldGrant{tokens: grant.Tokens, expiresAt: sent.Add(min(grant.TTL, GrantTTL)), reserve: grant.TTL >= GrantTTL}
	if !held.reserve {
		state.grants = append(state.grants, held)
		return
	}
	if grant.ID <= state.reportedID {
		return
	}
	state.receivedID = max(state.receivedID, grant.ID)
	state.dirty = true
	state.grants = append(state.grants, held)
}

// CanSpend reports whether unexpired grants hold n tokens. It doesn't count as demand.
func (b *Borrower) CanSpend(now time.Time, team string, n uint64) bool {
	return b.teamState(team).remaining(now) >= n
}

// Spend spends n tokens of unexpired grants and reports whether there were enough. If not, it spends
// none. Either way n counts as demand.
func (b *Borrower) Spend(now time.Time, team string, n uint64) bool {
	state := b.teamState(team)
	state.demand += float64(n)
	if state.remaining(now) < n {
		return false
	}
	for n > 0 {
		spent := min(n, state.grants[0].tokens)
		state.dirty = state.dirty || state.grants[0].reserve
		state.grants[0].tokens -= spent
		n -= spent
		if state.grants[0].tokens == 0 {
			state.grants = state.grants[1:]
		}
	}
	return true
}

// UndoDemand subtracts the demand that a failed Spend has counted, so that a second attempt for the same
// statement doesn't count it twice.
func (b *Borrower) UndoDemand(team string, n uint64) {
	state := b.teamState(team)
	state.demand = max(0, state.demand-float64(n))
}

// remaining removes expired grants and returns the number of tokens in the others.
func (state *teamState) remaining(now time.Time) uint64 {
	total := uint64(0)
	kept := state.grants[:0]
	for _, grant := range state.grants {
		if now.Before(grant.expiresAt) {
			kept = append(kept, grant)
			total += grant.tokens
		}
	}
	state.grants = kept
	return total
}

// remainingReserve returns the number of tokens in unexpired reserves.
func (state *teamState) remainingReserve(now time.Time) uint64 {
	total := uint64(0)
	for _, grant := range state.grants {
		if grant.reserve && now.Before(grant.expiresAt) {
			total += grant.tokens
		}
	}
	return total
}

// EndInterval ends the interval and updates the demand estimates. It returns the tokens to ask for in the
// renewal that starts the next interval, by team, without teams that need none or too little for a reserve.
func (b *Borrower) EndInterval(now time.Time) map[string]uint64 {
	amounts := map[string]uint64{}
	for team, state := range b.teams {
		state.estimate = demandDecay*state.estimate + (1-demandDecay)*state.demand
		state.demand = 0
		remaining := state.remaining(now)
		if state.estimate < b.minEstimate {
			continue
		}
		if want := uint64(math.Ceil(b.intervals * state.estimate)); want > remaining {
			amounts[team] = want - remaining
		}
	}
	return amounts
}

// Balances returns a balance report to the leader for every team whose reserves have changed since its last
// report: the highest id of a reserve received and the tokens remaining. It marks that id as reported: from then on
// AddGrant discards grants up to it.
func (b *Borrower) Balances(now time.Time) map[string]wire.TokenBalance {
	balances := map[string]wire.TokenBalance{}
	for team, state := range b.teams {
		if state.dirty {
			balances[team] = b.Balance(now, team)
		}
	}
	return balances
}

// Balance returns the balance report for one team and marks its id as reported, like Balances. It returns a
// report even if the grants have not changed.
func (b *Borrower) Balance(now time.Time, team string) wire.TokenBalance {
	state := b.teamState(team)
	state.reportedID = state.receivedID
	state.dirty = false
	return wire.TokenBalance{GrantID: state.receivedID, Remaining: state.remainingReserve(now)}
}
