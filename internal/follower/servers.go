package follower

import (
	"maps"
	"net/netip"
	"time"

	"github.com/boragehead/boragehead/internal/registrar"
)

// mergeServerReports merges the control instances' reports and passes the
// servers to the placer. The newest report of each server counts. A server is
// silent if a control instance is in contact and none of those in contact hears
// the server. Servers whose address another one has taken over are left out.
// f.mu must be held.
func (f *Follower) mergeServerReports(now time.Time) {
	view := f.view.Load()
	if view == nil {
		return
	}
	f.merged = f.mergeInputs(now)
	f.forgetDropped(now)
	anyInContact := f.hasControlContact(now)
	heard := f.heardServers(now)
	var known []registrar.Server
	for name, reported := range f.newestReports(now, heard) {
		reported.Silent = anyInContact && !heard[name]
		if reported.State != registrar.StateGone {
			known = append(known, reported)
		}
	}
	isServing := func(s registrar.Server) bool {
		_, defined := view.Service(s.Service)
		return defined
	}
	f.placer.SetServers(now, view, f.claims.withoutDisplaced(now, known, heard, isServing))
}

// heardServers returns the names of the servers that a control instance in contact hears.
func (f *Follower) heardServers(now time.Time) map[string]bool {
	heard := map[string]bool{}
	for _, watch := range f.controlWatches {
		if now.Sub(watch.lastAnswer) >= controlContactTimeout {
			continue
		}
		for name, report := range watch.reportsByServer {
			heard[name] = heard[name] || !report.Silent && report.State != registrar.StateGone
		}
	}
	return heard
}

// newestReports returns the newest report of each server. Of a server that is heard, reports
// that a control instance has dropped since do not count.
func (f *Follower) newestReports(now time.Time, heard map[string]bool) map[string]registrar.Server {
	newest := map[string]registrar.Server{}
	for _, watch := range f.controlWatches {
		for name, report := range watch.reportsByServer {
			reported := report.asOf(now)
			if heard[name] && isDropped(reported) {
				continue
			}
			if best, known := newest[name]; !known || reported.Newer(best) {
				newest[name] = reported
			}
		}
	}
	return newest
}

// isDropped reports whether control instances have dropped a server since they reported it:
// they do not tell.
func isDropped(reported registrar.Server) bool {
	return (reported.Silent || reported.State == registrar.StateGone) && reported.Age > registrar.Retention
}

// forgetDropped removes the reports of servers that all control instances have dropped. While
// one that is out of contact may still say that a server is ready, the others stay: they
// tell that it is not.
func (f *Follower) forgetDropped(now time.Time) {
	kept := map[string]bool{}
	for _, watch := range f.controlWatches {
		for name, report := range watch.reportsByServer {
			kept[name] = kept[name] || !isDropped(report.asOf(now))
		}
	}
	for _, watch := range f.controlWatches {
		maps.DeleteFunc(watch.reportsByServer, func(name string, _ serverReport) bool { return !kept[name] })
	}
	f.forgetDescriptions(len(kept))
}

// claimTrust is how long a server that started later hides one at the same address that is
// still heard. One that has ended is silent by then, also if its last announcement was late.
const claimTrust = 2 * registrar.SilenceTimeout

// serverStart identifies one start of a server.
type serverStart struct {
	name     string
	atMillis int64
}

// addressClaims decides which of several servers at an address are used. The zero value has
// seen none.
type addressClaims struct {
	// since holds when each start of a server was first seen.
	since map[serverStart]time.Time
	// reviewAt is when a server that is hidden may be used again; zero if there is none.
	reviewAt time.Time
}

// withoutDisplaced returns the servers whose address no other one has taken over: one
// that serves, and started later. An entry that only claims so hides another for
// claimTrust at most, or until it is silent itself.
func (c *addressClaims) withoutDisplaced(now time.Time, servers []registrar.Server, heard map[string]bool, isServing func(registrar.Server) bool) []registrar.Server {
	since := make(map[serverStart]time.Time, len(servers))
	byAddress := map[netip.AddrPort][]registrar.Server{}
	for _, s := range servers {
		start := serverStart{name: s.Name, atMillis: s.StartedAtMillis}
		since[start] = now
		if before, seen := c.since[start]; seen {
			since[start] = before
		}
		byAddress[s.Address] = append(byAddress[s.Address], s)
	}
	c.since, c.reviewAt = since, time.Time{}
	var current []registrar.Server
	for _, s := range servers {
		displaced := false
		for _, other := range byAddress[s.Address] {
			if !startedAfter(other, s) || !isServing(other) {
				continue
			}
			trustedUntil := since[serverStart{name: other.Name, atMillis: other.StartedAtMillis}].Add(claimTrust)
			if heard[s.Name] && (other.Silent || !now.Before(trustedUntil)) {
				continue
			}
			displaced = true
			if heard[s.Name] && (c.reviewAt.IsZero() || trustedUntil.Before(c.reviewAt)) {
				c.reviewAt = trustedUntil
			}
		}
		if !displaced {
			current = append(current, s)
		}
	}
	return current
}

// startedAfter reports whether a server started after another one. Of two that started
// at the same time, as far as is known, the name decides.
func startedAfter(a, b registrar.Server) bool {
	if a.StartedAtMillis != b.StartedAtMillis {
		return a.StartedAtMillis > b.StartedAtMillis
	}
	return a.Name < b.Name
}

// isDue reports whether a hidden server may be used again now.
func (c *addressClaims) isDue(now time.Time) bool {
	return !c.reviewAt.IsZero() && !now.Before(c.reviewAt)
}
