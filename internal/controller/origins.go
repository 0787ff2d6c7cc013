package controller

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/boragehead/boragehead/internal/certifier"
	"github.com/boragehead/boragehead/internal/conductor"
	"github.com/boragehead/boragehead/internal/logger"
	"github.com/boragehead/boragehead/internal/registrar"
	"github.com/boragehead/boragehead/internal/versioner"
)

// Calls about the software versions by which streams began.
const (
	// MethodReportOrigins is the call with which an entry instance reports by which
	// versions streams began. It takes an OriginReport.
	MethodReportOrigins = "origins-report"
	// MethodOrigin is the call with which an entry instance asks by which version a stream
	// began. It takes an OriginQuery.
	MethodOrigin = "origin-ask"
	// methodForwardOrigins is the call with which a control instance passes reports on to
	// the others.
	methodForwardOrigins = "origins-tell"
)

// OriginReport carries the origins of streams.
type OriginReport struct {
	Origins []versioner.Origin `cbor:"o"`
}

// OriginReportAnswer is the answer to an OriginReport.
type OriginReportAnswer struct{}

// OriginQuery asks for the origin of a stream of a service.
type OriginQuery struct {
	Stream  versioner.StreamID `cbor:"s"`
	Service string             `cbor:"r"`
}

// OriginAnswer is the answer to an OriginQuery. Version is set if the stream is known.
// Otherwise SoleVersion is set if the answering process has heard of no other version of the
// service for longer than streams last. All Controls must say so: a process that was cut
// off or stood still has not heard what the others have.
type OriginAnswer struct {
	Version     string `cbor:"v,omitempty"`
	SoleVersion string `cbor:"o,omitempty"`
	// Controls are the peer addresses of all control instances that may have heard of
	// another version, the answering one included; set together with SoleVersion, but not by
	// processes of an earlier release.
	Controls []string `cbor:"c,omitempty"`
}

const (
	// originInterval is how long reports are batched before they are forwarded.
	originInterval = 200 * time.Millisecond
	// maxPendingOrigins bounds the origins that wait to be forwarded. More are dropped;
	// this control instance still has them.
	maxPendingOrigins = 1 << 14
	// originExpiryInterval is the time between two looks for streams that have ended.
	originExpiryInterval = 5 * time.Second
	// versionsSettledAfter is how long after its start a control instance has heard all
	// servers that live.
	versionsSettledAfter = registrar.SilenceTimeout + time.Second
)

// originKeeper is what a control instance knows of versions. It is guarded by
// Controller.mu.
type originKeeper struct {
	table   versioner.Table
	pending []versioner.Origin
	history versioner.History
	// mixed is what watches are told.
	mixed MixedServices
}

// MixedServices tells which services have servers of several versions, or had them not long
// ago, so that the origins of their streams must be reported.
type MixedServices struct {
	// Names are the names of the services, sorted.
	Names []string `cbor:"n,omitempty"`
	// All means that every service may be one, since the answering process does not hear
	// all servers.
	All bool `cbor:"a,omitempty"`
	// Hash identifies the other fields; never 0.
	Hash uint64 `cbor:"h"`
}

func newMixedServices(names []string, all bool) MixedServices {
	text := strings.Join(names, "\x00")
	if all {
		text += "\x00\x00all"
	}
	return MixedServices{Names: names, All: all, Hash: max(xxhash.Sum64String(text), 1)}
}

// updateMixedServices finds out which services have several versions. Departed and silent
// servers, and earlier starts of a name, count for longer than streams last; a server without
// a known version counts as one of another version. It reports whether that changed. c.mu
// must be held.
func (c *Controller) updateMixedServices(now time.Time, members []string) bool {
	for _, server := range c.servers.Since(now, 0) {
		if server.Service != "" { // no tombstone of a server that was never heard
			c.origins.history.Record(server.Service, server.Version, now.Add(-server.Age))
		}
	}
	updated := newMixedServices(c.origins.history.Mixed(now), !c.hearsAllServers(now, members))
	changed := updated.Hash != c.origins.mixed.Hash
	if changed {
		klog.InfoS("services with several versions", "services", updated.Names, "all", updated.All)
	}
	c.origins.mixed = updated
	return changed
}

