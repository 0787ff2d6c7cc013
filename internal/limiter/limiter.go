// Package limiter spends an instance's grants: one token bucket a workspace.
//
// The one idea: the tokens in a bucket and those reserved but not settled
// never exceed the burst that the instance was granted. What is reserved for
// an answer that turns out shorter therefore comes back without ever letting
// more than rate x window + burst through.
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
	// ErrShort means that tokens are missing now and will be there later.
	ErrShort = errors.New("rate exceeded")
	// ErrTooLarge means that the cost is above the workspace's whole burst.
	ErrTooLarge = errors.New("cost above burst")
)

// TransferLifetime is how long tokens that a peer gave may be used, counted
// from when they were asked for.
const TransferLifetime = 2 * time.Second

// transferHold is how long a giver keeps room for what it gave, unless the
// unused part comes back before. It outlasts the lifetime by more than the drift
// of clocks, and many answers; what comes back later is lost.
const transferHold = 8 * time.Second

// demandWindow is the time over which demand is averaged.
const demandWindow = 10 * time.Second

// Limiter holds the buckets of one instance. The zero value has no grants.
// It is not safe for concurrent use.
type Limiter struct {
	buckets map[string]*bucket
	// leasedUntil is when the leased parts lapse.
	leasedUntil time.Time
	leased      bool
}

type bucket struct {
	share   granter.Share
	version uint64
	// whole is the workspace's whole when the grant was planned; current is
	// what the newest tables say.
	whole   granter.Amount
	current granter.Amount

	tokens      float64
	outstanding float64
	filled      time.Time
	holds       []hold
	demand      float64
	demanded    time.Time
}

// hold keeps room for tokens that were given away.
type hold struct {
	id     uint64
	amount float64
	until  time.Time
}

// Reservation is what a request may cost.
type Reservation struct {
	Workspace string
	// Local came from this instance's bucket.
	Local float64
	// Borrowed came from peers. It is used up or returned, never banked.
	Borrowed float64
}

// Unused returns how much of what was borrowed a request did not use, and
// peers may have back.
func (r Reservation) Unused(used float64) float64 {
	return max(r.Borrowed-used, 0)
}

// Grant takes in one grant. A new bucket begins empty: what an earlier
// process of this instance spent is not known.
func (l *Limiter) Grant(now time.Time, grant granter.Grant) {
	if l.buckets == nil {
		l.buckets = map[string]*bucket{}
	}
	b, known := l.buckets[grant.Workspace]
	if !known {
		b = &bucket{filled: now, current: grant.Whole}
		l.buckets[grant.Workspace] = b
	}
	if known && grant.Version <= b.version {
		return
	}
	l.fill(b, now)
	b.share = grant.Allowed()
	b.version = grant.Version
	b.whole = grant.Whole
	l.fill(b, now)
}

// Whole tells the newest whole amount of a workspace from the tables. A cut
// takes effect at once, before the ledger has planned for it.
func (l *Limiter) Whole(now time.Time, workspace string, whole granter.Amount) {
	b, known := l.buckets[workspace]
	if !known {
		return
	}
	l.fill(b, now)
	b.current = whole
	l.fill(b, now)
}

// Renew extends the lease. Asked is when this instance asked for it.
func (l *Limiter) Renew(now, asked time.Time) {
	l.refillAll(now)
	if until := asked.Add(granter.Lease); until.After(l.leasedUntil) {
		l.leasedUntil = until
	}
	l.leased = true
}

// Surrender gives up the leased parts at once, as on a graceful shutdown.
func (l *Limiter) Surrender(now time.Time) {
	l.refillAll(now)
	l.leased = false
	l.refillAll(now)
}

// refillAll brings every bucket up to now under the lease as it stood.
func (l *Limiter) refillAll(now time.Time) {
	for _, b := range l.buckets {
		l.fill(b, now)
	}
}

// fill refills a bucket; when the lease ended in between, in two parts.
func (l *Limiter) fill(b *bucket, now time.Time) {
	if l.leased && b.filled.Before(l.leasedUntil) && now.After(l.leasedUntil) {
		b.refill(l.leasedUntil, true)
	}
	b.refill(now, l.leaseHolds(now))
}

func (l *Limiter) leaseHolds(now time.Time) bool {
	return l.leased && now.Before(l.leasedUntil)
}

// allowed returns what may be used of the grant now.
func (b *bucket) allowed(leased bool) granter.Amount {
	amount := b.share.Floor
	if leased {
		amount = b.share.Sum()
	}
	if b.current.Rate < b.whole.Rate && b.whole.Rate > 0 {
		amount.Rate = int64(float64(amount.Rate) * float64(b.current.Rate) / float64(b.whole.Rate))
	}
	if b.current.Burst < b.whole.Burst && b.whole.Burst > 0 {
		amount.Burst = int64(float64(amount.Burst) * float64(b.current.Burst) / float64(b.whole.Burst))
	}
	return amount
}

// refill adds what has come in since, up to the room that is left.
func (b *bucket) refill(now time.Time, leased bool) {
	amount := b.allowed(leased)
	if elapsed := now.Sub(b.filled); elapsed > 0 {
		b.tokens += elapsed.Seconds() * amount.RateTokens()
		b.filled = now
	}
	b.release(now)
	b.tokens = min(b.tokens, amount.BurstTokens()-b.outstanding)
}

