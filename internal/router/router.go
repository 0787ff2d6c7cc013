// Package router finds the route of a request and decides whether the request
// is served in the local failure domain or relayed to another instance.
//
// Requests of a workspace that is bound to a home region run only in pools of
// that region: instances elsewhere redirect the caller there without reading the
// body. Other requests are relayed at most once: a relayed request is served by
// the instance that receives it or refused, even if the two instances hold
// different revisions of the configuration.
package router

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/boragehead/boragehead/internal/acceptor"
	"github.com/boragehead/boragehead/internal/authenticator"
	"github.com/boragehead/boragehead/internal/exchanger"
	"github.com/boragehead/boragehead/internal/gossiper"
	"github.com/boragehead/boragehead/internal/tabler"
)

// homeRetryAfter is the Retry-After sent while a home region is unreachable.
const homeRetryAfter = 5 * time.Second

// ViewSource returns the latest configuration that this instance has. It must
// be safe for concurrent use.
type ViewSource interface {
	View() *tabler.View
	// Lag returns for how long this instance has known that there is a newer
	// configuration than that of View, or 0 if it knows of none.
	Lag(now time.Time) time.Duration
}

// Fleet describes the other instances and the pools of the local failure
// domain. It must be safe for concurrent use.
type Fleet interface {
	// LivePeers returns the other live instances.
	LivePeers() []gossiper.Entry
	// PoolSummaries returns the pools with backend servers in this failure
	// domain.
	PoolSummaries() []gossiper.PoolSummary
	// ReadyURLs returns the base URLs of a region's instances that accept
	// requests, in the order in which a workspace's callers should try them.
	ReadyURLs(region, workspace string) []string
}

// Router is the exchanger.Filter that sets the route, the work and the placement
// of a request. It is safe for concurrent use.
type Router struct {
	region       string
	views        ViewSource
	fleet        Fleet
	maxBodyBytes int64

	mu      sync.Mutex // guards decider
	decider *Decider
}

// New returns a router for an instance in the given region. The seed makes its
// random choices reproducible.
func New(region string, views ViewSource, fleet Fleet, maxBodyBytes int64, seed uint64) *Router {
	return &Router{region: region, views: views, fleet: fleet, maxBodyBytes: maxBodyBytes, decider: NewDecider(seed)}
}

// Handle implements exchanger.Filter.
func (r *Router) Handle(ctx context.Context, x *exchanger.Exchange, next exchanger.Handler) *exchanger.Refusal {
	view := r.views.View()
	if refusal := r.checkHome(view, x); refusal != nil {
		return refusal
	}
	if len(view.RoutesForPath(x.Request.URL.Path)) == 0 {
		return exchanger.Refuse(http.StatusNotFound, exchanger.CodeRouteUnknown, "no route has this path")
	}
	if refusal := acceptor.ReadBody(x, r.maxBodyBytes); refusal != nil {
		return refusal
	}
	// The configuration may have changed while the body arrived.
	view = r.views.View()
	if refusal := r.checkHome(view, x); refusal != nil {
		return refusal
	}
	if authenticator.ForwardsSecret(x) {
		return exchanger.Refuse(http.StatusBadRequest, exchanger.CodeKeyInRequest, "the request repeats its key where a backend server would see it")
	}
	if refusal := r.matchRoute(view, x); refusal != nil {
		return refusal
	}
	pools, refusal := r.eligiblePools(view, x)
	if refusal != nil {
		return refusal
	}
	x.Revision = view.Revision
	r.choosePlacement(x, pools)
	return next(ctx, x)
}

// checkHome sets the exchange's workspace from a view. It returns the refusal if
// the workspace is bound to another region or no longer exists, or if the view is
// known to be too old to tell.
func (r *Router) checkHome(view *tabler.View, x *exchanger.Exchange) *exchanger.Refusal {
	if x.Workspace.Name == "" {
		return nil
	}
	workspace, known := view.Workspace(x.Workspace.Name)
	if !known {
		return exchanger.Refuse(http.StatusForbidden, exchanger.CodeWorkspaceUnknown, "the key's workspace no longer exists")
	}
	x.Workspace = workspace
	if refusal := authenticator.RefuseOutdated(r.views, workspace); refusal != nil {
		return refusal
	}
	home := workspace.HomeRegion
	switch {
	case home == "" || home == r.region:
		return nil
	case x.Relayed:
		// By this the first instance knows whether to go by its own configuration.
		x.Writer.Header().Set(exchanger.HeaderRevision, strconv.FormatUint(uint64(view.Revision), 10))
		return exchanger.Refuse(http.StatusMisdirectedRequest, exchanger.CodeHomeElsewhere, "the workspace is bound to another region")
	}
	return r.redirectHome(x, home)
}

