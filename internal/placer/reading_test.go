package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSubjectsReadElsewhereAreNotReadAgain replays a subject that is asked about
// at two instances while the server that hashing gives it is busy: the second
// one copies what the first one had read.
func TestSubjectsReadElsewhereAreNotReadAgain(t *testing.T) {
	first, second := newPlacer(6), newPlacer(6)
	second.Self = "b"
	request := draft(start, 7)
	busy := map[string]Load{first.affine(start, request).Name: {Running: 40, Prefill: 60_000}}
	first.HearLoads(start, "c", true, busy)
	second.HearLoads(start, "c", true, busy)
	placed := first.Place(start, request)
	assert.Assert(t, placed.Server != nil)
	assert.Assert(t, placed.Server.Name != first.affine(start, request).Name)
	first.Began(start, request.ID)

	later := start.Add(200 * time.Millisecond)
	readings := first.Readings(later, time.Second, false)
	assert.Equal(t, len(readings), 1)
	second.HearReadings(later, true, readings)
	next := draft(later, 7)
	decision := second.Place(later, next)
	shared := sharedTokens(next.Work.Parts)
	assert.Assert(t, decision.Server != nil)
	assert.Assert(t, decision.Cached >= shared, "%d of %d tokens", decision.Cached, shared)
	if decision.Server.Name != placed.Server.Name {
		assert.Equal(t, decision.Source.Name, placed.Server.Name)
	}
}

func TestReadingsAreToldOnce(t *testing.T) {
	p := newPlacer(3)
	assert.Equal(t, len(p.Readings(start, time.Second, true)), 0)
	p.Place(start, draft(start, 1))
	p.Place(start, draft(start, 1))
	said := p.Readings(start, time.Second, true)
	assert.Equal(t, len(said), 1, "the second time it is known")
	p.HearReadings(start, true, said)
	assert.Equal(t, len(p.Readings(start, time.Second, true)), 1, "an echo tells nothing new")
	other := newPlacer(3)
	other.HearReadings(start, true, said)
	assert.Equal(t, len(other.Readings(start, time.Second, false)), 0, "it is not its own")
	assert.Equal(t, len(other.Readings(start, time.Second, true)), 1, "a speaker passes it on")
	assert.Equal(t, len(other.Readings(start.Add(time.Minute), time.Second, true)), 0)
}

// TestReadingsFitADatagram lets very many subjects come at once.
func TestReadingsFitADatagram(t *testing.T) {
	p := newPlacer(30)
	for subject := range uint64(10 * mostReadings) {
		p.Place(start, draft(start, 100+subject))
	}
	assert.Equal(t, len(p.Readings(start, time.Second, true)), mostReadings)
	p.Readings(start.Add(2*readingMemory), time.Second, true)
	assert.Equal(t, len(p.readings), 0, "old ones are forgotten")
}

// TestReadingsOfUnknownServersAreSkipped hears of a server that is gone here.
func TestReadingsOfUnknownServersAreSkipped(t *testing.T) {
	p := newPlacer(1)
	p.HearReadings(start, true, []Reading{{Server: "gone", Part: 1, Tokens: 10}})
	assert.Equal(t, len(p.Readings(start, time.Second, true)), 0)
}
