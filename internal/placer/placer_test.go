package placer

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/registrar"
)

var start = time.Unix(1_000_000, 0)

func engineService() *definer.Service {
	return &definer.Service{
		Name: "engines", Warmup: 3 * time.Second, WarmupRate: 1.7,
		Engine: &definer.Engine{Slots: 64, Memory: 240_000, EventTokens: 5, Moves: true},
	}
}

func newView(services ...*definer.Service) *definer.View {
	var d definer.Definition
	for _, service := range services {
		d.Services = append(d.Services, *service)
	}
	return definer.NewView(d)
}

func engineServer(number int) registrar.Server {
	return registrar.Server{
		Name: fmt.Sprintf("engines-%d", number), Service: "engines", FailureDomain: "n", Slots: 64, StartedAtMillis: 1, Counter: 1,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number)}), 80),
	}
}

// newPlacer returns a placer that knows a number of engines.
func newPlacer(count int) *Placer {
	p := &Placer{InstanceName: "a", Region: "north"}
	var servers []registrar.Server
	for i := range count {
		servers = append(servers, engineServer(i))
	}
	p.SetServers(start, newView(engineService()), servers)
	return p
}

var lastID uint64

// sharedPromptRequest returns a request with a long prompt, most of which it
// shares with other requests on the same subject.
func sharedPromptRequest(now time.Time, subject uint64) Request {
	lastID++
	return Request{
		ID: lastID, Service: engineService(), Urgency: 1, Objective: now.Add(time.Second), Deadline: now.Add(5 * time.Second),
		Work: Work{
			Prompt: 9000, Output: 205, Expected: 50,
			Parts: []PromptPart{{ID: 1, Tokens: 2500}, {ID: 1000 + subject, Tokens: 3700}, {ID: 1<<40 + lastID, Tokens: 2800}},
		},
	}
}

// shortPromptRequest returns a request with a short prompt and an expected output
// of some tokens.
func shortPromptRequest(now time.Time, output int64) Request {
	lastID++
	return Request{
		ID: lastID, Service: engineService(), Objective: now.Add(800 * time.Millisecond), Deadline: now.Add(15 * time.Second),
		Work: Work{Prompt: 800, Output: 955, Expected: output, Parts: []PromptPart{{ID: 7, Tokens: 130}, {ID: 1<<41 + lastID, Tokens: 670}}},
	}
}

// TestPlacePrefersServerWithCachedPrompt guards against prompts that are prefilled
// again on another server: requests on one subject stay on one idle server.
func TestPlacePrefersServerWithCachedPrompt(t *testing.T) {
	p := newPlacer(5)
	now := start
	for subject := range uint64(20) {
		first := p.Place(now, sharedPromptRequest(now, subject))
		assert.Assert(t, first.Server != nil)
		for range 3 {
			now = now.Add(time.Second)
			p.serversByName = clearLoads(p)
			next := p.Place(now, sharedPromptRequest(now, subject))
			assert.Equal(t, next.Server.Name, first.Server.Name)
			assert.Equal(t, next.CachedTokens, int64(6200))
		}
	}
}

// clearLoads ends all running requests, so that only the caches affect placements.
func clearLoads(p *Placer) map[string]*server {
	for _, s := range p.serversByName {
		s.ownLoad = Load{}
	}
	clear(p.placementsByID)
	return p.serversByName
}

// TestPlaceCopiesPromptFromBusyServer fills up the server that has a subject cached
// until the next request goes elsewhere. That server must copy the cached part.
func TestPlaceCopiesPromptFromBusyServer(t *testing.T) {
	p := newPlacer(3)
	first := p.Place(start, sharedPromptRequest(start, 4))
	for range 30 {
		next := p.Place(start, sharedPromptRequest(start, 4))
		if next.Server == nil || next.Server.Name != first.Server.Name {
			assert.Assert(t, next.CopySource != nil, "the prompt is prefilled again on another server")
			assert.Equal(t, next.CopySource.Name, first.Server.Name)
			return
		}
	}
	t.Fatal("all requests went to one server")
}

