package settings

import (
	"errors"
	"reflect"
	"strings"
	"testing"

	"gorseledge/placement"
)

// Invalid settings that were accepted, or valid ones that were changed, would make a node act on other settings than its
// deployment's. Valid settings are decoded exactly, and invalid ones lead to an error that names their key.
func TestParse(t *testing.T) {
	cases := []struct {
		name, text string
		balancer   placement.Settings
		listener   ListenerSettings
		wantKey    string
	}{
		{"empty object", "{}", placement.Settings{Seed: 9, NodeNumber: -1}, ListenerSettings{}, ""},
		{"every key", `{"family_info":{"message_aim_us":[50000],"mode":"pass","tells_delay":true,"tells_load":true,"tenant_quota_connections":[90]},
			"granularity_us":4000,"invariants":{"ask_within_us":1e7,"cold_from":0.3,"cold_us":8e6,"fall_multiple":4,
			"fall_us":1e6},"limits":{"dial_timeout_us":250000,"max_connects":5,"max_retry_after_us":2e6,"peers":true,"probes":true,
			"retry_after":true},"membership_mode":"subscribe","parties":[{"name":"a"}],"reporting":{"fields":["x0"],
			"source":"on_probe"},"service_types":[{"name":"s","effect":"by_key","group":"zone","give_up_us":3e6,
			"memory_span_us":5e6,"setup_target_us":5e5},{"name":"u"}],"siblings":3,"me":2,"zones":["z"],"new":1}`,
			placement.Settings{Seed: 9, Nodes: 3, NodeNumber: 2, Tick: seconds(4000), MaxAttempts: 5, HealthChecks: true, LoadGossip: true, MaxRetryAfter: 2,
				WatchEndpoints: true,
				PollInterval:   10, LoadReports: true, SlowStartFraction: 0.3, SlowStartTime: 8, OverloadMultiple: 4, OverloadWindow: 1, Quotas: []float64{90},
				ServiceTypes: []placement.ServiceType{{Idempotency: placement.IdempotentWithKey, KeyScope: placement.KeyScopeZone, KeyLifetime: 5,
					SetupObjective: seconds(5e5), MessageObjective: seconds(50000)}, {Idempotency: placement.AtMostOnce}}},
			ListenerSettings{ReportFields: []string{"x0"}, ServiceTypes: []string{"s", "u"}, Tenants: []string{"a"}, Zones: []string{"z"},
				DialTimeout: 0.25, MaxConnectTimeout: 3, PassThrough: true, ReportsDelay: true, ReportsLoad: true}, ""},
		{"pushed lists", `{"membership_mode":"automatic"}`, placement.Settings{Seed: 9, NodeNumber: -1}, ListenerSettings{ListPushed: true}, ""},
		{"no Retry-After allowed", `{"limits":{"max_retry_after_us":2e6}}`, placement.Settings{Seed: 9, NodeNumber: -1}, ListenerSettings{}, ""},
		{"zeros", `{"siblings":0,"me":0,"limits":{"max_connects":0},"service_types":[{"effect":"once","memory_span_us":0}]}`,
			placement.Settings{Seed: 9, ServiceTypes: []placement.ServiceType{{}}}, ListenerSettings{ServiceTypes: []string{""}}, ""},
		{"key lifetime shorter than the setup objective", `{"me":1,"service_types":[{"effect":"by_key","memory_span_us":1e5,"setup_target_us":5e5}]}`,
			placement.Settings{Seed: 9, NodeNumber: 1, ServiceTypes: []placement.ServiceType{{Idempotency: placement.IdempotentWithKey, KeyLifetime: seconds(1e5),
				SetupObjective: 0.5}}}, ListenerSettings{ServiceTypes: []string{""}}, ""},
		{"a negative time", `{"granularity_us":-4,"siblings":2}`, placement.Settings{}, ListenerSettings{}, "settings.granularity_us"},
		{"a negative number of nodes", `{"siblings":-2}`, placement.Settings{}, ListenerSettings{}, "settings.siblings"},
		{"a negative limit", `{"limits":{"max_connects":-1}}`, placement.Settings{}, ListenerSettings{}, "settings.limits.max_connects"},
		{"a negative time in a service type", `{"service_types":[{},{"memory_span_us":-1}]}`, placement.Settings{}, ListenerSettings{},
			"settings.service_types[1].memory_span_us"},
		{"a negative quota", `{"family_info":{"tenant_quota_connections":[1,-1]}}`, placement.Settings{}, ListenerSettings{},
			"settings.family_info.tenant_quota_connections[1]"},
		{"a negative node number", `{"me":-1}`, placement.Settings{}, ListenerSettings{}, "settings.me"},
		{"an unknown effect", `{"service_types":[{"effect":"repeatable"},{"effect":"odd"}]}`, placement.Settings{}, ListenerSettings{},
			"settings.service_types[1].effect"},
		{"not JSON", "{{", placement.Settings{}, ListenerSettings{}, "settings"},
		{"a number for a list", `{"service_types":7}`, placement.Settings{}, ListenerSettings{}, "settings.service_types"},
		{"text for a number", `{"limits":{"max_connects":"five"}}`, placement.Settings{}, ListenerSettings{}, "settings.limits.max_connects"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			balancer, listener, err := Parse([]byte(c.text), 9)
			if !namesKey(err, c.wantKey) {
				t.Errorf("error %v, want one with the key %q", err, c.wantKey)
			}
			if !reflect.DeepEqual(balancer, c.balancer) || !reflect.DeepEqual(listener, c.listener) {
				t.Errorf("got %+v and %+v, want %+v and %+v", balancer, listener, c.balancer, c.listener)
			}
		})
	}
}

// namesKey reports whether err is a *KeyError of one line with this key or, for an empty key, whether err is nil.
func namesKey(err error, key string) bool {
	if err == nil || key == "" {
		return err == nil && key == ""
	}
	var keyError *KeyError
	return errors.As(err, &keyError) && keyError.Key == key && !strings.Contains(err.Error(), "\n")
}
