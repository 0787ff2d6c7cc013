package tabler

import (
	"fmt"
	"math"
	"regexp"
	"strings"

	"github.com/boragehead/boragehead/internal/locator"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Check returns all faults of the tables, grouped by table in the order of the
// document. It returns nil if the tables are valid.
func Check(tables Tables) []locator.Fault {
	c := checker{regionNames: map[string]bool{}, poolNames: map[string]bool{}}
	c.checkRegions(tables.Regions)
	c.checkPools(tables.Pools)
	c.checkRoutes(tables.Routes)
	c.checkWorkspaces(tables.Workspaces)
	return c.faults
}

// checker collects faults, and the names that later tables may refer to.
type checker struct {
	faults      []locator.Fault
	regionNames map[string]bool
	poolNames   map[string]bool
}

func (c *checker) addFault(field, format string, args ...any) {
	c.faults = append(c.faults, locator.Fault{Field: field, Text: fmt.Sprintf(format, args...)})
}

// checkName checks the form of a name and that it is unique, and adds it to seen.
func (c *checker) checkName(field, name string, seen map[string]bool) {
	if !namePattern.MatchString(name) {
		c.addFault(field+".name", "%q is not a name: use 1 to 63 of a-z, 0-9 and '-'", name)
	}
	if seen[name] {
		c.addFault(field+".name", "%q is used twice", name)
	}
	seen[name] = true
}

func (c *checker) checkRegions(regions []Region) {
	if len(regions) == 0 {
		c.addFault("regions", "at least one region is needed")
	}
	seenDomains := map[string]bool{}
	for i, region := range regions {
		field := fmt.Sprintf("regions[%d]", i)
		c.checkName(field, region.Name, c.regionNames)
		if len(region.FailureDomains) == 0 {
			c.addFault(field+".failure-domains", "at least one failure domain is needed")
		}
		for j, domain := range region.FailureDomains {
			at := fmt.Sprintf("%s.failure-domains[%d]", field, j)
			if !namePattern.MatchString(domain) {
				c.addFault(at, "%q is not a name: use 1 to 63 of a-z, 0-9 and '-'", domain)
			}
			if seenDomains[domain] {
				c.addFault(at, "%q is used twice", domain)
			}
			seenDomains[domain] = true
		}
	}
}

func (c *checker) checkPools(pools []Pool) {
	for i, pool := range pools {
		field := fmt.Sprintf("pools[%d]", i)
		c.checkName(field, pool.Name, c.poolNames)
		c.checkRegionExists(field+".region", pool.Region)
	}
}

func (c *checker) checkRegionExists(field, region string) {
	if !c.regionNames[region] {
		c.addFault(field, "unknown region %q", region)
	}
}

func (c *checker) checkNonNegative(field string, value float64) {
	if value < 0 || math.IsNaN(value) || math.IsInf(value, 0) {
		c.addFault(field, "%v is not allowed: use a finite number, 0 or more", value)
	}
}

func (c *checker) checkRoutes(routes []Route) {
	names := map[string]bool{}
	routeNamesByPathAndModel := map[string]string{}
	for i, route := range routes {
		field := fmt.Sprintf("routes[%d]", i)
		c.checkName(field, route.Name, names)
		c.checkPath(field, route)
		pathAndModel := route.Path + " " + route.Model
		if other, taken := routeNamesByPathAndModel[pathAndModel]; taken {
			c.addFault(field+".path", "route %q has the same path and model", other)
		}
		routeNamesByPathAndModel[pathAndModel] = route.Name
		c.checkRoutePools(field, route)
		c.checkLimits(field, route)
	}
}

func (c *checker) checkPath(field string, route Route) {
	if !strings.HasPrefix(route.Path, "/") {
		c.addFault(field+".path", "%q must begin with a slash", route.Path)
	}
	for _, reserved := range []string{"/v1/instances", "/v1/metrics", "/v1/health", "/v1/burn"} {
		if route.Path == reserved {
			c.addFault(field+".path", "%q belongs to the gateway itself", route.Path)
		}
	}
}

func (c *checker) checkRoutePools(field string, route Route) {
	if len(route.Pools) == 0 {
		c.addFault(field+".pools", "a route needs at least one pool")
	}
	seen := map[string]bool{}
	for j, pool := range route.Pools {
		at := fmt.Sprintf("%s.pools[%d]", field, j)
		if !c.poolNames[pool] {
			c.addFault(at, "unknown pool %q", pool)
		}
		if seen[pool] {
			c.addFault(at, "pool %q is named twice", pool)
		}
		seen[pool] = true
	}
}

func (c *checker) checkLimits(field string, route Route) {
	if route.Timeout < 0 {
		c.addFault(field+".timeout", "must be 0 or more")
	}
	if route.MaxOutputTokens < 0 {
		c.addFault(field+".max-output-tokens", "must be 0 or more")
	}
	if route.BytesPerToken < 0 {
		c.addFault(field+".bytes-per-token", "must be 0 or more")
	}
	if route.Objective == nil {
		return
	}
	if route.Objective.Target <= 0 || route.Objective.Target >= 1 {
		c.addFault(field+".objective.target", "%v is not allowed: use a share between 0 and 1", route.Objective.Target)
	}
	if route.Objective.FirstToken <= 0 {
		c.addFault(field+".objective.first-token", "must be above 0")
	}
}

func (c *checker) checkWorkspaces(workspaces []Workspace) {
	names := map[string]bool{}
	for i, workspace := range workspaces {
		field := fmt.Sprintf("workspaces[%d]", i)
		c.checkName(field, workspace.Name, names)
		if workspace.HomeRegion != "" {
			c.checkRegionExists(field+".home-region", workspace.HomeRegion)
		}
		c.checkNonNegative(field+".rate", workspace.Rate)
		c.checkNonNegative(field+".burst", workspace.Burst)
		c.checkNonNegative(field+".weight", workspace.Weight)
	}
}