// release ends the holds whose time has passed.
func (b *bucket) release(now time.Time) {
	kept := b.holds[:0]
	for _, h := range b.holds {
		if now.Before(h.until) {
			kept = append(kept, h)
			continue
		}
		b.outstanding -= h.amount
	}
	b.holds = kept
}

// Reserve takes a cost from the bucket. With ErrShort it returns what is
// missing, which peers may give.
func (l *Limiter) Reserve(now time.Time, workspace string, cost float64) (Reservation, float64, error) {
	b, known := l.buckets[workspace]
	if !known {
		return Reservation{}, cost, ErrShort
	}
	l.fill(b, now)
	b.note(now, cost)
	if b.current.BurstTokens() < cost {
		return Reservation{}, 0, ErrTooLarge
	}
	if b.tokens < cost {
		return Reservation{}, cost - max(b.tokens, 0), ErrShort
	}
	b.take(cost)
	return Reservation{Workspace: workspace, Local: cost}, 0, nil
}

// ReserveWith takes a cost with tokens that peers gave. Asked is when they
// were asked for; what is older than its lifetime is void.
func (l *Limiter) ReserveWith(now, asked time.Time, workspace string, cost, borrowed float64) (Reservation, error) {
	if now.Sub(asked) >= TransferLifetime {
		return Reservation{}, ErrShort
	}
	local := max(cost-borrowed, 0)
	if b, known := l.buckets[workspace]; known && local > 0 {
		l.fill(b, now)
		if b.tokens < local {
			return Reservation{}, ErrShort
		}
		b.take(local)
	} else if local > 0 {
		return Reservation{}, ErrShort
	}
	return Reservation{Workspace: workspace, Local: local, Borrowed: min(borrowed, cost)}, nil
}

// Settle ends a reservation with what was really used. Borrowed tokens are
// used first.
func (l *Limiter) Settle(now time.Time, reservation Reservation, used float64) {
	b, known := l.buckets[reservation.Workspace]
	if !known || reservation.Local == 0 {
		return
	}
	l.fill(b, now)
	spent := min(max(used-reservation.Borrowed, 0), reservation.Local)
	b.outstanding -= reservation.Local
	b.tokens += reservation.Local - spent
	l.fill(b, now)
}

// Give debits tokens for a peer before they are sent. Lost answers lose
// tokens; they never make any.
func (l *Limiter) Give(now time.Time, id uint64, workspace string, want float64) float64 {
	b, known := l.buckets[workspace]
	if !known {
		return 0
	}
	l.fill(b, now)
	amount := math.Floor(min(want, b.tokens))
	if amount <= 0 {
		return 0
	}
	b.take(amount)
	b.holds = append(b.holds, hold{id: id, amount: amount, until: now.Add(transferHold)})
	return amount
}

// Return takes back tokens that a peer did not use, once. The rest of the loan
// was spent there.
func (l *Limiter) Return(now time.Time, id uint64, workspace string, unused float64) {
	b, known := l.buckets[workspace]
	if !known {
		return
	}
	l.fill(b, now)
	for i, h := range b.holds {
		if h.id != id {
			continue
		}
		b.holds = append(b.holds[:i], b.holds[i+1:]...)
		b.outstanding -= h.amount
		b.tokens += min(max(unused, 0), h.amount)
		return
	}
}

func (b *bucket) take(amount float64) {
	b.tokens -= amount
	b.outstanding += amount
}

// note averages what is asked for, in tokens per second.
func (b *bucket) note(now time.Time, cost float64) {
	b.demand = b.demandAt(now) + cost/demandWindow.Seconds()
	b.demanded = now
}

func (b *bucket) demandAt(now time.Time) float64 {
	return b.demand * math.Exp(-now.Sub(b.demanded).Seconds()/demandWindow.Seconds())
}

// Wait returns how long until a cost could be met here alone.
func (l *Limiter) Wait(now time.Time, workspace string, cost float64) time.Duration {
	const unknown = granter.SyncInterval
	b, known := l.buckets[workspace]
	if !known {
		return unknown
	}
	l.fill(b, now)
	amount := b.allowed(l.leaseHolds(now))
	if amount.Rate <= 0 || cost > amount.BurstTokens() {
		return unknown
	}
	return time.Duration((cost - b.tokens) / amount.RateTokens() * float64(time.Second))
}

// Demand returns what each workspace was asked for, in tokens per second.
func (l *Limiter) Demand(now time.Time) map[string]float64 {
	const negligible = 0.1
	demand := map[string]float64{}
	for workspace, b := range l.buckets {
		if rate := b.demandAt(now); rate > negligible {
			demand[workspace] = rate
		}
	}
	return demand
}

// Forget drops the buckets of workspaces that no longer exist, once nothing
// is granted to them any more.
func (l *Limiter) Forget(exists func(workspace string) bool) {
	maps.DeleteFunc(l.buckets, func(workspace string, b *bucket) bool {
		return b.share == granter.Share{} && !exists(workspace)
	})
}
