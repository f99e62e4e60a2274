package ratelimit

import (
	"math"
	"time"

	"github.com/citronrun/citronrun/internal/wire"
)

const (
	// DefaultReserve is the part of the estimated demand of an interval that lots cover.
	DefaultReserve = 1.25
	// borrowedPart of the reserve is asked for between two renewals: half of an interval with DefaultReserve.
	borrowedPart = 0.5 / DefaultReserve
	demandDecay  = 0.5 // weight of earlier intervals in the estimate
	minEstimate  = 0.5 // tokens per interval below which a team counts as idle
)

// Borrower spends the lots of one host. It is not safe for concurrent use.
type Borrower struct {
	reserve float64 // part of an interval's estimated demand to ask for
	teams   map[string]*holding
}

type holding struct {
	lots     []heldLot
	seen     uint64  // highest lot id received
	reported uint64  // highest lot id reported to a leader
	dirty    bool    // changed since the last report
	used     float64 // tokens spent or missed since the last renewal
	estimate float64 // tokens per interval
}

type heldLot struct {
	tokens uint64
	until  time.Time
}

// NewBorrower returns a borrower without lots that asks for the given part of an interval's estimated
// demand; 0: DefaultReserve.
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

// AddGrant notes a lot that answers a request sent at the given time. It discards a lot that an earlier
// report has already declared as unused.
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

// CanSpend reports whether there are n tokens of unexpired lots. It counts no demand.
func (b *Borrower) CanSpend(now time.Time, team string, n uint64) bool {
	return b.holding(team).left(now) >= n
}

// Spend spends n tokens of unexpired lots. It reports whether there were enough; if not, it spends
// none and counts n as unmet demand.
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

// UndoDemand takes back the demand that a failed Take has counted, before the same request tries again.
func (b *Borrower) UndoDemand(team string, n uint64) {
	p := b.holding(team)
	p.used = max(0, p.used-float64(n))
}

// left removes expired lots and returns the tokens of the others.
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

// BorrowAmount returns how many tokens to ask for with Borrow when a request of n tokens finds too few: the
// request and the estimate of what follows before the next renewal.
func (b *Borrower) BorrowAmount(team string, n uint64) uint64 {
	p := b.holding(team)
	part := max(p.estimate, p.used-float64(n))
	return n + uint64(math.Ceil(part*b.reserve*borrowedPart))
}

// EndInterval ends an interval. It returns the tokens to ask for in the next renewal, per team, and
// forgets idle teams.
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

// Balances returns what the leader may take as settled, for every team whose lots have changed since
// the last report. From then on lots up to the reported id are no longer accepted.
func (b *Borrower) Balances(now time.Time) map[string]wire.TokenBalance {
	held := map[string]wire.TokenBalance{}
	for team, p := range b.teams {
		if p.dirty {
			held[team] = b.Balance(now, team)
		}
	}
	return held
}

// Balance is Held for one team.
func (b *Borrower) Balance(now time.Time, team string) wire.TokenBalance {
	p := b.holding(team)
	p.reported = p.seen
	p.dirty = false
	return wire.TokenBalance{GrantID: p.seen, Remaining: p.left(now)}
}