// redirectHome refuses a request without reading its body, so that the body is
// never received outside the workspace's home region. The refusal redirects the
// caller to the home region if an instance there is ready.
func (r *Router) redirectHome(x *exchanger.Exchange, home string) *exchanger.Refusal {
	instances := r.fleet.ReadyURLs(home, x.Workspace.Name)
	if len(instances) == 0 {
		return exchanger.Refuse(http.StatusServiceUnavailable, exchanger.CodeHomeUnreachable,
			"no instance of the workspace's home region can be reached from here").WithRetryAfter(homeRetryAfter)
	}
	refusal := exchanger.Refuse(http.StatusTemporaryRedirect, exchanger.CodeHomeElsewhere,
		"this workspace's data stays in its home region: ask one of these instances, and send the key again")
	refusal.Location = instances[0] + x.Request.URL.RequestURI()
	refusal.Instances = instances
	return refusal
}

// matchRoute sets the route, work and deadline of an exchange whose body has
// been read.
func (r *Router) matchRoute(view *tabler.View, x *exchanger.Exchange) *exchanger.Refusal {
	path := x.Request.URL.Path
	var parsed acceptor.ParsedCompletion
	completion := IsCompletion(path)
	if completion {
		if x.Request.Method != http.MethodPost {
			return exchanger.Refuse(http.StatusMethodNotAllowed, exchanger.CodeMethodNotAllowed, "use POST")
		}
		var err error
		if parsed, err = acceptor.ParseCompletion(x.Body); err != nil {
			return exchanger.Refuse(http.StatusBadRequest, exchanger.CodeBadJSON, err.Error())
		}
	}
	route, err := view.Route(path, parsed.Work.Model)
	if err != nil {
		return exchanger.Refuse(http.StatusNotFound, exchanger.CodeRouteUnknown, fmt.Sprintf("no route serves model %q here", parsed.Work.Model))
	}
	if !route.Open && x.Secret == "" {
		return exchanger.Refuse(http.StatusUnauthorized, exchanger.CodeKeyMissing, "send a key as 'Authorization: Bearer KEY'")
	}
	x.Route = route
	x.Work = newWork(route, parsed, completion)
	x.Deadline = x.Arrived.Add(route.TimeoutOrDefault())
	return nil
}

// IsCompletion reports whether a path is a completion endpoint of the model
// engines.
func IsCompletion(path string) bool {
	return slices.Contains(CompletionPaths(), path)
}

// CompletionPaths returns the completion endpoints of the model engines.
func CompletionPaths() []string {
	return []string{"/v1/chat/completions", "/v1/completions"}
}

// DefaultWork estimates the tokens of a request that has the shortest prompt and sets
// no output limit.
func DefaultWork(route tabler.Route, path string) exchanger.Work {
	return newWork(route, acceptor.ParsedCompletion{PromptSize: 1}, IsCompletion(path))
}

// newWork estimates the tokens of a request. The output tokens are the request's
// own limit or, if it sets none, the route's.
func newWork(route tabler.Route, parsed acceptor.ParsedCompletion, completion bool) exchanger.Work {
	work := parsed.Work
	if !completion {
		work.OutputTokens = route.MaxOutputTokens
		return work
	}
	work.PromptTokens = route.EstimatePromptTokens(parsed.PromptSize)
	work.PrefixTokens = min(route.EstimatePromptTokens(parsed.PrefixSize), work.PromptTokens)
	if !parsed.Limited {
		work.OutputTokens = route.MaxOutputTokensOrDefault()
	}
	return work
}

