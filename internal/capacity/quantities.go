package capacity

const (
	secondsPerDay = 86400
	// changesAtOnce is the number of changes within ten seconds for which the operators plan.
	changesAtOnce         = 10
	microsecondsPerSecond = 1e6
)

// planFigure is one figure of the plan.
type planFigure struct {
	key   string // key in plan.toml
	text  string // name on the page
	value float64
	unit  string
}

// figures returns the planned sizes in the order in which the page lists them.
func (s Size) figures() []planFigure {
	return []planFigure{
		{"nodes", "nodes", s.Nodes, "1"},
		{"connections", "connections", s.Connections, "1"},
		{"shards", "shards of topics", s.Shards, "1"},
		{"largest_topic_listeners", "listeners of the largest topic", s.LargestTopic, "1"},
		{"deliveries_per_s", "deliveries a second", s.Deliveries, "1/s"},
		{"delivery_within_s", "a delivery within", s.DeliveryWithin, "s"},
		{"delivery_part", "for this part of them", s.DeliveryPart, "1"},
		{"regions", "regions", s.Regions, "1"},
		{"zones", "zones", s.Zones, "1"},
		{"changes_a_day", "changes of configuration a day", s.ChangesPerDay, "1"},
		{"change_in_force_within_s", "a change in force everywhere within", s.ChangeWithin, "s"},
		{"control_part_of_a_core", "control at a node: part of a core", s.ControlCore, "1"},
		{"control_memory_bytes", "control at a node: memory", s.ControlMemory, "B"},
		{"control_bytes_per_s", "control at a node: bytes a second", s.ControlBytes, "B/s"},
		{"control_machines", "machines for control", s.ControlMachines, "1"},
		{"machine_failures_a_day", "machines that fail on a day", s.FailuresPerDay, "1"},
		{"restarts_a_day", "machines restarted or replaced on a day", s.RestartsPerDay, "1"},
		{"region_cut_s", "regions lose each other for", s.RegionCutFor, "s"},
	}
}

// quantity is a value with a unit to which rows refer by name.
type quantity struct {
	value      float64
	unit       string
	derivation string // how the value follows from the plan; empty if the plan states it
}

// derivedQuantity is a quantity that is computed from the plan, with its name in plan.toml and its text on the page.
type derivedQuantity struct {
	name string
	text string
	quantity
}

// nodesPerRackName is the name of the assumption for the number of nodes in a rack.
const nodesPerRackName = "nodes_a_rack"

// assumedValue returns the value of an assumption, or 0 if the plan does not have it.
func (p *Plan) assumedValue(name string) float64 {
	for _, assumption := range p.Assumed {
		if assumption.Name == name {
			return assumption.Value
		}
	}
	return 0
}

// derived returns the quantities that are computed from the plan, in the order in which the page lists them.
func (p *Plan) derived() []derivedQuantity {
	s := p.Size
	remainingNodes := s.Nodes * (s.Zones - 1) / s.Zones
	nodesPerRack := p.assumedValue(nodesPerRackName)
	return []derivedQuantity{
		{"connections_a_node", "connections a node", quantity{s.Connections / s.Nodes, "1", "connections / nodes"}},
		{"deliveries_a_node", "deliveries a second and node", quantity{s.Deliveries / s.Nodes, "1/s", "deliveries / nodes"}},
		{"listeners_a_node", "listeners of the largest topic a node", quantity{s.LargestTopic / s.Nodes, "1", "listeners / nodes"}},
		{"shards_a_node", "shards a node, if spread evenly", quantity{s.Shards / s.Nodes, "1", "shards / nodes"}},
		{"nodes_a_zone", "nodes a zone", quantity{s.Nodes / s.Zones, "1", "nodes / zones"}},
		{"nodes_a_region", "nodes a region", quantity{s.Nodes / s.Regions, "1", "nodes / regions"}},
		{"nodes_a_control_machine", "nodes that follow one control machine",
			quantity{s.Nodes / s.ControlMachines, "1", "nodes / control machines"}},
		{"nodes_after_a_control_machine", "nodes that follow one control machine while one is down",
			quantity{s.Nodes / (s.ControlMachines - 1), "1", "nodes / (control machines - 1)"}},
		{"clients_of_a_node_to_each_other", "clients of a lost node, to each node left",
			quantity{s.Connections / s.Nodes / (s.Nodes - 1), "1", "connections a node / (nodes - 1)"}},
		{"clients_of_a_rack_to_each_other", "clients of a lost rack, to each node left",
			quantity{nodesPerRack * s.Connections / s.Nodes / (s.Nodes - nodesPerRack), "1", "nodes a rack (assumed) x connections a node / nodes left"}},
		{"clients_of_a_zone", "clients of a zone", quantity{s.Connections / s.Zones, "1", "connections / zones"}},
		{"clients_of_a_zone_to_each_other", "clients of a lost zone, to each node left",
			quantity{s.Connections / s.Zones / remainingNodes, "1", "clients of a zone / nodes left"}},
		{"restarted_clients_a_second", "clients that come again by restarts, a second in the mean",
			quantity{s.RestartsPerDay * s.Connections / s.Nodes / secondsPerDay, "1/s", "restarts x connections a node / 86,400 s"}},
		{"restarted_clients_a_second_and_node", "the same, to each node",
			quantity{s.RestartsPerDay * s.Connections / s.Nodes / secondsPerDay / s.Nodes, "1/s", "the same / nodes"}},
		{"bytes_a_change", "bytes that a node's budget gives a change",
			quantity{s.ControlBytes * s.ChangeWithin, "B", "control bytes a second x 6 s"}},
		{"control_cpu", "processor time for control a node", quantity{microsecondsPerSecond * s.ControlCore, "us/s", "part of a core"}},
		{"control_memory", "memory for control a node", quantity{s.ControlMemory, "B", ""}},
		{"control_bytes", "bytes for control a node and second", quantity{s.ControlBytes, "B/s", ""}},
		{"delivery_within", "a delivery within", quantity{s.DeliveryWithin, "s", ""}},
		{"change_within", "a change in force everywhere within", quantity{s.ChangeWithin, "s", ""}},
		{"nodes", "nodes", quantity{s.Nodes, "1", ""}},
		{"shards", "shards", quantity{s.Shards, "1", ""}},
		{"changes_at_once", "changes in ten seconds", quantity{changesAtOnce, "1", "plan's page: plan for ten in ten seconds"}},
	}
}

// quantities returns every quantity to which a row may refer, by name. An assumption replaces a derived quantity of the same
// name.
func (p *Plan) quantities() map[string]quantity {
	quantities := map[string]quantity{}
	for _, derived := range p.derived() {
		quantities[derived.name] = derived.quantity
	}
	for _, assumption := range p.Assumed {
		quantities[assumption.Name] = quantity{assumption.Value, assumption.Unit, assumedDerivation}
	}
	return quantities
}

// assumedDerivation is the derivation of assumed quantities.
const assumedDerivation = "assumed"
