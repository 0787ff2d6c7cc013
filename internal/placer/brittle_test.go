package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBrittleServerIsOverfilled guards against servers that end because they must turn too many
// requests away: several instances offer more than all servers have room for.
func TestBrittleServerIsOverfilled(t *testing.T) {
	const instances, slots, refusals = 5, 16, 4
	var placers []*Placer
	for range instances {
		p := newPlacer(2)
		p.RegionInstances = instances
		for _, s := range p.serversByName {
			s.Slots = slots
		}
		placers = append(placers, p)
	}
	running, turnedAway, id := map[string]int{}, map[string]int{}, uint64(0)
	served, refused := 0, 0
	for step := range 200 { // every 10 ms each instance is sent a request that runs on
		now := start.Add(time.Duration(step) * 10 * time.Millisecond)
		if step%100 == 0 {
			turnedAway = map[string]int{}
		}
		for i, p := range placers {
			id++
			request := shortPromptRequest(now, 5)
			request.ID = id
			decision := p.Place(now, request)
			if decision.Server == nil {
				assert.Assert(t, decision.RefusalReason == ReasonOverloaded && decision.RetryAfter > 0, "%+v", decision)
				refused++
				continue
			}
			name := decision.Server.Name
			p.RecordNotice(now, id, Notice{Brittle: refusals})
			if running[name] >= slots {
				turnedAway[name]++
				p.Finish(now, id, OutcomeDeclined)
				assert.Assert(t, turnedAway[name] <= refusals, "%s turned %d requests away in a second", name, turnedAway[name])
				continue
			}
			running[name]++
			served++
			if step%5 == i { // loads are told with a delay
				for _, other := range placers {
					if other != p {
						other.SetPeerLoads(now, p.InstanceName+string(rune('a'+i)), true, p.FullLoads(now))
					}
				}
			}
		}
	}
	assert.Assert(t, served >= slots && refused > 0, "%d served", served)
}

// TestBrittlenessEnds guards against servers that stay half empty after they have stopped
// saying that they are brittle.
func TestBrittlenessEnds(t *testing.T) {
	p := newPlacer(1)
	s := p.serversByName["engines-0"]
	s.Slots = 16
	answer := func(now time.Time, said Notice, outcome Outcome) {
		request := shortPromptRequest(now, 5)
		assert.Assert(t, p.Place(now, request).Server != nil)
		p.RecordNotice(now, request.ID, said)
		p.Finish(now, request.ID, outcome)
	}
	answer(start, Notice{Brittle: 3}, OutcomeDeclined)
	assert.Assert(t, !p.lacksRoom(start, s)) // there was room: it was refused for another reason
	s.peerLoad.Running = int32(s.Slots) - 1
	answer(start, Notice{Brittle: 3}, OutcomeDeclined)
	assert.Assert(t, p.lacksRoom(start, s) && p.ServerConditions(start)["engines-0"] == "ejected")
	now := start.Add(turnedAwayPause + time.Millisecond)
	assert.Assert(t, !p.lacksRoom(now, s))
	s.peerLoad.Running = int32(s.Slots)
	assert.Assert(t, p.lacksRoom(now, s))
	assert.Equal(t, p.Place(now, shortPromptRequest(now, 5)).RefusalReason, ReasonOverloaded)
	s.peerLoad.Running = 0
	answer(now, Notice{Sturdy: true}, OutcomeAnswered)
	s.peerLoad.Running = int32(s.Slots)
	assert.Assert(t, !p.lacksRoom(now, s))
	answer(now, Notice{Brittle: 3}, OutcomeAnswered)
	assert.Assert(t, !p.lacksRoom(now.Add(brittleTTL), s))
}
