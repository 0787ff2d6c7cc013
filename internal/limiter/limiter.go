// Package limiter enforces the grants of one instance with one token bucket per
// workspace.
//
// The tokens in a bucket plus the reserved ones never exceed the burst that the
// instance was granted. A request therefore gets its unused reservation back
// without the bucket ever admitting more than rate x window + burst in any
// window.
package limiter

import (
	"errors"
	"maps"
	"math"
	"time"

	"github.com/boragehead/boragehead/internal/granter"
)

// Errors of a reservation.
var (
	// ErrInsufficientTokens means that the tokens do not cover the cost now. A
	// later attempt may succeed.
	ErrInsufficientTokens = errors.New("rate exceeded")
	// ErrCostAboveBurst means that the cost exceeds the burst of the whole
	// workspace, so that no later attempt can succeed under the same limit.
	ErrCostAboveBurst = errors.New("cost above burst")
)

// LoanLifetime is how long the borrower may reserve tokens lent by a peer,
// counted from when it requested them.
const LoanLifetime = 2 * time.Second

// loanHoldTime is how long the lender keeps the tokens of a loan reserved, unless
// the unused part comes back earlier. It exceeds LoanLifetime by more than clock
// drift and by the duration of many requests. Tokens that come back later are
// lost.
const loanHoldTime = 8 * time.Second

// demandWindow is the time constant of the exponential average of demand.
const demandWindow = 10 * time.Second

// Limiter holds the token buckets of one instance. The zero value has no grants.
// Times passed to its methods come from the instance's own clock. A Limiter is
// not safe for concurrent use.
type Limiter struct {
	buckets map[string]*bucket
	// leaseExpires is when the leased parts of all grants expire, if hasLease is
	// set.
	leaseExpires time.Time
	hasLease     bool
}

type bucket struct {
	share   granter.Share
	version uint64
	// plannedLimit is the workspace's limit when the grant was planned, and
	// currentLimit is its limit in the newest tables.
	plannedLimit granter.Quota
	currentLimit granter.Quota

	tokens     float64
	reserved   float64
	lastRefill time.Time
	loans      []outgoingLoan
	demandRate float64
	lastDemand time.Time
}

// outgoingLoan is a loan to a peer. Its tokens stay reserved until it is returned
// or expires.
type outgoingLoan struct {
	id      uint64
	amount  float64
	expires time.Time
}

// Reservation holds the tokens that one request may use.
type Reservation struct {
	Workspace string
	// Local tokens come from this instance's bucket.
	Local float64
	// Borrowed tokens come from peers. They are used or returned to the lenders;
	// they never enter this instance's bucket.
	Borrowed float64
}

// UnusedBorrowed returns how many borrowed tokens are left, to be returned to the
// lenders, after a request that used the given number of tokens.
func (r Reservation) UnusedBorrowed(used float64) float64 {
	return max(r.Borrowed-used, 0)
}

// ApplyGrant applies a grant unless its version is not newer than that of the
// bucket. A new bucket starts empty, because it is not known how many tokens an
// earlier process of this instance spent.
func (l *Limiter) ApplyGrant(now time.Time, grant granter.Grant) {
	if l.buckets == nil {
		l.buckets = map[string]*bucket{}
	}
	b, known := l.buckets[grant.Workspace]
	if !known {
		b = &bucket{lastRefill: now, currentLimit: grant.Total}
		l.buckets[grant.Workspace] = b
	}
	if known && grant.Version <= b.version {
		return
	}
	l.refillBucket(b, now)
	b.share = grant.Allowed()
	b.version = grant.Version
	b.plannedLimit = grant.Total
	l.refillBucket(b, now)
}

// SetWorkspaceLimit sets the current limit of a whole workspace, as the newest
// tables have it. A lower limit takes effect at once, before the ledger has
// planned new grants.
func (l *Limiter) SetWorkspaceLimit(now time.Time, workspace string, limit granter.Quota) {
	b, known := l.buckets[workspace]
	if !known {
		return
	}
	l.refillBucket(b, now)
	b.currentLimit = limit
	l.refillBucket(b, now)
}

// RenewLease extends the lease to granter.LeaseDuration after requestedAt, the
// time at which this instance requested it.
func (l *Limiter) RenewLease(now, requestedAt time.Time) {
	l.refillBuckets(now)
	if expires := requestedAt.Add(granter.LeaseDuration); expires.After(l.leaseExpires) {
		l.leaseExpires = expires
	}
	l.hasLease = true
}

