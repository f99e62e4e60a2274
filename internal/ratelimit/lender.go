// Package ratelimit enforces each team's rate limit across all hosts.
//
// The control leader's Lender has one token bucket per team and lends tokens to hosts in grants: a grant
// is a number of tokens with an expiry time. A host's Borrower spends its grants. In every window
// [a,b] at most rate*(b-a)+burst tokens are spent.
//
// Hosts spend a grant some time after it was lent, so a plain bucket of size burst would break this
// bound: a full bucket could be lent while hosts still hold earlier grants. The Lender therefore
// maintains the invariant level + outstanding <= burst, where outstanding counts every lent token
// until its grant expires or its host reports it as spent. The tokens spent in [a,b] are at most those
// outstanding at a plus those lent after a. The latter are at most level(a)+rate*(b-a), so the bound
// is exact.
//
// A new leader doesn't know which grants its predecessor has lent. No leader has more than
// maxOutstandingFraction of a burst outstanding, so the new leader counts that much as outstanding
// until the inherited grants have expired, and can lend the remainder at once.
package ratelimit

import (
	"math"
	"time"

	"github.com/citronrun/citronrun/internal/wire"
)

const (
	// GrantTTL is how long a host may spend a grant, counted from the moment it sent the request.
	GrantTTL = 2 * time.Second
	// GrantExpiryWait is how long the leader counts a grant as outstanding if its host does not report it as
	// spent: LotTTL plus 10% for hosts with slow clocks.
	GrantExpiryWait = GrantTTL + GrantTTL/10
	// RenewalInterval is the time between two renewals. A grant covers the demand of one interval.
	RenewalInterval = 500 * time.Millisecond

	// lentShare bounds the outstanding tokens of a team as a fraction of its burst. The remainder is
	// what a new leader can lend at once.
	lentShare = 0.75
	// minSplitBurst is the burst in tokens below which the remainder would be less than one token.
	// All of a smaller burst may be outstanding.
	minSplitBurst = 4

	// demandMemory is the time after which the last demand of a borrower is ignored.
	demandMemory = 2 * RenewalInterval
	// minWait is the shortest delay that a host is told to wait between two requests for tokens.
	minWait = 20 * time.Millisecond
	// termShift is the size of the counter in a grant id; the bits above it hold the leader's term.
	termShift = 32
)

// Lender lends tokens on behalf of the leader of one consensus term. It is not safe for concurrent
// use.
type Lender struct {
	elected time.Time
	ready   time.Time // grants of earlier leaders may be spent until then
	calm    bool      // those grants come from a single leader
	lastID  uint64
	buckets map[string]*bucket // by team
}

type bucket struct {
	rate, burst float64
	level       float64
	at          time.Time // time of the last refill
	outstanding float64
	borrowers   map[string]*borrower
	expiries    []expiry // of all grants, earliest first

	window time.Time // start of the current demand interval
	supply float64   // tokens that can be lent in the interval
	demand float64   // sum of the borrowers' demand
}

// expiry is a time at which grants of a borrower may expire.
type expiry struct {
	at time.Time
	of *borrower
}

// borrower is the leader's record of one host process.
type borrower struct {
	lots    []lentLot // by ascending id, which is also the order of expiry
	settled uint64    // highest grant id that the host has reported
	want    float64   // tokens demanded in the interval
	wantAt  time.Time
	given   float64 // tokens lent in the interval
}

type lentLot struct {
	id    uint64
	left  float64
	until time.Time
}

// NewLender returns the Lender of a leader elected at the given time in the given consensus term.
// Its buckets start empty. singlePredecessor means that the previous leader was elected at least
// LotHold earlier, so that grants of at most one earlier leader are outstanding. If it is false,
// nothing is lent until all earlier grants have expired.
func NewLender(elected time.Time, term uint64, calm bool) *Lender {
	return &Lender{
		elected: elected,
		ready:   elected.Add(GrantExpiryWait),
		calm:    calm,
		lastID:  term << termShift,
		buckets: map[string]*bucket{},
	}
}

// SetRate sets a team's rate in tokens/s and burst in tokens. A window that spans a change stays
// within the larger rate and the larger burst.
func (k *Lender) SetRate(now time.Time, team string, rate, burst float64) {
	b := k.buckets[team]
	if b == nil {
		k.buckets[team] = k.newBucket(rate, burst)
		return
	}
	b.advance(now)
	b.rate, b.burst = rate, burst
	b.level = min(b.level, b.room())
}

// earlierLeaders is the id of the borrower that stands for all grants of earlier leaders. No process
// has an empty id.
const earlierLeaders = ""

func (k *Lender) newBucket(rate, burst float64) *bucket {
	b := &bucket{rate: rate, burst: burst, at: k.elected, borrowers: map[string]*borrower{}}
	inherited := burst
	if k.calm {
		inherited = b.lentLimit()
	}
	b.outstanding = inherited
	before := &borrower{lots: []lentLot{{left: inherited, until: k.ready}}}
	b.borrowers[earlierLeaders] = before
	b.expiries = []expiry{{at: k.ready, of: before}}
	return b
}

// lentLimit returns the number of tokens that may be outstanding.
func (b *bucket) lentLimit() float64 {
	if b.burst < minSplitBurst {
		return b.burst
	}
	return b.burst * lentShare
}

// lendable returns the number of tokens that may be lent now. Grants of earlier leaders don't count
// against this leader's limit of outstanding tokens.
func (b *bucket) lendable() float64 {
	own := b.outstanding
	if before := b.borrowers[earlierLeaders]; before != nil {
		for _, lot := range before.lots {
			own -= lot.left
		}
	}
	return min(b.level, b.lentLimit()-own)
}

