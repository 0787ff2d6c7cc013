package quarantiner

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// otherPart is a part that crashes no server.
const otherPart = 99

// crashEvery records some separate crashes under parts, two seconds apart, each
// followed by a sound begin without them. It returns the time after which all of
// them count.
func crashEvery(t *Table, count int, parts ...uint64) time.Time {
	now := start
	for i := range count {
		now = start.Add(time.Duration(i) * 2 * time.Second)
		t.RecordCrash(now, CrashID(100+i), "s", Traits{Parts: parts})
		t.RecordSoundBegin(now.Add(time.Second), "s", Traits{Parts: []uint64{otherPart}})
	}
	return now.Add(settleTime)
}

func TestLevels(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(t *Table) time.Time
		want    Level
	}{
		{"one crash", func(t *Table) time.Time { return crashEvery(t, 1, 1) }, LevelClear},
		{"two crashes", func(t *Table) time.Time { return crashEvery(t, 2, 1) }, LevelSuspected},
		{"three crashes", func(t *Table) time.Time { return crashEvery(t, 3, 1) }, LevelQuarantined},
		{"three crashes, the last too young", func(t *Table) time.Time {
			return crashEvery(t, 3, 1).Add(-time.Millisecond)
		}, LevelSuspected},
		{"servers that ended together", func(t *Table) time.Time {
			for i := range 20 {
				t.RecordCrash(start.Add(time.Duration(i)*crashWindow/20), CrashID(i), "s", Traits{Parts: []uint64{1}})
			}
			return start.Add(settleTime + crashWindow)
		}, LevelClear},
		{"the same crash from several instances", func(t *Table) time.Time {
			for i := range 5 {
				t.RecordCrash(start.Add(time.Duration(i)*time.Second), 7, "s", Traits{Parts: []uint64{1}})
			}
			return start.Add(time.Minute)
		}, LevelClear},
		{"sound begin after the crashes", func(t *Table) time.Time {
			now := crashEvery(t, 3, 1)
			t.RecordSoundBegin(now, "s", Traits{Parts: []uint64{1}})
			return now
		}, LevelClear},
		{"sound begin before a crash that is reported late", func(t *Table) time.Time {
			t.RecordSoundBegin(start.Add(time.Second), "s", Traits{Parts: []uint64{1}})
			return crashEvery(t, 3, 1)
		}, LevelSuspected},
		{"two crashes soon after a sound begin", func(t *Table) time.Time {
			t.RecordSoundBegin(start.Add(-time.Second), "s", Traits{Parts: []uint64{1}})
			t.RecordCrash(start, 7, "s", Traits{Parts: []uint64{1}})
			t.RecordCrash(start.Add(time.Second), 8, "s", Traits{Parts: []uint64{1}})
			return start.Add(1100 * time.Millisecond)
		}, LevelClear},
		{"two crashes some time after a sound begin", func(t *Table) time.Time {
			t.RecordSoundBegin(start.Add(-time.Second), "s", Traits{Parts: []uint64{1}})
			t.RecordCrash(start, 7, "s", Traits{Parts: []uint64{1}})
			t.RecordCrash(start.Add(time.Second), 8, "s", Traits{Parts: []uint64{1}})
			return start.Add(time.Second + settleTime)
		}, LevelSuspected},
		{"no other answer begins", func(t *Table) time.Time {
			for i := range 9 {
				t.RecordCrash(start.Add(time.Duration(i)*time.Second), CrashID(i), "s", Traits{Parts: []uint64{1}})
			}
			return start.Add(time.Minute)
		}, LevelSuspected},
		{"other answers begin only at another service", func(t *Table) time.Time {
			for i := range 9 {
				t.RecordCrash(start.Add(time.Duration(i)*time.Second), CrashID(i), "s", Traits{Parts: []uint64{1}})
			}
			t.RecordSoundBegin(start.Add(time.Minute), "other", Traits{Parts: []uint64{otherPart}})
			return start.Add(time.Minute)
		}, LevelSuspected},
		{"always with another part", func(t *Table) time.Time { return crashEvery(t, 3, 1, 2) }, LevelSuspected},
		{"always with another part, once more", func(t *Table) time.Time { return crashEvery(t, 4, 1, 2) }, LevelQuarantined},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var table Table
			now := test.prepare(&table)
			assert.Equal(t, table.Level(now, Traits{Parts: []uint64{1}}), test.want)
		})
	}
}

// TestInnocentPartIsNotConvictedWithCulprit guards against a rare part whose retries
// died with the servers that another part crashed.
func TestInnocentPartIsNotConvictedWithCulprit(t *testing.T) {
	var table Table
	crashEvery(&table, 3, 1, 2)
	table.RecordCrash(start.Add(10*time.Second), 900, "s", Traits{Parts: []uint64{2}})
	table.RecordSoundBegin(start.Add(11*time.Second), "s", Traits{Parts: []uint64{otherPart}})
	now := start.Add(time.Minute)
	assert.Equal(t, table.Level(now, Traits{Parts: []uint64{2}}), LevelQuarantined)
	assert.Equal(t, table.Level(now, Traits{Parts: []uint64{1}}), LevelClear)
}

