package auditor

import (
	"fmt"
	"slices"
	"time"

	"github.com/boragehead/boragehead/internal/exchanger"
	"github.com/boragehead/boragehead/internal/router"
	"github.com/boragehead/boragehead/internal/tabler"
)

// Tables returns the findings on tables that have passed tabler.Check.
func Tables(tables tabler.Tables) []Finding {
	state := &tabler.State{}
	if err := state.Apply(tabler.Command{Edit: &tabler.Edit{Put: tables}}).Err(); err != nil {
		return InvalidFindings(err)
	}
	t := tablesAudit{Tables: tables, view: tabler.NewView(state)}
	t.checkRoutes()
	t.checkPools()
	t.checkWorkspaces()
	return t.findings
}

// Keys returns the findings on the keys of a fleet for which the tables are meant.
func Keys(tables tabler.Tables, keys []tabler.Key) []Finding {
	var c collector
	for i, workspace := range tables.Workspaces {
		if !slices.ContainsFunc(keys, func(k tabler.Key) bool { return k.Workspace == workspace.Name && !k.Withdrawn }) {
			c.add(KindWorkspaceWithoutKey, fmt.Sprintf("workspaces[%d].name", i), "workspace %q has no key in the fleet", workspace.Name)
		}
	}
	return c.findings
}

type tablesAudit struct {
	collector
	tabler.Tables
	view *tabler.View
}

func (t *tablesAudit) checkRoutes() {
	for i, route := range t.Routes {
		field := fmt.Sprintf("routes[%d]", i)
		if !t.matches(route) {
			t.add(KindHiddenRoute, field+".path", "no request matches route %q: other routes get its paths, or none of them has a model", route.Name)
		}
		if timeout := route.TimeoutOrDefault(); route.Objective != nil && time.Duration(route.Objective.FirstToken) > timeout {
			t.add(KindObjectiveAboveTimeout, field+".objective.first-token", "above the timeout of %v", timeout)
		}
		for j, pool := range route.Pools {
			if !t.usesPool(route, pool) {
				t.add(KindUnused, fmt.Sprintf("%s.pools[%d]", field, j), "no workspace gets pool %q: a once route stays in the region of the first pool that a workspace may use", pool)
			}
		}
	}
}

// matches reports whether a request can match a route. Only completions have a model.
func (t *tablesAudit) matches(route tabler.Route) bool {
	paths := router.CompletionPaths()
	if route.Model == "" {
		paths = append(paths, route.Path)
	}
	return slices.ContainsFunc(paths, func(path string) bool {
		found, err := t.view.Route(path, route.Model)
		return err == nil && found.Name == route.Name
	})
}

// usesPool reports whether some workspace, or a request without one, may get a pool.
func (t *tablesAudit) usesPool(route tabler.Route, name string) bool {
	uses := func(workspace tabler.Workspace) bool {
		return slices.ContainsFunc(router.EligiblePools(t.view, route, workspace), func(p tabler.Pool) bool { return p.Name == name })
	}
	return route.Open && uses(tabler.Workspace{}) || slices.ContainsFunc(t.Workspaces, uses)
}

func (t *tablesAudit) checkPools() {
	for i, pool := range t.Pools {
		if !slices.ContainsFunc(t.Routes, func(r tabler.Route) bool { return slices.Contains(r.Pools, pool.Name) }) {
			t.add(KindUnused, fmt.Sprintf("pools[%d].name", i), "no route has pool %q", pool.Name)
		}
	}
}

func (t *tablesAudit) checkWorkspaces() {
	for i, workspace := range t.Workspaces {
		field := fmt.Sprintf("workspaces[%d]", i)
		if !slices.ContainsFunc(t.Routes, func(r tabler.Route) bool { return len(router.EligiblePools(t.view, r, workspace)) > 0 }) {
			t.add(KindHomeWithoutServers, field+".home-region", "no route has a pool for workspace %q", workspace.Name)
			continue
		}
		t.checkQuota(field, workspace)
	}
}

// checkQuota checks a workspace's quota against the completions of the routes that
// serve it. Other requests cost nothing unless their route says so.
func (t *tablesAudit) checkQuota(field string, workspace tabler.Workspace) {
	for _, route := range t.Routes {
		if route.Open || len(router.EligiblePools(t.view, route, workspace)) == 0 {
			continue
		}
		largest := t.largestDefaultWork(route).Cost()
		smallest := min(largest, exchanger.Work{PromptTokens: 1, OutputTokens: 1}.Cost())
		switch {
		case largest == 0:
		case workspace.Rate <= 0:
			t.add(KindQuotaBelowRequest, field+".rate", "a rate of 0 never refills, and a request of route %q costs at least %g tokens", route.Name, smallest)
			return
		case workspace.Burst < smallest:
			t.add(KindQuotaBelowRequest, field+".burst", "a request of route %q costs at least %g tokens", route.Name, smallest)
			return
		case workspace.Burst < largest:
			t.add(KindBurstBelowRequest, field+".burst", "%g is below the %g tokens of a request of route %q that sets no output limit", workspace.Burst, largest, route.Name)
		}
	}
}

// largestDefaultWork returns the largest work of a request that sets no output limit
// and has the shortest prompt.
func (t *tablesAudit) largestDefaultWork(route tabler.Route) exchanger.Work {
	work := router.DefaultWork(route, route.Path)
	for _, path := range router.CompletionPaths() {
		if found, err := t.view.Route(path, route.Model); err == nil && found.Name == route.Name {
			work = router.DefaultWork(route, path)
		}
	}
	return work
}
