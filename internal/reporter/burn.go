package reporter

import (
	"cmp"
	"maps"
	"slices"

	"github.com/boragehead/boragehead/internal/tabler"
)

// defaultTarget applies to routes without an objective: whole answers.
const defaultTarget = 0.99

// Burn is a report of service-level burn over the fleet.
type Burn struct {
	Routes []RouteBurn `json:"routes"`
	// Workspaces are the worst served, the worst first.
	Workspaces []WorkspaceBurn `json:"workspaces"`
	// Missing names the instances whose counts are not in the report.
	Missing []string `json:"missing"`
}

// RouteBurn is the burn of a route in a region; the region is empty for the
// whole fleet.
type RouteBurn struct {
	Route  string  `json:"route"`
	Region string  `json:"region,omitempty"`
	Target float64 `json:"target"`
	Rates  Rates   `json:"burn-rates"`
	// BudgetLeft is the share of the longest window's budget that is left;
	// below 0 it is overdrawn.
	BudgetLeft float64 `json:"budget-left"`
	Counts     Windows `json:"counts"`
}

// Rates are burn rates: 1 uses the budget up exactly in time.
type Rates struct {
	Short  float64 `json:"5m"`
	Middle float64 `json:"1h"`
	Long   float64 `json:"6h"`
}

// WorkspaceBurn is how a workspace was served.
type WorkspaceBurn struct {
	Workspace string  `json:"workspace"`
	BadShare  float64 `json:"bad-share"`
	Counts    Windows `json:"counts"`
}

// Merge makes a report from the counts of the instances that answered.
func Merge(routes []tabler.Route, counts []Counts, missing []string) Burn {
	burn := Burn{Missing: missing}
	for _, route := range routes {
		burn.Routes = append(burn.Routes, routeBurns(route, counts)...)
	}
	burn.Workspaces = worst(counts)
	return burn
}

func routeBurns(route tabler.Route, counts []Counts) []RouteBurn {
	var whole Windows
	byRegion := map[string]Windows{}
	for _, c := range counts {
		windows, known := c.Routes[route.Name]
		if !known {
			continue
		}
		whole.Add(windows)
		region := byRegion[c.Region]
		region.Add(windows)
		byRegion[c.Region] = region
	}
	burns := []RouteBurn{newRouteBurn(route, "", whole)}
	for _, region := range slices.Sorted(maps.Keys(byRegion)) {
		burns = append(burns, newRouteBurn(route, region, byRegion[region]))
	}
	return burns
}

func newRouteBurn(route tabler.Route, region string, counts Windows) RouteBurn {
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

// burnRate is the share of misses over the share that the target allows.
func burnRate(count Count, target float64) float64 {
	if count.Total == 0 {
		return 0
	}
	return float64(count.Bad) / float64(count.Total) / (1 - target)
}

func worst(counts []Counts) []WorkspaceBurn {
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
	return burns[:min(worstCount, len(burns))]
}
