package experimenter

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/loader"
)

const examples = "../../examples/patterns/"

func pattern(t *testing.T, name string) Pattern {
	p, err := Load(examples + name + ".yaml")
	assert.NilError(t, err)
	return p
}

func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob(examples + "*.yaml")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		_, err := Load(file)
		assert.NilError(t, err, file)
	}
}

func TestInvalidPatternsNameFieldAndLine(t *testing.T) {
	text, err := os.ReadFile(examples + "small.yaml")
	assert.NilError(t, err)
	const hot = "  - {workspace: a, share: 0.6, at: 1s, for: 1s, factor: 4}\n"
	cases := []struct {
		name, old, replacement string
		kind                   error
		mentions               []string
	}{
		{"unknown field", "slots: 64", "slot: 64", loader.ErrInvalid, []string{"slot", "5"}},
		{"no time", "duration: 20s", "duration: 0s", loader.ErrInvalid, []string{"duration", "more than"}},
		{"mean above the most", "{mean: 630, spread: 1, most: 3300}", "{mean: 630, spread: 1, most: 33}", loader.ErrInvalid, []string{"most"}},
		{"same name twice", "name: question", "name: draft", loader.ErrInvalid, []string{"kinds"}},
		{"unknown kind of a burst", "kinds:\n", "bursts:\n  - {kind: chat, at: 1s, for: 1s, factor: 2}\nkinds:\n", ErrPattern, []string{"bursts", "chat"}},
		{"too many hot workspaces", "kinds:\n", "hot:\n" + hot + "  - {workspace: b, share: 0.6, at: 1s, for: 1s, factor: 4}\nkinds:\n", ErrPattern, []string{"hot"}},
		{"slowdowns that speed up", "kinds:\n", "slowdowns: {share: 0.1, factor: 0.9, period: 1s}\nkinds:\n", loader.ErrInvalid, []string{"factor"}},
		{"unknown home", "    hint: 0.5\n", "    hint: 0.5\n    homes: [west]\n", ErrPattern, []string{"homes", "west"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			changed := strings.Replace(string(text), c.old, c.replacement, 1)
			assert.Assert(t, changed != string(text))
			file := filepath.Join(t.TempDir(), "pattern.yaml")
			assert.NilError(t, os.WriteFile(file, []byte(changed), 0o600))
			_, err := Load(file)
			assert.Assert(t, errors.Is(err, c.kind), "%v", err)
			for _, part := range c.mentions {
				assert.ErrorContains(t, err, part)
			}
		})
	}
}

func TestUnknownPolicyIsNamed(t *testing.T) {
	_, err := Run(pattern(t, "small"), []string{"guess"}, []uint64{1}, 1)
	assert.Assert(t, errors.Is(err, ErrPolicy))
	assert.ErrorContains(t, err, "guess")
}

// TestSameSeedHasTheSameResult compares a run with parallel simulations to a run
// alone: the result must depend on the seed only.
func TestSameSeedHasTheSameResult(t *testing.T) {
	p := pattern(t, "small")
	p.Duration = 4 * time.Second
	p.Outages = []Outage{{Region: "north", Share: 0.5, At: time.Second, Duration: time.Second}}
	together, err := Run(p, []string{PolicyPlacer, PolicyPrefix}, []uint64{1, 2}, 4)
	assert.NilError(t, err)
	alone, err := Run(p, []string{PolicyPlacer}, []uint64{2}, 1)
	assert.NilError(t, err)
	assert.DeepEqual(t, alone[0], together[1])
	assert.Assert(t, together[0].Worth != together[1].Worth)
	assert.Equal(t, together[2].Policy, PolicyPrefix)
}

// TestEveryRequestIsCounted checks that the outcomes and the windows each add up to
// the number of generated requests, also when an outage fails some.
func TestEveryRequestIsCounted(t *testing.T) {
	p := pattern(t, "crash")
	p.Duration = 8 * time.Second
	results, err := Run(p, []string{PolicyPlacer}, []uint64{1}, 1)
	assert.NilError(t, err)
	all := results[0].Kinds[len(results[0].Kinds)-1]
	arrivals := newGenerator(p, 1).arrivals()
	assert.Equal(t, all.Requests, len(arrivals))
	assert.Equal(t, all.Requests, all.InTime+all.Late+all.Refused+all.Failed)
	assert.Assert(t, all.Failed > 0, "the outage failed no request")
	sum := 0
	for _, window := range results[0].Windows {
		sum += window.Requests
	}
	assert.Equal(t, sum, all.Requests)
}

// TestPlacerEarnsMoreThanBaselinesUnderOverload simulates twice the load that a
// region can serve.
func TestPlacerEarnsMoreThanBaselinesUnderOverload(t *testing.T) {
	p := pattern(t, "small")
	p.Duration = 10 * time.Second
	results, err := Run(p, Policies(), []uint64{1}, 4)
	assert.NilError(t, err)
	for _, baseline := range results[1:] {
		assert.Assert(t, results[0].Worth > baseline.Worth, "%s: %.3f of %.3f", baseline.Policy, baseline.Worth, results[0].Worth)
	}
}

func TestTableNamesAllGroups(t *testing.T) {
	p := pattern(t, "small")
	p.Duration = 2 * time.Second
	results, err := Run(p, []string{PolicyPlacer}, []uint64{1}, 1)
	assert.NilError(t, err)
	var table bytes.Buffer
	assert.NilError(t, WriteTable(&table, results))
	for _, part := range []string{"policy placer, seed 1", "draft", "question largest tenth", "north", "engines of north"} {
		assert.Assert(t, strings.Contains(table.String(), part), part)
	}
}

func TestLoadFollowsItsSteps(t *testing.T) {
	r := Region{LoadSteps: []LoadStep{{At: time.Second, Factor: 2}, {At: 3 * time.Second, Factor: 0.5}}}
	for after, want := range map[time.Duration]float64{0: 1, time.Second: 2, 2 * time.Second: 2, 4 * time.Second: 0.5} {
		assert.Equal(t, r.loadFactor(after), want)
	}
}

// TestLongOutputsAreRefusedFirst guards against predictions whose error grows with the output:
// when engines were lost, nearly all requests with long outputs were refused, although many
// would have ended in time. Whoever asks for much must be served at least half as often as
// all requests of the same kind.
func TestLongOutputsAreRefusedFirst(t *testing.T) {
	results, err := Run(pattern(t, "shortage"), []string{PolicyPlacer}, []uint64{1, 2, 3}, 3)
	assert.NilError(t, err)
	served := func(g GroupResult) float64 { return float64(g.InTime+g.Late) / float64(g.Requests) }
	for _, result := range results {
		for i, size := range result.Sizes {
			all := result.Kinds[i/2]
			assert.Check(t, served(size) >= served(all)/2, "seed %d: of %s %.2f were served, of all %.2f", result.Seed, size.Name, served(size), served(all))
		}
	}
}
