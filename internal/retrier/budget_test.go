package retrier_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/retrier"
)

// TestRetriesAreAShareOfSuccesses fails everything for long: retries stay
// within what the successes before have earned.
func TestRetriesAreAShareOfSuccesses(t *testing.T) {
	budget := retrier.NewBudget(1)
	for range 100 {
		budget.Earn()
	}
	retries := 0
	for range 1000 {
		if _, ok := budget.Spend(0); ok {
			retries++
		}
	}
	assert.Assert(t, retries >= 10 && retries <= 20, "%d retries", retries)
	for range 10 {
		budget.Earn()
	}
	_, ok := budget.Spend(0)
	assert.Assert(t, ok)
}

// TestBackoffIsJittered draws waits below a ceiling that doubles.
func TestBackoffIsJittered(t *testing.T) {
	budget := retrier.NewBudget(1)
	seen := map[time.Duration]bool{}
	for attempt := range 5 {
		wait, ok := budget.Spend(attempt)
		assert.Assert(t, ok)
		assert.Assert(t, wait < 10*time.Millisecond<<attempt, "%s at attempt %d", wait, attempt)
		seen[wait] = true
	}
	assert.Assert(t, len(seen) > 3)
}
