package placer

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/registrar"
)

// TestServerFailingHalfItsRequestsGetsFewer guards against a server that keeps its
// share of the requests because successes end each run of failures: one server of
// four fails half of its requests for half a minute.
func TestServerFailingHalfItsRequestsGetsFewer(t *testing.T) {
	p := newPlacer(4)
	random := rand.New(rand.NewPCG(7, 7))
	var tries [2]int
	now := start
	for step := range 3000 {
		now = now.Add(10 * time.Millisecond)
		request := shortPromptRequest(now, 100)
		decision := p.Place(now, request)
		outcome := OutcomeAnswered
		if decision.Server.Name == "engines-0" {
			tries[step/1500]++
			if random.IntN(2) == 0 {
				outcome = OutcomeFailed
			}
		}
		p.RecordFirstEvent(now, request.ID)
		p.Finish(now.Add(time.Millisecond), request.ID, outcome)
	}
	assert.Assert(t, tries[0] < 60, "%d of some 375 requests", tries[0])
	assert.Assert(t, tries[1] < 30, "%d of some 375 requests", tries[1])
}

// TestUniformFailuresLeaveServersInUse guards against ejections that take servers
// away although all are alike: one answer in four is a failure on every server.
func TestUniformFailuresLeaveServersInUse(t *testing.T) {
	p := newPlacer(4)
	random := rand.New(rand.NewPCG(3, 3))
	now, ejected := start, 0
	for range 3000 {
		now = now.Add(10 * time.Millisecond)
		request := shortPromptRequest(now, 100)
		if p.Place(now, request).Server == nil {
			t.Fatal("no usable server is left")
		}
		outcome := OutcomeAnswered
		if random.IntN(4) == 0 {
			outcome = OutcomeFailed
		}
		p.Finish(now, request.ID, outcome)
		for _, condition := range p.ServerConditions(now) {
			if condition == "ejected" {
				ejected++
			}
		}
	}
	assert.Assert(t, ejected < 3000*4/5, "%d of %d", ejected, 3000*4)
}

// TestUnreachableServerReplacesFailingOne has one of two servers break off its answers and
// the other accept no connections. Only so many servers may be ejected, and the one that
// still answers some requests must not be, while all go to the one that answers none.
func TestUnreachableServerReplacesFailingOne(t *testing.T) {
	p := newPlacer(2)
	failing, unreachable := engineServer(0).Name, engineServer(1).Name
	now, placed := start, map[string]int{}
	for range 300 {
		now = now.Add(20 * time.Millisecond)
		request := sharedPromptRequest(now, 1)
		decision := p.Place(now, request)
		assert.Assert(t, decision.Server != nil)
		outcome := OutcomeFailed
		if decision.Server.Name == unreachable {
			outcome = OutcomeUnreachable
		}
		placed[decision.Server.Name]++
		p.Finish(now.Add(10*time.Millisecond), request.ID, outcome)
	}
	assert.Assert(t, placed[failing] > 200, "%v", placed)
}

// TestLastServerStaysEjected ejects one of two servers, and takes the other one away. The ejected
// one must serve again: it answers some requests, and no other does.
func TestLastServerStaysEjected(t *testing.T) {
	tests := []struct {
		name string
		take func(p *Placer, now time.Time)
	}{
		{"leaving", func(p *Placer, now time.Time) {
			leaving := engineServer(1)
			leaving.State = registrar.StateLeaving
			p.SetServers(now, newView(engineService()), []registrar.Server{engineServer(0), leaving})
		}},
		{"gone", func(p *Placer, now time.Time) {
			p.SetServers(now, newView(engineService()), []registrar.Server{engineServer(0)})
		}},
		{"failure domain closed", func(p *Placer, now time.Time) {
			other := engineServer(1)
			other.FailureDomain = "closed"
			p.SetClosedDomains(now, []string{"closed"})
			p.SetServers(now, newView(engineService()), []registrar.Server{engineServer(0), other})
		}},
	}
	for _, test := range tests {
		p := newPlacer(2)
		failing, now := engineServer(0).Name, start
		for p.ServerConditions(now)[failing] != "ejected" {
			now = now.Add(20 * time.Millisecond)
			request := shortPromptRequest(now, 100)
			outcome := OutcomeAnswered
			if p.Place(now, request).Server.Name == failing {
				outcome = OutcomeFailed
			}
			p.Finish(now, request.ID, outcome)
		}
		test.take(p, now)
		decision := p.Place(now, shortPromptRequest(now, 100))
		assert.Assert(t, decision.Server != nil && decision.Server.Name == failing, "%s: %+v", test.name, decision)
	}
}