// TestPlaceRefusesOverload offers four times the prompts that the engines of a
// region can prefill. The predicted wait of accepted requests must be at most 1.1
// times the time to their objective, the others must be refused with a time to
// retry, and urgent requests must be accepted more often than others.
func TestPlaceRefusesOverload(t *testing.T) {
	p := newPlacer(4)
	random := rand.New(rand.NewPCG(1, 0))
	now := start
	var accepted, refused [2]int
	type runningRequest struct {
		id              uint64
		firstEvent, end time.Time
	}
	var running []runningRequest
	for range 4000 {
		now = now.Add(time.Millisecond)
		remaining := running[:0]
		for _, r := range running {
			if now.After(r.firstEvent) {
				p.RecordFirstEvent(r.firstEvent, r.id)
			}
			if now.After(r.end) {
				p.Finish(now, r.id, OutcomeAnswered)
				continue
			}
			remaining = append(remaining, r)
		}
		running = remaining
		if random.IntN(4) != 0 {
			continue
		}
		request, urgent := sharedPromptRequest(now, uint64(random.IntN(140))), 0
		if random.IntN(2) == 0 {
			request, urgent = shortPromptRequest(now, 200), 1
		}
		decision := p.Place(now, request)
		if decision.Server == nil {
			refused[urgent]++
			assert.Equal(t, decision.RefusalReason, ReasonOverloaded)
			assert.Assert(t, decision.RetryAfter >= minRetryAfter)
			continue
		}
		accepted[urgent]++
		assert.Assert(t, decision.PredictedWait <= time.Duration(1.1*float64(request.Objective.Sub(now))), "accepted with a wait of %s", decision.PredictedWait)
		running = append(running, runningRequest{request.ID, now.Add(decision.PredictedWait), now.Add(max(decision.PredictedDuration, decision.PredictedWait))})
	}
	assert.Assert(t, refused[0] > 0, "the burst caused no overload")
	share := func(i int) float64 { return float64(accepted[i]) / float64(accepted[i]+refused[i]) }
	assert.Assert(t, share(1) > share(0), "urgent %.2f, other %.2f", share(1), share(0))
}

// TestPlaceRefusesOutputThatMissesDeadline loads all engines heavily: a request whose
// output cannot end before its deadline is refused, one with a short output is not.
func TestPlaceRefusesOutputThatMissesDeadline(t *testing.T) {
	p := newPlacer(2)
	for _, s := range p.serversByName {
		s.peerLoad = Load{Running: 55, PrefillRate: 20000}
	}
	decision := p.Place(start, shortPromptRequest(start, 955))
	assert.Equal(t, decision.RefusalReason, ReasonOverloaded)
	decision = p.Place(start, shortPromptRequest(start, 40))
	assert.Assert(t, decision.Server != nil)
}

// TestPlaceAcceptsLongPromptOnIdleServer guards against the refusal of a prompt
// whose prefill alone takes longer than its objective: it is accepted by an idle
// engine.
func TestPlaceAcceptsLongPromptOnIdleServer(t *testing.T) {
	p := newPlacer(1)
	request := sharedPromptRequest(start, 1)
	request.Work.Prompt = 39_000
	request.Work.Parts[2].Tokens = 32_800
	assert.Assert(t, p.Place(start, request).Server != nil)
}

// TestPlaceOverflowsToAnotherRegion loads this region while another one is idle.
// Requests that are bound to this region must not leave it.
func TestPlaceOverflowsToAnotherRegion(t *testing.T) {
	p := newPlacer(1)
	p.SetRegionServices(start, "south", map[string]ServiceSummary{"engines": {Servers: 4, MinWait: 30 * time.Millisecond}})
	assert.Assert(t, p.Place(start, sharedPromptRequest(start, 1)).Server != nil, "a request that meets its objective in this region was not placed here")
	for range 40 {
		decision := p.Place(start, sharedPromptRequest(start, 2))
		if decision.Region == "south" {
			bound := sharedPromptRequest(start, 3)
			bound.HomeRegions, bound.HomeRegionsOnly = []string{"north"}, true
			assert.Equal(t, p.Place(start, bound).Region, "", "a request bound to this region left it")
			return
		}
	}
	t.Fatal("no request left the region")
}

