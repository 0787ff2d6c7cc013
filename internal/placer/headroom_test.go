package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLongPromptsLeaveHeadroomForUrgentOnes offers long, less urgent prompts to two
// engines until they are refused, and then one short, urgent prompt. It guards against
// servers that are filled up to the long prompts' own objective, so that no urgent
// request meets its shorter one; and against prompts held back for kinds that have
// a similar objective, are less urgent or are no longer seen.
func TestLongPromptsLeaveHeadroomForUrgentOnes(t *testing.T) {
	cases := []struct {
		name              string
		urgentObjective   time.Duration
		urgency           int
		seenBefore        time.Duration
		wantsHeldBack     bool
		wantsUrgentPlaced bool
	}{
		{"much shorter objective", 500 * time.Millisecond, 0, time.Second, true, true},
		{"similar objective", 1000 * time.Millisecond, 0, time.Second, false, true},
		{"less urgent", 500 * time.Millisecond, 5, time.Second, false, false},
		{"no longer seen", 500 * time.Millisecond, 0, kindTTL + time.Second, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newPlacer(2)
			now := start.Add(time.Minute)
			urgent := func(at time.Time) Request {
				request := shortPromptRequest(at, 300)
				request.RouteObjective, request.Objective = c.urgentObjective, at.Add(c.urgentObjective)
				request.Urgency = c.urgency
				return request
			}
			seen := urgent(now.Add(-c.seenBefore))
			p.Place(now.Add(-c.seenBefore), seen)
			p.Finish(now.Add(-c.seenBefore), seen.ID, OutcomeAnswered)
			placed := 0
			for subject := range uint64(100) {
				request := sharedPromptRequest(now, subject)
				request.RouteObjective, request.Objective, request.Urgency = 1200*time.Millisecond, now.Add(1200*time.Millisecond), 2
				if p.Place(now, request).Server == nil {
					break
				}
				placed++
			}
			assert.Assert(t, placed >= 2, "idle servers refuse long prompts")
			assert.Equal(t, placed < 4, c.wantsHeldBack, "%d long prompts were placed", placed)
			decision := p.Place(now, urgent(now))
			assert.Equal(t, decision.Server != nil, c.wantsUrgentPlaced, "%+v", decision)
		})
	}
}

// TestHeldBackPromptGoesToRegionWithHeadroom guards against less urgent prompts that
// are refused while another region would take them: the wait here is short, but
// the queue leaves no headroom.
func TestHeldBackPromptGoesToRegionWithHeadroom(t *testing.T) {
	p := newPlacer(1)
	chat := shortPromptRequest(start, 300)
	chat.RouteObjective = 500 * time.Millisecond
	p.Place(start, chat)
	digest := func() Request {
		request := sharedPromptRequest(start, 1)
		request.RouteObjective, request.Objective, request.Urgency = 1200*time.Millisecond, start.Add(1200*time.Millisecond), 2
		return request
	}
	p.SetRegionServices(start, "south", map[string]ServiceSummary{"engines": {Servers: 5, MinWait: 30 * time.Millisecond}})
	assert.Assert(t, p.Place(start, digest()).Server != nil)
	assert.Equal(t, p.Place(start, digest()).Region, "south")
	p.SetRegionServices(start, "south", map[string]ServiceSummary{"engines": {Servers: 5, MinWait: 400 * time.Millisecond}})
	assert.Equal(t, p.Place(start, digest()).RefusalReason, ReasonOverloaded)
}
