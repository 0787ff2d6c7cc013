package definer

import (
	"errors"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Errors of looking a request up.
var (
	// ErrNoRoute means that no route matches the host and path.
	ErrNoRoute = errors.New("no route")
	// ErrNoKey means that no workspace holds the key.
	ErrNoKey = errors.New("unknown key")
)

// View is a definition compiled for lookups. It is immutable and shared
// between goroutines.
type View struct {
	Definition
	routes     map[string]map[string]*Route
	services   map[string]*Service
	keys       map[string]*Workspace
	workspaces map[string]*Workspace
}

// NewView compiles a definition.
func NewView(d Definition) *View {
	v := &View{
		Definition: d,
		routes:     map[string]map[string]*Route{},
		services:   map[string]*Service{},
		keys:       map[string]*Workspace{},
		workspaces: map[string]*Workspace{},
	}
	for i := range d.Routes {
		route := &d.Routes[i]
		host := hostName(route.Host)
		if v.routes[host] == nil {
			v.routes[host] = map[string]*Route{}
		}
		v.routes[host][route.Prefix] = route
	}
	for i := range d.Services {
		v.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Workspaces {
		workspace := &d.Workspaces[i]
		v.workspaces[workspace.Name] = workspace
		for _, key := range workspace.Keys {
			v.keys[key] = workspace
		}
	}
	return v
}

// hostName returns a host in the form that is compared: without a port, in
// lower case.
func hostName(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// Route returns the route with the longest prefix of a path, or ErrNoRoute.
func (v *View) Route(host, path string) (*Route, error) {
	prefixes := v.routes[hostName(host)]
	for len(prefixes) > 0 {
		end := strings.LastIndexByte(path, '/')
		if end < 0 {
			break
		}
		if route, known := prefixes[path[:end+1]]; known {
			return route, nil
		}
		path = path[:end]
	}
	return nil, ErrNoRoute
}

// Keyed reports whether requests need a key.
func (v *View) Keyed() bool {
	return len(v.Workspaces) > 0
}

// Owner returns the workspace that holds a key, or ErrNoKey.
func (v *View) Owner(key string) (*Workspace, error) {
	workspace, known := v.keys[key]
	if !known {
		return nil, ErrNoKey
	}
	return workspace, nil
}

// Workspace returns a workspace by name.
func (v *View) Workspace(name string) (*Workspace, bool) {
	workspace, known := v.workspaces[name]
	return workspace, known
}

// Service returns a service by name.
func (v *View) Service(name string) (*Service, bool) {
	service, known := v.services[name]
	return service, known
}

// Choose returns the service that serves a request of a route. The same id
// always gets the same one.
func (r *Route) Choose(id string) string {
	total := 0
	for _, target := range r.Targets {
		total += target.Weight
	}
	if total <= 0 {
		return ""
	}
	at := int(xxhash.Sum64String(id) % uint64(total))
	for _, target := range r.Targets {
		if at -= target.Weight; at < 0 {
			return target.Service
		}
	}
	return ""
}

// Homes returns the regions that may serve a route for a workspace, which may
// be nil. Unbound means that any region may.
func Homes(route *Route, workspace *Workspace) (regions []string, bound bool) {
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

// Urgency returns the rank of a request; 0 is the most urgent.
func Urgency(route *Route, workspace *Workspace) int {
	if workspace != nil && workspace.Priority != nil {
		return *workspace.Priority
	}
	return route.Priority
}
