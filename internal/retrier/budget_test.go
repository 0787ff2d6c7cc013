package retrier_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/retrier"
)

// TestRetriesStayWithinEarnedBudget checks that a long series of failures gets no
// more retries than the successes before it have earned.
func TestRetriesStayWithinEarnedBudget(t *testing.T) {
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

// TestBackoffIsJittered checks that waits are random and stay below a limit that
// doubles with each attempt.
func TestBackoffIsJittered(t *testing.T) {
	budget := retrier.NewBudget(1)
	waits := map[time.Duration]bool{}
	for attempt := range 5 {
		wait, ok := budget.Spend(attempt)
		assert.Assert(t, ok)
		assert.Assert(t, wait < 10*time.Millisecond<<attempt, "%s at attempt %d", wait, attempt)
		waits[wait] = true
	}
	assert.Assert(t, len(waits) > 3)
}
