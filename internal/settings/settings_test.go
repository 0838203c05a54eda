package settings

import (
	"reflect"
	"strings"
	"testing"

	"gorseledge/placement"
)

func TestParse(t *testing.T) {
	cases := []struct {
		name, text string
		rundown    placement.Settings
		door       ListenerSettings
		fails      string
	}{
		{"nothing told", "{}", placement.Settings{Seed: 9, NodeNumber: -1}, ListenerSettings{}, ""},
		{"all that is read", `{"family_info":{"message_aim_us":[50000],"mode":"pass","tells_delay":true,"tells_load":true,"tenant_quota_connections":[90]},
			"granularity_us":4000,"invariants":{"ask_within_us":1e7,"cold_from":0.3,"cold_us":8e6,"fall_multiple":4,
			"fall_us":1e6},"limits":{"dial_timeout_us":250000,"max_connects":5,"max_retry_after_us":2e6,"peers":true,"probes":true,
			"retry_after":true},"membership_mode":"subscribe","parties":[{"name":"a"}],"reporting":{"fields":["x0"],
			"source":"on_probe"},"service_types":[{"name":"s","effect":"by_key","group":"zone","give_up_us":3e6,
			"memory_span_us":5e6,"setup_target_us":5e5},{"name":"u"}],"siblings":3,"me":2,"zones":["z"],"new":1}`,
			placement.Settings{Seed: 9, Nodes: 3, NodeNumber: 2, Tick: span(4000), MaxAttempts: 5, HealthChecks: true, LoadGossip: true, MaxRetryAfter: 2,
				WatchEndpoints: true,
				PollInterval:   10, LoadReports: true, SlowStartShare: 0.3, SlowStartTime: 8, OverloadMultiple: 4, OverloadWindow: 1, Quotas: []float64{90},
				ServiceTypes: []placement.ServiceType{{Idempotency: placement.IdempotentWithKey, KeyScope: placement.KeyScopeZone, KeyLifetime: 5,
					SetupObjective: span(5e5), MessageObjective: span(50000)}, {Idempotency: placement.AtMostOnce}}},
			ListenerSettings{ReportFields: []string{"x0"}, ServiceTypes: []string{"s", "u"}, Tenants: []string{"a"}, Zones: []string{"z"},
				DialTimeout: 0.25, MaxConnectTimeout: 3, PassThrough: true, ReportsDelay: true, ReportsLoad: true}, ""},
		{"lists that are pushed", `{"membership_mode":"automatic"}`, placement.Settings{Seed: 9, NodeNumber: -1}, ListenerSettings{ListPushed: true}, ""},
		{"no retry time allowed", `{"limits":{"max_retry_after_us":2e6}}`, placement.Settings{Seed: 9, NodeNumber: -1}, ListenerSettings{}, ""},
		{"nothing at all of everything", `{"siblings":0,"me":0,"limits":{"max_connects":0},"service_types":[{"effect":"once","memory_span_us":0}]}`,
			placement.Settings{Seed: 9, ServiceTypes: []placement.ServiceType{{}}}, ListenerSettings{ServiceTypes: []string{""}}, ""},
		{"remembered for less than the setup target", `{"me":1,"service_types":[{"effect":"by_key","memory_span_us":1e5,"setup_target_us":5e5}]}`,
			placement.Settings{Seed: 9, NodeNumber: 1, ServiceTypes: []placement.ServiceType{{Idempotency: placement.IdempotentWithKey, KeyLifetime: span(1e5),
				SetupObjective: 0.5}}}, ListenerSettings{ServiceTypes: []string{""}}, ""},
		{"below nothing", `{"granularity_us":-4,"siblings":2}`, placement.Settings{}, ListenerSettings{}, "settings.granularity_us"},
		{"nodes below nothing", `{"siblings":-2}`, placement.Settings{}, ListenerSettings{}, "settings.siblings"},
		{"a limit below nothing", `{"limits":{"max_connects":-1}}`, placement.Settings{}, ListenerSettings{}, "settings.limits.max_connects"},
		{"a span below nothing", `{"service_types":[{},{"memory_span_us":-1}]}`, placement.Settings{}, ListenerSettings{},
			"settings.service_types[1].memory_span_us"},
		{"a share below nothing", `{"family_info":{"tenant_quota_connections":[1,-1]}}`, placement.Settings{}, ListenerSettings{},
			"settings.family_info.tenant_quota_connections[1]"},
		{"a number below nothing", `{"me":-1}`, placement.Settings{}, ListenerSettings{}, "settings.me"},
		{"an effect that there is none of", `{"service_types":[{"effect":"repeatable"},{"effect":"odd"}]}`, placement.Settings{}, ListenerSettings{},
			"settings.service_types[1].effect"},
		{"no JSON", "{{", placement.Settings{}, ListenerSettings{}, "settings"},
		{"another shape", `{"service_types":7}`, placement.Settings{}, ListenerSettings{}, "settings.service_types"},
		{"a word for a figure", `{"limits":{"max_connects":"five"}}`, placement.Settings{}, ListenerSettings{}, "settings.limits.max_connects"},
	}
	for _, c := range cases {
		r, d, err := Parse([]byte(c.text), 9)
		if (err == nil) != (c.fails == "") || err != nil && (!strings.HasPrefix(err.Error(), c.fails+": ") || strings.Contains(err.Error(), "\n")) {
			t.Errorf("%s: error %v", c.name, err)
		}
		if !reflect.DeepEqual(r, c.rundown) || !reflect.DeepEqual(d, c.door) {
			t.Errorf("%s: got %+v and %+v", c.name, r, d)
		}
	}
}
