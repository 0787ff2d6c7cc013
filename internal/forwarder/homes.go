package forwarder

import (
	"slices"
	"time"

	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/placer"
)

const (
	// maxBehind is how long calls are served by a definition that is known to have been
	// replaced. A new definition usually arrives within a fraction of it,
	// and must be in force everywhere within three seconds.
	maxBehind = 1500 * time.Millisecond
	// behindRetryAfter is the time after which a caller should try again.
	behindRetryAfter = 200 * time.Millisecond
	// reasonDefinitionBehind is why calls are refused that a newer definition may decide
	// otherwise.
	reasonDefinitionBehind = "definition-behind"
)

// isOutdated reports whether a newer definition may decide a call otherwise: this
// instance knows of one and has failed to get it for some time. An instance that is
// cut off goes on with calls that are not bound. A relayed call may have been decided
// by a newer definition than the one here.
func (f *Forwarder) isOutdated(call *Call) bool {
	if f.fleet.DefinitionBehind() <= maxBehind || !call.HomeRegionsOnly && !f.fleet.DefinitionReachable() {
		return false
	}
	view := f.fleet.View()
	return view != nil && call.homesVersion <= view.Version
}

// restrictHomes takes over the homes that a call has by a definition that came into
// force after the call was decided. A region must then be allowed by both. A route
// that was dropped since restricts nothing more.
func (f *Forwarder) restrictHomes(call *Call) {
	view := f.fleet.View()
	if view == nil || view.Version <= call.homesVersion {
		return
	}
	call.homesVersion = view.Version
	route, err := view.Route(call.Request.Host, sentPath(call.Request))
	if err != nil {
		return
	}
	var workspace *definer.Workspace
	if call.Workspace != nil {
		workspace, _ = view.Workspace(call.Workspace.Name)
	}
	regions, bound := definer.AllowedRegions(route, workspace)
	switch {
	case !bound:
	case call.HomeRegionsOnly:
		call.HomeRegions = slices.DeleteFunc(slices.Clone(call.HomeRegions), func(region string) bool { return !slices.Contains(regions, region) })
	default:
		call.HomeRegions, call.HomeRegionsOnly = regions, true
	}
}

// place asks for a placement by the homes that the call has now: time may have
// passed since it arrived or was last tried.
func (f *Forwarder) place(call *Call, request *placer.Request) placer.Decision {
	f.restrictHomes(call)
	if f.isOutdated(call) {
		return placer.Decision{RefusalReason: reasonDefinitionBehind, RetryAfter: behindRetryAfter}
	}
	request.HomeRegions, request.HomeRegionsOnly = call.HomeRegions, call.HomeRegionsOnly
	return f.fleet.Place(*request)
}

// mayServeHere reports whether a call's homes allow this region. The relaying
// instance has asked for that, but its definition may be older than the one in force
// here, and the address that it used may belong to another region by now.
func (f *Forwarder) mayServeHere(call *Call) bool {
	f.restrictHomes(call)
	return !call.HomeRegionsOnly || slices.Contains(call.HomeRegions, f.fleet.Region())
}
