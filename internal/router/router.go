// Package router finds the route of a request and where it may lawfully and
// cheaply run.
//
// Bound work reaches only pools in its home region: an instance elsewhere
// sends the caller there before it reads the body. Unbound work is relayed at
// most once: a request that was relayed is served here or refused, whatever
// revision either instance holds.
package router

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/boragehead/boragehead/internal/acceptor"
	"github.com/boragehead/boragehead/internal/authenticator"
	"github.com/boragehead/boragehead/internal/exchanger"
	"github.com/boragehead/boragehead/internal/gossiper"
	"github.com/boragehead/boragehead/internal/tabler"
)

// homeRetry is when to come back while a home region cannot be reached.
const homeRetry = 5 * time.Second

// Views returns the newest configuration.
type Views interface {
	View() *tabler.View
}

// Fleet tells of the other instances and of the pools served here.
type Fleet interface {
	Live() []gossiper.Entry
	Summary() []gossiper.PoolSummary
	// Ready returns the URLs of instances of a region that take work, in
	// the order that a workspace should use them.
	Ready(region, workspace string) []string
}

// Router is the filter.
type Router struct {
	region  string
	views   Views
	fleet   Fleet
	maxBody int64

	mu      sync.Mutex
	decider *Decider
}

// New returns the filter of an instance in a region.
func New(region string, views Views, fleet Fleet, maxBody int64, seed uint64) *Router {
	return &Router{region: region, views: views, fleet: fleet, maxBody: maxBody, decider: NewDecider(seed)}
}

// Handle implements exchanger.Filter.
func (r *Router) Handle(ctx context.Context, x *exchanger.Exchange, next exchanger.Handler) *exchanger.Refusal {
	if home := x.Workspace.HomeRegion; home != "" && home != r.region {
		return r.sendHome(x, home)
	}
	view := r.views.View()
	if len(view.Candidates(x.Request.URL.Path)) == 0 {
		return exchanger.Refuse(http.StatusNotFound, exchanger.CodeNoRoute, "no route has this path")
	}
	if refusal := acceptor.ReadBody(x, r.maxBody); refusal != nil {
		return refusal
	}
	if authenticator.Leaks(x) {
		return exchanger.Refuse(http.StatusBadRequest, exchanger.CodeKeyInRequest, "the request repeats its key where a backend server would see it")
	}
	if refusal := r.match(view, x); refusal != nil {
		return refusal
	}
	pools := LawfulPools(view, x.Route, x.Workspace)
	if len(pools) == 0 {
		return exchanger.Refuse(http.StatusForbidden, exchanger.CodeNoRoute, "no pool of this route lies in the workspace's home region")
	}
	r.place(x, pools)
	return next(ctx, x)
}

// sendHome answers without reading the body, so that it never leaves home.
func (r *Router) sendHome(x *exchanger.Exchange, home string) *exchanger.Refusal {
	instances := r.fleet.Ready(home, x.Workspace.Name)
	if len(instances) == 0 {
		return exchanger.Refuse(http.StatusServiceUnavailable, exchanger.CodeHomeUnreachable,
			"no instance of the workspace's home region can be reached from here").After(homeRetry)
	}
	refusal := exchanger.Refuse(http.StatusTemporaryRedirect, exchanger.CodeElsewhere,
		"this workspace's data stays in its home region: ask one of these instances, and send the key again")
	refusal.Location = instances[0] + x.Request.URL.RequestURI()
	refusal.Instances = instances
	return refusal
}

// match finds the route and what the request asks for.
func (r *Router) match(view *tabler.View, x *exchanger.Exchange) *exchanger.Refusal {
	path := x.Request.URL.Path
	var parsed acceptor.Parsed
	completion := IsCompletion(path)
	if completion {
		if x.Request.Method != http.MethodPost {
			return exchanger.Refuse(http.StatusMethodNotAllowed, exchanger.CodeMethod, "use POST")
		}
		var err error
		if parsed, err = acceptor.ParseCompletion(x.Body); err != nil {
			return exchanger.Refuse(http.StatusBadRequest, exchanger.CodeBadJSON, err.Error())
		}
	}
	route, err := view.Route(path, parsed.Work.Model)
	if err != nil {
		return exchanger.Refuse(http.StatusNotFound, exchanger.CodeNoRoute, fmt.Sprintf("no route serves model %q here", parsed.Work.Model))
	}
	if !route.Open && x.Secret == "" {
		return exchanger.Refuse(http.StatusUnauthorized, exchanger.CodeKeyMissing, "send a key as 'Authorization: Bearer KEY'")
	}
	x.Route = route
	x.Work = workOf(route, parsed, completion)
	x.Deadline = x.Arrived.Add(route.Deadline())
	return nil
}

