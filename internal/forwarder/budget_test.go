package forwarder

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRetriesStayWithinTheFleetsBudget lets every request that seven instances
// get fail, and fail again, at changing rates. In no window may the repeats
// exceed the share of the requests in it, or in the one before, and the slack.
func TestRetriesStayWithinTheFleetsBudget(t *testing.T) {
	const (
		instances = 7
		step      = 100 * time.Millisecond
		steps     = 600
	)
	limit := RetryLimit{Share: 0.2, Slack: 54, Window: 10 * time.Second}
	window := int(limit.Window / step)
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 0))
		var fleet [instances]budgets
		requests, repeats := make([]int, steps), make([]int, steps)
		now := time.Unix(1_000_000, 0)
		rate := 0
		for i := range steps {
			if i%40 == 0 {
				rate = random.IntN(40)
			}
			for range rate {
				b := &fleet[random.IntN(instances)]
				b.limit = limit
				b.earn(now, "s", instances)
				requests[i]++
				for range 2 {
					if b.spend(now, "s", instances) {
						repeats[i]++
					}
				}
			}
			now = now.Add(step)
		}
		for i := window; i+window <= steps; i++ {
			asked := max(sum(requests[i:i+window]), sum(requests[i-window:i]), sum(requests[i-window/2:i+window/2]))
			allowed := limit.Share*float64(asked) + limit.Slack
			assert.Assert(t, float64(sum(repeats[i:i+window])) <= allowed, "seed %d, step %d", seed, i)
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

// TestDeadServersStreamsCanAllBeResumed lets one server of an instance that is
// busy die with forty streams.
func TestDeadServersStreamsCanAllBeResumed(t *testing.T) {
	b := budgets{limit: RetryLimit{Share: 0.2, Slack: 54, Window: 10 * time.Second}}
	now := time.Unix(1_000_000, 0)
	for range 400 {
		now = now.Add(25 * time.Millisecond)
		b.earn(now, "s", 7)
	}
	resumed := 0
	for range 40 {
		if b.spend(now, "s", 7) {
			resumed++
		}
	}
	assert.Assert(t, resumed >= 30, "only %d", resumed)
}
