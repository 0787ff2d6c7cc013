package forwarder

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/placer"
	"github.com/boragehead/boragehead/internal/registrar"
)

// testFleet places requests at the servers of one region in order and relays to
// one other instance.
type testFleet struct {
	view    *definer.View
	servers []registrar.Server
	// relayRegion, unless empty, is tried once before the servers.
	relayRegion  string
	relayAddress netip.AddrPort
	// relayLast has the region tried after the servers instead.
	relayLast bool
	// starting makes the instance wait for a definition and for servers.
	starting bool
	mu       sync.Mutex
	charged  float64
	outcomes []placer.Outcome
}

func (f *testFleet) View() *definer.View             { return f.view }
func (f *testFleet) Region() string                  { return "north" }
func (f *testFleet) RecentlyStarted() bool           { return f.starting }
func (f *testFleet) InstanceCount() int              { return 2 }
func (f *testFleet) DefinitionBehind() time.Duration { return 0 }
func (f *testFleet) RecordFirstEvent(uint64)         {}

func (f *testFleet) FinishRelay(uint64, bool) {}
func (f *testFleet) Await(_ context.Context, _ placer.Request, _ string, refusal placer.Decision) placer.Decision {
	return refusal
}
func (f *testFleet) RecordNotice(uint64, placer.Notice) {}
func (f *testFleet) RecordOutput(uint64, int)           {}

func (f *testFleet) Place(request placer.Request) placer.Decision {
	mayRelay := f.relayRegion != "" && !request.LocalOnly && len(request.TriedRegions) == 0
	if mayRelay && !f.relayLast {
		return placer.Decision{Region: f.relayRegion}
	}
	for i, server := range f.servers {
		if !contains(request.TriedServers, server.Name) {
			return placer.Decision{Server: &f.servers[i]}
		}
	}
	if mayRelay {
		return placer.Decision{Region: f.relayRegion}
	}
	return placer.Decision{RefusalReason: placer.ReasonNoServer, RetryAfter: time.Second}
}

func (f *testFleet) Finish(_ uint64, outcome placer.Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outcomes = append(f.outcomes, outcome)
}

func (f *testFleet) ChargeQuota(_ string, cost float64) (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.charged += cost
	return 0, true
}

func (f *testFleet) RefundQuota(_ string, cost float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.charged -= cost
}

func (f *testFleet) RelayAddress(string, string) (netip.AddrPort, bool) {
	return f.relayAddress, f.relayAddress.IsValid()
}
