package tabler_test

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/boragehead/boragehead/internal/tabler"
)

// TestMain fixes the seed of rapid, so that every run draws the same cases.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const validTables = `regions:
  - {name: a, failure-domains: [a-1]}
pools:
  - {name: p, region: a}
routes:
  - {name: r, path: /r, pools: [p]}
workspaces:
  - {name: w, home-region: a, rate: 1, burst: 10}
`

// TestParseReportsFaults checks that every fault is reported with its line and its
// field.
func TestParseReportsFaults(t *testing.T) {
	tests := []struct {
		name   string
		change [2]string
		want   []string
	}{
		{name: "valid"},
		{name: "unknown field", change: [2]string{"rate: 1", "rat: 1"}, want: []string{"t:8: "}},
		{name: "wrong type", change: [2]string{"rate: 1", "rate: much"}, want: []string{"t:8: "}},
		{name: "wrong duration", change: [2]string{"pools: [p]}", "pools: [p], timeout: soon}"}, want: []string{"t:6: routes[0].timeout: "}},
		{name: "not YAML", change: [2]string{"regions:", "regions: ["}, want: []string{"t:"}},
		{name: "unknown pool", change: [2]string{"pools: [p]", "pools: [q]"}, want: []string{`t:6: routes[0].pools[0]: unknown pool "q"`}},
		{name: "route without a pool", change: [2]string{"pools: [p]", "pools: []"}, want: []string{"t:6: routes[0].pools: a route needs at least one pool"}},
		{name: "unknown region", change: [2]string{"region: a}", "region: b}"}, want: []string{`t:4: pools[0].region: unknown region "b"`}},
		{name: "negative rate", change: [2]string{"rate: 1", "rate: -1"}, want: []string{"t:8: workspaces[0].rate: -1 is not allowed"}},
		{name: "several faults", change: [2]string{"rate: 1, burst: 10", "rate: -1, burst: -2"}, want: []string{"workspaces[0].rate", "workspaces[0].burst"}},
		{name: "duplicate name", change: [2]string{"workspaces:\n", "workspaces:\n  - {name: w, rate: 1, burst: 1}\n"}, want: []string{`t:9: workspaces[1].name: "w" is used twice`}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			text := validTables
			if test.change[0] != "" {
				text = strings.Replace(validTables, test.change[0], test.change[1], 1)
			}
			_, err := tabler.Parse("t", []byte(text))
			if len(test.want) == 0 {
				assert.NilError(t, err)
				return
			}
			assert.Assert(t, errors.Is(err, tabler.ErrInvalid))
			for _, want := range test.want {
				assert.ErrorContains(t, err, want)
			}
		})
	}
}

// TestExamplesRoundTrip checks that the examples are valid, and unchanged after
// Format and Parse.
func TestExamplesRoundTrip(t *testing.T) {
	paths, err := filepath.Glob("../../examples/*/tables.yaml")
	assert.NilError(t, err)
	assert.Assert(t, len(paths) >= 2)
	for _, path := range paths {
		text, err := os.ReadFile(path)
		assert.NilError(t, err)
		tables, err := tabler.Parse(path, text)
		assert.NilError(t, err)
		written, err := tabler.Format(tables)
		assert.NilError(t, err)
		again, err := tabler.Parse(path, written)
		assert.NilError(t, err)
		assert.DeepEqual(t, tables, again)
	}
}

// FuzzParse checks that Parse either fails with ErrInvalid or returns valid tables.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validTables))
	f.Add([]byte("regions: [{name: a, failure-domains: [a]}]\npools: &x\n  - *x\n"))
	f.Add([]byte("routes:\n  - {timeout: 1y, objective: {first-token: -1s}}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		tables, err := tabler.Parse("t", text)
		if err != nil {
			assert.Assert(t, errors.Is(err, tabler.ErrInvalid))
			return
		}
		assert.Equal(t, len(tabler.Check(tables)), 0)
	})
}

// TestFollowersConverge applies random commands to a state, and to a follower deltas
// that may be missing, repeated or out of order. The follower's revision never
// falls, a key once withdrawn on it stays withdrawn, and after a last delta it
// equals the state.
func TestFollowersConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var state, follower tabler.State
		base, err := tabler.Parse("t", []byte(validTables))
		assert.NilError(t, err)
		state.Apply(tabler.Command{Edit: &tabler.Edit{Put: base}})
		var deltas []tabler.Delta
		withdrawn := map[string]bool{}
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			state.Apply(drawCommand(t, step, &state))
			if rapid.IntRange(0, 2).Draw(t, "hear") == 0 {
				deltas = append(deltas, state.Delta(follower.Revision))
			}
			if len(deltas) > 0 {
				before := follower.Revision
				follower.ApplyDelta(deltas[rapid.IntRange(0, len(deltas)-1).Draw(t, "delta")])
				assert.Assert(t, follower.Revision >= before)
			}
			for id, key := range follower.Keys {
				assert.Assert(t, !withdrawn[id] || key.Value.Withdrawn, "a withdrawal reverted")
				withdrawn[id] = withdrawn[id] || key.Value.Withdrawn
			}
		}
		follower.ApplyDelta(state.Delta(follower.Revision))
		assert.DeepEqual(t, follower.Tables(), state.Tables())
		assert.Equal(t, follower.Revision, state.Revision)
	})
}

func drawCommand(t *rapid.T, step int, state *tabler.State) tabler.Command {
	name := fmt.Sprintf("w%d", rapid.IntRange(0, 3).Draw(t, "name"))
	switch rapid.IntRange(0, 3).Draw(t, "kind") {
	case 0:
		put := tabler.Tables{Workspaces: []tabler.Workspace{{Name: name, Rate: float64(step), Burst: 1}}}
		return tabler.Command{Edit: &tabler.Edit{Expect: state.Revision, Put: put}}
	case 1:
		remove := []tabler.Name{{Kind: tabler.KindWorkspace, Name: name}}
		return tabler.Command{Edit: &tabler.Edit{Expect: state.Revision, Remove: remove}}
	case 2:
		id := fmt.Sprintf("key%d", step)
		return tabler.Command{AddKey: &tabler.Key{ID: id, Hash: id, Workspace: "w", HomeRegion: "a"}}
	}
	ids := slices.Sorted(maps.Keys(state.Keys))
	if len(ids) == 0 {
		return tabler.Command{Drain: &tabler.InstanceChange{Name: name, Draining: true}}
	}
	return tabler.Command{Withdraw: &tabler.Withdrawal{KeyID: rapid.SampledFrom(ids).Draw(t, "key")}}
}

// TestConflictingAndResentChanges checks that of two changes of the same revision
// the second is refused, that resent changes get their first result, also after a
// restore, and that a change that leaves an unknown pool is refused.
func TestConflictingAndResentChanges(t *testing.T) {
	var state tabler.State
	base, err := tabler.Parse("t", []byte(validTables))
	assert.NilError(t, err)
	first := tabler.Command{ChangeID: "1", Edit: &tabler.Edit{Put: base}}
	assert.Equal(t, state.Apply(first).Revision, tabler.Revision(1))
	conflicting := tabler.Command{ChangeID: "2", Edit: &tabler.Edit{Put: base}}
	assert.ErrorIs(t, state.Apply(conflicting).Err(), tabler.ErrConflict)
	assert.Equal(t, state.Apply(first).Revision, tabler.Revision(1), "a resent change has its first result")
	assert.ErrorIs(t, state.Apply(conflicting).Err(), tabler.ErrConflict)
	removesUsedPool := tabler.Edit{Expect: 1, Remove: []tabler.Name{{Kind: tabler.KindPool, Name: "p"}}}
	assert.ErrorIs(t, state.Apply(tabler.Command{Edit: &removesUsedPool}).Err(), tabler.ErrInvalid)
	assert.Equal(t, state.Revision, tabler.Revision(1))
	data, err := state.Snapshot()
	assert.NilError(t, err)
	var restored tabler.State
	assert.NilError(t, restored.Restore(data))
	assert.ErrorIs(t, restored.Apply(conflicting).Err(), tabler.ErrConflict)
}

// TestOnceRouteKeepsClaimRegion checks that an edit cannot move the claims of a route
// with Once set to another region, where they are not known.
func TestOnceRouteKeepsClaimRegion(t *testing.T) {
	text := strings.Replace(validTables, "pools: [p]", "pools: [p], once: true", 1)
	text = strings.Replace(text, "pools:\n", "  - {name: b, failure-domains: [b-1]}\npools:\n  - {name: q, region: b}\n", 1)
	base, err := tabler.Parse("t", []byte(text))
	assert.NilError(t, err)
	var state tabler.State
	assert.NilError(t, state.Apply(tabler.Command{Edit: &tabler.Edit{Put: base}}).Err())
	moved := base.Routes[0]
	moved.Pools = []string{"q"}
	edit := tabler.Edit{Expect: 1, Put: tabler.Tables{Routes: []tabler.Route{moved}}}
	assert.ErrorIs(t, state.Apply(tabler.Command{Edit: &edit}).Err(), tabler.ErrInvalid)
}

// ExampleParse shows how faults are reported.
func ExampleParse() {
	_, err := tabler.Parse("tables.yaml", []byte(strings.Replace(validTables, "[p]", "[q]", 1)))
	fmt.Println(err)
	// Output: tables.yaml:6: routes[0].pools[0]: unknown pool "q"
}
