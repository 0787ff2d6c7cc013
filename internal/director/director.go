// Package director tells callers which instances to use, and in which order.
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

// TTL is how long a caller may keep a directory.
const TTL = 10 * time.Second

// Order returns the instances that take work, for a name that spreads callers:
// the home region only for bound workspaces; otherwise the own region first.
// In each region the holders of the workspace's grants come first.
func Order(name, homeRegion, ownRegion string, entries []gossiper.Entry) []gossiper.Entry {
	byName := map[string]gossiper.Entry{}
	var own, other []granter.Instance
	for _, entry := range entries {
		if entry.State != gossiper.StateReady || homeRegion != "" && entry.Region != homeRegion {
			continue
		}
		byName[entry.Name] = entry
		instance := granter.Instance{Name: entry.Name, Region: entry.Region, FailureDomain: entry.FailureDomain}
		if entry.Region == ownRegion {
			own = append(own, instance)
			continue
		}
		other = append(other, instance)
	}
	var ordered []gossiper.Entry
	for _, instance := range slices.Concat(holdersFirst(name, own), holdersFirst(name, other)) {
		ordered = append(ordered, byName[instance.Name])
	}
	return ordered
}

func holdersFirst(name string, instances []granter.Instance) []granter.Instance {
	ranked := granter.Rank(name, instances)
	holders := granter.Holders(name, "", instances)
	slices.SortStableFunc(ranked, func(a, b granter.Instance) int {
		return order(slices.Contains(holders, a)) - order(slices.Contains(holders, b))
	})
	return ranked
}

func order(first bool) int {
	if first {
		return 0
	}
	return 1
}

// URL returns the base URL of an instance for callers.
func URL(entry gossiper.Entry) string {
	if entry.Secure {
		return "https://" + entry.Public.String()
	}
	return "http://" + entry.Public.String()
}

// Fleet tells of all instances, this one included.
type Fleet interface {
	All() []gossiper.Entry
}

// Director answers GET /v1/instances. It takes the place of the router in
// the directory's own chain.
type Director struct {
	region string
	fleet  Fleet
	auth   *authenticator.Authenticator
}

// New returns the directory of an instance in a region.
func New(region string, fleet Fleet, auth *authenticator.Authenticator) *Director {
	return &Director{region: region, fleet: fleet, auth: auth}
}

// directory is the answer's JSON form.
type directory struct {
	Instances  []place `json:"instances"`
	TTLSeconds int     `json:"ttl-seconds"`
}

type place struct {
	Name          string `json:"name"`
	URL           string `json:"url"`
	Region        string `json:"region"`
	FailureDomain string `json:"failure-domain"`
}

// ServeHTTP implements http.Handler. A caller without a key is ordered by its
// address.
func (d *Director) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	name, home := callerHost(r.RemoteAddr), ""
	key, shown, refusal := d.auth.Identify(r)
	if refusal != nil {
		refusal.Write(w, "")
		return
	}
	if shown {
		name, home = key.Workspace, key.HomeRegion
		if !d.auth.Bound(key) {
			home = ""
		}
	}
	entries := Order(name, home, d.region, d.fleet.All())
	if len(entries) == 0 {
		exchanger.Refuse(http.StatusServiceUnavailable, exchanger.CodeHomeUnreachable, "no instance for this caller can be reached from here").
			After(TTL).Write(w, "")
		return
	}
	answer := directory{TTLSeconds: int(TTL.Seconds())}
	for _, entry := range entries {
		answer.Instances = append(answer.Instances, place{
			Name: entry.Name, URL: URL(entry), Region: entry.Region, FailureDomain: entry.FailureDomain,
		})
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "private, max-age=10")
	_ = json.NewEncoder(w).Encode(answer)
}

func callerHost(address string) string {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return address
	}
	return parsed.Addr().String()
}
