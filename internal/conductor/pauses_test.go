package conductor

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPauseIsNotNoticed asks for pauses before the process has noted that it runs again, and
// after it has.
func TestPauseIsNotNoticed(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	var p Pauses
	assert.Assert(t, !p.PausedWithin(at(9), time.Second), "the process has not begun to note that it runs")
	for _, noted := range []float64{0, 0.1, 0.2, 0.55} {
		p.note(at(noted))
		assert.Assert(t, !p.PausedWithin(at(noted+0.4), time.Second))
	}
	assert.Assert(t, p.PausedWithin(at(6), time.Second), "not noted yet")
	p.note(at(6))
	p.note(at(6.1))
	assert.Assert(t, p.PausedWithin(at(6.1), time.Second))
	p.note(at(6.9))
	assert.Assert(t, p.PausedWithin(at(7.8), time.Second), "a second pause")
	p.note(at(7.2))
	assert.Assert(t, !p.PausedWithin(at(7.6), 500*time.Millisecond))
	// A suspended machine shows in the time of day alone.
	assert.Assert(t, p.PausedWithin(at(17).Round(0), time.Second))
}
