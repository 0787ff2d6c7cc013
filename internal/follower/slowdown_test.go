package follower

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/beaconer"
	"github.com/boragehead/boragehead/internal/placer"
)

// TestSlowdownsInDigests guards against ages that make every load of a digest look changed,
// and against slowdowns that a receiver subtracts as a part of its own report.
func TestSlowdownsInDigests(t *testing.T) {
	writer, view := digestWriter{}, digestView{}
	writer.record("a", 7)
	now := time.Unix(1000, 0)
	view.recordReport(ownReport{sequence: 7, loads: map[string]placer.Load{"one": {Running: 2, Slowdown: 300, SlowdownAge: 5}}})
	sums := func(age int32) map[string]placer.Load {
		return map[string]placer.Load{"one": {Running: 5, Slowdown: 300, SlowdownAge: age}, "idle": {Slowdown: 90, SlowdownAge: age}, "other": {Running: 1}}
	}
	for i, complete := range []bool{true, false} {
		digest := writer.digest(sums(int32(50+100*i)), complete)
		wantLoads := 2
		if !complete {
			wantLoads = 0
		}
		assert.Equal(t, len(digest.Loads), wantLoads)
		assert.Equal(t, digest.SlowdownLoads()["idle"], placer.Load{Slowdown: 90, SlowdownAge: int32(50 + 100*i)})
		assert.Assert(t, view.apply(now, "a", beaconer.Beacon{Instance: beaconer.Instance{Name: "speaker"}, Digest: digest}))
		assert.DeepEqual(t, view.otherLoads(), map[string]placer.Load{"one": {Running: 3}, "other": {Running: 1}})
	}
}
