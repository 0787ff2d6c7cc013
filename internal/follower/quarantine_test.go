package follower

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/controller"
	"github.com/boragehead/boragehead/internal/quarantiner"
	"github.com/boragehead/boragehead/internal/registrar"
)

// verdictLifetime is how long a level may be used while a table changes.
const verdictLifetime = 20 * time.Millisecond

// evidence returns what another instance knows of a part: some separate crashes.
func evidence(part uint64, crashes int) []quarantiner.Part {
	var table quarantiner.Table
	now := time.Now()
	for i := range crashes {
		table.RecordCrash(now.Add(-time.Duration(10+i)*time.Second), quarantiner.CrashID(i), "s", quarantiner.Traits{Parts: []uint64{part}})
	}
	table.RecordSoundBegin(now, "s", quarantiner.Traits{Parts: []uint64{99}})
	return table.Since(now, 0)
}

// TestOwnEvidenceIsReportedOnce checks what is due to be reported: evidence from
// here until a control instance has it, nothing that came from one, and all after a
// control instance has started anew.
func TestOwnEvidenceIsReportedOnce(t *testing.T) {
	f, north, _ := newFollower(t)
	now := time.Now()
	f.receiveReports(now, north, server(registrar.StateReady, 1))
	f.RecordCrash(now, server(registrar.StateReady, 1), quarantiner.Traits{Parts: []uint64{1}})
	due, _ := f.quarantine.Due(now)
	assert.Equal(t, len(due), 1)
	due, revision := f.quarantine.Due(now)
	assert.Equal(t, len(due), 1, "evidence that nobody has confirmed is not due any more")
	f.quarantine.RecordReported(revision)
	due, _ = f.quarantine.Due(now)
	assert.Equal(t, len(due), 0)

	f.applyQuarantine(now, north, controller.WatchAnswer{Quarantine: evidence(2, 3), QuarantineRevision: 9}, false)
	assert.Equal(t, north.quarantineRevision, uint64(10))
	time.Sleep(verdictLifetime)
	assert.Equal(t, f.Level(quarantiner.Traits{Parts: []uint64{2}}), quarantiner.LevelQuarantined)
	due, _ = f.quarantine.Due(now)
	assert.Equal(t, len(due), 0, "evidence from a control instance is reported back")

	f.applyQuarantine(now, north, controller.WatchAnswer{}, true)
	due, revision = f.quarantine.Due(now)
	assert.Equal(t, len(due), 2)
	f.quarantine.RecordReported(revision)
	due, _ = f.quarantine.Due(now)
	assert.Equal(t, len(due), 0)
}

// TestLeavingServersDoNotCrash guards against evidence from releases and scale-in.
func TestLeavingServersDoNotCrash(t *testing.T) {
	f, north, _ := newFollower(t)
	now := time.Now()
	f.receiveReports(now, north, server(registrar.StateLeaving, 2))
	f.RecordCrash(now, server(registrar.StateLeaving, 2), quarantiner.Traits{Parts: []uint64{1}})
	due, _ := f.quarantine.Due(now)
	assert.Equal(t, len(due), 0)
}

// TestSoundBeginClearsEvidenceOfOthers guards against a popular part that is
// quarantined because other instances saw it at crashing servers.
func TestSoundBeginClearsEvidenceOfOthers(t *testing.T) {
	f, north, _ := newFollower(t)
	now := time.Now()
	f.RecordSoundBegin(now.Add(-time.Second), server(registrar.StateReady, 1), quarantiner.Traits{Parts: []uint64{2}})
	f.applyQuarantine(now, north, controller.WatchAnswer{Quarantine: evidence(2, 3)}, false)
	assert.Equal(t, f.Level(quarantiner.Traits{Parts: []uint64{2}}), quarantiner.LevelClear)
	due, _ := f.quarantine.Due(now)
	assert.Equal(t, len(due), 1, "the others do not hear that the part is sound")
}

// TestQuarantinedPartIsNotProbedWithinHold refuses a part that other instances quarantined.
func TestQuarantinedPartIsNotProbedWithinHold(t *testing.T) {
	f, north, _ := newFollower(t)
	f.applyQuarantine(time.Now(), north, controller.WatchAnswer{Quarantine: evidence(2, 3)}, false)
	admission := f.Admit(quarantiner.Traits{Parts: []uint64{2}})
	assert.Assert(t, admission.Level == quarantiner.LevelQuarantined && !admission.Probe && admission.RetryAfter > time.Minute, "%+v", admission)
}
