package definer

import (
	"fmt"
	"strings"

	"github.com/gravitational/trace"
)

// Check returns an error that names the first fault of a definition, or nil.
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

func invalid(format string, args ...any) error {
	return trace.Wrap(ErrInvalid, fmt.Sprintf(format, args...))
}

func checkRoutes(routes []Route, services map[string]bool) error {
	type place struct{ host, prefix string }
	places := map[place]string{}
	for i, route := range routes {
		field := fmt.Sprintf("routes[%d] (%s)", i, route.Name)
		if !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/") {
			return invalid("%s: path prefix %q must begin and end with a slash", field, route.Prefix)
		}
		at := place{host: hostName(route.Host), prefix: route.Prefix}
		if other, taken := places[at]; taken {
			return invalid("%s: route %q has the same host and path prefix", field, other)
		}
		places[at] = route.Name
		if route.Timeout <= 0 {
			return invalid("%s: timeout must be above 0", field)
		}
		if err := checkTargets(field, route.Targets, services); err != nil {
			return err
		}
	}
	return nil
}

func checkTargets(field string, targets []Target, services map[string]bool) error {
	total := 0
	for _, target := range targets {
		if !services[target.Service] {
			return invalid("%s: unknown service %q", field, target.Service)
		}
		if target.Weight < 0 {
			return invalid("%s: weight of %q must be 0 or more", field, target.Service)
		}
		total += target.Weight
	}
	if total == 0 {
		return invalid("%s: the weights add up to 0", field)
	}
	return nil
}

func checkWorkspaces(workspaces []Workspace) error {
	owners := map[string]string{}
	names := map[string]bool{}
	for i, workspace := range workspaces {
		field := fmt.Sprintf("workspaces[%d]", i)
		if workspace.Name == "" || names[workspace.Name] {
			return invalid("%s.name: %q must be set and unique", field, workspace.Name)
		}
		names[workspace.Name] = true
		if workspace.Rate < 0 || workspace.Burst < 0 {
			return invalid("%s (%s): rate and burst must be 0 or more", field, workspace.Name)
		}
		for j, key := range workspace.Keys {
			if key == "" {
				return invalid("%s.keys[%d]: must not be empty", field, j)
			}
			if owner, taken := owners[key]; taken && owner != workspace.Name {
				return invalid("%s.keys[%d]: workspace %q has the same key", field, j, owner)
			}
			owners[key] = workspace.Name
		}
	}
	return nil
}
