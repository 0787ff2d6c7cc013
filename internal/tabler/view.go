package tabler

import (
	"cmp"
	"errors"
	"slices"
	"strings"
)

// Errors of lookups.
var (
	// ErrNoKey means that no key has this hash.
	ErrNoKey = errors.New("unknown key")
	// ErrWithdrawn means that the key was withdrawn.
	ErrWithdrawn = errors.New("withdrawn key")
	// ErrNoRoute means that no route matches.
	ErrNoRoute = errors.New("unknown route")
)

// View is an immutable form of a state with indexes for lookups. It is safe for
// concurrent use.
type View struct {
	Revision         Revision
	keysByHash       map[string]Key
	hashesByKeyID    map[string]string
	workspacesByName map[string]Workspace
	poolsByName      map[string]Pool
	routesByName     map[string]Route
	routesByPath     map[string][]Route
	prefixRoutes     []Route
	regions          []Region
	instancesByName  map[string]Instance
}

// NewView returns a view of a state. Later changes of the state do not affect it.
func NewView(state *State) *View {
	v := &View{
		Revision:         state.Revision,
		keysByHash:       make(map[string]Key, len(state.Keys)),
		hashesByKeyID:    make(map[string]string, len(state.Keys)),
		workspacesByName: make(map[string]Workspace, len(state.Workspaces)),
		poolsByName:      make(map[string]Pool, len(state.Pools)),
		routesByName:     make(map[string]Route, len(state.Routes)),
		routesByPath:     map[string][]Route{},
		instancesByName:  map[string]Instance{},
		regions:          state.Regions.sortedValues(),
	}
	for _, item := range state.Keys {
		v.keysByHash[item.Value.Hash] = item.Value
		v.hashesByKeyID[item.Value.ID] = item.Value.Hash
	}
	for name, item := range state.Workspaces {
		v.workspacesByName[name] = item.Value
	}
	for name, item := range state.Pools {
		v.poolsByName[name] = item.Value
	}
	for name, item := range state.Instances {
		v.instancesByName[name] = item.Value
	}
	v.addRoutes(state.Routes.sortedValues())
	return v
}

// addRoutes indexes the routes: those with an exact path by path, those with a
// prefix by descending length.
func (v *View) addRoutes(routes []Route) {
	for _, route := range routes {
		v.routesByName[route.Name] = route
		if strings.HasSuffix(route.Path, "/") {
			v.prefixRoutes = append(v.prefixRoutes, route)
			continue
		}
		v.routesByPath[route.Path] = append(v.routesByPath[route.Path], route)
	}
	slices.SortStableFunc(v.prefixRoutes, func(a, b Route) int { return cmp.Compare(len(b.Path), len(a.Path)) })
}

// Key returns the key with the given hash, or ErrNoKey or ErrWithdrawn.
func (v *View) Key(hash string) (Key, error) {
	key, known := v.keysByHash[hash]
	switch {
	case !known:
		return Key{}, ErrNoKey
	case key.Withdrawn:
		return Key{}, ErrWithdrawn
	}
	return key, nil
}

// KeyByID returns the key with the given Key.ID, even if it is withdrawn.
func (v *View) KeyByID(id string) (Key, bool) {
	key, known := v.keysByHash[v.hashesByKeyID[id]]
	return key, known
}

// Workspace returns a workspace by name.
func (v *View) Workspace(name string) (Workspace, bool) {
	workspace, known := v.workspacesByName[name]
	return workspace, known
}

// Workspaces calls visit for every workspace, in no particular order.
func (v *View) Workspaces(visit func(Workspace)) {
	for _, workspace := range v.workspacesByName {
		visit(workspace)
	}
}

// Pool returns a pool by name.
func (v *View) Pool(name string) (Pool, bool) {
	pool, known := v.poolsByName[name]
	return pool, known
}

// Regions returns all regions, sorted by name. The caller must not change them.
func (v *View) Regions() []Region {
	return v.regions
}

// Draining reports whether operators have set an instance to drain.
func (v *View) Draining(instance string) bool {
	return v.instancesByName[instance].Draining
}

// RouteByName returns a route by name.
func (v *View) RouteByName(name string) (Route, bool) {
	route, known := v.routesByName[name]
	return route, known
}

// RoutesForPath returns the routes with the most specific path that matches: the
// exact path or, if there is none, the longest prefix.
func (v *View) RoutesForPath(path string) []Route {
	if routes := v.routesByPath[path]; len(routes) > 0 {
		return routes
	}
	for i, route := range v.prefixRoutes {
		if strings.HasPrefix(path, route.Path) {
			return leadingSamePath(v.prefixRoutes[i:])
		}
	}
	return nil
}

// leadingSamePath returns the leading routes that have the path of the first one.
func leadingSamePath(routes []Route) []Route {
	for i := range routes {
		if routes[i].Path != routes[0].Path {
			return routes[:i]
		}
	}
	return routes
}

// Route returns the route for a path and a model, or ErrNoRoute. Among the routes
// for the path, one for this model takes precedence over one for any model.
func (v *View) Route(path, model string) (Route, error) {
	anyModel := -1
	routes := v.RoutesForPath(path)
	for i, route := range routes {
		if route.Model == "" {
			anyModel = i
			continue
		}
		if route.Model == model {
			return route, nil
		}
	}
	if anyModel < 0 {
		return Route{}, ErrNoRoute
	}
	return routes[anyModel], nil
}
