package quarantiner

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// request returns the traits of a request with some parts.
func request(id uint64, parts ...uint64) Traits {
	return Traits{Request: id, Parts: parts}
}

// TestLevelsOfRequests records crashes under request 50 and others.
func TestLevelsOfRequests(t *testing.T) {
	const culprit, popular, rare = 50, 1, 2
	contrast := func(t *Table, at time.Duration) { t.RecordSoundBegin(start.Add(at), "s", request(9999, otherPart)) }
	crashes := func(t *Table, gap time.Duration, traits ...Traits) time.Duration {
		for i, each := range traits {
			t.RecordCrash(start.Add(time.Duration(i)*gap), CrashID(1+i), "s", each)
		}
		return time.Duration(len(traits)-1) * gap
	}
	tests := []struct {
		name    string
		prepare func(t *Table) time.Duration
		traits  Traits
		want    Level
	}{
		{"two crashes", func(t *Table) time.Duration {
			return crashes(t, time.Second, request(culprit), request(culprit)) + settleTime
		}, request(culprit), LevelSuspected},
		{"three crashes", func(t *Table) time.Duration {
			last := crashes(t, time.Second, request(culprit), request(culprit), request(culprit))
			contrast(t, last+time.Second)
			return last + settleTime
		}, request(culprit), LevelQuarantined},
		{"three crashes at almost the same time", func(t *Table) time.Duration {
			last := crashes(t, crashWindow/5, request(culprit), request(culprit), request(culprit))
			contrast(t, last+time.Second)
			return last + settleTime
		}, request(culprit), LevelQuarantined},
		{"many crashes together under a popular request", func(t *Table) time.Duration {
			t.RecordSoundBegin(start.Add(-time.Second), "s", request(culprit))
			last := crashes(t, crashWindow/10, request(culprit), request(culprit), request(culprit), request(culprit), request(culprit))
			contrast(t, last+time.Second)
			return last + settleTime
		}, request(culprit), LevelClear},
		{"a popular request that begins again", func(t *Table) time.Duration {
			last := crashes(t, time.Second, request(culprit), request(culprit), request(culprit))
			t.RecordSoundBegin(start.Add(last+time.Second), "s", request(culprit))
			return last + settleTime
		}, request(culprit), LevelClear},
		{"nothing else begins", func(t *Table) time.Duration {
			return crashes(t, time.Second, request(culprit), request(culprit), request(culprit)) + settleTime
		}, request(culprit), LevelSuspected},
		{"a part of the culprit that nothing else has", func(t *Table) time.Duration {
			last := crashes(t, time.Second, request(culprit, rare), request(culprit, rare), request(culprit, rare))
			contrast(t, last+time.Second)
			return last + settleTime
		}, request(51, rare), LevelClear},
		{"a part of the culprit that was at one more crash", func(t *Table) time.Duration {
			last := crashes(t, time.Second, request(culprit, rare), request(culprit, rare), request(culprit, rare), request(52, rare))
			contrast(t, last+time.Second)
			return last + settleTime
		}, request(51, rare), LevelClear},
		{"a part that crashes in many requests", func(t *Table) time.Duration {
			last := crashes(t, time.Second, request(51, rare), request(52, rare), request(53, rare), request(54, rare))
			contrast(t, last+time.Second)
			return last + settleTime
		}, request(55, rare), LevelQuarantined},
		{"a part that crashes in many requests, one of which is repeated", func(t *Table) time.Duration {
			last := crashes(t, time.Second, request(51, rare), request(51, rare), request(51, rare), request(52, rare), request(53, rare))
			contrast(t, last+time.Second)
			return last + settleTime
		}, request(55, rare), LevelQuarantined},
		{"a request that was at the servers of the culprit", func(t *Table) time.Duration {
			for i := range 4 {
				at := start.Add(time.Duration(i) * time.Second)
				t.RecordCrash(at, CrashID(i+1), "s", request(culprit, popular))
				if i > 0 {
					t.RecordCrash(at, CrashID(i+1), "s", request(60, rare))
				}
			}
			contrast(t, 4*time.Second)
			return 3*time.Second + settleTime
		}, request(60, rare), LevelClear},
		{"a request that was at some servers of the culprit", func(t *Table) time.Duration {
			for i := range 4 {
				at := start.Add(time.Duration(i) * time.Second)
				t.RecordCrash(at, CrashID(i+1), "s", request(culprit, popular))
				if i > 1 {
					t.RecordCrash(at, CrashID(i+1), "s", request(60, rare))
				}
			}
			contrast(t, 4*time.Second)
			return 3*time.Second + settleTime
		}, request(60, rare), LevelClear},
		{"parts of the culprit, while only requests without prompts begin", func(t *Table) time.Duration {
			for i := range 5 {
				t.RecordCrash(start.Add(time.Duration(i)*time.Second), CrashID(i+1), "s", request(uint64(70+i), popular, rare))
			}
			t.RecordSoundBegin(start.Add(5*time.Second), "s", request(9999))
			return 5*time.Second + settleTime
		}, request(60, popular), LevelSuspected},
		{"a part that crashes servers, at which an innocent request was three times", func(t *Table) time.Duration {
			for i := range 5 { // too close to each other to accuse the part
				at := start.Add(time.Duration(i) * crashWindow / 10)
				t.RecordCrash(at, CrashID(i+1), "s", request(uint64(80+i), rare))
				if i < 3 {
					t.RecordCrash(at, CrashID(i+1), "s", request(60))
				}
			}
			contrast(t, time.Second)
			return time.Second + settleTime
		}, request(60), LevelSuspected},
		{"a part that crashes servers, beside an innocent request at one more", func(t *Table) time.Duration {
			for i := range 4 { // the evidence against the part of the first crash is lost
				at := start.Add(time.Duration(i) * crashWindow / 10)
				t.RecordCrash(at, CrashID(i+1), "s", request(60))
				if i > 0 {
					t.RecordCrash(at, CrashID(i+1), "s", request(uint64(80+i), rare))
				}
			}
			for i := range 2 {
				t.RecordCrash(start.Add(time.Duration(1+i)*time.Second), CrashID(10+i), "s", request(uint64(90+i), rare))
			}
			t.RecordSoundBegin(start.Add(2500*time.Millisecond), "s", request(9999, popular))
			return 5 * time.Second
		}, request(99, rare), LevelQuarantined},
		{"three culprits at once", func(t *Table) time.Duration {
			for i := range 9 {
				t.RecordCrash(start.Add(time.Duration(i)*50*time.Millisecond), CrashID(i+1), "s", request(culprit+uint64(i%3), popular))
			}
			t.RecordSoundBegin(start.Add(time.Second), "s", request(9999, popular))
			return time.Second + settleTime
		}, request(culprit, popular), LevelQuarantined},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var table Table
			now := start.Add(test.prepare(&table))
			assert.Equal(t, table.Level(now, test.traits), test.want)
		})
	}
}