// ReleaseLease gives up the leased parts of all grants at once, as in a graceful
// shutdown.
func (l *Limiter) ReleaseLease(now time.Time) {
	l.refillBuckets(now)
	l.hasLease = false
	l.refillBuckets(now)
}

// refillBuckets refills every bucket up to now. It is called before the lease
// changes, so that the elapsed time counts under the old one.
func (l *Limiter) refillBuckets(now time.Time) {
	for _, b := range l.buckets {
		l.refillBucket(b, now)
	}
}

// refillBucket refills a bucket up to now. If the lease ended since the last
// refill, the time before and after the end are counted separately.
func (l *Limiter) refillBucket(b *bucket, now time.Time) {
	if l.hasLease && b.lastRefill.Before(l.leaseExpires) && now.After(l.leaseExpires) {
		b.refill(l.leaseExpires, true)
	}
	b.refill(now, l.leaseValid(now))
}

func (l *Limiter) leaseValid(now time.Time) bool {
	return l.hasLease && now.Before(l.leaseExpires)
}

// usable returns the rate and burst that the grant allows, with or without its
// leased part. If the workspace's limit was lowered after the grant was planned,
// the grant is scaled down in proportion.
func (b *bucket) usable(withLease bool) granter.Quota {
	quota := b.share.Floor
	if withLease {
		quota = b.share.Sum()
	}
	if b.currentLimit.Rate < b.plannedLimit.Rate && b.plannedLimit.Rate > 0 {
		quota.Rate = int64(float64(quota.Rate) * float64(b.currentLimit.Rate) / float64(b.plannedLimit.Rate))
	}
	if b.currentLimit.Burst < b.plannedLimit.Burst && b.plannedLimit.Burst > 0 {
		quota.Burst = int64(float64(quota.Burst) * float64(b.currentLimit.Burst) / float64(b.plannedLimit.Burst))
	}
	return quota
}

// refill adds the tokens for the time since the last refill. Tokens and reserved
// tokens together stay within the burst.
func (b *bucket) refill(now time.Time, withLease bool) {
	quota := b.usable(withLease)
	if elapsed := now.Sub(b.lastRefill); elapsed > 0 {
		b.tokens += elapsed.Seconds() * quota.RateTokens()
		b.lastRefill = now
	}
	b.expireLoans(now)
	b.tokens = min(b.tokens, quota.BurstTokens()-b.reserved)
}

// expireLoans drops the expired loans. Their tokens are spent.
func (b *bucket) expireLoans(now time.Time) {
	kept := b.loans[:0]
	for _, loan := range b.loans {
		if now.Before(loan.expires) {
			kept = append(kept, loan)
			continue
		}
		b.reserved -= loan.amount
	}
	b.loans = kept
}

// Reserve reserves a cost, in tokens, from the workspace's bucket and counts it as
// demand. With ErrInsufficientTokens it also returns the number of missing tokens,
// which can be borrowed from peers; with ErrCostAboveBurst that number is 0.
func (l *Limiter) Reserve(now time.Time, workspace string, cost float64) (Reservation, float64, error) {
	b, known := l.buckets[workspace]
	if !known {
		return Reservation{}, cost, ErrInsufficientTokens
	}
	l.refillBucket(b, now)
	b.recordDemand(now, cost)
	if b.currentLimit.BurstTokens() < cost {
		return Reservation{}, 0, ErrCostAboveBurst
	}
	if b.tokens < cost {
		return Reservation{}, cost - max(b.tokens, 0), ErrInsufficientTokens
	}
	b.reserve(cost)
	return Reservation{Workspace: workspace, Local: cost}, 0, nil
}

// ReserveBorrowed reserves a cost, in tokens, from borrowed tokens and takes the
// rest from the workspace's bucket. It returns ErrInsufficientTokens if they do not
// cover the cost, or if the tokens were requested LoanLifetime or longer ago. It
// does not count the cost as demand.
func (l *Limiter) ReserveBorrowed(now, requestedAt time.Time, workspace string, cost, borrowed float64) (Reservation, error) {
	if now.Sub(requestedAt) >= LoanLifetime {
		return Reservation{}, ErrInsufficientTokens
	}
	local := max(cost-borrowed, 0)
	if b, known := l.buckets[workspace]; known && local > 0 {
		l.refillBucket(b, now)
		if b.tokens < local {
			return Reservation{}, ErrInsufficientTokens
		}
		b.reserve(local)
	} else if local > 0 {
		return Reservation{}, ErrInsufficientTokens
	}
	return Reservation{Workspace: workspace, Local: local, Borrowed: min(borrowed, cost)}, nil
}

