package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCacheFillsOfOtherInstancesAreUsed guards against shared parts that are
// prefilled twice: requests on one subject come to two instances while the server
// that rendezvous hashing selects for it is busy. The second instance must use, or
// copy from, the server that the first one has chosen.
func TestCacheFillsOfOtherInstancesAreUsed(t *testing.T) {
	first, second := newPlacer(6), newPlacer(6)
	second.InstanceName = "b"
	request := sharedPromptRequest(start, 7)
	busy := map[string]Load{first.rendezvousServer(start, request).Name: {Running: 40, PrefillTokens: 60_000}}
	first.SetPeerLoads(start, "c", true, busy)
	second.SetPeerLoads(start, "c", true, busy)
	placed := first.Place(start, request)
	assert.Assert(t, placed.Server != nil)
	assert.Assert(t, placed.Server.Name != first.rendezvousServer(start, request).Name)
	first.RecordFirstEvent(start, request.ID)

	later := start.Add(200 * time.Millisecond)
	fills := first.CacheFills(later, time.Second, false)
	assert.Equal(t, len(fills), 1)
	second.AddCacheFills(later, true, fills)
	next := sharedPromptRequest(later, 7)
	decision := second.Place(later, next)
	shared := sharedTokens(next.Work.Parts)
	assert.Assert(t, decision.Server != nil)
	assert.Assert(t, decision.CachedTokens >= shared, "%d of %d tokens", decision.CachedTokens, shared)
	if decision.Server.Name != placed.Server.Name {
		assert.Equal(t, decision.CopySource.Name, placed.Server.Name)
	}
}

func TestCacheFillsAreReportedOnce(t *testing.T) {
	p := newPlacer(3)
	assert.Equal(t, len(p.CacheFills(start, time.Second, true)), 0)
	p.Place(start, sharedPromptRequest(start, 1))
	p.Place(start, sharedPromptRequest(start, 1))
	fills := p.CacheFills(start, time.Second, true)
	assert.Equal(t, len(fills), 1, "the part is known to be cached at the second request")
	p.AddCacheFills(start, true, fills)
	assert.Equal(t, len(p.CacheFills(start, time.Second, true)), 1, "a cache fill reported back must not be added")
	other := newPlacer(3)
	other.AddCacheFills(start, true, fills)
	assert.Equal(t, len(other.CacheFills(start, time.Second, false)), 0, "a cache fill of another instance must not be reported as own")
	assert.Equal(t, len(other.CacheFills(start, time.Second, true)), 1, "a cache fill of the failure domain must be reported for it")
	assert.Equal(t, len(other.CacheFills(start.Add(time.Minute), time.Second, true)), 0)
}

// TestCacheFillReportsAreBounded places requests on very many subjects at once: a
// report of cache fills must fit a datagram.
func TestCacheFillReportsAreBounded(t *testing.T) {
	p := newPlacer(30)
	for subject := range uint64(10 * maxCacheFills) {
		p.Place(start, sharedPromptRequest(start, 100+subject))
	}
	assert.Equal(t, len(p.CacheFills(start, time.Second, true)), maxCacheFills)
	p.CacheFills(start.Add(2*cacheFillTTL), time.Second, true)
	assert.Equal(t, len(p.cacheFills), 0, "old cache fills must be dropped")
}

// TestCacheFillsOfUnknownServersAreIgnored reports a cache fill of a server that is
// not known here.
func TestCacheFillsOfUnknownServersAreIgnored(t *testing.T) {
	p := newPlacer(1)
	p.AddCacheFills(start, true, []CacheFill{{Server: "gone", PartID: 1, Tokens: 10}})
	assert.Equal(t, len(p.CacheFills(start, time.Second, true)), 0)
}
