package tabler

import (
	"fmt"
	"math"
	"regexp"
	"strings"

	"github.com/boragehead/boragehead/internal/locator"
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// Check returns every fault of the tables, in document order.
func Check(tables Tables) []locator.Fault {
	c := checker{regions: map[string]bool{}, pools: map[string]bool{}}
	c.checkRegions(tables.Regions)
	c.checkPools(tables.Pools)
	c.checkRoutes(tables.Routes)
	c.checkWorkspaces(tables.Workspaces)
	return c.faults
}

type checker struct {
	faults  []locator.Fault
	regions map[string]bool
	pools   map[string]bool
}

func (c *checker) add(field, format string, args ...any) {
	c.faults = append(c.faults, locator.Fault{Field: field, Text: fmt.Sprintf(format, args...)})
}

func (c *checker) name(field, name string, seen map[string]bool) {
	if !namePattern.MatchString(name) {
		c.add(field+".name", "%q is not a name: use 1 to 63 of a-z, 0-9 and '-'", name)
	}
	if seen[name] {
		c.add(field+".name", "%q is used twice", name)
	}
	seen[name] = true
}

func (c *checker) checkRegions(regions []Region) {
	if len(regions) == 0 {
		c.add("regions", "at least one region is needed")
	}
	domains := map[string]bool{}
	for i, region := range regions {
		field := fmt.Sprintf("regions[%d]", i)
		c.name(field, region.Name, c.regions)
		if len(region.FailureDomains) == 0 {
			c.add(field+".failure-domains", "at least one failure domain is needed")
		}
		for j, domain := range region.FailureDomains {
			at := fmt.Sprintf("%s.failure-domains[%d]", field, j)
			if !namePattern.MatchString(domain) {
				c.add(at, "%q is not a name: use 1 to 63 of a-z, 0-9 and '-'", domain)
			}
			if domains[domain] {
				c.add(at, "%q is used twice", domain)
			}
			domains[domain] = true
		}
	}
}

func (c *checker) checkPools(pools []Pool) {
	for i, pool := range pools {
		field := fmt.Sprintf("pools[%d]", i)
		c.name(field, pool.Name, c.pools)
		c.region(field+".region", pool.Region)
	}
}

func (c *checker) region(field, region string) {
	if !c.regions[region] {
		c.add(field, "unknown region %q", region)
	}
}

func (c *checker) number(field string, value float64) {
	if value < 0 || math.IsNaN(value) || math.IsInf(value, 0) {
		c.add(field, "%v is not allowed: use a finite number, 0 or more", value)
	}
}

func (c *checker) checkRoutes(routes []Route) {
	names := map[string]bool{}
	matches := map[string]string{}
	for i, route := range routes {
		field := fmt.Sprintf("routes[%d]", i)
		c.name(field, route.Name, names)
		c.checkPath(field, route)
		match := route.Path + " " + route.Model
		if other, taken := matches[match]; taken {
			c.add(field+".path", "route %q has the same path and model", other)
		}
		matches[match] = route.Name
		c.checkRoutePools(field, route)
		c.checkLimits(field, route)
	}
}

func (c *checker) checkPath(field string, route Route) {
	if !strings.HasPrefix(route.Path, "/") {
		c.add(field+".path", "%q must begin with a slash", route.Path)
	}
	for _, reserved := range []string{"/v1/instances", "/v1/metrics", "/v1/health", "/v1/burn"} {
		if route.Path == reserved {
			c.add(field+".path", "%q belongs to the gateway itself", route.Path)
		}
	}
}

func (c *checker) checkRoutePools(field string, route Route) {
	if len(route.Pools) == 0 {
		c.add(field+".pools", "a route needs at least one pool")
	}
	seen := map[string]bool{}
	for j, pool := range route.Pools {
		at := fmt.Sprintf("%s.pools[%d]", field, j)
		if !c.pools[pool] {
			c.add(at, "unknown pool %q", pool)
		}
		if seen[pool] {
			c.add(at, "pool %q is named twice", pool)
		}
		seen[pool] = true
	}
}

func (c *checker) checkLimits(field string, route Route) {
	if route.Timeout < 0 {
		c.add(field+".timeout", "must be 0 or more")
	}
	if route.MaxOutputTokens < 0 {
		c.add(field+".max-output-tokens", "must be 0 or more")
	}
	if route.BytesPerToken < 0 {
		c.add(field+".bytes-per-token", "must be 0 or more")
	}
	if route.Objective == nil {
		return
	}
	if route.Objective.Target <= 0 || route.Objective.Target >= 1 {
		c.add(field+".objective.target", "%v is not allowed: use a share between 0 and 1", route.Objective.Target)
	}
	if route.Objective.FirstToken <= 0 {
		c.add(field+".objective.first-token", "must be above 0")
	}
}

func (c *checker) checkWorkspaces(workspaces []Workspace) {
	names := map[string]bool{}
	for i, workspace := range workspaces {
		field := fmt.Sprintf("workspaces[%d]", i)
		c.name(field, workspace.Name, names)
		if workspace.HomeRegion != "" {
			c.region(field+".home-region", workspace.HomeRegion)
		}
		c.number(field+".rate", workspace.Rate)
		c.number(field+".burst", workspace.Burst)
		c.number(field+".weight", workspace.Weight)
	}
}