// EligiblePools returns the pools of a route that may serve a workspace, in the
// route's order: for a workspace that is bound to a home region, only pools of
// that region. Requests that must not run twice stay in the region of the first
// of these pools, which holds their claims.
func EligiblePools(view *tabler.View, route tabler.Route, workspace tabler.Workspace) []tabler.Pool {
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

// eligiblePools returns the pools by which this instance may serve or relay an
// exchange, or the refusal if there are none. A relayed request may only be served
// in this region.
func (r *Router) eligiblePools(view *tabler.View, x *exchanger.Exchange) ([]tabler.Pool, *exchanger.Refusal) {
	pools := EligiblePools(view, x.Route, x.Workspace)
	if x.Relayed {
		pools = slices.DeleteFunc(pools, func(pool tabler.Pool) bool { return pool.Region != r.region })
	}
	switch {
	case len(pools) > 0:
		return pools, nil
	case x.Relayed:
		return nil, exchanger.Refuse(http.StatusMisdirectedRequest, exchanger.CodeRouteUnknown, "no lawful pool of this route is here")
	}
	return nil, exchanger.Refuse(http.StatusForbidden, exchanger.CodeRouteUnknown, "no pool of this route lies in the workspace's home region")
}

// Recheck implements sender.Checker. It checks the home region and the route's
// pools by the newest configuration. A request that was placed locally stays
// local, because it may have been relayed before.
func (r *Router) Recheck(x *exchanger.Exchange) *exchanger.Refusal {
	view := r.views.View()
	if view.Revision == x.Revision {
		return authenticator.RefuseOutdated(r.views, x.Workspace)
	}
	pools, refusal := r.renewPools(view, x)
	switch {
	case refusal != nil:
		return refusal
	case x.ClaimRegion != "" && x.ClaimRegion != pools[0].Region:
		return exchanger.Refuse(http.StatusServiceUnavailable, exchanger.CodeClaimsUnavailable,
			"the claims of this work have moved to another region, so nothing was sent").WithRetryAfter(time.Second)
	}
	x.Revision = view.Revision
	if x.Local {
		x.Pools = poolNames(pools)
		return nil
	}
	r.choosePlacement(x, pools)
	return nil
}

// renewPools sets the exchange's workspace and its route's pools from a view, and
// returns the eligible pools or the refusal if there are none. The route's other
// settings stay as they were when the request arrived.
func (r *Router) renewPools(view *tabler.View, x *exchanger.Exchange) ([]tabler.Pool, *exchanger.Refusal) {
	if refusal := r.checkHome(view, x); refusal != nil {
		return nil, refusal
	}
	route, known := view.RouteByName(x.Route.Name)
	if !known {
		return nil, exchanger.Refuse(http.StatusNotFound, exchanger.CodeRouteUnknown, "the route was removed")
	}
	x.Route.Pools = route.Pools
	return r.eligiblePools(view, x)
}

// IsElsewhere reports whether the requests of a workspace can no longer be served
// here: it is bound to another region, or was removed. Requests without a workspace
// are served anywhere.
func (r *Router) IsElsewhere(workspace string) bool {
	if workspace == "" {
		return false
	}
	w, known := r.views.View().Workspace(workspace)
	return !known || w.HomeRegion != "" && w.HomeRegion != r.region
}

// ClaimRegion implements claimer.Regions. The claims of a route are held in the
// region of the first pool that may serve the workspace.
func (r *Router) ClaimRegion(x *exchanger.Exchange) (string, *exchanger.Refusal) {
	if refusal := r.Recheck(x); refusal != nil {
		return "", refusal
	}
	pools, refusal := r.renewPools(r.views.View(), x)
	if refusal != nil {
		return "", refusal
	}
	return pools[0].Region, nil
}

// choosePlacement sets the exchange's pools and whether it is served locally or
// relayed. A request that was relayed to this instance is always served locally.
func (r *Router) choosePlacement(x *exchanger.Exchange, pools []tabler.Pool) {
	x.Pools = poolNames(pools)
	if x.Relayed {
		x.Local = true
		return
	}
	load := LoadView{Region: r.region, Local: r.fleet.PoolSummaries(), Peers: r.fleet.LivePeers()}
	placement := r.decide(load, pools)
	x.Local = placement.Local
	x.Relay = placement.Peer.Name
}

func (r *Router) decide(load LoadView, pools []tabler.Pool) Placement {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.decider.Decide(time.Now(), load, pools)
}

// poolNames returns a new slice.
func poolNames(pools []tabler.Pool) []string {
	var names []string
	for _, pool := range pools {
		names = append(names, pool.Name)
	}
	return names
}

// parseRelayedWork sets the work of a relayed request from its body.
func parseRelayedWork(x *exchanger.Exchange) *exchanger.Refusal {
	if !IsCompletion(x.Request.URL.Path) {
		x.Work = newWork(x.Route, acceptor.ParsedCompletion{}, false)
		return nil
	}
	parsed, err := acceptor.ParseCompletion(x.Body)
	if err != nil {
		return exchanger.Refuse(http.StatusBadRequest, exchanger.CodeBadJSON, err.Error())
	}
	x.Work = newWork(x.Route, parsed, true)
	return nil
}

// HandleRelayed handles a request that another instance relayed here, with its
// route already set. The request is checked again against this instance's own
// revision of the configuration, and is served here or refused, never relayed
// again.
func (r *Router) HandleRelayed(ctx context.Context, x *exchanger.Exchange, next exchanger.Handler) *exchanger.Refusal {
	x.Relayed = true
	if refusal := r.checkHome(r.views.View(), x); refusal != nil {
		return refusal
	}
	if refusal := acceptor.ReadBody(x, r.maxBodyBytes); refusal != nil {
		return refusal
	}
	view := r.views.View()
	if refusal := r.checkHome(view, x); refusal != nil {
		return refusal
	}
	if refusal := parseRelayedWork(x); refusal != nil {
		return refusal
	}
	pools, refusal := r.eligiblePools(view, x)
	if refusal != nil {
		return refusal
	}
	x.Revision = view.Revision
	r.choosePlacement(x, pools)
	return next(ctx, x)
}
