// Package ratelimit enforces each team's rate limit across all hosts. One token pays for one statement of a
// caller; several statements that arrive in one query message count as one.
//
// The control leader's Lender has one token bucket per team and lends tokens to hosts in grants: a grant
// is a number of tokens with an expiry time. A host's Borrower spends its grants. In every window
// [a,b] at most rate*(b-a)+burst tokens are spent. To the Lender, each process of a host is a borrower of its
// own: a restarted process knows nothing of the grants of the one before it.
//
// Hosts spend a grant some time after it was lent, so a plain bucket of size burst would break this
// bound: a full bucket could be lent while hosts still hold earlier grants. The Lender therefore
// maintains the invariant level + outstanding <= burst, where outstanding counts every lent token
// until its grant expires or its host reports it as spent. The tokens spent in [a,b] are at most those
// outstanding at a plus those lent after a. The latter are at most level(a)+rate*(b-a), so the bound
// is exact.
//
// There are two kinds of grants. A renewal asks for a reserve that lasts for about one interval, with GrantTTL. A
// borrow call asks for the tokens of statements that are waiting, with BorrowTTL: they are spent at once, and what
// isn't is lost soon. A team with few tokens for each host is served by borrow calls alone, because reserves at
// all hosts would hold its whole burst.
//
// A new leader doesn't know which grants its predecessor has lent. No leader has more than
// maxReserveFraction of a burst outstanding in reserves, so the new leader counts that much as outstanding until the
// inherited reserves have expired, and the whole burst until the inherited borrowed tokens have. Its buckets start
// empty, and it lends the remainder as they refill. This requires that the inherited grants come from a single leader,
// see NewLender.
package ratelimit

import (
	"math"
	"time"

	"github.com/citronrun/citronrun/internal/wire"
)

const (
	// GrantTTL is how long a host may spend a reserve, counted from the moment it sent the request.
	GrantTTL = 2 * time.Second
	// GrantExpiryWait is how long the leader counts a reserve as outstanding if its host does not report it as
	// spent: GrantTTL plus 10% for hosts with slow clocks.
	GrantExpiryWait = GrantTTL + GrantTTL/10
	// minBorrowTTL and maxBorrowTTL bound how long borrowed tokens may be spent. The time covers the way of the reply
	// to the host.
	minBorrowTTL = 50 * time.Millisecond
	maxBorrowTTL = 250 * time.Millisecond
	// borrowBurstFraction is the greatest fraction of a burst, less the reserves, that is outstanding in borrowed
	// tokens of a team at its rate. Hosts don't report how many of them they have spent, so all count until they
	// expire.
	borrowBurstFraction = 0.25
	// RenewalInterval is the time between two renewals of a host. A renewal asks for the demand of about one
	// interval.
	RenewalInterval = 500 * time.Millisecond

	// maxReserveFraction bounds the outstanding reserves of a team as a fraction of its burst. The remainder is
	// what a new leader can lend before the reserves of its predecessor have expired.
	maxReserveFraction = 0.75
	// minSplitBurst is the burst in tokens below which the remainder would be less than one token.
	// All of a smaller burst may be outstanding in reserves.
	minSplitBurst = 4

	// demandTTL is the time after which the last demand of a borrower is ignored.
	demandTTL = 2 * RenewalInterval
	// minRetryDelay is the shortest RetryAfter of a refused borrow call or renewal while grants of earlier
	// leaders may be outstanding, unless these expire sooner.
	minRetryDelay = 20 * time.Millisecond
	// grantCounterBits is the size of the counter in a grant id; the bits above it hold the leader's term.
	grantCounterBits = 32
)

// Lender lends tokens on behalf of the leader of one consensus term. It is not safe for concurrent
// use.
type Lender struct {
	elected           time.Time
	inheritedUntil    time.Time // grants of earlier leaders may be spent until then
	singlePredecessor bool      // those grants come from a single leader
	lastID            uint64
	buckets           map[string]*bucket // by team
}

type bucket struct {
	rate, burst float64
	level       float64
	refilledAt  time.Time // time of the last refill
	outstanding float64   // reserves and borrowed tokens
	accounts    map[string]*account
	expiries    []expiry    // of all reserves, earliest first
	borrowed    []lentGrant // by expiry
	borrowedSum float64     // of borrowed

	intervalStart time.Time // start of the current demand interval
	supply        float64   // estimate of the tokens that can be lent in the interval
	demand        float64   // sum of the borrowers' demand
}