// hearsAllServers reports whether this control instance has heard the servers of the whole
// fleet: it has run for long enough and has lately exchanged tables with each of the others
// that are members of the group or were heard. c.mu must be held.
func (c *Controller) hearsAllServers(now time.Time, members []string) bool {
	if now.Sub(time.Unix(0, c.epoch)) < versionsSettledAfter || len(members) == 0 {
		return false // without the group it does not know the others
	}
	self := c.settings.PeerAddress.String()
	controls := c.hearingControls(members)
	limit := time.Duration(len(controls)+1) * exchangeInterval
	for _, address := range controls {
		if address != self && now.Sub(c.peers.controls[address]) > limit {
			return false
		}
	}
	return true
}

// hearingControls returns the peer addresses of the control instances to which servers may
// announce themselves: this one, the members of the group, and those that were heard. c.mu
// must be held.
func (c *Controller) hearingControls(members []string) []string {
	controls := append([]string{c.settings.PeerAddress.String()}, members...)
	for address := range c.peers.controls {
		controls = append(controls, address)
	}
	slices.Sort(controls)
	return slices.Compact(controls)
}

// memberNames returns the peer addresses of the group's members. c.mu must not be held.
func (c *Controller) memberNames() []string {
	var names []string
	for _, member := range c.group.Status().Members {
		names = append(names, member.Name)
	}
	return names
}

func (c *Controller) serveReportOrigins(_ context.Context, _ certifier.Identity, report OriginReport) (OriginReportAnswer, error) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, origin := range report.Origins {
		if c.origins.table.Add(now, origin) && len(c.origins.pending) < maxPendingOrigins {
			c.origins.pending = append(c.origins.pending, origin)
		}
	}
	return OriginReportAnswer{}, nil
}

func (c *Controller) serveForwardOrigins(_ context.Context, _ certifier.Identity, report OriginReport) (OriginReportAnswer, error) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, origin := range report.Origins {
		c.origins.table.Add(now, origin)
	}
	return OriginReportAnswer{}, nil
}

func (c *Controller) serveOrigin(_ context.Context, _ certifier.Identity, query OriginQuery) (OriginAnswer, error) {
	now, members := time.Now(), c.memberNames()
	c.mu.Lock()
	defer c.mu.Unlock()
	if version, known := c.origins.table.Version(now, query.Stream); known {
		return OriginAnswer{Version: version}, nil
	}
	c.updateMixedServices(now, members)
	if c.origins.mixed.All || slices.Contains(c.origins.mixed.Names, query.Service) {
		return OriginAnswer{}, nil
	}
	for _, server := range c.servers.Since(now, 0) {
		if server.Service == query.Service {
			return OriginAnswer{SoleVersion: server.Version, Controls: c.hearingControls(members)}, nil
		}
	}
	return OriginAnswer{}, nil
}

// runOrigins forwards the reports of entry instances to the other control instances and
// drops the streams that have ended.
func (c *Controller) runOrigins(ctx context.Context) error {
	lastExpiry := time.Now()
	return conductor.RunEvery(ctx, originInterval, func(ctx context.Context) {
		now, members := time.Now(), c.memberNames()
		c.mu.Lock()
		if now.Sub(lastExpiry) >= originExpiryInterval {
			c.origins.table.Expire(now)
			lastExpiry = now
		}
		if c.updateMixedServices(now, members) {
			c.notifyWatchers()
		}
		pending := c.origins.pending
		c.origins.pending = nil
		c.mu.Unlock()
		if len(pending) == 0 {
			return
		}
		for _, address := range c.otherControls() {
			go func() {
				if _, err := call[OriginReport, OriginReportAnswer](ctx, c, address, methodForwardOrigins, OriginReport{Origins: pending}); err != nil {
					klog.V(2).InfoS("cannot forward the origins of streams", "to", address, "streams", len(pending), "err", logger.ErrorText(err))
				}
			}()
		}
	})
}
