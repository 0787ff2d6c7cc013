// Package director serves the directory, which tells callers to which entry
// instances they should send requests, in order of preference.
package director

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/boragehead/boragehead/internal/authenticator"
	"github.com/boragehead/boragehead/internal/exchanger"
	"github.com/boragehead/boragehead/internal/gossiper"
	"github.com/boragehead/boragehead/internal/granter"
)

// TTL is how long a caller may cache a directory response.
const TTL = 10 * time.Second

// OrderInstances returns the ready instances in the order in which a caller
// should try them. hashKey is the workspace or, for a caller without a key, its
// IP address; rendezvous hashing by it spreads callers over the instances. If
// homeRegion is not empty, as for workspaces that are bound to it, only its
// instances are returned, without those whose address has gone to another region.
// Instances in ownRegion come before those in other
// regions, and within each of these two groups the holders of the workspace's
// grants come first.
func OrderInstances(hashKey, homeRegion, ownRegion string, entries []gossiper.Entry) []gossiper.Entry {
	latest := latestByAddress(entries)
	byName := map[string]gossiper.Entry{}
	var local, remote []granter.Instance
	for _, entry := range entries {
		if entry.State != gossiper.StateReady || homeRegion != "" && entry.Region != homeRegion {
			continue
		}
		// An instance has ended, though it still counts as live, once another
		// region has its address.
		if later := latest[entry.CallerAddress]; later.Incarnation > entry.Incarnation && later.Region != entry.Region {
			continue
		}
		byName[entry.Name] = entry
		instance := granter.Instance{Name: entry.Name, Region: entry.Region, FailureDomain: entry.FailureDomain}
		if entry.Region == ownRegion {
			local = append(local, instance)
			continue
		}
		remote = append(remote, instance)
	}
	var ordered []gossiper.Entry
	for _, instance := range slices.Concat(holdersFirst(hashKey, local), holdersFirst(hashKey, remote)) {
		ordered = append(ordered, byName[instance.Name])
	}
	return ordered
}

// latestByAddress returns the instance that started last at each address.
func latestByAddress(entries []gossiper.Entry) map[netip.AddrPort]gossiper.Entry {
	latest := make(map[netip.AddrPort]gossiper.Entry, len(entries))
	for _, entry := range entries {
		if known, exists := latest[entry.CallerAddress]; !exists || entry.Incarnation > known.Incarnation {
			latest[entry.CallerAddress] = entry
		}
	}
	return latest
}

func holdersFirst(hashKey string, instances []granter.Instance) []granter.Instance {
	ranked := granter.Rank(hashKey, instances)
	holders := granter.Holders(hashKey, "", instances)
	slices.SortStableFunc(ranked, func(a, b granter.Instance) int {
		return holderRank(slices.Contains(holders, a)) - holderRank(slices.Contains(holders, b))
	})
	return ranked
}

func holderRank(isHolder bool) int {
	if isHolder {
		return 0
	}
	return 1
}

// URL returns the base URL that callers use for an instance.
func URL(entry gossiper.Entry) string {
	if entry.CallerTLS {
		return "https://" + entry.CallerAddress.String()
	}
	return "http://" + entry.CallerAddress.String()
}

// Fleet lists all known entry instances, this one included.
type Fleet interface {
	Instances() []gossiper.Entry
}

// Director is the http.Handler of GET /v1/instances. These requests do not pass
// through the router and the other filters of the request chain, so the Director
// identifies the caller itself.
type Director struct {
	region string
	fleet  Fleet
	auth   *authenticator.Authenticator
}

// New returns the Director of an instance that runs in a region.
func New(region string, fleet Fleet, auth *authenticator.Authenticator) *Director {
	return &Director{region: region, fleet: fleet, auth: auth}
}

// directoryResponse is the JSON body of the directory's response.
type directoryResponse struct {
	Instances  []directoryEntry `json:"instances"`
	TTLSeconds int              `json:"ttl-seconds"`
}

type directoryEntry struct {
	Name          string `json:"name"`
	URL           string `json:"url"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure-domain"`
}

// ServeHTTP implements http.Handler. For a caller without a key, the instances are
// ordered by the caller's IP address.
func (d *Director) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	hashKey, homeRegion := callerHost(r.RemoteAddr), ""
	workspace, hasKey, refusal := d.auth.Identify(r)
	if refusal != nil {
		refusal.Write(w, "")
		return
	}
	if hasKey {
		hashKey, homeRegion = workspace.Name, workspace.HomeRegion
	}
	entries := OrderInstances(hashKey, homeRegion, d.region, d.fleet.Instances())
	if len(entries) == 0 {
		exchanger.Refuse(http.StatusServiceUnavailable, exchanger.CodeHomeUnreachable, "no instance for this caller can be reached from here").
			WithRetryAfter(TTL).Write(w, "")
		return
	}
	response := directoryResponse{TTLSeconds: int(TTL.Seconds())}
	for _, entry := range entries {
		response.Instances = append(response.Instances, directoryEntry{
			Name: entry.Name, URL: URL(entry), Region: entry.Region, FailureDomain: entry.FailureDomain,
		})
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "private, max-age=10")
	_ = json.NewEncoder(w).Encode(response)
}

func callerHost(address string) string {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return address
	}
	return parsed.Addr().String()
}