// expiry is a time at which grants of an account may expire.
type expiry struct {
	at      time.Time
	account *account
}

// account is the leader's record of one borrower.
type account struct {
	grants     []lentGrant // by ascending id, which is also the order of expiry
	reportedID uint64      // highest grant id that the host has reported
	demand     float64     // tokens demanded in the interval
	demandAt   time.Time   // last change of demand
	lent       float64     // tokens lent in the interval
}

type lentGrant struct {
	id        uint64
	remaining float64
	expiresAt time.Time
}

// NewLender returns the Lender of a leader elected at the given time in the given consensus term.
// Its buckets start empty. singlePredecessor means that the previous leader was elected at least
// GrantExpiryWait earlier, so that grants of at most one earlier leader are outstanding. If it is false,
// nothing is lent until all earlier grants have expired.
func NewLender(elected time.Time, term uint64, singlePredecessor bool) *Lender {
	return &Lender{
		elected:           elected,
		inheritedUntil:    elected.Add(GrantExpiryWait),
		singlePredecessor: singlePredecessor,
		lastID:            term << grantCounterBits,
		buckets:           map[string]*bucket{},
	}
}

// SetRate sets a team's rate in tokens/s and burst in tokens. A window that spans a change stays
// within the larger rate and the larger burst.
func (l *Lender) SetRate(now time.Time, team string, rate, burst float64) {
	b := l.buckets[team]
	if b == nil {
		l.buckets[team] = l.newBucket(rate, burst)
		return
	}
	b.advance(now)
	b.rate, b.burst = rate, burst
	b.level = min(b.level, b.maxLevel())
}

// earlierLeaders is the id of the account that holds all grants of earlier leaders. No borrower has an empty
// id.
const earlierLeaders = ""

func (l *Lender) newBucket(rate, burst float64) *bucket {
	b := &bucket{rate: rate, burst: burst, refilledAt: l.elected, accounts: map[string]*account{}}
	inherited := burst
	if l.singlePredecessor {
		inherited = b.maxReserve()
	}
	b.outstanding = burst
	b.borrow(lentGrant{remaining: burst - inherited, expiresAt: l.elected.Add(expiryWait(maxBorrowTTL))})
	predecessors := &account{grants: []lentGrant{{remaining: inherited, expiresAt: l.inheritedUntil}}}
	b.accounts[earlierLeaders] = predecessors
	b.expiries = []expiry{{at: l.inheritedUntil, account: predecessors}}
	return b
}

// maxReserve returns the number of tokens that may be outstanding in reserves.
func (b *bucket) maxReserve() float64 {
	if b.burst < minSplitBurst {
		return b.burst
	}
	return b.burst * maxReserveFraction
}

// reservable returns the number of tokens that may be lent as reserves now. Reserves of earlier leaders don't count
// against this leader's limit.
func (b *bucket) reservable() float64 {
	own := b.outstanding - b.borrowedSum
	if predecessors := b.accounts[earlierLeaders]; predecessors != nil {
		for _, grant := range predecessors.grants {
			own -= grant.remaining
		}
	}
	return min(b.level, b.maxReserve()-own)
}

// Settle processes a balance report of a borrower on the grants that it has received.
func (l *Lender) Settle(now time.Time, borrowerID, team string, balance wire.TokenBalance) {
	b := l.buckets[team]
	if b == nil {
		return
	}
	b.advance(now) // refill under the old bound, before the spent tokens stop counting as outstanding
	if br := b.accounts[borrowerID]; br != nil {
		b.outstanding -= br.settle(balance)
	}
}

// settle merges the reported grants into one and returns the tokens that are no longer outstanding.
// Reports may arrive late and repeatedly, so a report never raises the remaining tokens.
func (br *account) settle(balance wire.TokenBalance) float64 {
	if balance.GrantID < br.reportedID {
		return 0
	}
	merged := lentGrant{id: balance.GrantID}
	n := 0
	for n < len(br.grants) && br.grants[n].id <= balance.GrantID {
		merged.remaining += br.grants[n].remaining
		merged.expiresAt = br.grants[n].expiresAt
		n++
	}
	if n == 0 {
		return 0
	}
	br.reportedID = balance.GrantID
	freed := max(0, merged.remaining-float64(balance.Remaining))
	merged.remaining -= freed
	br.grants = append([]lentGrant{merged}, br.grants[n:]...)
	return freed
}

