package controller

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/messenger"
	"github.com/boragehead/boragehead/internal/quarantiner"
)

// crashesOfPart returns evidence as an entry instance reports it: three crashes under
// one part.
func crashesOfPart(part uint64) []quarantiner.Part {
	var table quarantiner.Table
	now := time.Now()
	for i := range 3 {
		table.RecordCrash(now.Add(-time.Duration(10+i)*time.Second), quarantiner.CrashID(part*100+uint64(i)), "s", quarantiner.Traits{Parts: []uint64{part}})
	}
	table.RecordSoundBegin(now, "s", quarantiner.Traits{Parts: []uint64{99}})
	return table.Since(now, 0)
}

// knownLevel returns the level that an entry instance that has just started learns
// from a control instance.
func knownLevel(f *fleet, c *control, part uint64) quarantiner.Level {
	answer, err := c.serveWatch(f.t.Context(), certifier.Identity{}, WatchQuery{Name: "a", Region: "north", QuarantineRevision: 1})
	assert.NilError(f.t, err)
	var table quarantiner.Table
	now := time.Now()
	table.Merge(now, answer.Quarantine)
	return table.Level(now, quarantiner.Traits{Parts: []uint64{part}})
}

// TestEvidenceReachesWatchesOfAllControlInstances reports evidence to one control
// instance while another is stopped. The watches of the third must be answered soon,
// and the stopped one must learn it after its start.
func TestEvidenceReachesWatchesOfAllControlInstances(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.waitDefined(f.controls[0], "1")
	f.controls[1].stop()
	far := f.controls[2]
	first, err := far.serveWatch(t.Context(), certifier.Identity{}, WatchQuery{Name: "a", Region: "north", QuarantineRevision: 1})
	assert.NilError(t, err)
	client := messenger.NewPlainClient(certifier.Identity{Name: "a", Role: certifier.RoleGate})
	t.Cleanup(client.Close)
	peer := f.controls[0].settings.PeerAddress
	reported := time.Now()
	_, err = messenger.Call[EvidenceReport, EvidenceAnswer](t.Context(), client, messenger.Endpoint{Name: peer.String(), Address: peer},
		MethodReportEvidence, EvidenceReport{Parts: crashesOfPart(7)})
	assert.NilError(t, err)
	query := WatchQuery{Name: "a", Region: "north", Epoch: first.Epoch, PeersRevision: 1 << 60, Index: 1 << 60, QuarantineRevision: first.QuarantineRevision + 1}
	answer, err := far.serveWatch(t.Context(), certifier.Identity{}, query)
	assert.NilError(t, err)
	took := time.Since(reported)
	assert.Equal(t, len(answer.Quarantine), 1)
	assert.Assert(t, took < time.Second, "took %s", took)
	t.Logf("evidence reached another control instance's watch after %s", took)

	query.QuarantineRevision = answer.QuarantineRevision + 1
	again, hasChanges := far.changesSince(query)
	assert.Assert(t, !hasChanges && len(again.Quarantine) == 0, "known evidence is sent again")

	f.controls[1] = f.start(f.controls[1].settings)
	f.eventually("evidence after a restart", func() bool {
		return knownLevel(f, f.controls[1], 7) == quarantiner.LevelQuarantined
	})
}

// TestWatchWithoutQuarantineIsNotWokenByEvidence guards against answering entry
// instances of earlier versions again and again, since they do not say what they
// know.
func TestWatchWithoutQuarantineIsNotWokenByEvidence(t *testing.T) {
	t.Parallel()
	c := newFleet(t).controls[0]
	assert.Assert(t, c.mergeEvidence(crashesOfPart(7)))
	assert.Assert(t, !c.mergeEvidence(crashesOfPart(7)), "the same evidence is taken for news")
	answer, hasChanges := c.changesSince(WatchQuery{Name: "old", Region: "north", Epoch: c.epoch, PeersRevision: 1 << 60, Index: 1 << 60})
	assert.Assert(t, !hasChanges && len(answer.Quarantine) == 0)
}

// TestReportsAreBatchedForWatches guards against a watch that is answered for each
// of the reports that all entry instances of a large fleet send after a crash.
func TestReportsAreBatchedForWatches(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	c := f.controls[0]
	assert.Assert(t, c.mergeEvidence(crashesOfPart(1000)))
	query := WatchQuery{Name: "a", Region: "north", Epoch: c.epoch, PeersRevision: 1 << 60, Index: 1 << 60, QuarantineRevision: 1}
	reported := make(chan struct{})
	go func() {
		defer close(reported)
		for part := range uint64(100) {
			c.mergeEvidence(crashesOfPart(1 + part))
			time.Sleep(5 * time.Millisecond)
		}
	}()
	answers, parts, began := 0, 0, time.Now()
	for parts < 101 && time.Since(began) < 10*time.Second {
		answer, err := c.serveWatch(t.Context(), certifier.Identity{}, query)
		assert.NilError(t, err)
		query.QuarantineRevision = answer.QuarantineRevision + 1
		answers++
		parts += len(answer.Quarantine)
	}
	<-reported
	assert.Equal(t, parts, 101)
	limit := 3 + int(time.Since(began)/evidenceInterval)
	assert.Assert(t, answers <= limit, "%d answers in %s", answers, time.Since(began))
}

// TestQuarantineIsExchangedUntilBothHaveIt guards against control instances that send each
// other the whole table every two seconds, and against one that lacks what the other has.
func TestQuarantineIsExchangedUntilBothHaveIt(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	a, b := f.controls[0], f.controls[1]
	assert.Assert(t, a.mergeEvidence(crashesOfPart(7)))
	f.eventually("both have the evidence", func() bool { return knownLevel(f, b, 7) == quarantiner.LevelQuarantined })
	digest := b.localTables(0).QuarantineDigest
	assert.Equal(t, digest, a.localTables(0).QuarantineDigest)
	assert.Equal(t, len(a.localTables(digest).Quarantine), 0, "a known table is sent again")
	assert.Assert(t, len(a.localTables(0).Quarantine) > 0)
	assert.Assert(t, b.mergeEvidence(crashesOfPart(8)))
	assert.Assert(t, len(b.localTables(a.localTables(0).QuarantineDigest).Quarantine) > 0)
}

// TestQuarantineOutlivesAllInstances stops all control instances at once, while no entry
// instance runs that could tell them again.
func TestQuarantineOutlivesAllInstances(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.waitDefined(f.controls[0], "1")
	assert.Assert(t, f.controls[0].mergeEvidence(crashesOfPart(7)))
	time.Sleep(3 * time.Second)
	for _, c := range f.controls {
		c.stop()
	}
	for i := range f.controls {
		f.controls[i] = f.start(f.controls[i].settings)
	}
	assert.Equal(t, knownLevel(f, f.controls[0], 7), quarantiner.LevelQuarantined)
}
