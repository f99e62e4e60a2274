package ratelimit

import (
	"math"
	"time"

	"github.com/citronrun/citronrun/internal/wire"
)

const (
	// DefaultReserve is the number of intervals whose estimated demand a renewal asks for.
	DefaultReserve = 1.25
	// borrowedPart is the fraction of the reserve that a request between two renewals asks for. With
	// DefaultReserve that is the demand of half an interval.
	borrowedPart = 0.5 / DefaultReserve
	// demandDecay is the weight of earlier intervals in the demand estimate.
	demandDecay = 0.5
	// minEstimate is the demand in tokens per interval below which a team counts as idle.
	minEstimate = 0.5
)

// Borrower holds the grants of one host and spends them. It is not safe for concurrent use.
type Borrower struct {
	reserve float64 // intervals of estimated demand to ask for
	teams   map[string]*holding
}

// holding is the state of one team.
type holding struct {
	lots     []heldLot
	seen     uint64  // highest grant id received
	reported uint64  // highest grant id reported to a leader
	dirty    bool    // changed since the last report
	used     float64 // tokens requested since the last renewal, whether spent or refused
	estimate float64 // estimated demand in tokens per interval
}

type heldLot struct {
	tokens uint64
	until  time.Time
}

// NewBorrower returns a Borrower without grants. A renewal asks for the estimated demand of reserve
// intervals; 0 means DefaultReserve.
func NewBorrower(reserve float64) *Borrower {
	if reserve <= 0 {
		reserve = DefaultReserve
	}
	return &Borrower{reserve: reserve, teams: map[string]*holding{}}
}

func (b *Borrower) holding(team string) *holding {
	p := b.teams[team]
	if p == nil {
		p = &holding{}
		b.teams[team] = p
	}
	return p
}

// AddGrant records a grant received in answer to a request sent at the given time. It discards a grant whose
// id an earlier report has covered: the leader already counts it as settled.
func (b *Borrower) AddGrant(sent time.Time, lot wire.TokenGrant) {
	if lot.Tokens == 0 {
		return
	}
	p := b.holding(lot.Team)
	if lot.ID <= p.reported {
		return
	}
	p.seen = max(p.seen, lot.ID)
	p.dirty = true
	p.lots = append(p.lots, heldLot{tokens: lot.Tokens, until: sent.Add(min(lot.TTL, GrantTTL))})
}

// CanSpend reports whether unexpired grants hold n tokens. It doesn't count as demand.
func (b *Borrower) CanSpend(now time.Time, team string, n uint64) bool {
	return b.holding(team).left(now) >= n
}

// Spend spends n tokens of unexpired grants and reports whether there were enough. If not, it spends
// none. Either way n counts as demand.
func (b *Borrower) Spend(now time.Time, team string, n uint64) bool {
	p := b.holding(team)
	p.used += float64(n)
	if p.left(now) < n {
		return false
	}
	p.dirty = true
	for n > 0 {
		spent := min(n, p.lots[0].tokens)
		p.lots[0].tokens -= spent
		n -= spent
		if p.lots[0].tokens == 0 {
			p.lots = p.lots[1:]
		}
	}
	return true
}

// UndoDemand subtracts the demand that a failed Spend has counted, so that a second attempt for the same
// request doesn't count it twice.
func (b *Borrower) UndoDemand(team string, n uint64) {
	p := b.holding(team)
	p.used = max(0, p.used-float64(n))
}

// left removes expired grants and returns the number of tokens in the others.
func (p *holding) left(now time.Time) uint64 {
	total := uint64(0)
	kept := p.lots[:0]
	for _, lot := range p.lots {
		if now.Before(lot.until) {
			kept = append(kept, lot)
			total += lot.tokens
		}
	}
	p.lots = kept
	return total
}

// BorrowAmount returns how many tokens to borrow between renewals when a request for n tokens finds too few:
// n plus the estimated demand until the next renewal.
func (b *Borrower) BorrowAmount(team string, n uint64) uint64 {
	p := b.holding(team)
	part := max(p.estimate, p.used-float64(n))
	return n + uint64(math.Ceil(part*b.reserve*borrowedPart))
}

// EndInterval ends an interval and updates the demand estimates. It returns the tokens to ask for in the
// next renewal by team; idle teams are left out.
func (b *Borrower) EndInterval(now time.Time) map[string]uint64 {
	demand := map[string]uint64{}
	for team, p := range b.teams {
		p.estimate = max(p.used, demandDecay*p.estimate+(1-demandDecay)*p.used)
		p.used = 0
		left := p.left(now)
		if p.estimate < minEstimate {
			p.estimate = 0
			continue
		}
		if want := uint64(math.Ceil(b.reserve * p.estimate)); want > left {
			demand[team] = want - left
		}
	}
	return demand
}

// Balances returns a report to the leader for every team whose grants have changed since its last report:
// the highest grant id received and the tokens left. From then on Add discards grants up to that id.
func (b *Borrower) Balances(now time.Time) map[string]wire.TokenBalance {
	held := map[string]wire.TokenBalance{}
	for team, p := range b.teams {
		if p.dirty {
			held[team] = b.Balance(now, team)
		}
	}
	return held
}

// Balance returns the report for one team, like Reports.
func (b *Borrower) Balance(now time.Time, team string) wire.TokenBalance {
	p := b.holding(team)
	p.reported = p.seen
	p.dirty = false
	return wire.TokenBalance{GrantID: p.seen, Remaining: p.left(now)}
}