func TestPlaceHonorsHomeRegions(t *testing.T) {
	p := newPlacer(1)
	p.SetRegionServices(start, "south", map[string]ServiceSummary{"engines": {Servers: 4}})
	p.SetRegionServices(start, "west", map[string]ServiceSummary{"engines": {Servers: 4}})
	tests := []struct {
		homes  []string
		local  bool
		region string
		reason Reason
	}{
		{[]string{"west"}, false, "west", ""},
		{[]string{"east"}, false, "", ReasonNoServer},
		{nil, false, "", ReasonNoServer},
		{[]string{"west"}, true, "", ReasonNoServer},
	}
	for _, test := range tests {
		request := sharedPromptRequest(start, 1)
		request.HomeRegions, request.HomeRegionsOnly, request.LocalOnly = test.homes, true, test.local
		decision := p.Place(start, request)
		assert.Assert(t, decision.Server == nil)
		assert.Equal(t, decision.Region, test.region)
		assert.Equal(t, decision.RefusalReason, test.reason)
	}
}

// TestColdServerIsWarmedUpByOneInstance offers requests at three instances of a
// region: together they stay within the warm-up rate of the cold server.
func TestColdServerIsWarmedUpByOneInstance(t *testing.T) {
	cold := engineServer(1)
	cold.Warmup = 10 * time.Second
	var placers []*Placer
	for _, name := range []string{"a", "b", "c"} {
		p := &Placer{InstanceName: name, Region: "north", FailureDomain: "n"}
		p.SetServers(start, newView(engineService()), []registrar.Server{cold})
		placers = append(placers, p)
	}
	sent := 0
	for i := range 200 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		for _, p := range placers {
			for _, other := range placers {
				if other != p {
					p.SetPeerLoads(now, other.InstanceName, true, nil)
				}
			}
		}
		if placers[i%3].Place(now, shortPromptRequest(now, 10)).Server != nil {
			sent++
		}
	}
	assert.Assert(t, sent >= 2 && sent <= 4, "%d requests in two seconds", sent)
}

func TestFailingServerIsEjected(t *testing.T) {
	p := newPlacer(4)
	now := start
	for range 10 {
		request := shortPromptRequest(now, 10)
		request.TriedServers = []string{"engines-1", "engines-2", "engines-3"}
		decision := p.Place(now, request)
		if decision.Server == nil {
			break
		}
		p.Finish(now, request.ID, OutcomeFailed)
	}
	assert.Equal(t, p.ServerConditions(now)["engines-0"], "ejected")
	now = now.Add(maxEjectionTime)
	assert.Equal(t, p.ServerConditions(now)["engines-0"], "ready")
	only := newPlacer(1)
	for range 10 {
		request := shortPromptRequest(now, 10)
		only.Place(now, request)
		only.Finish(now, request.ID, OutcomeFailed)
	}
	assert.Equal(t, only.ServerConditions(now)["engines-0"], "ready", "the last server was ejected")
}

func TestClosedDomainGetsNoRequests(t *testing.T) {
	p := newPlacer(2)
	p.SetClosedDomains(start, []string{"n"})
	assert.Equal(t, p.Place(start, shortPromptRequest(start, 10)).RefusalReason, ReasonNoServer)
	p.SetClosedDomains(start, nil)
	p.SetServers(start, newView(engineService()), []registrar.Server{engineServer(0), engineServer(1)})
	assert.Equal(t, p.ServerConditions(start)["engines-0"], "cold", "servers of a reopened domain must count as cold")
}