// Lend lends a borrower a reserve of up to want tokens, its demand for one interval. The grant has no tokens when
// the bucket is empty or the borrower has used up its share of the interval.
func (l *Lender) Lend(now time.Time, borrowerID, team string, want uint64) wire.TokenGrant {
	grant := wire.TokenGrant{Team: team, TTL: GrantTTL}
	b := l.buckets[team]
	if b == nil || want == 0 {
		return grant
	}
	b.advance(now)
	b.startInterval(now)
	br := b.account(borrowerID)
	b.recordDemand(br, now, float64(want))
	n := math.Floor(min(float64(want), b.reservable(), b.share(br)))
	if n < 1 {
		grant.RetryAfter = l.retryDelay(now, b, float64(want))
		return grant
	}
	l.lastID++
	b.lend(br, lentGrant{id: l.lastID, remaining: n, expiresAt: now.Add(GrantExpiryWait)})
	grant.Tokens = uint64(n)
	grant.ID = l.lastID
	return grant
}

// Borrow lends a borrower up to want tokens for statements that wait for the reply; they add to the demand already
// recorded. The grant has no tokens when the bucket is empty or the borrower has used up its share of the interval.
func (l *Lender) Borrow(now time.Time, borrowerID, team string, want uint64) wire.TokenGrant {
	grant := wire.TokenGrant{Team: team}
	b := l.buckets[team]
	if b == nil || want == 0 {
		return grant
	}
	b.advance(now)
	b.startInterval(now)
	br := b.account(borrowerID)
	b.recordDemand(br, now, max(br.demand, br.lent+float64(want)))
	grant.TTL = b.borrowTTL()
	n := math.Floor(min(float64(want), b.level, b.share(br)))
	if n < 1 {
		grant.RetryAfter = l.retryDelay(now, b, float64(want))
		return grant
	}
	l.lastID++
	b.level -= n
	b.outstanding += n
	br.lent += n
	b.borrow(lentGrant{id: l.lastID, remaining: n, expiresAt: now.Add(expiryWait(grant.TTL))})
	grant.Tokens = uint64(n)
	grant.ID = l.lastID
	return grant
}

// borrowTTL returns how long tokens that are borrowed now may be spent.
func (b *bucket) borrowTTL() time.Duration {
	withoutReserves := max(0, b.burst-(b.outstanding-b.borrowedSum))
	if b.rate*maxBorrowTTL.Seconds() <= borrowBurstFraction*withoutReserves {
		return maxBorrowTTL
	}
	return max(minBorrowTTL, time.Duration(borrowBurstFraction*withoutReserves/b.rate*float64(time.Second)))
}

// expiryWait returns how long the leader counts a grant as outstanding: its TTL plus 10% for hosts with slow clocks.
func expiryWait(ttl time.Duration) time.Duration { return ttl + ttl/10 }

// borrow records borrowed tokens. They count until all that were borrowed before have expired.
func (b *bucket) borrow(grant lentGrant) {
	if n := len(b.borrowed); n > 0 && grant.expiresAt.Before(b.borrowed[n-1].expiresAt) {
		grant.expiresAt = b.borrowed[n-1].expiresAt
	}
	b.borrowed = append(b.borrowed, grant)
	b.borrowedSum += grant.remaining
}

// retryDelay returns how long a host should wait before it asks again. While grants of earlier leaders may
// be outstanding, an empty bucket doesn't mean that the team is over its rate. Once these have expired, the
// delay is 0.
func (l *Lender) retryDelay(now time.Time, b *bucket, want float64) time.Duration {
	untilInheritedExpire := max(0, l.inheritedUntil.Sub(now))
	delay := minRetryDelay
	switch room := b.maxLevel(); {
	case room < 1: // nothing flows into the bucket before some tokens have expired
		if at, _ := b.nextExpiry(); !at.IsZero() {
			delay = max(delay, at.Sub(now))
		}
	case b.rate == 0:
		delay = untilInheritedExpire
	default:
		missing := max(0, min(want, room)-b.level)
		delay = max(delay, time.Duration(missing/b.rate*float64(time.Second)))
	}
	return min(untilInheritedExpire, delay)
}