// IsCompletion reports whether a path is one of the model engines' calls.
func IsCompletion(path string) bool {
	return path == "/v1/chat/completions" || path == "/v1/completions"
}

func workOf(route tabler.Route, parsed acceptor.Parsed, completion bool) exchanger.Work {
	work := parsed.Work
	if !completion {
		work.OutputTokens = route.MaxOutputTokens
		return work
	}
	work.PromptTokens = route.PromptTokens(parsed.PromptSize)
	work.PrefixTokens = min(route.PromptTokens(parsed.PrefixSize), work.PromptTokens)
	if !parsed.Limited {
		work.OutputTokens = route.OutputLimit()
	}
	return work
}

// LawfulPools returns the pools of a route that may serve a workspace. Work
// that must not run twice stays in the region that holds its claims.
func LawfulPools(view *tabler.View, route tabler.Route, workspace tabler.Workspace) []tabler.Pool {
	var pools []tabler.Pool
	for _, name := range route.Pools {
		pool, known := view.Pool(name)
		if !known {
			continue
		}
		if workspace.HomeRegion != "" && pool.Region != workspace.HomeRegion {
			continue
		}
		if route.Once && len(pools) > 0 && pool.Region != pools[0].Region {
			continue
		}
		pools = append(pools, pool)
	}
	return pools
}

// place decides between this failure domain and a relay.
func (r *Router) place(x *exchanger.Exchange, pools []tabler.Pool) {
	for _, pool := range pools {
		x.Pools = append(x.Pools, pool.Name)
	}
	if x.Relayed {
		x.Local = true
		return
	}
	situation := Situation{Region: r.region, Local: r.fleet.Summary(), Peers: r.fleet.Live()}
	r.mu.Lock()
	place := r.decider.Decide(time.Now(), situation, pools)
	r.mu.Unlock()
	x.Local = place.Local
	x.Relay = place.Peer.Name
}

// describe works out what a relayed request asks for.
func describe(x *exchanger.Exchange) *exchanger.Refusal {
	if !IsCompletion(x.Request.URL.Path) {
		x.Work = workOf(x.Route, acceptor.Parsed{}, false)
		return nil
	}
	parsed, err := acceptor.ParseCompletion(x.Body)
	if err != nil {
		return exchanger.Refuse(http.StatusBadRequest, exchanger.CodeBadJSON, err.Error())
	}
	x.Work = workOf(x.Route, parsed, true)
	return nil
}

// HandleRelayed checks a request that another instance sent. It is judged by
// the revision here as well: it is served here or refused, never sent on.
func (r *Router) HandleRelayed(ctx context.Context, x *exchanger.Exchange, next exchanger.Handler) *exchanger.Refusal {
	if home := x.Workspace.HomeRegion; home != "" && home != r.region {
		return exchanger.Refuse(http.StatusMisdirectedRequest, exchanger.CodeElsewhere, "the workspace is bound to another region")
	}
	if refusal := acceptor.ReadBody(x, r.maxBody); refusal != nil {
		return refusal
	}
	if refusal := describe(x); refusal != nil {
		return refusal
	}
	pools := LawfulPools(r.views.View(), x.Route, x.Workspace)
	pools = slices.DeleteFunc(pools, func(pool tabler.Pool) bool { return pool.Region != r.region })
	if len(pools) == 0 {
		return exchanger.Refuse(http.StatusMisdirectedRequest, exchanger.CodeNoRoute, "no lawful pool of this route is here")
	}
	x.Relayed = true
	r.place(x, pools)
	return next(ctx, x)
}
