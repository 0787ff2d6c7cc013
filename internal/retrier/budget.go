// Package retrier limits retries by a budget that successful requests replenish,
// so that retries cannot make an overload worse.
package retrier

import (
	"math/rand/v2"
	"time"
)

// Sizes of a budget, in retries.
const (
	// earnedPerSuccess is what one success adds to a budget.
	earnedPerSuccess = 0.1
	// maxBalance is the most that a budget can hold.
	maxBalance = 20.0
	// initialBalance is what a new budget holds.
	initialBalance = 5.0
)

// Limits of the exponential backoff. Its jitter is full: a wait is drawn between 0
// and the current limit.
const (
	baseBackoff = 10 * time.Millisecond
	maxBackoff  = 500 * time.Millisecond
)

// Budget counts the retries that may still be made. It is not safe for concurrent
// use.
type Budget struct {
	balance float64
	random  *rand.Rand
}

// NewBudget returns a budget. The seed is that of its backoff jitter.
func NewBudget(seed uint64) *Budget {
	return &Budget{balance: initialBalance, random: rand.New(rand.NewPCG(seed, 0))}
}

// Earn adds to the budget for a successful request.
func (b *Budget) Earn() {
	b.balance = min(b.balance+earnedPerSuccess, maxBalance)
}

// Spend takes one retry from the budget, and returns how long to wait before it.
// The wait depends on attempt, the number of attempts before the one that failed.
// Spend returns false if the budget does not allow a retry.
func (b *Budget) Spend(attempt int) (time.Duration, bool) {
	if b.balance < 1 {
		return 0, false
	}
	b.balance--
	ceiling := min(baseBackoff<<min(attempt, 10), maxBackoff)
	return time.Duration(b.random.Int64N(int64(ceiling))), true
}
