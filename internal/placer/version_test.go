package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newVersionedPlacer returns a placer that knows an engine for each version.
func newVersionedPlacer(versions ...string) *Placer {
	p := newPlacer(len(versions))
	servers := p.announcedServers()
	for i := range servers {
		for j, version := range versions {
			if servers[i].Name == engineServer(j).Name {
				servers[i].Version = version
			}
		}
	}
	p.SetServers(start, newView(engineService()), servers)
	return p
}

// TestStreamIsPlacedByVersion checks that a request that goes on with a stream is placed
// only at a server of its version that has room, here or in another region.
func TestStreamIsPlacedByVersion(t *testing.T) {
	tests := []struct {
		name     string
		versions []string
		// remote are the versions of the other region; nil if it does not tell them.
		remote map[string]int
		want   string
	}{
		{"here", []string{"v1", "v2", "v1"}, map[string]int{"v2": 3}, "here"},
		{"only in the other region", []string{"v1", "v1"}, map[string]int{"v1": 1, "v2": 1}, "south"},
		{"nowhere", []string{"v1", ""}, map[string]int{"v1": 1, "": 1}, "refused"},
		{"the other region tells no versions", []string{"v1"}, nil, "refused"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p := newVersionedPlacer(test.versions...)
			p.SetRegionServices(start, "south", map[string]ServiceSummary{"engines": {Servers: 3, MinWait: time.Millisecond, Versions: test.remote}})
			version := "v2"
			if test.want == "here" {
				version = "v1"
			}
			for range 20 { // whatever the load
				request := sharedPromptRequest(start, 1)
				request.Version, request.Resuming = version, true
				decision := p.Place(start, request)
				switch test.want {
				case "here":
					assert.Assert(t, decision.Server != nil && decision.Server.Version == version)
				case "south":
					assert.Equal(t, decision.Region, "south")
				case "refused":
					assert.Equal(t, decision.RefusalReason, ReasonNoServer)
				}
			}
		})
	}
}

// TestLastServerOfVersionIsNotOverloaded takes streams up at the only server of their
// version: what it cannot serve in time is refused at once, as for new requests.
func TestLastServerOfVersionIsNotOverloaded(t *testing.T) {
	p := newVersionedPlacer("v1", "v2", "v2", "v2")
	placed, refused := 0, 0
	for subject := range uint64(200) {
		request := sharedPromptRequest(start, subject)
		request.Version, request.TakesUp = "v1", true
		switch decision := p.Place(start, request); {
		case decision.Server != nil:
			assert.Equal(t, decision.Server.Version, "v1")
			placed++
		default:
			assert.Equal(t, decision.RefusalReason, ReasonOverloaded)
			assert.Assert(t, decision.RetryAfter > 0)
			refused++
		}
	}
	assert.Assert(t, placed >= 1 && placed <= 64 && refused > 0, "%d placed, %d refused", placed, refused)
}

// TestStreamTakenUpIsRefusedLikeNewOne fills the only server until new requests are refused.
// A stream that is taken up has had its first event, and is lost if it is refused: it may
// wait longer, but not without a limit, and a prediction that it ends late is no reason.
func TestStreamTakenUpIsRefusedLikeNewOne(t *testing.T) {
	p := newVersionedPlacer("v1")
	request := func(takesUp bool, left time.Duration) Request {
		request := sharedPromptRequest(start, lastID)
		request.Deadline = start.Add(left)
		request.TakesUp = takesUp
		if takesUp {
			request.Version = "v1"
		}
		return request
	}
	for p.Place(start, request(false, 5*time.Second)).Server != nil {
		assert.Assert(t, lastID < 1<<20)
	}
	takenUp := 0
	for p.Place(start, request(true, 5*time.Second)).Server != nil {
		takenUp++
	}
	assert.Assert(t, takenUp > 0 && takenUp < 64, "%d taken up", takenUp)

	p = newVersionedPlacer("v1")
	long := request(false, 5*time.Second)
	long.Work.Output, long.Work.Expected = 1<<20, 0
	assert.Equal(t, p.Place(start, long).RefusalReason, ReasonOverloaded)
	long.TakesUp = true
	assert.Assert(t, p.Place(start, long).Server != nil)
}

// TestSummaryNamesVersions checks what other regions are told.
func TestSummaryNamesVersions(t *testing.T) {
	p := newVersionedPlacer("v1", "v2", "v2", "")
	assert.DeepEqual(t, p.Summaries(start)["engines"].Versions, map[string]int{"v1": 1, "v2": 2, "": 1})
	assert.Assert(t, p.HasOtherVersion("engines", "v1"))
	assert.Assert(t, !p.HasOtherVersion("others", "v1"))
}