func TestProbeEndsHold(t *testing.T) {
	var table Table
	convicted := crashEvery(&table, 3, 1)
	anyone := func(uint64) bool { return true }
	during := table.Admit(convicted, Traits{Parts: []uint64{1}}, anyone)
	assert.Assert(t, !during.Probe && during.Level == LevelQuarantined && during.RetryAfter > 9*time.Minute, "%+v", during)
	after := convicted.Add(HoldTime)
	assert.Assert(t, !table.Admit(after, Traits{Parts: []uint64{1}}, func(uint64) bool { return false }).Probe, "another instance probed")
	assert.Assert(t, table.Admit(after, Traits{Parts: []uint64{1}}, anyone).Probe)
	assert.Assert(t, !table.Admit(after, Traits{Parts: []uint64{1}}, anyone).Probe, "a second probe in the same hold")
	table.RecordCrash(after.Add(time.Second), 500, "s", Traits{Parts: []uint64{1}})
	again := after.Add(HoldTime + time.Second)
	assert.Assert(t, table.Admit(again, Traits{Parts: []uint64{1}}, anyone).Probe)
	for range 5 {
		again = again.Add(HoldTime + time.Second)
		assert.Assert(t, !table.Admit(again, Traits{Parts: []uint64{1}}, anyone).Probe, "more than %d probes", maxProbes)
		table.Expire(again)
	}
	again = again.Add(time.Second)
	table.RecordSoundBegin(again, "s", Traits{Parts: []uint64{1}})
	assert.Equal(t, table.Level(again, Traits{Parts: []uint64{1}}), LevelClear)
}

func TestForgottenAfterRetention(t *testing.T) {
	var table Table
	now := crashEvery(&table, 3, 1)
	table.RecordCrash(now, 900, "s", Traits{Parts: []uint64{5}})
	table.Expire(now.Add(HoldTime + time.Second))
	assert.Equal(t, len(table.parts), 1, "evidence short of a quarantine was kept")
	asked := now.Add(quarantineRetention - time.Second)
	table.Admit(asked, Traits{Parts: []uint64{1}}, func(uint64) bool { return false })
	table.Expire(asked.Add(quarantineRetention - time.Second))
	assert.Equal(t, len(table.parts), 1, "a part was forgotten although requests with it came")
	table.Expire(asked.Add(quarantineRetention + time.Second))
	assert.Equal(t, len(table.parts), 0)
}

// TestTableIsBounded reports crashes under ever new parts: the culprit among them
// stays known.
func TestTableIsBounded(t *testing.T) {
	var table Table
	now := start
	for i := range 3 * maxParts {
		now = now.Add(time.Millisecond)
		table.RecordCrash(now, CrashID(i), "s", Traits{Parts: []uint64{uint64(10 + i)}})
		if i%500 == 0 {
			table.RecordCrash(now, CrashID(i), "s", Traits{Parts: []uint64{1}})
		}
	}
	for i := range 3 * maxBegins {
		table.RecordSoundBegin(now.Add(time.Millisecond), "s", Traits{Parts: []uint64{uint64(1_000_000 + i)}})
	}
	assert.Assert(t, len(table.parts) <= maxParts && len(table.beginsByPart) <= maxBegins)
	assert.Equal(t, table.Level(now.Add(settleTime), Traits{Parts: []uint64{1}}), LevelQuarantined)
	for i := range 3 * maxCrashes {
		table.RecordCrash(now.Add(time.Duration(i)*time.Second), CrashID(1_000_000+i), "s", Traits{Parts: []uint64{1}})
	}
	assert.Equal(t, len(table.parts[1].crashes), maxCrashes)
	table.Expire(now.Add(2 * quarantineRetention))
	assert.Equal(t, len(table.parts)+len(table.beginsByPart), 0)
}

// snapshot returns a table's content in a fixed order.
func snapshot(t *Table, now time.Time) []Part {
	parts := t.Since(now, 0)
	slices.SortFunc(parts, func(a, b Part) int { return int(a.ID) - int(b.ID) })
	for i := range parts {
		slices.SortFunc(parts[i].Crashes, func(a, b Crash) int { return int(a.ID) - int(b.ID) })
	}
	return parts
}

// askedWithinPrecision compares parts whose times of the last request may differ by
// askedPrecision, because a request that is hardly newer is not told to others.
var askedWithinPrecision = cmp.FilterPath(func(path cmp.Path) bool { return path.Last().String() == ".AskedAge" },
	cmp.Comparer(func(a, b time.Duration) bool { return (a < 0) == (b < 0) && (a-b).Abs() <= askedPrecision }))

// TestMergeConverges lets some tables record what they see and exchange it in any
// order, repeatedly: in the end all are the same.
func TestMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tables := make([]Table, 3)
		now := start
		index := rapid.IntRange(0, len(tables)-1)
		someTraits := rapid.Custom(func(t *rapid.T) Traits {
			return request(rapid.Uint64Range(0, 2).Draw(t, "request")*100, rapid.SliceOfN(rapid.Uint64Range(1, 4), 1, 3).Draw(t, "parts")...)
		})
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "pause")) * time.Millisecond)
			table := &tables[index.Draw(t, "table")]
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				table.RecordCrash(now, CrashID(rapid.IntRange(1, 12).Draw(t, "crash")), "s", someTraits.Draw(t, "traits"))
			case 1:
				table.RecordSoundBegin(now.Add(-time.Second), "s", someTraits.Draw(t, "traits"))
			case 2:
				table.Admit(now, someTraits.Draw(t, "traits"), func(uint64) bool { return true })
			case 3:
				table.Merge(now, tables[index.Draw(t, "from")].Since(now, 0))
			}
		}
		for range 2 { // what a merge clears must reach the others, too
			for i := range tables {
				for j := range tables {
					tables[i].Merge(now, tables[j].Since(now, 0))
				}
			}
		}
		want := snapshot(&tables[0], now)
		for i := range tables {
			if difference := cmp.Diff(snapshot(&tables[i], now), want, askedWithinPrecision); difference != "" {
				t.Fatalf("table %d differs: %s", i, difference)
			}
			if tables[i].Merge(now, tables[0].Since(now, 0)) {
				t.Fatalf("table %d changed by what it knew", i)
			}
		}
	})
}
