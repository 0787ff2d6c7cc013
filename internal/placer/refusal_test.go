package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRetryAfterFollowsOverload refuses urgent prompts for two seconds. It guards against
// callers that are sent back into an overload that has lasted for long, and that are all
// sent back in one moment; and against an overload that counts after it has ended.
func TestRetryAfterFollowsOverload(t *testing.T) {
	p := newPlacer(1)
	request := func(now time.Time, urgency int, objective time.Duration) Request {
		next := sharedPromptRequest(now, 1)
		next.Urgency, next.RouteObjective, next.Objective = urgency, objective, now.Add(objective)
		return next
	}
	refuse := func(now time.Time) Decision {
		p.serversByName["engines-0"].ownLoad = Load{PrefillTokens: 1 << 20}
		p.Place(now, request(now, 0, 500*time.Millisecond))
		decision := p.Place(now, request(now, 2, 1200*time.Millisecond))
		assert.Equal(t, decision.RefusalReason, ReasonOverloaded)
		return decision
	}
	p.serversByName["engines-0"].latencyRatio = 0.01 // the excess itself is short
	now := start
	var last []time.Duration
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		last = append(last, refuse(now).RetryAfter)
	}
	for _, wait := range last[180:] {
		assert.Assert(t, wait > time.Second && wait < 3*time.Second, "%v after two seconds", wait)
	}
	distinct := map[time.Duration]bool{}
	for range 20 {
		distinct[refuse(now).RetryAfter] = true
	}
	assert.Assert(t, len(distinct) > 10, "callers that are refused in one moment come back in %d", len(distinct))
	assert.Assert(t, refuse(now.Add(5*time.Second)).RetryAfter < time.Second)
}

// TestOnlyHeldBackRequestsMayWait guards against urgent requests, and those that another
// region relayed, that wait although nothing is kept free by their wait.
func TestOnlyHeldBackRequestsMayWait(t *testing.T) {
	cases := []struct {
		name      string
		urgency   int
		objective time.Duration
		relayed   bool
		mayWait   bool
	}{
		{"held back", 2, 1200 * time.Millisecond, false, true},
		{"held back and relayed", 2, 1200 * time.Millisecond, true, false},
		{"urgent", 0, 500 * time.Millisecond, false, false},
		{"similar objective", 1, 600 * time.Millisecond, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newPlacer(1)
			urgent := shortPromptRequest(start, 100)
			urgent.RouteObjective = 500 * time.Millisecond
			p.Place(start, urgent)
			p.serversByName["engines-0"].ownLoad.PrefillTokens = 1 << 20
			request := sharedPromptRequest(start, 1)
			request.Urgency, request.RouteObjective, request.Objective, request.LocalOnly = c.urgency, c.objective, start.Add(c.objective), c.relayed
			decision := p.Place(start, request)
			assert.Equal(t, decision.RefusalReason, ReasonOverloaded)
			assert.Equal(t, !decision.WaitUntil.IsZero(), c.mayWait)
		})
	}
}
