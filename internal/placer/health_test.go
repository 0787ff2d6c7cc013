package placer

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestServerThatFailsHalfOfItsRequestsIsTriedLessAndLess replays a server on which
// every second request fails, beside sound ones, for half a minute.
func TestServerThatFailsHalfOfItsRequestsIsTriedLessAndLess(t *testing.T) {
	p := newPlacer(4)
	random := rand.New(rand.NewPCG(7, 7))
	var tries [2]int
	now := start
	for turn := range 3000 {
		now = now.Add(10 * time.Millisecond)
		request := question(now, 100)
		decision := p.Place(now, request)
		outcome := Answered
		if decision.Server.Name == "engines-0" {
			tries[turn/1500]++
			if random.IntN(2) == 0 {
				outcome = Failed
			}
		}
		p.Began(now, request.ID)
		p.Done(now.Add(time.Millisecond), request.ID, outcome)
	}
	assert.Assert(t, tries[0] < 60, "%d of some 375 requests", tries[0])
	assert.Assert(t, tries[1] < 30, "%d of some 375 requests", tries[1])
}

// TestServiceWhoseAnswersAreOftenFailuresKeepsItsServers replays a service of
// which one answer in four is a failure, on all servers alike.
func TestServiceWhoseAnswersAreOftenFailuresKeepsItsServers(t *testing.T) {
	p := newPlacer(4)
	random := rand.New(rand.NewPCG(3, 3))
	now, out := start, 0
	for range 3000 {
		now = now.Add(10 * time.Millisecond)
		request := question(now, 100)
		if p.Place(now, request).Server == nil {
			t.Fatal("no server is left")
		}
		outcome := Answered
		if random.IntN(4) == 0 {
			outcome = Failed
		}
		p.Done(now, request.ID, outcome)
		for _, condition := range p.Conditions(now) {
			if condition == "ejected" {
				out++
			}
		}
	}
	assert.Assert(t, out < 3000*4/5, "%d of %d", out, 3000*4)
}
