//go:build review2

package main

// Names of the desired state that the cases share.
const (
	hostName = "desk.example"
	apiKey   = "i9n73hh2b9wu3fexd9dn"
	tenant   = "huka270"
)

// newDocument returns a desired state of a small deployment: a booking application and
// model engines, as in the pages.
func newDocument(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			route("r-stock", "/stock/", "idempotent", "desk", 2500, 300, 2, map[string]any{}),
			route("r-swap", "/swap/", "non_idempotent", "desk", 2500, 300, 1, map[string]any{}),
			route("r-ask", "/ask/", "streaming", "llm", 15000, 800, 2, map[string]any{"resume_enabled": true, "session_affinity": true, "gap_aim_ms": 600}),
			route("r-draft", "/draft/", "streaming", "llm", 5000, 1000, 1, map[string]any{"session_affinity": true, "gap_aim_ms": 600}),
		},
		"services": []any{
			map[string]any{"name": "desk", "health_path": "/health", "max_connections": 100, "protocol": "h1", "tls": false, "warmup_s": 0.0, "warmup_per_s": 0.0},
			map[string]any{
				"name": "llm", "health_path": "/health", "max_connections": 360, "protocol": "h1", "tls": false, "warmup_s": 3.0, "warmup_per_s": 1.7,
				"engine": map[string]any{
					"slots": 64, "kv_capacity": 242408, "kv_token_bytes": 18432, "link_mbps": 370000.0, "moves": true, "backups": true,
					"stride": 5, "most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
				},
			},
		},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": tenant, "api_keys": []any{apiKey}, "priority": 1, "home_regions": []any{}}},
	}
}

func route(name, prefix, kind, service string, timeout, target, attempts int, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": hostName, "path_prefix": prefix, "route_type": kind, "timeout_ms": timeout, "target_latency_ms": target,
		"priority": 1, "service": service, "max_attempts": attempts, "auth_exempt": false, "session_affinity": false, "resume_enabled": false, "home_regions": []any{},
	}
	for key, value := range more {
		r[key] = value
	}
	return r
}
