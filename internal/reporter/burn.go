package reporter

import (
	"cmp"
	"maps"
	"slices"

	"github.com/boragehead/boragehead/internal/tabler"
)

// defaultTarget is the target of routes without an objective. Their requests miss
// it only by failing; there is no limit for the first token.
const defaultTarget = 0.99

// BurnReport is a report on error budgets over the whole fleet.
type BurnReport struct {
	Routes []RouteBurn `json:"routes"`
	// Workspaces are those with the largest share of missed requests, largest first.
	Workspaces []WorkspaceBurn `json:"workspaces"`
	// Missing names the instances whose counts are not included.
	Missing []string `json:"missing"`
}

// RouteBurn is the error budget of a route in one region, or in the whole fleet if
// Region is empty.
type RouteBurn struct {
	Route  string  `json:"route"`
	Region string  `json:"region,omitempty"`
	Target float64 `json:"target"`
	Rates  Rates   `json:"burn-rates"`
	// BudgetLeft is the fraction of the error budget of the longest window that is
	// left; it is negative when the budget is overspent.
	BudgetLeft float64 `json:"budget-left"`
	Counts     Windows `json:"counts"`
}

// Rates are burn rates by window. At a rate of 1 the error budget is used up
// exactly at the end of the window.
type Rates struct {
	Short  float64 `json:"5m"`
	Middle float64 `json:"1h"`
	Long   float64 `json:"6h"`
}

// WorkspaceBurn is the fraction of a workspace's requests that missed their
// objective in the longest window.
type WorkspaceBurn struct {
	Workspace string  `json:"workspace"`
	BadShare  float64 `json:"bad-share"`
	Counts    Windows `json:"counts"`
}

// MergeCounts builds a report from the counts of the instances that answered, and
// the names of those that did not.
func MergeCounts(routes []tabler.Route, counts []Counts, missing []string) BurnReport {
	burn := BurnReport{Missing: missing}
	for _, route := range routes {
		burn.Routes = append(burn.Routes, routeBurns(route, counts)...)
	}
	burn.Workspaces = worstWorkspaces(counts)
	return burn
}

func routeBurns(route tabler.Route, counts []Counts) []RouteBurn {
	var fleet Windows
	byRegion := map[string]Windows{}
	for _, c := range counts {
		windows, known := c.Routes[route.Name]
		if !known {
			continue
		}
		fleet.Add(windows)
		region := byRegion[c.Region]
		region.Add(windows)
		byRegion[c.Region] = region
	}
	burns := []RouteBurn{routeBurn(route, "", fleet)}
	for _, region := range slices.Sorted(maps.Keys(byRegion)) {
		burns = append(burns, routeBurn(route, region, byRegion[region]))
	}
	return burns
}

func routeBurn(route tabler.Route, region string, counts Windows) RouteBurn {
	target := defaultTarget
	if route.Objective != nil {
		target = route.Objective.Target
	}
	rates := Rates{
		Short:  burnRate(counts.Short, target),
		Middle: burnRate(counts.Middle, target),
		Long:   burnRate(counts.Long, target),
	}
	return RouteBurn{Route: route.Name, Region: region, Target: target, Rates: rates, BudgetLeft: 1 - rates.Long, Counts: counts}
}

// burnRate returns the fraction of missed requests divided by the fraction that the
// target allows.
func burnRate(count Count, target float64) float64 {
	if count.Total == 0 {
		return 0
	}
	return float64(count.Bad) / float64(count.Total) / (1 - target)
}

func worstWorkspaces(counts []Counts) []WorkspaceBurn {
	sums := map[string]Windows{}
	for _, c := range counts {
		for name, windows := range c.Workspaces {
			sum := sums[name]
			sum.Add(windows)
			sums[name] = sum
		}
	}
	burns := make([]WorkspaceBurn, 0, len(sums))
	for name, windows := range sums {
		share := float64(windows.Long.Bad) / float64(max(windows.Long.Total, 1))
		burns = append(burns, WorkspaceBurn{Workspace: name, BadShare: share, Counts: windows})
	}
	slices.SortFunc(burns, func(a, b WorkspaceBurn) int {
		return cmp.Or(cmp.Compare(b.BadShare, a.BadShare), cmp.Compare(a.Workspace, b.Workspace))
	})
	return burns[:min(reportedWorkspaces, len(burns))]
}
