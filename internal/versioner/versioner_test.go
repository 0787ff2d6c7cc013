package versioner

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// TestFirstOriginStays checks that nothing changes by which version a stream began, and
// when it is forgotten.
func TestFirstOriginStays(t *testing.T) {
	var table Table
	stream := NewStreamID("a")
	assert.Assert(t, table.Add(start, Origin{Stream: stream, Version: "v1", Left: time.Minute}))
	assert.Assert(t, !table.Add(start, Origin{Stream: stream, Version: "v2", Left: time.Hour}))
	version, known := table.Version(start.Add(time.Minute), stream)
	assert.Assert(t, known && version == "v1")
	assert.DeepEqual(t, table.All(start.Add(time.Second)), []Origin{{Stream: stream, Version: "v1", Left: 59 * time.Second}})
	_, known = table.Version(start.Add(time.Minute+1), stream)
	assert.Assert(t, !known)
	assert.Equal(t, len(table.All(start.Add(time.Minute+1))), 0)
	table.Expire(start.Add(time.Minute + 1))
	assert.Equal(t, table.Len(), 0)
	assert.Assert(t, !table.Add(start, Origin{Stream: stream, Version: "v1"}), "a stream that cannot be taken up any more")
}

// TestVersionsAreForgotten checks how long a service counts as mixed.
func TestVersionsAreForgotten(t *testing.T) {
	var history History
	history.Record("a", "v1", start)
	history.Record("a", "v2", start.Add(time.Second))
	history.Record("a", "v1", start.Add(-time.Second))
	history.Record("b", "v1", start)
	history.Record("c", "", start)
	assert.DeepEqual(t, history.Mixed(start.Add(HistoryRetention)), []string{"a", "c"})
	assert.Equal(t, len(history.Mixed(start.Add(HistoryRetention+1))), 0)
}

// TestOriginsAreBounded has 3,400 streams a second begin for five minutes, each of which may
// be taken up for 35 seconds: the table holds them all and no more.
func TestOriginsAreBounded(t *testing.T) {
	const rate, lifetime = 3400, 35 * time.Second
	var table Table
	now := start
	for i := range 300 * rate {
		now = now.Add(time.Second / rate)
		assert.Assert(t, table.Add(now, Origin{Stream: NewStreamID(fmt.Sprint(i)), Version: "v1", Left: lifetime}))
		if i%(5*rate) == 0 {
			table.Expire(now)
			assert.Assert(t, table.Len() <= rate*int(lifetime/time.Second)+1)
		}
	}
	for i := range 2 * MaxOrigins {
		table.Add(now, Origin{Stream: NewStreamID(fmt.Sprint("more ", i)), Version: "v1", Left: lifetime})
	}
	assert.Equal(t, table.Len(), MaxOrigins)
}

// BenchmarkAdd measures the cost and the memory of one stream.
func BenchmarkAdd(b *testing.B) {
	b.ReportAllocs()
	var table Table
	for i := 0; b.Loop(); i++ {
		if table.Len() == MaxOrigins {
			table = Table{}
		}
		table.Add(start, Origin{Stream: StreamID(i), Version: "v1", Left: time.Minute})
	}
}
