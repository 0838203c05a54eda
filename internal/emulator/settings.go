package emulator

import (
	"cmp"
	"encoding/json"
)

// jsonObject is an object in a node's settings document. The emulator sets only some of its keys.
type jsonObject = map[string]any

// nodeSettings returns the settings document that every node gets.
func (s *simulation) nodeSettings() []byte {
	rules := s.script.Rules
	mode := "subscribe"
	if rules.Pushed {
		mode = "automatic"
	}
	text, err := json.Marshal(jsonObject{
		"siblings":        s.script.Fleet.Nodes,
		"granularity_us":  1000,
		"membership_mode": mode,
		"zones":           s.zoneNames(),
		"service_types":   s.serviceTypes(),
		"parties":         []jsonObject{{"name": "all"}},
		"family_info": jsonObject{
			"mode":           "proxy",
			"message_aim_us": s.messageObjectives(),
			"tells_load":     true,
			"tells_delay":    true,
		},
		"invariants": jsonObject{
			"ask_within_us": microsecondsPerSecond * rules.PollWithin,
			"cold_from":     s.script.Fleet.SlowStartFrom,
			"cold_us":       microsecondsPerSecond * s.script.Fleet.SlowStartTime,
			"fall_multiple": rules.FallMultiple,
			"fall_us":       microsecondsPerSecond * rules.FallTime,
		},
		"limits": jsonObject{
			"dial_timeout_us":    microsecondsPerSecond * rules.DialTimeout,
			"max_connects":       rules.MaxAttempts,
			"max_retry_after_us": microsecondsPerSecond * rules.RetryAfter,
			"probes":             true,
			"retry_after":        rules.RetryAfter > 0,
		},
	})
	if err != nil {
		panic(err) // all values are finite numbers, strings and booleans: scripts with NaN or infinity are rejected
	}
	return text
}

// serviceTypes returns the service types for the settings document, nil if there are none.
func (s *simulation) serviceTypes() []jsonObject {
	var types []jsonObject
	for _, t := range s.script.Traffic {
		types = append(types, jsonObject{
			"name":            t.Name,
			"effect":          nodeIdempotency[t.Idempotency],
			"group":           cmp.Or(t.KeyScope, "all"),
			"give_up_us":      microsecondsPerSecond * t.ConnectTimeout,
			"setup_target_us": microsecondsPerSecond * t.SetupObjective,
			"memory_span_us":  microsecondsPerSecond * t.MemorySpan,
		})
	}
	return types
}

// messageObjectives returns the latency objective of messages of each service type, in microseconds.
func (s *simulation) messageObjectives() []float64 {
	var objectives []float64
	for _, t := range s.script.Traffic {
		objectives = append(objectives, microsecondsPerSecond*t.MessageObjective)
	}
	return objectives
}

// zoneNames returns the names of the zones that the nodes' settings name.
func (s *simulation) zoneNames() []string {
	var names []string
	for zone := range cmp.Or(s.script.Fleet.NamedZones, s.script.Fleet.Zones) {
		names = append(names, zoneName(zone))
	}
	return names
}
