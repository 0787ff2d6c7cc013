package forwarder

import (
	"context"
	"net/netip"
	"time"

	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/placer"
)

// Fleet gives access to the current definition, to placement, to quotas and to
// the entry instances of other regions. Its methods must be safe for concurrent
// use.
type Fleet interface {
	// View returns the definition in force, or nil if none is known yet.
	View() *definer.View
	// DefinitionBehind returns how long a newer definition than the one in force
	// here has been known of, or 0 if none is.
	DefinitionBehind() time.Duration
	// DefinitionReachable reports whether a control instance in contact has a newer
	// definition than the one in force here, which this instance could decode.
	DefinitionReachable() bool
	// DefinitionUnconfirmed returns how long ago it was last known that no newer
	// definition had been accepted than this instance knows of.
	DefinitionUnconfirmed() time.Duration
	// RecentlyStarted reports whether this instance started so recently that it
	// may not yet know all servers and instances, or the definition.
	RecentlyStarted() bool
	// Region returns the region of this instance.
	Region() string
	// Place decides where a request runs. A placement at a server must be ended
	// with Finish.
	Place(request placer.Request) placer.Decision
	// Await lets a request wait that Place has refused with a time until which it may
	// wait. It returns a placement, or the refusal.
	Await(ctx context.Context, request placer.Request, workspace string, refusal placer.Decision) placer.Decision
	// RecordFirstEvent records that the first byte of the response to a placed
	// request has arrived.
	RecordFirstEvent(id uint64)
	// RecordNotice records what the server of a placed request says about itself in
	// its response.
	RecordNotice(id uint64, notice placer.Notice)
	// RecordOutput records that the response to a placed request was a stream of some
	// events, the last of which has just arrived.
	RecordOutput(id uint64, events int)
	// Finish ends the placement of a request at a server.
	Finish(id uint64, outcome placer.Outcome)
	// FinishRelay records whether the other region took a request that Place had
	// relayed there.
	FinishRelay(id uint64, accepted bool)
	// ChargeQuota charges a workspace. If its quota is used up, ChargeQuota
	// charges nothing and returns false with the time until the charge would
	// succeed.
	ChargeQuota(workspace string, cost float64) (time.Duration, bool)
	// RefundQuota returns a charge for a request that did not run.
	RefundQuota(workspace string, cost float64)
	// RelayAddress returns the relay address of an entry instance in a region, of the
	// one with a name unless that is empty, or false if none is reachable.
	RelayAddress(region, instance string) (netip.AddrPort, bool)
	// InstanceCount returns the number of known entry instances, including this
	// one.
	InstanceCount() int
}

// Metrics receives the forwarder's counters and durations. Its methods must be
// safe for concurrent use.
type Metrics interface {
	// Count adds one to a counter.
	Count(name string)
	// Observe adds a duration to a histogram.
	Observe(name string, took time.Duration)
	// ObserveRatio adds a ratio to the histogram of a service.
	ObserveRatio(name, service string, ratio float64)
}
