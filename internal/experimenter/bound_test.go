package experimenter

import (
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/boragehead/boragehead/internal/emulator"
)

// boundTolerance allows for rounding in sums of worth.
const boundTolerance = 1e-9

// assertBelowBounds fails if a group is worth more than its bound.
func assertBelowBounds(t assert.TestingT, result Result) {
	for _, groups := range [][]GroupResult{result.Kinds, result.Regions, result.Windows} {
		for _, group := range groups {
			assert.Assert(t, group.Worth <= group.Bound+boundTolerance, "%s, %s: worth %.4f, bound %.4f", result.Policy, group.Name, group.Worth, group.Bound)
		}
	}
}

// TestNoPolicyIsAboveTheBoundOfAnExample guards against a bound that takes work into
// account which a policy need not do. Large patterns are cut short and
// have few entry instances, to save time.
func TestNoPolicyIsAboveTheBoundOfAnExample(t *testing.T) {
	files, err := filepath.Glob(examples + "*.yaml")
	assert.NilError(t, err)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			p, err := Load(file)
			assert.NilError(t, err)
			if len(p.Regions) > 1 {
				p.Duration = time.Second
			}
			for i := range p.Regions {
				p.Regions[i].Instances = min(p.Regions[i].Instances, 4)
			}
			results, err := Run(p, Policies(), []uint64{1}, 2)
			assert.NilError(t, err)
			for _, result := range results {
				assertBelowBounds(t, result)
			}
		})
	}
}

// TestNoPolicyIsAboveTheBoundOfRandomPatterns plays small fleets from idle to far
// overloaded, with slowdowns, outages, and kinds that are prefill or decoding alone,
// where a policy comes nearest to the bound.
func TestNoPolicyIsAboveTheBoundOfRandomPatterns(t *testing.T) {
	base := pattern(t, "small")
	rapid.Check(t, func(t *rapid.T) {
		p := base
		p.Duration = time.Duration(rapid.IntRange(1, 5).Draw(t, "seconds")) * time.Second
		p.Engine.Slots = rapid.IntRange(1, 16).Draw(t, "slots")
		p.Engine.PrefillChunk = rapid.Int64Range(100, 2000).Draw(t, "chunk")
		rate := rapid.Float64Range(1, 40).Draw(t, "rate")
		p.Regions = []Region{
			{Name: "north", Engines: rapid.IntRange(1, 3).Draw(t, "engines"), Instances: 1, FailureDomains: 1, Rate: rate},
			{Name: "south", Engines: 1, Instances: 1, FailureDomains: 1, Rate: rate / 4},
		}
		kind := p.Kinds[rapid.IntRange(0, 1).Draw(t, "kind")]
		kind.Deadline = time.Duration(rapid.IntRange(1, 8).Draw(t, "deadline")) * time.Second
		kind.Objective = kind.Deadline / time.Duration(rapid.IntRange(1, 8).Draw(t, "objective"))
		kind.OwnTokens = Distribution{Mean: rapid.Float64Range(1, 4000).Draw(t, "own"), Spread: 0.5, Max: 9000}
		kind.Events = Distribution{Mean: rapid.Float64Range(1, 60).Draw(t, "events"), Spread: 0.5, Max: 90}
		if rapid.Bool().Draw(t, "unshared") {
			kind.SharedLevels = nil
		}
		p.Kinds = []RequestKind{kind}
		if rapid.Bool().Draw(t, "slow") {
			p.Slowdowns = &Slowdowns{Share: 0.5, Factor: 4, Period: 300 * time.Millisecond}
		}
		if rapid.Bool().Draw(t, "outage") {
			p.Outages = []Outage{{Region: "north", Share: 1, At: 500 * time.Millisecond, Duration: time.Second}}
		}
		results, err := Run(p, Policies(), []uint64{rapid.Uint64Range(1, 9).Draw(t, "seed")}, 1)
		assert.NilError(t, err)
		for _, result := range results {
			assertBelowBounds(t, result)
		}
	})
}

