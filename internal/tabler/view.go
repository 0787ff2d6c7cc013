package tabler

import (
	"cmp"
	"errors"
	"slices"
	"strings"
)

// Errors of looking a request up.
var (
	// ErrNoKey means that no key is known by the secret.
	ErrNoKey = errors.New("unknown key")
	// ErrWithdrawn means that the key was withdrawn.
	ErrWithdrawn = errors.New("withdrawn key")
	// ErrNoRoute means that no route matches.
	ErrNoRoute = errors.New("unknown route")
)

// View is an immutable form of a state for looking requests up. Views are
// shared between goroutines.
type View struct {
	Revision   Revision
	keys       map[string]Key
	keyIDs     map[string]string
	workspaces map[string]Workspace
	pools      map[string]Pool
	routes     map[string]Route
	exact      map[string][]Route
	prefixes   []Route
	regions    []Region
	instances  map[string]Instance
}

// NewView compiles a state.
func NewView(state *State) *View {
	v := &View{
		Revision:   state.Revision,
		keys:       make(map[string]Key, len(state.Keys)),
		keyIDs:     make(map[string]string, len(state.Keys)),
		workspaces: make(map[string]Workspace, len(state.Workspaces)),
		pools:      make(map[string]Pool, len(state.Pools)),
		routes:     make(map[string]Route, len(state.Routes)),
		exact:      map[string][]Route{},
		instances:  map[string]Instance{},
		regions:    state.Regions.values(),
	}
	for _, item := range state.Keys {
		v.keys[item.Value.Hash] = item.Value
		v.keyIDs[item.Value.ID] = item.Value.Hash
	}
	for name, item := range state.Workspaces {
		v.workspaces[name] = item.Value
	}
	for name, item := range state.Pools {
		v.pools[name] = item.Value
	}
	for name, item := range state.Instances {
		v.instances[name] = item.Value
	}
	v.addRoutes(state.Routes.values())
	return v
}

func (v *View) addRoutes(routes []Route) {
	for _, route := range routes {
		v.routes[route.Name] = route
		if strings.HasSuffix(route.Path, "/") {
			v.prefixes = append(v.prefixes, route)
			continue
		}
		v.exact[route.Path] = append(v.exact[route.Path], route)
	}
	slices.SortStableFunc(v.prefixes, func(a, b Route) int { return cmp.Compare(len(b.Path), len(a.Path)) })
}

// Key returns the key of a secret's hash, or ErrNoKey or ErrWithdrawn.
func (v *View) Key(hash string) (Key, error) {
	key, known := v.keys[hash]
	switch {
	case !known:
		return Key{}, ErrNoKey
	case key.Withdrawn:
		return Key{}, ErrWithdrawn
	}
	return key, nil
}

// KeyByID returns a key by the name that operators know.
func (v *View) KeyByID(id string) (Key, bool) {
	key, known := v.keys[v.keyIDs[id]]
	return key, known
}

// Workspace returns a workspace by name.
func (v *View) Workspace(name string) (Workspace, bool) {
	workspace, known := v.workspaces[name]
	return workspace, known
}

// Workspaces calls a function for every workspace.
func (v *View) Workspaces(each func(Workspace)) {
	for _, workspace := range v.workspaces {
		each(workspace)
	}
}

// Pool returns a pool by name.
func (v *View) Pool(name string) (Pool, bool) {
	pool, known := v.pools[name]
	return pool, known
}

// Regions returns all regions, sorted by name.
func (v *View) Regions() []Region {
	return v.regions
}

// Draining reports whether operators drain an instance.
func (v *View) Draining(instance string) bool {
	return v.instances[instance].Draining
}

// RouteByName returns a route by name.
func (v *View) RouteByName(name string) (Route, bool) {
	route, known := v.routes[name]
	return route, known
}

// Candidates returns the routes whose path matches, the most exact first.
func (v *View) Candidates(path string) []Route {
	if routes := v.exact[path]; len(routes) > 0 {
		return routes
	}
	for i, route := range v.prefixes {
		if strings.HasPrefix(path, route.Path) {
			return samePath(v.prefixes[i:])
		}
	}
	return nil
}

func samePath(routes []Route) []Route {
	for i := range routes {
		if routes[i].Path != routes[0].Path {
			return routes[:i]
		}
	}
	return routes
}

// Route picks among the candidates of a path: a route that names the model
// goes before one that names none.
func (v *View) Route(path, model string) (Route, error) {
	fallback := -1
	candidates := v.Candidates(path)
	for i, route := range candidates {
		if route.Model == "" {
			fallback = i
			continue
		}
		if route.Model == model {
			return route, nil
		}
	}
	if fallback < 0 {
		return Route{}, ErrNoRoute
	}
	return candidates[fallback], nil
}
