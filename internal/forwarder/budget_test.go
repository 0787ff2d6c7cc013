package forwarder

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRetriesStayWithinFleetBudget simulates seven instances, at changing request
// rates, with two retries wanted for every request. In no window may the retries
// exceed the share of the requests in it, or in the window before, plus the slack.
func TestRetriesStayWithinFleetBudget(t *testing.T) {
	const (
		instances = 7
		step      = 100 * time.Millisecond
		steps     = 600
	)
	limit := RetryLimit{Share: 0.2, Slack: 54, Window: 10 * time.Second}
	stepsPerWindow := int(limit.Window / step)
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 0))
		var fleet [instances]serviceBudgets
		requests, retries := make([]int, steps), make([]int, steps)
		now := time.Unix(1_000_000, 0)
		rate := 0
		for i := range steps {
			if i%40 == 0 {
				rate = random.IntN(40)
			}
			for range rate {
				b := &fleet[random.IntN(instances)]
				b.limit = limit
				b.deposit(now, "s", instances)
				requests[i]++
				for range 2 {
					if b.tryWithdraw(now, "s", instances) {
						retries[i]++
					}
				}
			}
			now = now.Add(step)
		}
		for i := stepsPerWindow; i+stepsPerWindow <= steps; i++ {
			asked := max(sum(requests[i:i+stepsPerWindow]), sum(requests[i-stepsPerWindow:i]), sum(requests[i-stepsPerWindow/2:i+stepsPerWindow/2]))
			allowed := limit.Share*float64(asked) + limit.Slack
			assert.Assert(t, float64(sum(retries[i:i+stepsPerWindow])) <= allowed, "seed %d, step %d", seed, i)
		}
	}
}

func sum(counts []int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}

// TestStreamsOfFailedServerCanBeResumed simulates the failure of a server with
// forty streams at an instance under steady load.
func TestStreamsOfFailedServerCanBeResumed(t *testing.T) {
	b := serviceBudgets{limit: RetryLimit{Share: 0.2, Slack: 54, Window: 10 * time.Second}}
	now := time.Unix(1_000_000, 0)
	for range 400 {
		now = now.Add(25 * time.Millisecond)
		b.deposit(now, "s", 7)
	}
	resumed := 0
	for range 40 {
		if b.tryWithdraw(now, "s", 7) {
			resumed++
		}
	}
	assert.Assert(t, resumed >= 30, "only %d", resumed)
}
