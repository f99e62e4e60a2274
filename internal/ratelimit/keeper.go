// Package ratelimit bounds each team's rate over all hosts together.
//
// The control leader's Keeper has one token bucket per team and lends lots of tokens to hosts. A
// host's Borrower spends them. In every window [a,b] at most rate*(b-a)+burst tokens are spent.
//
// Lots are spent later than lent, so a plain bucket of size burst would break this bound: a full
// bucket could be lent while hosts still hold earlier lots. The Keeper therefore keeps level +
// outstanding <= burst, where outstanding counts every lent token until its lot has expired or
// its host has reported it as spent. The tokens spent in [a,b] are at most those outstanding at a
// plus those lent after a. The latter are at most level(a)+rate*(b-a), so the bound holds exactly.
//
// A new leader doesn't know which lots its predecessor has lent. No leader lends more than
// lentShare of the burst at once, so the new one counts that much as outstanding until those lots
// have expired, and lends the rest meanwhile.
package ratelimit

import (
	"math"
	"time"

	"github.com/citronrun/citronrun/internal/wire"
)

const (
	// GrantTTL is how long a host may spend a lot, from the send of its request.
	GrantTTL = 2 * time.Second
	// GrantExpiryWait is how long the leader counts an unsettled lot: LotTTL and 10% for slow clocks.
	GrantExpiryWait = GrantTTL + GrantTTL/10
	// RenewalInterval is the time between two renewals, for which lots are sized.
	RenewalInterval = 500 * time.Millisecond

	// lentShare is the part of a burst that may be outstanding. The remainder is what a new leader
	// can lend at once.
	lentShare = 0.75
	// minSplitBurst is the burst in tokens below which the remainder would be less than one token;
	// such bursts are lent whole.
	minSplitBurst = 4

	demandMemory = 2 * RenewalInterval
	minWait      = 20 * time.Millisecond // between two requests for tokens by one host
	termShift    = 32                    // a lot id is the leader's term and a counter of this many bits
)

// Lender is the lender of one leader for one consensus term. It is not safe for concurrent use.
type Lender struct {
	elected time.Time
	ready   time.Time // until then an earlier leader's lots may be spent
	calm    bool      // only one earlier leader's lots may be spent until ready
	lastID  uint64
	buckets map[string]*bucket
}

type bucket struct {
	rate, burst float64
	level       float64
	at          time.Time // level is as of this time
	outstanding float64
	borrowers   map[string]*borrower
	expiries    []expiry // of all lots, in order of time

	window time.Time // start of the interval in which tokens are divided
	supply float64   // tokens that can be lent in this interval
	demand float64   // sum of the borrowers' wants
}

// expiry is a moment at which lots of a borrower may expire.
type expiry struct {
	at time.Time
	of *borrower
}

// borrower is the leader's view of one process that borrows.
type borrower struct {
	lots    []lentLot // in order of id, and hence of expiry
	settled uint64    // highest lot id that the host has reported
	want    float64   // latest demand
	wantAt  time.Time
	given   float64 // in the bucket's present interval
}

type lentLot struct {
	id    uint64
	left  float64
	until time.Time
}

// NewLender returns the lender of a leader elected at the given time in the given consensus term.
// Its buckets start empty. Calm says that the leader before was elected at least LotHold earlier, so
// that lots of one leader at most are outstanding. Without it nothing is lent until all earlier
// lots have expired.
func NewLender(elected time.Time, term uint64, calm bool) *Lender {
	return &Lender{
		elected: elected,
		ready:   elected.Add(GrantExpiryWait),
		calm:    calm,
		lastID:  term << termShift,
		buckets: map[string]*bucket{},
	}
}

// SetRate sets a team's rate in tokens/s and burst in tokens. After a change, windows that span
// it stay within the larger rate and the larger burst.
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

// earlierLeaders is the borrower that holds what earlier leaders may have lent. Hosts have names.
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

// lentLimit is the number of tokens that may be outstanding.
func (b *bucket) lentLimit() float64 {
	if b.burst < minSplitBurst {
		return b.burst
	}
	return b.burst * lentShare
}

// lendable is the number of tokens that may be lent at present. What earlier leaders have lent
// doesn't count against this leader's limit.
func (b *bucket) lendable() float64 {
	own := b.outstanding
	if before := b.borrowers[earlierLeaders]; before != nil {
		for _, lot := range before.lots {
			own -= lot.left
		}
	}
	return min(b.level, b.lentLimit()-own)
}

// Settle notes what a process holds of the lots that it has received.
func (k *Lender) Settle(now time.Time, who, team string, held wire.TokenBalance) {
	b := k.buckets[team]
	if b == nil {
		return
	}
	b.advance(now) // the level before the tokens stop to count as outstanding
	if br := b.borrowers[who]; br != nil {
		b.outstanding -= br.settle(held)
	}
}

// settle merges the reported lots into one and returns the tokens that are no longer outstanding.
// Reports may arrive late and repeatedly; what is left never grows.
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

// Lend takes up to want tokens from the team's bucket for a process. renewal says that want is the
// demand for one interval; else it adds to the demand already noted. The answer has no tokens when
// the bucket is empty or the process has had its share.
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
		lot.RetryAfter = k.wait(now, b, float64(want))
		return lot
	}
	k.lastID++
	b.lend(br, lentLot{id: k.lastID, left: n, until: now.Add(GrantExpiryWait)})
	lot.Tokens = uint64(n)
	lot.ID = k.lastID
	return lot
}

// wait returns how long a host should wait before it asks again, while the empty bucket of a new
// leader proves nothing. It is 0 afterwards.
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

// divide starts a new interval when the present one has ended. It forgets processes that hold and
// want nothing.
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
		b.outstanding = 0 // removes rounding errors
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

// share returns how many more tokens a process may get in its current interval. When the demand
// of all processes exceeds the supply of an interval, each gets a part in proportion to its demand.
func (b *bucket) share(br *borrower) float64 {
	if b.demand <= b.supply {
		return math.Inf(1)
	}
	return max(1, math.Ceil(b.supply*br.want/b.demand)) - br.given
}

// room is the highest level that the bound permits at present.
func (b *bucket) room() float64 { return max(0, b.burst-b.outstanding) }

// advance refills the bucket up to now. Each expiry of a lot makes room only from its own time on.
func (b *bucket) advance(now time.Time) {
	for len(b.expiries) > 0 && !b.expiries[0].at.After(now) {
		next := b.expiries[0]
		b.expiries = b.expiries[1:]
		b.refill(next.at)
		b.outstanding -= next.of.expire(next.at)
	}
	b.refill(now)
}

// expire removes the lots that end by now and returns their tokens.
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
