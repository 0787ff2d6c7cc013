package auditor

import (
	"fmt"
	"regexp"
	"slices"
	"time"

	"github.com/boragehead/boragehead/internal/definer"
	"github.com/boragehead/boragehead/internal/forwarder"
	"github.com/boragehead/boragehead/internal/placer"
)

// Definition returns the findings on a definition, which need not have passed
// definer.Check. Fields are named as in package definer, in lower case. The retry limit
// is that of the entry instances, or nil if it is not known.
func Definition(d definer.Definition, retryLimit *forwarder.RetryLimit) []Finding {
	a := definitionAudit{Definition: d, view: definer.NewView(d), retryLimit: retryLimit}
	if err := definer.Check(d); err != nil {
		a.add(KindInvalid, fieldOf(err), "%s", firstLine(err))
	}
	for i := range d.Routes {
		a.checkRoute(fmt.Sprintf("routes[%d]", i), &d.Routes[i])
	}
	for i := range d.Services {
		a.checkService(fmt.Sprintf("services[%d]", i), &d.Services[i])
	}
	for i := range d.Workspaces {
		a.checkWorkspace(fmt.Sprintf("workspaces[%d]", i), &d.Workspaces[i])
	}
	return a.findings
}

var fieldPattern = regexp.MustCompile(`\b(routes|services|workspaces)\[\d+\](\.[a-z]+(\[\d+\])?)?`)

// fieldOf returns the field that an error of definer.Check begins with.
func fieldOf(err error) string {
	if field := fieldPattern.FindString(err.Error()); field != "" {
		return field
	}
	return "document"
}

type definitionAudit struct {
	collector
	definer.Definition
	view       *definer.View
	retryLimit *forwarder.RetryLimit
}

func (a *definitionAudit) checkRoute(field string, route *definer.Route) {
	if found, err := a.view.Route(route.Host, route.Prefix); err == nil && found != route {
		a.add(KindHiddenRoute, field, "no request matches route %q: route %q gets its host and path prefix", route.Name, found.Name)
	}
	for j, target := range route.Targets {
		if target.Weight == 0 {
			a.add(KindUnused, fmt.Sprintf("%s.targets[%d].weight", field, j), "service %q gets no requests of route %q: its weight is 0", target.Service, route.Name)
		}
	}
	reachable := func(w definer.Workspace) bool { return hasRegion(route, &w) }
	if !route.Open && len(a.Workspaces) > 0 && !slices.ContainsFunc(a.Workspaces, reachable) {
		a.add(KindHomeWithoutServers, field+".homes", "no workspace shares a home region with route %q", route.Name)
	}
	a.checkRouteTimes(field, route)
	if a.retryLimit != nil && route.Attempts > 1 && !a.retryLimit.AllowsRetries() {
		a.add(KindAttemptsWithoutBudget, field+".attempts", "%d attempts, but the retry budget of the entry instances allows no retry", route.Attempts)
	}
}

func (a *definitionAudit) checkRouteTimes(field string, route *definer.Route) {
	if route.Timeout <= 0 { // definer.Check reports it
		return
	}
	for _, objective := range []struct {
		field string
		value time.Duration
	}{{"objective", route.Objective}, {"gap", route.Gap}} {
		if objective.value > route.Timeout {
			a.add(KindObjectiveAboveTimeout, field+"."+objective.field, "%v is above the timeout of %v", objective.value, route.Timeout)
		}
	}
	if header := a.Limits.HeaderTimeout; header > route.Timeout {
		a.add(KindHeaderTimeoutAboveTimeout, field+".timeout", "%v is below the header timeout of %v", route.Timeout, header)
	}
}

// hasRegion reports whether some region may serve a route for a workspace.
func hasRegion(route *definer.Route, workspace *definer.Workspace) bool {
	regions, bound := definer.AllowedRegions(route, workspace)
	return !bound || len(regions) > 0
}

func (a *definitionAudit) checkService(field string, service *definer.Service) {
	used := slices.ContainsFunc(a.Routes, func(r definer.Route) bool {
		return slices.ContainsFunc(r.Targets, func(t definer.Target) bool { return t.Service == service.Name && t.Weight > 0 })
	})
	if !used {
		a.add(KindUnused, field+".name", "no route sends requests to service %q", service.Name)
	}
	if interval := service.WarmupInterval(); service.Warmup > 0 && interval > service.Warmup {
		a.add(KindWarmupRate, field+".warmuprate", "one request in %v, but the warm-up lasts %v", interval, service.Warmup)
	}
}

func (a *definitionAudit) checkWorkspace(field string, workspace *definer.Workspace) {
	if len(workspace.Keys) == 0 {
		a.add(KindWorkspaceWithoutKey, field+".name", "workspace %q has no key", workspace.Name)
	}
	for j, key := range workspace.Keys {
		if owner, err := a.view.WorkspaceByKey(key); err == nil && owner != workspace {
			a.add(KindSharedKey, fmt.Sprintf("%s.keys[%d]", field, j), "the key of workspace %q counts for workspace %q", workspace.Name, owner.Name)
		}
	}
	reachable := func(r definer.Route) bool { return r.Open || hasRegion(&r, workspace) }
	if len(a.Routes) > 0 && !slices.ContainsFunc(a.Routes, reachable) {
		a.add(KindHomeWithoutServers, field+".homes", "no route shares a home region with workspace %q", workspace.Name)
	}
	if workspace.Rate <= 0 { // no quota
		return
	}
	cost := forwarder.PlainQuotaCost(workspace)
	if workspace.CountTokens {
		cost = max(cost, placer.Work{Prompt: 1}.QuotaCost())
	}
	if workspace.Burst < cost {
		a.add(KindQuotaBelowRequest, field+".burst", "%g is below the cost of one request, %g", workspace.Burst, cost)
	}
}
