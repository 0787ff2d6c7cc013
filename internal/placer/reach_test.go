package placer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCrashedServersCutInstanceOff guards against an instance that takes itself to be cut off
// because the servers that it probes again have crashed, while it reaches others.
func TestCrashedServersCutInstanceOff(t *testing.T) {
	p := newPlacer(20)
	crashed := map[string]bool{}
	crash := func(now time.Time, names ...string) {
		for _, name := range names {
			crashed[name] = true
			request := shortPromptRequest(now, 5)
			for other := range p.serversByName {
				if other != name {
					request.TriedServers = append(request.TriedServers, other)
				}
			}
			assert.Equal(t, p.Place(now, request).Server.Name, name)
			p.Finish(now, request.ID, OutcomeUnreachable)
		}
	}
	probe := func(now time.Time) {
		var probes []Probe
		for _, server := range p.ServersToProbe(now) {
			probes = append(probes, Probe{Server: server, Reached: !crashed[server.Name]})
		}
		p.RecordProbes(now, probes)
		assert.Assert(t, !p.CutOff())
	}
	crash(start, "engines-0", "engines-1")
	probe(start)
	later := start.Add(minProbeInterval / 2)
	crash(later, "engines-2", "engines-3")
	probe(later) // those that were unreachable before alone
	probe(start.Add(2 * minProbeInterval))
}