// TestLoadReturnsToZero places and ends requests at random and checks that no load
// is left when all have ended.
func TestLoadReturnsToZero(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 0))
		p := newPlacer(3)
		var open []uint64
		now := start
		for range 500 {
			now = now.Add(5 * time.Millisecond)
			if random.IntN(2) == 0 || len(open) == 0 {
				request := sharedPromptRequest(now, uint64(random.IntN(9)))
				if p.Place(now, request).Server != nil {
					open = append(open, request.ID)
				}
				continue
			}
			i := random.IntN(len(open))
			if random.IntN(2) == 0 {
				p.RecordFirstEvent(now, open[i])
			}
			p.Finish(now, open[i], Outcome(random.IntN(5)))
			open = append(open[:i], open[i+1:]...)
		}
		for _, id := range open {
			p.Finish(now, id, OutcomeAnswered)
		}
		for name, s := range p.serversByName {
			assert.Equal(t, s.ownLoad, Load{}, "%s", name)
		}
	}
}

// TestQueuePredictedFromRatesWithManyInstances reports a high rate of prompts from
// other instances, but no queued tokens. Only with many instances is a queue
// predicted from the rate.
func TestQueuePredictedFromRatesWithManyInstances(t *testing.T) {
	for _, instances := range []int{3, 24} {
		p := &Placer{InstanceName: "a", Region: "north", RegionInstances: instances}
		p.SetServers(start, newView(engineService()), []registrar.Server{engineServer(0)})
		p.serversByName["engines-0"].peerLoad = Load{Running: 20, PrefillRate: int64(0.9 * prefillTokensPerMs * 1000)}
		wait := p.Place(start, shortPromptRequest(start, 10)).PredictedWait
		assert.Equal(t, wait > 300*time.Millisecond, instances > 3, "%d instances: %s", instances, wait)
	}
}

// TestUnseenPromptIsNotPredictedAsCached places the first requests on a subject.
// No server has its shared parts cached, so the prediction for the first one covers
// the whole prompt, and the server that rendezvous hashing selects gets it.
func TestUnseenPromptIsNotPredictedAsCached(t *testing.T) {
	p := newPlacer(6)
	request := sharedPromptRequest(start, 31)
	target := p.rendezvousServer(start, request).Name
	first := p.Place(start, request)
	assert.Equal(t, first.CachedTokens, int64(0))
	assert.Equal(t, first.Server.Name, target)
	p.RecordFirstEvent(start, request.ID)
	p.Finish(start, request.ID, OutcomeAnswered)
	second := p.Place(start, sharedPromptRequest(start, 31))
	assert.Assert(t, second.CachedTokens > 0)
	assert.Assert(t, second.PredictedWait < first.PredictedWait/2, "%v and %v", second.PredictedWait, first.PredictedWait)
}

// TestReservedServerIsFallback gives the reserved server more running requests than
// it accepts for short outputs. It must still serve a request if it is the only
// server left, or the best one for a resumed stream.
func TestReservedServerIsFallback(t *testing.T) {
	cases := []struct {
		name         string
		started      bool
		othersLoad   Load
		onlyReserved bool
		onReserved   bool
	}{
		{"new, with others", false, Load{Running: 60}, false, false},
		{"new, alone", false, Load{}, true, true},
		{"resumed, with busier others", true, Load{Running: 60, PrefillTokens: 100_000}, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newPlacer(4)
			request := shortPromptRequest(start, 400)
			request.Resuming = c.started
			reserved := p.reservedServers(start, request.Service)[0]
			for name, s := range p.serversByName {
				s.peerLoad = c.othersLoad
				if c.onlyReserved && name != reserved.Name {
					request.TriedServers = append(request.TriedServers, name)
				}
			}
			reserved.peerLoad = Load{Running: reservedMaxRunning + 5}
			decision := p.Place(start, request)
			assert.Assert(t, decision.Server != nil, "%s", decision.RefusalReason)
			assert.Equal(t, decision.Server.Name == reserved.Name, c.onReserved)
		})
	}
}