// Settle processes the report of a process on the grants that it has received.
func (k *Lender) Settle(now time.Time, who, team string, held wire.TokenBalance) {
	b := k.buckets[team]
	if b == nil {
		return
	}
	b.advance(now) // refill under the old bound, before the spent tokens stop counting as outstanding
	if br := b.borrowers[who]; br != nil {
		b.outstanding -= br.settle(held)
	}
}

// settle merges the reported grants into one and returns the tokens that are no longer outstanding.
// Reports may arrive late and repeatedly: the unspent tokens of a grant never increase.
func (br *borrower) settle(held wire.TokenBalance) float64 {
	if held.GrantID < br.settled {
		return 0
	}
	merged := lentLot{id: held.GrantID}
	n := 0
	for n < len(br.lots) && br.lots[n].id <= held.GrantID {
		merged.left += br.lots[n].left
		merged.until = br.lots[n].until
		n++
	}
	if n == 0 {
		return 0
	}
	br.settled = held.GrantID
	freed := max(0, merged.left-float64(held.Remaining))
	merged.left -= freed
	br.lots = append([]lentLot{merged}, br.lots[n:]...)
	return freed
}

// Lend takes up to want tokens from the team's bucket for a process. With renewal set, want is the
// demand for one interval; otherwise it adds to the demand already recorded. The grant has no tokens
// when the bucket is empty or the process has used up its share of the interval.
func (k *Lender) Lend(now time.Time, who, team string, want uint64, renewal bool) wire.TokenGrant {
	lot := wire.TokenGrant{Team: team, TTL: GrantTTL}
	b := k.buckets[team]
	if b == nil || want == 0 {
		return lot
	}
	b.advance(now)
	b.divide(now)
	br := b.borrower(who)
	b.note(br, now, float64(want), renewal)
	n := math.Floor(min(float64(want), b.lendable(), b.share(br)))
	if n < 1 {
		lot.Wait = k.wait(now, b, float64(want))
		return lot
	}
	k.lastID++
	b.lend(br, lentLot{id: k.lastID, left: n, until: now.Add(GrantExpiryWait)})
	lot.Tokens = uint64(n)
	lot.ID = k.lastID
	return lot
}

// wait returns how long a host should wait before it asks again. While grants of earlier leaders may
// be outstanding, an empty bucket doesn't mean that the team is over its rate. Afterwards it is 0.
func (k *Lender) wait(now time.Time, b *bucket, want float64) time.Duration {
	left := max(0, k.ready.Sub(now))
	if b.rate == 0 || b.lendable()+1 > b.room() {
		return left
	}
	refill := min(want, b.room()) / b.rate
	return min(left, max(minWait, time.Duration(refill*float64(time.Second))))
}

func (b *bucket) lend(br *borrower, lot lentLot) {
	b.level -= lot.left
	b.outstanding += lot.left
	br.given += lot.left
	br.lots = append(br.lots, lot)
	b.expiries = append(b.expiries, expiry{at: lot.until, of: br})
}

// divide starts a new demand interval if the current one has ended, and removes borrowers without
// grants and demand.
func (b *bucket) divide(now time.Time) {
	if now.Sub(b.window) < RenewalInterval {
		return
	}
	b.window = now
	b.supply = b.level + b.rate*RenewalInterval.Seconds()
	b.demand = 0
	for who, br := range b.borrowers {
		br.given = 0
		if now.Sub(br.wantAt) > demandMemory {
			br.want = 0
		}
		if br.want == 0 && len(br.lots) == 0 {
			delete(b.borrowers, who)
		}
		b.demand += br.want
	}
	if len(b.borrowers) == 0 {
		b.outstanding = 0 // clears accumulated rounding errors
	}
}

func (b *bucket) borrower(who string) *borrower {
	br := b.borrowers[who]
	if br == nil {
		br = &borrower{}
		b.borrowers[who] = br
	}
	return br
}

func (b *bucket) note(br *borrower, now time.Time, want float64, renewal bool) {
	b.demand -= br.want
	if renewal || now.Sub(br.wantAt) > demandMemory {
		br.want = want
	} else {
		br.want = max(br.want, br.given+want)
	}
	b.demand += br.want
	br.wantAt = now
}

// share returns how many more tokens a borrower may get in the current interval. When total demand
// exceeds the supply of the interval, the supply is divided in proportion to demand.
func (b *bucket) share(br *borrower) float64 {
	if b.demand <= b.supply {
		return math.Inf(1)
	}
	return max(1, math.Ceil(b.supply*br.want/b.demand)) - br.given
}

// room returns the highest level at which level + outstanding <= burst.
func (b *bucket) room() float64 { return max(0, b.burst-b.outstanding) }

// advance refills the bucket up to now. It steps from expiry to expiry, since an expired grant raises
// the maximum level only from its expiry on.
func (b *bucket) advance(now time.Time) {
	for len(b.expiries) > 0 && !b.expiries[0].at.After(now) {
		next := b.expiries[0]
		b.expiries = b.expiries[1:]
		b.refill(next.at)
		b.outstanding -= next.of.expire(next.at)
	}
	b.refill(now)
}

// expire removes the grants that have expired by now and returns their tokens.
func (br *borrower) expire(now time.Time) float64 {
	expired := 0.0
	for len(br.lots) > 0 && !br.lots[0].until.After(now) {
		expired += br.lots[0].left
		br.lots = br.lots[1:]
	}
	return expired
}

func (b *bucket) refill(now time.Time) {
	if !now.After(b.at) {
		return
	}
	b.level = min(b.level+b.rate*now.Sub(b.at).Seconds(), b.room())
	b.at = now
}