// TestRequestIsHeldBackFromThirdCrash has a request crash servers while nothing else
// begins: from the third crash on it is held back, each time for longer, whatever share
// of the requests it is.
func TestRequestIsHeldBackFromThirdCrash(t *testing.T) {
	var table Table
	anyone := func(uint64) bool { return true }
	now, runs := start, 0
	for ; now.Sub(start) < 2*time.Minute; now = now.Add(200 * time.Millisecond) {
		admission := table.Admit(now, request(50, 1), anyone)
		if admission.HeldBack || admission.Level == LevelQuarantined {
			assert.Assert(t, admission.RetryAfter > 0)
			continue
		}
		runs++
		table.RecordCrash(now, CrashID(runs), "s", request(50, 1))
	}
	assert.Assert(t, runs <= quarantiningCrashes+6, "%d runs in two minutes", runs)
}

// TestRequestsAreBounded has 3,400 requests a second begin soundly for two minutes, of
// which one is popular, and servers crash under them: the table stays small, and still
// knows the culprit and that the popular request is sound.
func TestRequestsAreBounded(t *testing.T) {
	const culprit, popular = 1, 2
	const rate = 3400
	var table Table
	now, crashes := start, 0
	for i := range 120 * rate {
		now = now.Add(time.Second / rate)
		id := uint64(1_000_000 + i*2_654_435_761)
		table.RecordSoundBegin(now, "s", request(id, otherPart))
		if i%100 == 0 {
			table.RecordSoundBegin(now, "s", request(popular, otherPart))
		}
		if i%(10*rate) == 0 { // with what was about to begin there
			crashes++
			for j := range uint64(100) {
				table.RecordCrash(now, CrashID(crashes), "s", request(id+1+j))
			}
			table.RecordCrash(now, CrashID(crashes), "s", request(culprit))
			table.RecordCrash(now, CrashID(crashes), "s", request(popular))
		}
		if i%(5*rate) == 0 {
			table.Expire(now)
		}
	}
	now = now.Add(settleTime)
	assert.Assert(t, len(table.parts) <= maxParts && len(table.beginsByRequest.slots) == maxRequestBegins)
	assert.Assert(t, len(table.beginsByPart) <= maxBegins)
	assert.Equal(t, table.Level(now, request(culprit)), LevelQuarantined)
	assert.Equal(t, table.Level(now, request(popular)), LevelClear)
}

// BenchmarkSoundBegins measures what a request costs the table while it knows many crashes
// of another service.
func BenchmarkSoundBegins(b *testing.B) {
	var table Table
	for i := range maxParts {
		table.RecordCrash(start, CrashID(i), "other", request(uint64(10+i)))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		table.RecordSoundBegin(start.Add(time.Duration(i)*time.Millisecond), "s", request(uint64(1_000_000+i), otherPart))
	}
}

// BenchmarkJudge measures one verdict in an outbreak: 40 crashes with 15 requests each, of
// which some come again, and in one of 300 with 30.
func BenchmarkJudge(b *testing.B) {
	for _, outbreak := range []struct {
		name              string
		crashes, requests int
		repeated, parts   uint64
	}{{"40 crashes", 40, 15, 100, 200}, {"300 crashes", 300, 30, 1500, 300}} {
		b.Run(outbreak.name, func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 1))
			var table Table
			for i := range outbreak.crashes {
				at := start.Add(time.Duration(i) * 400 * time.Millisecond)
				for range outbreak.requests {
					table.RecordCrash(at, CrashID(i+1), "s", request(1000+random.Uint64N(outbreak.repeated), 1, 2+random.Uint64N(outbreak.parts)))
				}
				table.RecordSoundBegin(at.Add(300*time.Millisecond), "s", request(99999, 5000))
			}
			now := start.Add(time.Duration(outbreak.crashes)*400*time.Millisecond + settleTime)
			var judged *history
			for b.Loop() {
				_, judged = table.judge(now)
			}
			b.ReportMetric(float64(judged.suspects), "suspects")
		})
	}
}
