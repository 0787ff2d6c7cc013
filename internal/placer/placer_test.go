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

func engines() *definer.Service {
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

func serverNamed(number int) registrar.Server {
	return registrar.Server{
		Name: fmt.Sprintf("engines-%d", number), Service: "engines", FailureDomain: "n", Slots: 64, Born: 1, Counter: 1,
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number)}), 80),
	}
}

// newPlacer returns a placer that knows some engines.
func newPlacer(count int) *Placer {
	p := &Placer{Self: "a", Region: "north"}
	var servers []registrar.Server
	for i := range count {
		servers = append(servers, serverNamed(i))
	}
	p.Learn(start, newView(engines()), servers)
	return p
}

var lastID uint64

// draft is a request with a long prompt of which most is shared with others on
// the same subject.
func draft(now time.Time, subject uint64) Request {
	lastID++
	return Request{
		ID: lastID, Service: engines(), Urgency: 1, Objective: now.Add(time.Second), Deadline: now.Add(5 * time.Second),
		Work: Work{
			Prompt: 9000, Output: 205, Expected: 50,
			Parts: []Part{{ID: 1, Tokens: 2500}, {ID: 1000 + subject, Tokens: 3700}, {ID: 1<<40 + lastID, Tokens: 2800}},
		},
	}
}

// question is a request with a short prompt and an answer of a length.
func question(now time.Time, output int64) Request {
	lastID++
	return Request{
		ID: lastID, Service: engines(), Objective: now.Add(800 * time.Millisecond), Deadline: now.Add(15 * time.Second),
		Work: Work{Prompt: 800, Output: 955, Expected: output, Parts: []Part{{ID: 7, Tokens: 130}, {ID: 1<<41 + lastID, Tokens: 670}}},
	}
}

func TestPromptsStayWhereTheyAreKept(t *testing.T) {
	p := newPlacer(5)
	now := start
	for subject := range uint64(20) {
		first := p.Place(now, draft(now, subject))
		assert.Assert(t, first.Server != nil)
		for range 3 {
			now = now.Add(time.Second)
			p.servers = drained(p)
			next := p.Place(now, draft(now, subject))
			assert.Equal(t, next.Server.Name, first.Server.Name)
			assert.Equal(t, next.Cached, int64(6200))
		}
	}
}

// drained ends all work, so that only what is kept decides.
func drained(p *Placer) map[string]*server {
	for _, s := range p.servers {
		s.own = Load{}
	}
	clear(p.running)
	return p.servers
}

// TestPromptsAreCopiedWhenTheirKeeperIsBusy lets a subject's keeper fill up.
func TestPromptsAreCopiedWhenTheirKeeperIsBusy(t *testing.T) {
	p := newPlacer(3)
	first := p.Place(start, draft(start, 4))
	for range 30 {
		next := p.Place(start, draft(start, 4))
		if next.Server == nil || next.Server.Name != first.Server.Name {
			assert.Assert(t, next.Source != nil, "read again elsewhere")
			assert.Equal(t, next.Source.Name, first.Server.Name)
			return
		}
	}
	t.Fatal("all went to one server")
}

// TestOverloadIsTurnedAwayAtOnce replays a burst of four times what the engines
// of a region can read, and checks that what is taken stays within its
// objective by prediction, that the rest is told when to come back, and that
// urgent work is served more than the other.
func TestOverloadIsTurnedAwayAtOnce(t *testing.T) {
	p := newPlacer(4)
	random := rand.New(rand.NewPCG(1, 0))
	now := start
	var taken, refused [2]int
	type ending struct {
		id        uint64
		first, at time.Time
	}
	var running []ending
	for range 4000 {
		now = now.Add(time.Millisecond)
		kept := running[:0]
		for _, e := range running {
			if now.After(e.first) {
				p.Began(e.first, e.id)
			}
			if now.After(e.at) {
				p.Done(now, e.id, Answered)
				continue
			}
			kept = append(kept, e)
		}
		running = kept
		if random.IntN(4) != 0 {
			continue
		}
		request, urgent := draft(now, uint64(random.IntN(140))), 0
		if random.IntN(2) == 0 {
			request, urgent = question(now, 200), 1
		}
		decision := p.Place(now, request)
		if decision.Server == nil {
			refused[urgent]++
			assert.Equal(t, decision.Refused, ReasonOverloaded)
			assert.Assert(t, decision.RetryAfter >= shortestRetry)
			continue
		}
		taken[urgent]++
		assert.Assert(t, decision.Wait <= time.Duration(1.1*float64(request.Objective.Sub(now))), "taken with a wait of %s", decision.Wait)
		running = append(running, ending{request.ID, now.Add(decision.Wait), now.Add(max(decision.End, decision.Wait))})
	}
	assert.Assert(t, refused[0] > 0, "the burst is not an overload")
	share := func(i int) float64 { return float64(taken[i]) / float64(taken[i]+refused[i]) }
	assert.Assert(t, share(1) > share(0), "urgent %.2f, other %.2f", share(1), share(0))
}

