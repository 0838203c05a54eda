package capacity

import (
	"math"
	"strings"
	"testing"
)

// planText is a valid plan with three rows: one with a fitted cost, one with an assumed slope and one without a mechanism.
const planText = `[size]
nodes = 860
connections = 45e6
shards = 130e3
largest_topic_listeners = 410e3
deliveries_per_s = 9.8e6
delivery_within_s = 0.43
delivery_part = 0.99
regions = 3
zones = 8
changes_a_day = 700
change_in_force_within_s = 6
control_part_of_a_core = 0.013
control_memory_bytes = 64e6
control_bytes_per_s = 15e3
control_machines = 5
machine_failures_a_day = 2
restarts_a_day = 200
region_cut_s = 3600

[[assumed]]
name = "room"
value = 1e6
unit = "B"
why = "for a test"

[[assumed]]
name = "nodes_a_rack"
value = 20
unit = "1"
why = "for a test"

[[row]]
group = "node_control"
name = "memory"
mechanism = "a table"
size = "nodes"
per = "a node"
from = {table = "rest", source = "virtual", dimension = "nodes", phase = "rest", cost = "node.memory"}
budget = "control_memory"

[[row]]
group = "discovery"
name = "calls"
mechanism = "a watch"
size = "nodes"
reckoned = {slope = 0.3, unit = "1/s", basis = "a test"}

[[row]]
group = "serving"
name = "shards"
mechanism = "none yet: a hash over members"
size = "shards_a_node"
`

// An invalid plan must be rejected with its line instead of producing a page with wrong or missing costs.
func TestInvalidPlanIsRejected(t *testing.T) {
	if _, err := parsePlan("plan.toml", []byte(planText)); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct{ from, to, want string }{
		"unknown key":         {"[[row]]", "[[rows]]", "plan.toml:33: unknown key"},
		"unknown key in from": {"cost =", "price =", "unknown key"},
		"no nodes":            {"nodes = 860", "", "plan.toml:1: nodes is missing"},
		"zero figure":         {"zones = 8", "zones = 0", "plan.toml:10: zones is missing or not greater than 0"},
		"no reason":           {`why = "for a test"`, "", "an assumption needs a name and a reason (why)"},
		"unknown group":       {`group = "discovery"`, `group = "unknown_group"`, `plan.toml:43: calls: unknown group "unknown_group"`},
		"unknown size": {`size = "nodes"`, `size = "unknown_size"`,
			`plan.toml:37: memory: unknown quantity "unknown_size" for the size`},
		"unknown budget": {`budget = "control_memory"`, `budget = "unknown_budget"`,
			`memory: unknown quantity "unknown_budget" for the budget`},
		"no mechanism":       {`mechanism = "a table"`, "", "the row has no mechanism"},
		"row without a name": {`name = "calls"`, "", "the row has no name"},
		"from and reckoned": {`budget = "control_memory"`, `reckoned = {slope = 1, unit = "B", basis = "x"}`,
			"from and reckoned are mutually exclusive"},
		"text for a figure":  {"zones = 8", `zones = "eight"`, "plan.toml:10:"},
		"unnamed assumption": {`name = "room"`, "", "an assumption needs a name"},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(planText, c.from, c.to, 1)
			if text == planText {
				t.Fatalf("the plan does not contain %q", c.from)
			}
			if _, err := parsePlan("plan.toml", []byte(text)); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %v, want %q", err, c.want)
			}
		})
	}
}

// Derived quantities must agree with the operators' page, which computes them by division and rounds them.
func TestDerivedQuantitiesMatchOperatorsPage(t *testing.T) {
	p, err := parsePlan("plan.toml", []byte(planText))
	if err != nil {
		t.Fatal(err)
	}
	quantities := p.quantities()
	for name, want := range map[string]float64{"connections_a_node": 52300, "deliveries_a_node": 11400, "listeners_a_node": 477,
		"shards_a_node": 151, "nodes_a_zone": 107.5, "nodes_a_region": 287, "nodes_a_control_machine": 172,
		"clients_of_a_zone": 5.6e6, "clients_of_a_zone_to_each_other": 7500, "restarted_clients_a_second": 121, "bytes_a_change": 90e3,
		"clients_of_a_rack_to_each_other": 1246, "control_cpu": 13000, "room": 1e6} {
		if got := quantities[name].value; math.Abs(got/want-1) > 0.006 {
			t.Errorf("%s is %v, want %v", name, got, want)
		}
	}
}

// Rows refer to quantities by name, so a name that occurs twice would select the wrong one.
func TestDerivedQuantitiesAreUniqueAndHaveUnits(t *testing.T) {
	p := &Plan{}
	names := map[string]bool{}
	for _, d := range p.derived() {
		if names[d.name] || d.unit == "" || d.text == "" {
			t.Errorf("quantity %q occurs twice or has no unit or text", d.name)
		}
		names[d.name] = true
	}
}
