package emulator

import (
	"fmt"
	"os"

	"gorseledge/internal/strict"
)

// Scenario is a script: a fleet, its traffic and its faults. Times are in seconds, loads in cores. The struct tags
// map the keys of scripts.
type Scenario struct {
	Name        string    `toml:"name"`   // of the script, for tables
	Duration    float64   `toml:"lasts"`  // until the last client arrives
	Settle      float64   `toml:"settle"` // after Duration, in which what is under way ends
	Fleet       Fleet     `toml:"fleet"`
	Network     Network   `toml:"network"`
	Rules       Rules     `toml:"rules"`
	Traffic     []Traffic `toml:"traffic"`
	Faults      []Fault   `toml:"fault"`
	DrawnFaults int       `toml:"drawn_faults"` // number of further faults, drawn from the seed
	DrawnFleet  bool      `toml:"drawn_fleet"`  // sizes, effects, deadlines and rules are drawn from the seed
}

// Fleet is what exists at the start of a run.
type Fleet struct {
	Nodes          int     `toml:"nodes"`
	Hosts          int     `toml:"hosts"`
	Zones          int     `toml:"zones"`
	Capacity       float64 `toml:"capacity"`     // cores of a host
	CapacitySpread float64 `toml:"uneven"`       // share by which a host's capacity differs at most
	SlowStartFrom  float64 `toml:"cold_from"`    // share of its capacity that a host has at its start
	SlowStartTime  float64 `toml:"cold_for"`     // seconds until a host has its whole capacity
	ListDelay      float64 `toml:"roster_delay"` // seconds until a change is in the endpoint list
	ListCallRate   float64 `toml:"roster_calls"` // calls a second that discovery answers
	StoreCallLimit float64 `toml:"store"`        // set-ups a second that the session store takes; 0 for no limit
	InputTime      float64 `toml:"node_cpu"`     // seconds that a node takes for one input
	MaxDescriptors int     `toml:"sockets"`      // descriptors of a node
}

// Network describes the links between machines.
type Network struct {
	DelayWithinZone   float64 `toml:"near"`      // seconds one way
	DelayBetweenZones float64 `toml:"far"`       // seconds one way
	Jitter            float64 `toml:"jitter"`    // share by which a delay grows at most
	Bandwidth         float64 `toml:"bandwidth"` // bytes a second of one connection; 0 for no limit
	SplitChance       float64 `toml:"pieces"`    // probability that a write arrives in two parts
}

// Rules are the figures of the rules that a run checks, and of the settings that nodes get for them.
type Rules struct {
	DrainGrace   float64 `toml:"drain_grace"`   // seconds in which a notified node may still connect to a draining host
	AnswerSlack  float64 `toml:"answer_slack"`  // seconds; checked for its range only
	FallMultiple float64 `toml:"fall_multiple"` // times its present capacity at which a host in slow start fails
	FallTime     float64 `toml:"fall_for"`      // seconds of such load until it fails
	MaxAttempts  int     `toml:"max_connects"`  // attempts of a flow at most
	RetryAfter   float64 `toml:"retry_after"`   // longest Retry-After of a node, in seconds; 0 for none
	PollWithin   float64 `toml:"ask_within"`    // seconds in which a node polls discovery again
	DialTimeout  float64 `toml:"dial_timeout"`  // seconds
	Pushed       bool    `toml:"pushed"`        // an agent beside each node has the list; the node counts as notified with it
}

// Effect says whether a service type's requests may be sent twice, in the form that scripts have.
type Effect string

// The effects of requests.
const (
	effectIdempotent    Effect = "repeatable" // may be sent any number of times
	effectIdempotentKey Effect = "referenced" // may be sent again within the memory span of its key
	effectNonIdempotent Effect = "once-only"  // may be carried out at most once
)

// nodeEffects maps the effects of scripts to those of a node's settings.
var nodeEffects = map[Effect]string{
	effectIdempotent:    "repeatable",
	effectIdempotentKey: "by_key",
	effectNonIdempotent: "once",
}

// Traffic is the clients of one service type.
type Traffic struct {
	Name             string  `toml:"name"`
	Effect           Effect  `toml:"effect"`
	MemorySpan       float64 `toml:"memory_span"` // seconds in which a repeated key has no second effect
	Rate             float64 `toml:"rate"`        // new clients a second
	MeanLifetime     float64 `toml:"lives"`       // seconds of a connection
	Load             float64 `toml:"load"`        // mean cores of a connection
	SetupObjective   float64 `toml:"target"`      // seconds
	ConnectTimeout   float64 `toml:"timeout"`     // seconds
	MessageObjective float64 `toml:"message"`     // seconds
	PriorityWeight   float64 `toml:"value"`       // of a served second in ServedShare
	GroupSize        int     `toml:"group"`       // clients that share a group; 0 for no groups
	Retries          int     `toml:"retries"`     // consecutive retries of a client by itself
	Backoff          float64 `toml:"backoff"`     // seconds between a client's retries
	RetryAfterShare  float64 `toml:"heeds"`       // share of the clients that wait as long as Retry-After says
}

// defaultScenario has the values of keys that a script leaves out.
func defaultScenario() Scenario {
	return Scenario{
		Duration: 60,
		Settle:   12,
		Fleet: Fleet{Nodes: 3, Hosts: 12, Zones: 3, Capacity: 2, CapacitySpread: 0.3, SlowStartFrom: 0.4, SlowStartTime: 8,
			ListDelay: 1, ListCallRate: 50, InputTime: 20e-6, MaxDescriptors: 1024},
		Network: Network{DelayWithinZone: 2e-4, DelayBetweenZones: 1e-3, Jitter: 0.3, SplitChance: 0.1},
		Rules: Rules{DrainGrace: 0.4, AnswerSlack: 0.05, FallMultiple: 4, FallTime: 1, MaxAttempts: 4, RetryAfter: 2,
			PollWithin: 10, DialTimeout: 0.25},
	}
}

// ReadFile reads a script from a file. An error about its content is one line with file and line number.
func ReadFile(path string) (Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, fmt.Errorf("reading a script: %w", err)
	}
	return Read(path, text)
}

// Read reads a script from text. The path is for messages. An error is one line with path and line number.
func Read(path string, text []byte) (Scenario, error) {
	s := defaultScenario()
	if err := strict.Decode(path, text, &s); err != nil {
		return s, err
	}
	if place, err := s.check(); err != nil {
		return s, place.Wrap(path, text, err)
	}
	return s, nil
}