// TestLongAnswersAreNotStartedInVain fills the slots of all engines: an answer
// that could not end before its deadline is refused, a short one is not.
func TestLongAnswersAreNotStartedInVain(t *testing.T) {
	p := newPlacer(2)
	for _, s := range p.servers {
		s.others = Load{Running: 55, Pace: 20000}
	}
	decision := p.Place(start, question(start, 955))
	assert.Equal(t, decision.Refused, ReasonOverloaded)
	decision = p.Place(start, question(start, 40))
	assert.Assert(t, decision.Server != nil)
}

// TestLongPromptOfItsOwnIsAnswered gives an idle engine a prompt that takes
// longer than the objective.
func TestLongPromptOfItsOwnIsAnswered(t *testing.T) {
	p := newPlacer(1)
	request := draft(start, 1)
	request.Work.Prompt = 39_000
	request.Work.Parts[2].Tokens = 32_800
	assert.Assert(t, p.Place(start, request).Server != nil)
}

// TestOverflowLeavesTheRegion fills this region while another is idle.
func TestOverflowLeavesTheRegion(t *testing.T) {
	p := newPlacer(1)
	p.HearRegion(start, "south", map[string]Summary{"engines": {Servers: 4, Wait: 30 * time.Millisecond}})
	assert.Assert(t, p.Place(start, draft(start, 1)).Server != nil, "what is in time here stays")
	for range 40 {
		decision := p.Place(start, draft(start, 2))
		if decision.Region == "south" {
			bound := draft(start, 3)
			bound.Homes, bound.Bound = []string{"north"}, true
			assert.Equal(t, p.Place(start, bound).Region, "", "bound work left its home")
			return
		}
	}
	t.Fatal("nothing left the region")
}

func TestBoundWorkStaysAtHome(t *testing.T) {
	p := newPlacer(1)
	p.HearRegion(start, "south", map[string]Summary{"engines": {Servers: 4}})
	p.HearRegion(start, "west", map[string]Summary{"engines": {Servers: 4}})
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
		request := draft(start, 1)
		request.Homes, request.Bound, request.Local = test.homes, true, test.local
		decision := p.Place(start, request)
		assert.Assert(t, decision.Server == nil)
		assert.Equal(t, decision.Region, test.region)
		assert.Equal(t, decision.Refused, test.reason)
	}
}

// TestColdServersAreWarmedByOneInstance offers load at three instances of a
// region: together they stay within the rate that the server bears.
func TestColdServersAreWarmedByOneInstance(t *testing.T) {
	cold := serverNamed(1)
	cold.Warmup = 10 * time.Second
	var fleet []*Placer
	for _, name := range []string{"a", "b", "c"} {
		p := &Placer{Self: name, Region: "north", FailureDomain: "n"}
		p.Learn(start, newView(engines()), []registrar.Server{cold})
		fleet = append(fleet, p)
	}
	sent := 0
	for i := range 200 {
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		for _, p := range fleet {
			for _, other := range fleet {
				if other != p {
					p.HearLoads(now, other.Self, true, nil)
				}
			}
		}
		if fleet[i%3].Place(now, question(now, 10)).Server != nil {
			sent++
		}
	}
	assert.Assert(t, sent >= 2 && sent <= 4, "%d requests in two seconds", sent)
}

func TestFailingServersAreSetAside(t *testing.T) {
	p := newPlacer(4)
	now := start
	for range 10 {
		request := question(now, 10)
		request.Tried = []string{"engines-1", "engines-2", "engines-3"}
		decision := p.Place(now, request)
		if decision.Server == nil {
			break
		}
		p.Done(now, request.ID, Failed)
	}
	assert.Equal(t, p.Conditions(now)["engines-0"], "ejected")
	now = now.Add(longestEject)
	assert.Equal(t, p.Conditions(now)["engines-0"], "ready")
	only := newPlacer(1)
	for range 10 {
		request := question(now, 10)
		only.Place(now, request)
		only.Done(now, request.ID, Failed)
	}
	assert.Equal(t, only.Conditions(now)["engines-0"], "ready", "the last server was set aside")
}

