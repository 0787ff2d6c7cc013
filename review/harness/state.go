//go:build review

package main

// route is a route of the desired state.
type route struct {
	Name            string   `json:"name"`
	Host            string   `json:"host"`
	PathPrefix      string   `json:"path_prefix"`
	RouteType       string   `json:"route_type"`
	TimeoutMs       int      `json:"timeout_ms"`
	TargetLatencyMs int      `json:"target_latency_ms"`
	Priority        int      `json:"priority"`
	Service         string   `json:"service"`
	MaxAttempts     int      `json:"max_attempts"`
	AuthExempt      bool     `json:"auth_exempt"`
	SessionAffinity bool     `json:"session_affinity"`
	ResumeEnabled   bool     `json:"resume_enabled"`
	GapAimMs        int      `json:"gap_aim_ms"`
	HomeRegions     []string `json:"home_regions"`
}

// desiredState returns a desired state with some routes and their services, without
// tenants.
func desiredState(routes ...route) map[string]any {
	var services []map[string]any
	seen := map[string]bool{}
	for i, r := range routes {
		if r.HomeRegions == nil {
			routes[i].HomeRegions = []string{}
		}
		if !seen[r.Service] {
			seen[r.Service] = true
			services = append(services, map[string]any{
				"name": r.Service, "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false, "warmup_s": 0.0, "warmup_per_s": 0.0,
			})
		}
	}
	return map[string]any{
		"version": 2, "routes": routes, "services": services, "tenants": []any{},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