// TestBoundIsTheShareThatEnginesCanServe compares the bound to figures that can be
// worked out by hand: ten equal requests come at once, and an engine can prefill or
// decode two of them in the window of their objective and deadline.
func TestBoundIsTheShareThatEnginesCanServe(t *testing.T) {
	prefill := arrival{weight: 1, outputTokens: 1, parts: []emulator.PromptPart{{ID: 1, Tokens: 1000}}}
	decode := arrival{weight: 1, outputTokens: 1000, parts: []emulator.PromptPart{{ID: 1, Tokens: 1}}}
	shared := arrival{weight: 1, outputTokens: 1, parts: []emulator.PromptPart{{ID: 1, Tokens: 10_000}, {ID: 2, Tokens: 1}}}
	north, south := Region{Name: "north", Engines: 1}, Region{Name: "south", Engines: 1}
	cases := []struct {
		name    string
		arrival arrival
		regions []Region
		homes   []string
		want    float64
	}{
		{"prefill", prefill, []Region{north}, nil, 0.2},
		{"prefill in two regions", prefill, []Region{north, south}, nil, 0.4},
		{"prefill at home only", prefill, []Region{north, south}, []string{"south"}, 0.2},
		{"decoding in batches of two", decode, []Region{north}, nil, 0.4},
		{"a shared part that fits in part", shared, []Region{north}, nil, 0.2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := Pattern{
				Duration: time.Second, Regions: c.regions,
				Engine: emulator.Spec{Slots: 2, StepTime: time.Millisecond, PrefillRate: 1e9, PrefillChunk: 1, Memory: 1e6, TokensPerEvent: 5},
				Kinds:  []RequestKind{{Objective: time.Second, Deadline: 1900 * time.Millisecond, MaxGap: time.Second, Worth: 1, HomeRegions: c.homes}},
			}
			var all []arrival
			for range 10 {
				all = append(all, c.arrival)
			}
			m := newBoundModel(p, 1, all)
			best, mix := newPrices(m).search(m.requests)
			assert.Assert(t, best/10 > c.want-0.001 && best/10 < c.want+0.01, "%.4f", best/10)
			assert.Assert(t, sum(mix)/10 > c.want-0.05 && sum(mix)/10 < c.want+0.05, "mix %.4f", sum(mix)/10)
		})
	}
}

// TestBoundIsNearWhatAFullEngineServes plays twice the load of one engine. Its queue is
// short enough that all that it takes is answered by the deadline; the bound must be
// above what it answers, but only by what it can still do after the last arrival.
func TestBoundIsNearWhatAFullEngineServes(t *testing.T) {
	prefill := func(p *Pattern) {
		p.Engine.QueueLimit, p.Regions[0].Rate = 16, 60
		p.Kinds[0].OwnTokens, p.Kinds[0].Events = Distribution{Mean: 1000, Max: 1001}, Distribution{Mean: 0.2, Max: 1}
	}
	decoding := func(p *Pattern) {
		p.Engine.QueueLimit, p.Engine.Slots, p.Regions[0].Rate = 2, 4, 6
		p.Kinds[0].OwnTokens, p.Kinds[0].Events = Distribution{Mean: 10, Max: 11}, Distribution{Mean: 60, Max: 61}
	}
	cases := []struct {
		name    string
		changes []func(p *Pattern)
	}{
		{"prefill", []func(p *Pattern){prefill}},
		{"decoding", []func(p *Pattern){decoding}},
		{"late answers", []func(p *Pattern){prefill, func(p *Pattern) {
			p.Kinds[0].Objective, p.Kinds[0].LateWorth = 50*time.Millisecond, p.Kinds[0].Worth
		}}},
		{"slow engines", []func(p *Pattern){prefill, func(p *Pattern) {
			p.Slowdowns = &Slowdowns{Share: 0.5, Factor: 2.5, Period: 2 * time.Second}
		}}},
		{"outage", []func(p *Pattern){prefill, func(p *Pattern) {
			p.Outages = []Outage{{Region: "north", Share: 1, At: 3 * time.Second, Duration: 5 * time.Second}}
		}}},
		{"shared part", []func(p *Pattern){prefill, func(p *Pattern) {
			p.Kinds[0].SharedLevels = []SharedLevel{{Tokens: Distribution{Mean: 5000, Max: 5001}, Count: 1}}
		}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := pattern(t, "small")
			p.Duration = 20 * time.Second
			p.Regions = []Region{{Name: "north", Engines: 1, Instances: 1, FailureDomains: 1}}
			p.Kinds = p.Kinds[:1]
			p.Kinds[0].SharedLevels, p.Kinds[0].Deadline, p.Kinds[0].Objective = nil, 4*time.Second, 4*time.Second
			for _, change := range c.changes {
				change(&p)
			}
			results, err := Run(p, []string{PolicyRoundRobin}, []uint64{1}, 1)
			assert.NilError(t, err)
			assertBelowBounds(t, results[0])
			all := results[0].Kinds[1]
			t.Logf("worth %.3f, bound %.3f", all.Worth, all.Bound)
			assert.Assert(t, all.Bound < 0.95 && all.Worth > 0.8*all.Bound, "worth %.3f, bound %.3f", all.Worth, all.Bound)
		})
	}
}
