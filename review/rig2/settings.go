package rig2

import "time"

// Settings returns the operator's settings for the services claims, whose requests may run at
// most once, and lookup.
func Settings(timeout time.Duration) map[string]any {
	route := func(name, prefix, kind, service string) map[string]any {
		return map[string]any{
			"name": name, "host": Host, "prefix": prefix, "kind": kind, "timeout_ms": timeout.Milliseconds(), "target_latency_ms": 300,
			"priority": 0, "service": service, "attempts": 1, "public": false,
		}
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false}
	}
	return map[string]any{
		"version":  1,
		"routes":   []any{route("r-claim", "/claim/", "non_idempotent", "claims"), route("r-read", "/read/", "idempotent", "lookup")},
		"services": []any{service("claims"), service("lookup")},
		"limits":   map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{
			"name": "t1", "api_keys": []string{Key}, "priority": 1, "unit": "token_stream", "plain_tokens": 200, "rate_per_s": 266430, "burst": 266430,
		}},
	}
}