// lend records a grant to a borrower and deducts its tokens.
func (b *bucket) lend(br *account, grant lentGrant) {
	b.level -= grant.remaining
	b.outstanding += grant.remaining
	br.lent += grant.remaining
	br.grants = append(br.grants, grant)
	b.expiries = append(b.expiries, expiry{at: grant.expiresAt, account: br})
}

// startInterval starts a new demand interval if the current one has ended, and removes accounts without
// grants and demand.
func (b *bucket) startInterval(now time.Time) {
	if now.Sub(b.intervalStart) < RenewalInterval {
		return
	}
	b.intervalStart = now
	b.supply = b.level + b.rate*RenewalInterval.Seconds()
	b.demand = 0
	for id, br := range b.accounts {
		br.lent = 0
		if now.Sub(br.demandAt) > demandTTL {
			br.demand = 0
		}
		if br.demand == 0 && len(br.grants) == 0 {
			delete(b.accounts, id)
		}
		b.demand += br.demand
	}
	if len(b.accounts) == 0 && len(b.borrowed) == 0 {
		b.outstanding, b.borrowedSum = 0, 0 // clears accumulated rounding errors
	}
}

func (b *bucket) account(borrowerID string) *account {
	br := b.accounts[borrowerID]
	if br == nil {
		br = &account{}
		b.accounts[borrowerID] = br
	}
	return br
}

// recordDemand sets the demand of a borrower in the current interval.
func (b *bucket) recordDemand(br *account, now time.Time, demand float64) {
	b.demand += demand - br.demand
	br.demand = demand
	br.demandAt = now
}

// share returns how many more tokens a borrower may get in the current interval. When total demand
// exceeds the supply of the interval, the supply is divided in proportion to demand.
func (b *bucket) share(br *account) float64 {
	if b.demand <= b.supply {
		return math.Inf(1)
	}
	return max(1, math.Ceil(b.supply*br.demand/b.demand)) - br.lent
}

// maxLevel returns the highest level at which level + outstanding <= burst.
func (b *bucket) maxLevel() float64 { return max(0, b.burst-b.outstanding) }

// advance refills the bucket up to now. It steps from expiry to expiry, since an expired grant raises
// the maximum level only from its expiry on.
func (b *bucket) advance(now time.Time) {
	for {
		switch at, borrowed := b.nextExpiry(); {
		case at.IsZero() || at.After(now):
			b.refill(now)
			return
		case borrowed:
			b.refill(at)
			b.outstanding -= b.borrowed[0].remaining
			b.borrowedSum -= b.borrowed[0].remaining
			b.borrowed = b.borrowed[1:]
		default:
			b.refill(at)
			b.outstanding -= b.expiries[0].account.expire(at)
			b.expiries = b.expiries[1:]
		}
	}
}

// nextExpiry returns the time at which the next tokens expire, and whether they are borrowed ones. The time is zero if
// none are outstanding.
func (b *bucket) nextExpiry() (at time.Time, borrowed bool) {
	if len(b.expiries) > 0 {
		at = b.expiries[0].at
	}
	if len(b.borrowed) > 0 && (at.IsZero() || b.borrowed[0].expiresAt.Before(at)) {
		return b.borrowed[0].expiresAt, true
	}
	return at, false
}

// expire removes the grants that have expired by now and returns their tokens.
func (br *account) expire(now time.Time) float64 {
	expired := 0.0
	for len(br.grants) > 0 && !br.grants[0].expiresAt.After(now) {
		expired += br.grants[0].remaining
		br.grants = br.grants[1:]
	}
	return expired
}

// refill adds the tokens accrued between the last refill and now, up to maxLevel.
func (b *bucket) refill(now time.Time) {
	if !now.After(b.refilledAt) {
		return
	}
	b.level = min(b.level+b.rate*now.Sub(b.refilledAt).Seconds(), b.maxLevel())
	b.refilledAt = now
}
