package emulator

import (
	"fmt"
	"os"

	"gorseledge/internal/strict"
)

// Scenario is the content of a script: a fleet, its traffic and its faults. Times are in seconds, loads in cores. The keys of
// scripts are in the struct tags.
type Scenario struct {
	Name            string    `toml:"name"`   // scenario column of tables
	Duration        float64   `toml:"lasts"`  // time in which clients arrive
	Settle          float64   `toml:"settle"` // time after Duration in which open connections may end
	Fleet           Fleet     `toml:"fleet"`
	Network         Network   `toml:"network"`
	Rules           Rules     `toml:"rules"`
	Traffic         []Traffic `toml:"traffic"`
	Faults          []Fault   `toml:"fault"`
	GeneratedFaults int       `toml:"drawn_faults"` // number of additional faults, generated from the seed
	GeneratedFleet  bool      `toml:"drawn_fleet"`  // sizes, idempotency, deadlines and rules are generated from the seed
}

// Fleet describes the machines and services at the start of a run.
type Fleet struct {
	Nodes          int     `toml:"nodes"`
	Hosts          int     `toml:"hosts"`
	Zones          int     `toml:"zones"`
	Capacity       float64 `toml:"capacity"`     // cores of a host
	CapacitySpread float64 `toml:"uneven"`       // largest relative deviation of a host's capacity
	SlowStartFrom  float64 `toml:"cold_from"`    // share of its full capacity that a host has at its start
	SlowStartTime  float64 `toml:"cold_for"`     // seconds from its start until a host has its full capacity
	ListDelay      float64 `toml:"roster_delay"` // seconds until a change is in the endpoint list
	ListCallRate   float64 `toml:"roster_calls"` // calls a second that discovery answers
	StoreCallLimit float64 `toml:"store"`        // set-ups a second that the session store accepts; 0 for no limit
	InputTime      float64 `toml:"node_cpu"`     // seconds that a node takes to process one input
	MaxDescriptors int     `toml:"sockets"`      // limit of descriptors of a node

	NamedZones int `toml:"-" json:"-"` // zones that the nodes' settings name, 0 for all; only tests set it
}

// Network describes the links between machines.
type Network struct {
	DelayWithinZone   float64 `toml:"near"`      // seconds, one-way
	DelayBetweenZones float64 `toml:"far"`       // seconds, one-way
	Jitter            float64 `toml:"jitter"`    // largest relative increase of a delay
	Bandwidth         float64 `toml:"bandwidth"` // bytes a second in each direction of a connection; 0 for no limit
	SplitChance       float64 `toml:"pieces"`    // probability that a write arrives in two parts
}

// Rules are the parameters of the rules that a run checks, and of the settings that nodes get to follow them.
type Rules struct {
	DrainGrace   float64 `toml:"drain_grace"`   // seconds in which a notified node may still connect to a draining host
	AnswerSlack  float64 `toml:"answer_slack"`  // seconds; unused except that its range is checked
	FallMultiple float64 `toml:"fall_multiple"` // multiple of its present capacity above which load makes a starting host fail
	FallTime     float64 `toml:"fall_for"`      // seconds of such a load after which the host fails
	MaxAttempts  int     `toml:"max_connects"`  // maximum of attempts of a flow
	RetryAfter   float64 `toml:"retry_after"`   // longest Retry-After of a node, in seconds; 0 for none
	PollWithin   float64 `toml:"ask_within"`    // seconds within which a node polls discovery again
	DialTimeout  float64 `toml:"dial_timeout"`  // seconds
	Pushed       bool    `toml:"pushed"`        // an agent next to each node receives the list; the node counts as notified with it
}

// Idempotency states whether requests of a service type may be sent twice. Scripts contain the string.
type Idempotency string

// The values of Idempotency.
const (
	idempotent        Idempotency = "repeatable" // may be sent any number of times
	idempotentWithKey Idempotency = "referenced" // may be sent again within the memory span of its key
	nonIdempotent     Idempotency = "once-only"  // may be carried out at most once
)

// nodeIdempotency maps the values in scripts to those in a node's settings.
var nodeIdempotency = map[Idempotency]string{
	idempotent:        "repeatable",
	idempotentWithKey: "by_key",
	nonIdempotent:     "once",
}

// Traffic describes the clients of one service type.
type Traffic struct {
	Name             string      `toml:"name"`
	Idempotency      Idempotency `toml:"effect"`
	MemorySpan       float64     `toml:"memory_span"` // seconds in which a request with a repeated key is not carried out again
	Rate             float64     `toml:"rate"`        // new clients a second
	MeanLifetime     float64     `toml:"lives"`       // mean seconds for which a client wants to be connected
	Load             float64     `toml:"load"`        // mean load of a connection, in cores
	SetupObjective   float64     `toml:"target"`      // seconds
	ConnectTimeout   float64     `toml:"timeout"`     // seconds
	MessageObjective float64     `toml:"message"`     // seconds
	PriorityWeight   float64     `toml:"value"`       // weight of a second of this type in Result.ServedShare
	GroupSize        int         `toml:"group"`       // clients that share a group; 0 for no groups
	Retries          int         `toml:"retries"`     // consecutive retries that a client makes before it leaves
	Backoff          float64     `toml:"backoff"`     // seconds between a client's retries
	RetryAfterShare  float64     `toml:"heeds"`       // share of the clients that wait for the time in Retry-After

	KeyScope KeyScope `toml:"-" json:"-"` // hosts that drop the repeats of a key, empty for all; only tests set it
}

// KeyScope names the hosts that drop repeated requests with an idempotency key, as the nodes' settings name them.
type KeyScope string

// keyScopeZone are the hosts in the zone of the host that carried out the request.
const keyScopeZone KeyScope = "zone"

// defaultScenario returns the values of keys that a script omits.
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

// ReadFile reads a script from a file. An error in its content is one line that starts with the file and the line number.
func ReadFile(path string) (Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, fmt.Errorf("reading script: %w", err)
	}
	return Read(path, text)
}

// Read parses the text of a script. The path is used in errors, which are one line that starts with the path and the line
// number.
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
