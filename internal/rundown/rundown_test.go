package rundown

import (
	"reflect"
	"strings"
	"testing"

	"gorseledge/placement"
)

func TestRead(t *testing.T) {
	cases := []struct {
		name, text string
		rundown    placement.Rundown
		door       Door
		fails      string
	}{
		{"nothing told", "{}", placement.Rundown{Seed: 9, Self: -1}, Door{}, ""},
		{"all that is read", `{"family_info":{"message_aim_us":[50000],"mode":"pass","tells_delay":true,"tells_load":true,"tenant_quota_connections":[90]},
			"granularity_us":4000,"invariants":{"ask_within_us":1e7,"cold_from":0.3,"cold_us":8e6,"fall_multiple":4,
			"fall_us":1e6},"limits":{"dial_timeout_us":250000,"max_connects":5,"max_retry_after_us":2e6,"peers":true,"probes":true,
			"retry_after":true},"membership_mode":"subscribe","parties":[{"name":"a"}],"reporting":{"fields":["x0"],
			"source":"on_probe"},"service_types":[{"name":"s","effect":"by_key","group":"zone","give_up_us":3e6,
			"memory_span_us":5e6,"setup_target_us":5e5},{"name":"u"}],"siblings":3,"me":2,"zones":["z"],"new":1}`,
			placement.Rundown{Seed: 9, Nodes: 3, Self: 2, Tick: span(4000), MaxConnects: 5, Probes: true, Peers: true, RetryAdvice: 2,
				Subscribe: true,
				AskWithin: 10, Reports: true, ColdFrom: 0.3, ColdFor: 8, FallMultiple: 4, FallFor: 1, Quotas: []float64{90},
				Types: []placement.ServiceType{{Effect: placement.Referenced, Group: placement.GroupZone, MemorySpan: 5,
					SetupTarget: span(5e5), MessageAim: span(50000)}, {Effect: placement.OnceOnly}}},
			Door{Fields: []string{"x0"}, Types: []string{"s", "u"}, Tenants: []string{"a"}, Zones: []string{"z"},
				DialTimeout: 0.25, Longest: 3, PassThrough: true, TellsDelay: true, TellsLoad: true}, ""},
		{"lists that are pushed", `{"membership_mode":"automatic"}`, placement.Rundown{Seed: 9, Self: -1}, Door{Pushed: true}, ""},
		{"no retry time allowed", `{"limits":{"max_retry_after_us":2e6}}`, placement.Rundown{Seed: 9, Self: -1}, Door{}, ""},
		{"nothing at all of everything", `{"siblings":0,"me":0,"limits":{"max_connects":0},"service_types":[{"effect":"once","memory_span_us":0}]}`,
			placement.Rundown{Seed: 9, Types: []placement.ServiceType{{}}}, Door{Types: []string{""}}, ""},
		{"remembered for less than the setup target", `{"me":1,"service_types":[{"effect":"by_key","memory_span_us":1e5,"setup_target_us":5e5}]}`,
			placement.Rundown{Seed: 9, Self: 1, Types: []placement.ServiceType{{Effect: placement.Referenced, MemorySpan: span(1e5),
				SetupTarget: 0.5}}}, Door{Types: []string{""}}, ""},
		{"below nothing", `{"granularity_us":-4,"siblings":2}`, placement.Rundown{}, Door{}, "settings.granularity_us"},
		{"nodes below nothing", `{"siblings":-2}`, placement.Rundown{}, Door{}, "settings.siblings"},
		{"a limit below nothing", `{"limits":{"max_connects":-1}}`, placement.Rundown{}, Door{}, "settings.limits.max_connects"},
		{"a span below nothing", `{"service_types":[{},{"memory_span_us":-1}]}`, placement.Rundown{}, Door{},
			"settings.service_types[1].memory_span_us"},
		{"a share below nothing", `{"family_info":{"tenant_quota_connections":[1,-1]}}`, placement.Rundown{}, Door{},
			"settings.family_info.tenant_quota_connections[1]"},
		{"a number below nothing", `{"me":-1}`, placement.Rundown{}, Door{}, "settings.me"},
		{"an effect that there is none of", `{"service_types":[{"effect":"repeatable"},{"effect":"odd"}]}`, placement.Rundown{}, Door{},
			"settings.service_types[1].effect"},
		{"no JSON", "{{", placement.Rundown{}, Door{}, "settings"},
		{"another shape", `{"service_types":7}`, placement.Rundown{}, Door{}, "settings.service_types"},
		{"a word for a figure", `{"limits":{"max_connects":"five"}}`, placement.Rundown{}, Door{}, "settings.limits.max_connects"},
	}
	for _, c := range cases {
		r, d, err := Read([]byte(c.text), 9)
		if (err == nil) != (c.fails == "") || err != nil && (!strings.HasPrefix(err.Error(), c.fails+": ") || strings.Contains(err.Error(), "\n")) {
			t.Errorf("%s: error %v", c.name, err)
		}
		if !reflect.DeepEqual(r, c.rundown) || !reflect.DeepEqual(d, c.door) {
			t.Errorf("%s: got %+v and %+v", c.name, r, d)
		}
	}
}
