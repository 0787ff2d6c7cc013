// Package retrier bounds retries by a budget that successes earn, so that
// retries cannot multiply an overload.
package retrier

import (
	"math/rand/v2"
	"time"
)

// What a budget holds and earns.
const (
	// earned is what one success adds.
	earned = 0.1
	// most is what a budget holds at most.
	most = 20.0
	// first is what a new budget holds.
	first = 5.0
)

// Backoff times, with full jitter.
const (
	baseBackoff = 10 * time.Millisecond
	maxBackoff  = 500 * time.Millisecond
)

// Budget is a store of retries. It is not safe for concurrent use.
type Budget struct {
	held   float64
	random *rand.Rand
}

// NewBudget returns a budget whose jitter is drawn from a seed.
func NewBudget(seed uint64) *Budget {
	return &Budget{held: first, random: rand.New(rand.NewPCG(seed, 0))}
}

// Earn notes a success.
func (b *Budget) Earn() {
	b.held = min(b.held+earned, most)
}

// Spend takes one retry, and returns how long to wait before it. It reports
// false when the budget is used up.
func (b *Budget) Spend(attempt int) (time.Duration, bool) {
	if b.held < 1 {
		return 0, false
	}
	b.held--
	ceiling := min(baseBackoff<<min(attempt, 10), maxBackoff)
	return time.Duration(b.random.Int64N(int64(ceiling))), true
}
