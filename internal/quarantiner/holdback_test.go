package quarantiner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCulpritKeepsWholeServiceDown has servers crash under a part so often that no
// answer begins, so that nothing tells it from the part that all requests have. Requests
// with it must be held back until others begin, and be quarantined then, and the others
// must not be held back.
func TestCulpritKeepsWholeServiceDown(t *testing.T) {
	const common, culprit, sound = 1, 2, 3
	table, now := &Table{}, start
	anyone := func(uint64) bool { return true }
	for number := range quarantiningCrashes {
		for range 4 {
			table.Admit(now, Traits{Parts: []uint64{common, sound}}, anyone)
			table.Admit(now, Traits{Request: 50}, anyone) // has no prompt
		}
		assert.Assert(t, !table.Admit(now, Traits{Parts: []uint64{common, culprit}}, anyone).HeldBack, "after %d crashes", number)
		now = now.Add(600 * time.Millisecond)
		table.RecordCrash(now, CrashID(number), "s", Traits{Parts: []uint64{common, culprit}})
		table.RecordCrash(now, CrashID(number), "s", Traits{Parts: []uint64{common, sound}})
	}
	now = now.Add(verdictLifetime)
	admission := table.Admit(now, Traits{Parts: []uint64{common, culprit}}, anyone)
	assert.Assert(t, admission.HeldBack)
	assert.Assert(t, admission.RetryAfter > settleTime-verdictLifetime && admission.RetryAfter <= holdBackTime)
	assert.Assert(t, !table.Admit(now, Traits{Parts: []uint64{common, sound}}, anyone).HeldBack, "nearly all requests have the part")

	table.RecordSoundBegin(now.Add(time.Millisecond), "s", Traits{Parts: []uint64{common, sound}})
	now = now.Add(settleTime)
	assert.Equal(t, table.Level(now, Traits{Parts: []uint64{common, sound}}), LevelClear)
	assert.Equal(t, table.Level(now, Traits{Parts: []uint64{culprit}}), LevelQuarantined)
}

// TestSuspectedPartIsHeldBackForAMoment has no answer begin although the part is held
// back: it is let through again, since something else may keep the servers down.
func TestSuspectedPartIsHeldBackForAMoment(t *testing.T) {
	table, now := &Table{}, start
	anyone := func(uint64) bool { return true }
	for number := range quarantiningCrashes {
		now = start.Add(time.Duration(number) * time.Second)
		table.RecordCrash(now, CrashID(number), "s", Traits{Parts: []uint64{1}})
	}
	for range minRecentRequests {
		table.Admit(now, Traits{Parts: []uint64{2}}, anyone)
	}
	now = now.Add(verdictLifetime)
	assert.Assert(t, table.Admit(now, Traits{Parts: []uint64{1}}, anyone).HeldBack)
	assert.Assert(t, !table.Admit(now.Add(holdBackTime), Traits{Parts: []uint64{1}}, anyone).HeldBack)
}
