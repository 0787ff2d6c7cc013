package definer

import (
	"errors"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Lookup errors.
var (
	// ErrNoRoute means that no route matches the host and path.
	ErrNoRoute = errors.New("no route")
	// ErrNoKey means that no workspace holds the key.
	ErrNoKey = errors.New("unknown key")
)

// View is a definition with indexes for lookups. It must not be modified and is
// safe for concurrent use.
type View struct {
	Definition
	// routesByHost maps a normalized host to its routes by path prefix.
	routesByHost     map[string]map[string]*Route
	servicesByName   map[string]*Service
	workspacesByKey  map[string]*Workspace
	workspacesByName map[string]*Workspace
}

// NewView indexes a definition, which should have passed Check. The view keeps
// the slices of the definition.
func NewView(d Definition) *View {
	v := &View{
		Definition:       d,
		routesByHost:     map[string]map[string]*Route{},
		servicesByName:   map[string]*Service{},
		workspacesByKey:  map[string]*Workspace{},
		workspacesByName: map[string]*Workspace{},
	}
	for i := range d.Routes {
		route := &d.Routes[i]
		host := normalizeHost(route.Host)
		if v.routesByHost[host] == nil {
			v.routesByHost[host] = map[string]*Route{}
		}
		v.routesByHost[host][route.Prefix] = route
	}
	for i := range d.Services {
		v.servicesByName[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Workspaces {
		workspace := &d.Workspaces[i]
		v.workspacesByName[workspace.Name] = workspace
		for _, key := range workspace.Keys {
			v.workspacesByKey[key] = workspace
		}
	}
	return v
}

// normalizeHost returns a host without its port and in lower case.
func normalizeHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Route returns the route of a host that has the longest matching path prefix, or
// ErrNoRoute. The host may have a port.
func (v *View) Route(host, path string) (*Route, error) {
	routesByPrefix := v.routesByHost[normalizeHost(host)]
	for len(routesByPrefix) > 0 {
		end := strings.LastIndexByte(path, '/')
		if end < 0 {
			break
		}
		if route, known := routesByPrefix[path[:end+1]]; known {
			return route, nil
		}
		path = path[:end]
	}
	return nil, ErrNoRoute
}

// RequiresKey reports whether requests need a key: they do once there is a
// workspace. Open routes are exempt.
func (v *View) RequiresKey() bool {
	return len(v.Workspaces) > 0
}

// WorkspaceByKey returns the workspace that a key belongs to, or ErrNoKey.
func (v *View) WorkspaceByKey(key string) (*Workspace, error) {
	workspace, known := v.workspacesByKey[key]
	if !known {
		return nil, ErrNoKey
	}
	return workspace, nil
}

// Workspace returns the workspace with a name, and whether there is one.
func (v *View) Workspace(name string) (*Workspace, bool) {
	workspace, known := v.workspacesByName[name]
	return workspace, known
}

// Service returns the service with a name, and whether there is one.
func (v *View) Service(name string) (*Service, bool) {
	service, known := v.servicesByName[name]
	return service, known
}

// ChooseService returns the name of the service that serves the request with an
// ID. It hashes the ID, so that the services get requests by weight and the same
// ID always gets the same service. It returns "" if the weights add up to 0.
func (r *Route) ChooseService(id string) string {
	totalWeight := 0
	for _, target := range r.Targets {
		totalWeight += target.Weight
	}
	if totalWeight <= 0 {
		return ""
	}
	offset := int(xxhash.Sum64String(id) % uint64(totalWeight))
	for _, target := range r.Targets {
		if offset -= target.Weight; offset < 0 {
			return target.Service
		}
	}
	return ""
}

// AllowedRegions returns the regions that may serve a route for a workspace,
// which may be nil. If bound is false, any region may; otherwise only those
// returned, which may be none.
func AllowedRegions(route *Route, workspace *Workspace) (regions []string, bound bool) {
	if workspace == nil || len(workspace.Homes) == 0 {
		return route.Homes, len(route.Homes) > 0
	}
	if len(route.Homes) == 0 {
		return workspace.Homes, true
	}
	for _, region := range route.Homes {
		if slices.Contains(workspace.Homes, region) {
			regions = append(regions, region)
		}
	}
	return regions, true
}

// EffectivePriority returns the effective priority of a request; 0 is the most
// urgent. The workspace may be nil.
func EffectivePriority(route *Route, workspace *Workspace) int {
	if workspace != nil && workspace.Priority != nil {
		return *workspace.Priority
	}
	return route.Priority
}
