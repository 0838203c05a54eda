package main

import "time"

// drainGrace is the time after which nothing new may be sent to a host that drains, without the slack on sockets.
const drainGrace = 400 * time.Millisecond

// serviceType is one row of the settings' service types.
func serviceType(name, effect string, giveUp, target time.Duration) map[string]any {
	return map[string]any{
		"name": name, "effect": effect, "group": "all", "give_up_us": giveUp.Microseconds(),
		"setup_target_us": target.Microseconds(), "memory_span_us": 5000000, "late_value": 0.0, "value": 3.0, "stream": true,
	}
}

// smallSettings returns the settings of a small deployment with one node, in the form of the wire's page.
func smallSettings(mode string, grace time.Duration, types ...map[string]any) map[string]any {
	var aims []float64
	for range types {
		aims = append(aims, 250000)
	}
	return map[string]any{
		"family": "conn",
		"family_info": map[string]any{"groups": true, "message_aim_us": aims, "mode": "pass", "park_us": 4000000,
			"tells_delay": false, "tells_load": false, "tenant_quota_connections": []float64{400}},
		"granularity_us": 4000,
		"invariants": map[string]any{"ask_within_us": 10000000, "cold_from": 0.3, "cold_us": 8600000, "fall_multiple": 4.0,
			"fall_us": 1000000, "grace_to_answer_us": 16000, "stop_sending_within_us": grace.Microseconds()},
		"limits": map[string]any{"cancel": true, "cpu_us_per_s": 15000, "dial_timeout_us": 250000, "keepalive_us": 5000000,
			"max_connects": 5, "max_open": 1000000, "max_retry_after_us": 2000000, "multiplex": 1048576, "peers": false,
			"probes": true, "retry_after": true, "second_copies": false},
		"me": 0, "membership_mode": mode, "overage_value": 0.1,
		"parties":       []any{map[string]any{"allowance_per_s": 100.0, "fraction": 1.0, "name": "red"}},
		"reporting":     map[string]any{"fields": []string{}, "source": "off"},
		"service_types": types, "siblings": 1, "tier": 0, "tiers": []string{"streaming"}, "value_by": "request",
		"weights": "nominal", "zone": 0, "zones": []string{"a"},
	}
}
