package tabler_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/tabler"
)

// newState returns a state with the given number of workspaces and two keys each.
func newState(tb testing.TB, workspaces int) *tabler.State {
	tables, err := tabler.Parse("t", []byte(validTables))
	assert.NilError(tb, err)
	for i := range workspaces {
		tables.Workspaces = append(tables.Workspaces, tabler.Workspace{
			Name: fmt.Sprintf("workspace-%05d", i), HomeRegion: "a", Rate: 100, Burst: 1000, Weight: 1,
		})
	}
	state := &tabler.State{}
	assert.NilError(tb, state.Apply(tabler.Command{Edit: &tabler.Edit{Put: tables}}).Err())
	for i := range 2 * workspaces {
		key, err := tabler.NewKey(tabler.NewSecret(), fmt.Sprintf("workspace-%05d", i/2), "a")
		assert.NilError(tb, err)
		assert.NilError(tb, state.Apply(tabler.Command{AddKey: &key}).Err())
	}
	return state
}

// BenchmarkConfiguration measures, by the size of a configuration, the time to build
// a view, the bytes of a full delta and of a delta with one change, and the memory
// held.
func BenchmarkConfiguration(b *testing.B) {
	for _, workspaces := range []int{100, 1000, 11_000} {
		b.Run(fmt.Sprintf("workspaces-%d", workspaces), func(b *testing.B) {
			before := heapInUse()
			state := newState(b, workspaces)
			view := tabler.NewView(state)
			heapBytes := heapInUse() - before
			for b.Loop() {
				view = tabler.NewView(state)
			}
			change := tabler.Edit{Expect: state.Revision, Put: tabler.Tables{
				Workspaces: []tabler.Workspace{{Name: "workspace-00001", Rate: 7, Burst: 70}},
			}}
			since := state.Revision
			assert.NilError(b, state.Apply(tabler.Command{Edit: &change}).Err())
			b.ReportMetric(encodedSize(b, state.Delta(0)), "B-whole")
			b.ReportMetric(encodedSize(b, state.Delta(since)), "B-change")
			b.ReportMetric(float64(heapBytes), "B-held")
			runtime.KeepAlive(view)
		})
	}
}

// BenchmarkLookup measures the lookups of one request: key, workspace and route.
func BenchmarkLookup(b *testing.B) {
	state := newState(b, 11_000)
	secret := tabler.NewSecret()
	key, err := tabler.NewKey(secret, "workspace-00001", "a")
	assert.NilError(b, err)
	assert.NilError(b, state.Apply(tabler.Command{AddKey: &key}).Err())
	view := tabler.NewView(state)
	b.ReportAllocs()
	for b.Loop() {
		hash, _ := tabler.HashSecret(secret)
		found, err := view.Key(hash)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = view.Workspace(found.Workspace)
		_, _ = view.Route("/r", "m")
	}
}

func encodedSize(tb testing.TB, value any) float64 {
	data, err := cbor.Marshal(value)
	assert.NilError(tb, err)
	return float64(len(data))
}

func heapInUse() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
