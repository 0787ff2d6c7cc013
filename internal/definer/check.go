package definer

import (
	"fmt"
	"strings"

	"github.com/gravitational/trace"
)

// Check validates a definition. It returns an error that wraps ErrInvalid and
// describes the first fault found, or nil.
func Check(d Definition) error {
	services := map[string]bool{}
	for i, service := range d.Services {
		if service.Name == "" {
			return invalid("services[%d].name: must be set", i)
		}
		if services[service.Name] {
			return invalid("services[%d].name: %q is used twice", i, service.Name)
		}
		services[service.Name] = true
	}
	if err := checkRoutes(d.Routes, services); err != nil {
		return err
	}
	return checkWorkspaces(d.Workspaces)
}

// invalid returns an error that wraps ErrInvalid with a formatted description.
func invalid(format string, args ...any) error {
	return trace.Wrap(ErrInvalid, fmt.Sprintf(format, args...))
}

// checkRoutes validates routes. Services holds the names of the defined services.
func checkRoutes(routes []Route, services map[string]bool) error {
	type match struct{ host, prefix string }
	routesByMatch := map[match]string{}
	for i, route := range routes {
		field := fmt.Sprintf("routes[%d] (%s)", i, route.Name)
		if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
			return invalid("%s: path prefix %q must begin and end with a slash", field, route.Prefix)
		}
		key := match{host: normalizeHost(route.Host), prefix: route.Prefix}
		if other, taken := routesByMatch[key]; taken {
			return invalid("%s: route %q has the same host and path prefix", field, other)
		}
		routesByMatch[key] = route.Name
		if route.Timeout <= 0 {
			return invalid("%s: timeout must be above 0", field)
		}
		if err := checkTargets(field, route.Targets, services); err != nil {
			return err
		}
	}
	return nil
}

// maxWeight bounds the weight of a target, so that the sum of all fits into an int.
const maxWeight = 1 << 30

// checkTargets validates a route's targets. Field names the route in errors.
func checkTargets(field string, targets []Target, services map[string]bool) error {
	totalWeight := 0
	for _, target := range targets {
		if !services[target.Service] {
			return invalid("%s: unknown service %q", field, target.Service)
		}
		if target.Weight < 0 || target.Weight > maxWeight {
			return invalid("%s: weight of %q must be 0 to %d", field, target.Service, maxWeight)
		}
		totalWeight += target.Weight
	}
	if totalWeight == 0 {
		return invalid("%s: the weights add up to 0", field)
	}
	return nil
}

// checkWorkspaces validates workspaces. A key may occur twice only within one
// workspace.
func checkWorkspaces(workspaces []Workspace) error {
	ownersByKey := map[string]string{}
	seenNames := map[string]bool{}
	for i, workspace := range workspaces {
		field := fmt.Sprintf("workspaces[%d]", i)
		if workspace.Name == "" || seenNames[workspace.Name] {
			return invalid("%s.name: %q must be set and unique", field, workspace.Name)
		}
		seenNames[workspace.Name] = true
		if workspace.Rate < 0 || workspace.Burst < 0 {
			return invalid("%s (%s): rate and burst must be 0 or more", field, workspace.Name)
		}
		for j, key := range workspace.Keys {
			if key == "" {
				return invalid("%s.keys[%d]: must not be empty", field, j)
			}
			if owner, taken := ownersByKey[key]; taken && owner != workspace.Name {
				return invalid("%s.keys[%d]: workspace %q has the same key", field, j, owner)
			}
			ownersByKey[key] = workspace.Name
		}
	}
	return nil
}