// Settle ends a reservation and puts the unused local tokens back. Borrowed tokens
// count as used first.
func (l *Limiter) Settle(now time.Time, reservation Reservation, used float64) {
	b, known := l.buckets[reservation.Workspace]
	if !known || reservation.Local == 0 {
		return
	}
	l.refillBucket(b, now)
	spent := min(max(used-reservation.Borrowed, 0), reservation.Local)
	b.reserved -= reservation.Local
	b.tokens += reservation.Local - spent
	l.refillBucket(b, now)
}

// Lend takes up to the wanted number of tokens, rounded down, from the bucket and
// returns how many it took. The bucket is debited before the reply is sent, so
// that a lost reply can lose tokens but never create any. The ID identifies the
// loan in TakeBack.
func (l *Limiter) Lend(now time.Time, id uint64, workspace string, want float64) float64 {
	b, known := l.buckets[workspace]
	if !known {
		return 0
	}
	l.refillBucket(b, now)
	amount := math.Floor(min(want, b.tokens))
	if amount <= 0 {
		return 0
	}
	b.reserve(amount)
	b.loans = append(b.loans, outgoingLoan{id: id, amount: amount, expires: now.Add(loanHoldTime)})
	return amount
}

// TakeBack ends a loan and puts the tokens that the borrower did not use back into
// the bucket. The other tokens of the loan count as spent. A loan that is unknown,
// expired or already returned is ignored.
func (l *Limiter) TakeBack(now time.Time, id uint64, workspace string, unused float64) {
	b, known := l.buckets[workspace]
	if !known {
		return
	}
	l.refillBucket(b, now)
	for i, loan := range b.loans {
		if loan.id != id {
			continue
		}
		b.loans = append(b.loans[:i], b.loans[i+1:]...)
		b.reserved -= loan.amount
		b.tokens += min(max(unused, 0), loan.amount)
		return
	}
}

func (b *bucket) reserve(amount float64) {
	b.tokens -= amount
	b.reserved += amount
}

// recordDemand adds a requested cost to the exponential average of demand.
func (b *bucket) recordDemand(now time.Time, cost float64) {
	b.demandRate = b.demandAt(now) + cost/demandWindow.Seconds()
	b.lastDemand = now
}

// demandAt returns the average demand in tokens per second, decayed up to now.
func (b *bucket) demandAt(now time.Time) float64 {
	return b.demandRate * math.Exp(-now.Sub(b.lastDemand).Seconds()/demandWindow.Seconds())
}

// EstimateWait returns how long the workspace's bucket, without loans, needs to
// cover a cost in tokens. It is not positive if the bucket covers the cost already.
// If the present grant can never cover it, EstimateWait returns
// granter.SyncInterval, since the grant may change with the next sync.
func (l *Limiter) EstimateWait(now time.Time, workspace string, cost float64) time.Duration {
	const fallback = granter.SyncInterval
	b, known := l.buckets[workspace]
	if !known {
		return fallback
	}
	l.refillBucket(b, now)
	quota := b.usable(l.leaseValid(now))
	if quota.Rate <= 0 || cost > quota.BurstTokens() {
		return fallback
	}
	return time.Duration((cost - b.tokens) / quota.RateTokens() * float64(time.Second))
}

// Demand returns the average demand of each workspace in tokens per second,
// without negligible ones.
func (l *Limiter) Demand(now time.Time) map[string]float64 {
	const negligibleRate = 0.1
	demand := map[string]float64{}
	for workspace, b := range l.buckets {
		if rate := b.demandAt(now); rate > negligibleRate {
			demand[workspace] = rate
		}
	}
	return demand
}

// PruneWorkspaces removes the buckets of workspaces that no longer exist and for
// which this instance has no grant any more.
func (l *Limiter) PruneWorkspaces(exists func(workspace string) bool) {
	maps.DeleteFunc(l.buckets, func(workspace string, b *bucket) bool {
		return b.share == granter.Share{} && !exists(workspace)
	})
}
