package throttler

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLargeLimitEndsInstances has a server name the largest and the smallest limits that a
// number can have. An answer of one server, passed on in beacons, ended all instances of a
// region.
func TestLargeLimitEndsInstances(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	server := Server{Name: "s", StartedAtMillis: 1}
	silence := map[string]time.Duration{"a": 0, "b": 0, "c": 0, "d": 0, "e": 0}
	for _, rate := range []float64{0, math.SmallestNonzeroFloat64, 1, math.MaxInt64, 1e19, 1e300, math.MaxFloat64} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			first, second := &Throttler{Self: "a"}, &Throttler{Self: "b"}
			for _, throttler := range []*Throttler{first, second} {
				throttler.SetMembers(now, silence, len(silence), true)
			}
			assert.Assert(t, first.Observe(now, server, Observation{Rate: rate, Limited: true, SentAt: now, ArrivedAt: now}))
			assert.Assert(t, second.Record(now, first.Reports(now, time.Time{})))
			for _, throttler := range []*Throttler{first, second} {
				_ = throttler.MaySend(now.Add(time.Second), server, true)
				wait := throttler.ReturnAfter(now, "service", []Server{server})
				assert.Assert(t, wait >= minReturn && wait <= maxReturn, "callers come back after %v", wait)
				holders := len(throttler.limits[server].holders)
				assert.Assert(t, holders >= minHolders && holders <= len(silence), "%d holders", holders)
			}
		})
	}
}

// TestImpossibleLimitIsNotTakenOver has another instance report limits that are no rates,
// beside one that is.
func TestImpossibleLimitIsNotTakenOver(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	throttler := &Throttler{Self: "a"}
	throttler.SetMembers(now, map[string]time.Duration{"b": 0}, 2, true)
	var reports []Report
	for i, rate := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 4} {
		reports = append(reports, Report{Server: fmt.Sprint("server-", i), Rate: &rate})
	}
	assert.Assert(t, throttler.Record(now, reports))
	assert.Equal(t, len(throttler.limits), 1)
	rate, limited := throttler.Limit(Server{Name: "server-4"})
	assert.Assert(t, limited)
	assert.Equal(t, rate, 4.0)
}