func TestClosedDomainsGetNothing(t *testing.T) {
	p := newPlacer(2)
	p.Close(start, []string{"n"})
	assert.Equal(t, p.Place(start, question(start, 10)).Refused, ReasonNoServer)
	p.Close(start, nil)
	p.Learn(start, newView(engines()), []registrar.Server{serverNamed(0), serverNamed(1)})
	assert.Equal(t, p.Conditions(start)["engines-0"], "cold", "a domain that opens again counts as cold")
}

// TestWorkIsAccountedFor places and ends work at random and checks that nothing
// is left.
func TestWorkIsAccountedFor(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 0))
		p := newPlacer(3)
		var open []uint64
		now := start
		for range 500 {
			now = now.Add(5 * time.Millisecond)
			if random.IntN(2) == 0 || len(open) == 0 {
				request := draft(now, uint64(random.IntN(9)))
				if p.Place(now, request).Server != nil {
					open = append(open, request.ID)
				}
				continue
			}
			i := random.IntN(len(open))
			if random.IntN(2) == 0 {
				p.Began(now, open[i])
			}
			p.Done(now, open[i], Outcome(random.IntN(5)))
			open = append(open[:i], open[i+1:]...)
		}
		for _, id := range open {
			p.Done(now, id, Answered)
		}
		for name, s := range p.servers {
			assert.Equal(t, s.own, Load{}, "%s", name)
		}
	}
}

// TestCrowdsPredictQueuesFromRates gives a server a steady rate of prompts from
// many instances, none of which is waiting at the moment of the report.
func TestCrowdsPredictQueuesFromRates(t *testing.T) {
	for _, crowd := range []int{3, 24} {
		p := &Placer{Self: "a", Region: "north", Crowd: crowd}
		p.Learn(start, newView(engines()), []registrar.Server{serverNamed(0)})
		p.servers["engines-0"].others = Load{Running: 20, Pace: int64(0.9 * readTokens * 1000)}
		wait := p.Place(start, question(start, 10)).Wait
		assert.Equal(t, wait > 300*time.Millisecond, crowd > 3, "crowd of %d: %s", crowd, wait)
	}
}

// TestOnlyKnownReadingsCountAsKept replays the first requests about a subject:
// nobody has read its shared parts, so the prediction holds the whole prompt,
// and the server that hashing gives the subject reads it.
func TestOnlyKnownReadingsCountAsKept(t *testing.T) {
	p := newPlacer(6)
	request := draft(start, 31)
	home := p.affine(start, request).Name
	first := p.Place(start, request)
	assert.Equal(t, first.Cached, int64(0))
	assert.Equal(t, first.Server.Name, home)
	p.Began(start, request.ID)
	p.Done(start, request.ID, Answered)
	second := p.Place(start, draft(start, 31))
	assert.Assert(t, second.Cached > 0)
	assert.Assert(t, second.Wait < first.Wait/2, "%v and %v", second.Wait, first.Wait)
}

// TestQuietServerTakesWhatNoOtherCan lets the quiet server, with more running than
// it takes of new short answers, be the best or the last one that is left.
func TestQuietServerTakesWhatNoOtherCan(t *testing.T) {
	cases := []struct {
		name    string
		started bool
		others  Load
		alone   bool
		quiet   bool
	}{
		{"new, with others", false, Load{Running: 60}, false, false},
		{"new, alone", false, Load{}, true, true},
		{"resumed, with busier others", true, Load{Running: 60, Prefill: 100_000}, false, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newPlacer(4)
			request := question(start, 400)
			request.Started = c.started
			quiet := p.quiet(start, request.Service)
			for name, s := range p.servers {
				s.others = c.others
				if c.alone && name != quiet.Name {
					request.Tried = append(request.Tried, name)
				}
			}
			quiet.others = Load{Running: quietRunning + 5}
			decision := p.Place(start, request)
			assert.Assert(t, decision.Server != nil, "%s", decision.Refused)
			assert.Equal(t, decision.Server.Name == quiet.Name, c.quiet)
		})
	}
}
