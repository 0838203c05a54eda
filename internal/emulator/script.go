package emulator

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"gorseledge/internal/strict"
)

// Scenario is a script: a fleet, its traffic and what befalls it. Times are seconds, loads shares of a core.
type Scenario struct {
	Name        string    `toml:"name"`
	Duration    float64   `toml:"lasts"`
	Settle      float64   `toml:"settle"` // after the last arrival, for what is under way
	Fleet       Fleet     `toml:"fleet"`
	Network     Network   `toml:"network"`
	Rules       Rules     `toml:"rules"`
	Traffic     []Traffic `toml:"traffic"`
	Faults      []Fault   `toml:"fault"`
	DrawnFaults int       `toml:"drawn_faults"` // further faults, drawn from the seed
	DrawnFleet  bool      `toml:"drawn_fleet"`  // sizes, effects, deadlines, grace and the way of lists, drawn from the seed
}

// Fleet is what stands at the start.
type Fleet struct {
	Nodes          int     `toml:"nodes"`
	Hosts          int     `toml:"hosts"`
	Zones          int     `toml:"zones"`
	Capacity       float64 `toml:"capacity"`  // of a host, in cores
	CapacitySpread float64 `toml:"uneven"`    // share by which capacities differ
	SlowStartFrom  float64 `toml:"cold_from"` // share of its capacity a host starts with
	SlowStartTime  float64 `toml:"cold_for"`
	ListDelay      float64 `toml:"roster_delay"` // until a change is told
	ListCallRate   float64 `toml:"roster_calls"` // calls a second that discovery works through
	StoreCallLimit float64 `toml:"store"`        // set-ups a second that the session store bears; 0 for any number
	InputTime      float64 `toml:"node_cpu"`     // seconds that a node takes for one input
	MaxDescriptors int     `toml:"sockets"`
}

// Network is what lies between the machines.
type Network struct {
	DelayWithinZone   float64 `toml:"near"`
	DelayBetweenZones float64 `toml:"far"`
	Jitter            float64 `toml:"jitter"`
	Bandwidth         float64 `toml:"bandwidth"`
	SplitChance       float64 `toml:"pieces"`
}

// Rules are the figures of the four rules.
type Rules struct {
	DrainGrace   float64 `toml:"drain_grace"`
	AnswerSlack  float64 `toml:"answer_slack"`
	FallMultiple float64 `toml:"fall_multiple"`
	FallTime     float64 `toml:"fall_for"`
	MaxAttempts  int     `toml:"max_connects"`
	RetryAfter   float64 `toml:"retry_after"`
	PollWithin   float64 `toml:"ask_within"`
	DialTimeout  float64 `toml:"dial_timeout"`
	Pushed       bool    `toml:"pushed"` // lists are pushed to each node's agent: what that has counts as told
}

// Traffic is one service type.
type Traffic struct {
	Name             string  `toml:"name"`
	Effect           string  `toml:"effect"` // repeatable, referenced or once-only
	MemorySpan       float64 `toml:"memory_span"`
	Rate             float64 `toml:"rate"`    // new clients a second
	MeanLifetime     float64 `toml:"lives"`   // mean life of a connection
	Load             float64 `toml:"load"`    // of a connection
	SetupObjective   float64 `toml:"target"`  // setup target
	ConnectTimeout   float64 `toml:"timeout"` // connect timeout
	MessageObjective float64 `toml:"message"` // aim for a message
	PriorityWeight   float64 `toml:"value"`
	GroupSize        int     `toml:"group"`   // clients of one group, 0 for none
	Retries          int     `toml:"retries"` // of a client by itself
	Backoff          float64 `toml:"backoff"`
	RetryAfterShare  float64 `toml:"heeds"` // share of the clients that come again when told
}

// Fault is one thing that befalls the fleet.
type Fault struct {
	At       float64 `toml:"at"`
	Kind     string  `toml:"kind"`
	Host     int     `toml:"host"`
	Node     int     `toml:"node"`
	Zone     int     `toml:"zone"`
	Count    int     `toml:"count"`
	Duration float64 `toml:"for"`
	Amount   float64 `toml:"by"` // factor or share, as the kind says
}

// faultNeeds of faults, and what each one needs.
var faultNeeds = map[string]struct{ host, node, zone, count, lasts, by bool }{
	"grow":          {count: true},
	"shrink":        {count: true, lasts: true},
	"release":       {count: true, lasts: true}, // hosts are replaced in turn
	"zone_loss":     {zone: true, lasts: true},  // and comes back cold
	"roster_late":   {lasts: true, by: true},
	"roster_down":   {lasts: true},
	"roster_slow":   {lasts: true, by: true}, // works through that many calls a second
	"roster_silent": {by: true},              // that share of the nodes' watches and calls say nothing any more
	"roster_reset":  {by: true},              // or end at once
	"roster_move":   {lasts: true},           // nodes are sent to another discovery within that time; its index begins anew
	"dial_late":     {lasts: true, by: true}, // connections to hosts come up so many seconds late
	"leave":         {by: true, lasts: true}, // that share of the clients that come does not wait for an answer
	"drop":          {by: true, lasts: true}, // that share of the clients, and back within that time
	"slow":          {host: true, lasts: true, by: true},
	"errs":          {host: true, lasts: true, by: true},
	"crash":         {host: true, lasts: true},
	"vanish":        {host: true, lasts: true},
	"drain":         {host: true, lasts: true},
	"stall":         {host: true, lasts: true}, // takes connections and says nothing: a fault in mid-handshake
	"store_slow":    {lasts: true, by: true},
	"hand":          {host: true, lasts: true}, // out by hand at every node, restarted meanwhile, put back
	"upgrade":       {node: true},              // a new process beside the old one
	"node_kill":     {node: true, lasts: true},
	"node_restart":  {node: true, lasts: true}, // asked to leave first
}

// FaultKinds gives the names of all faults.
func FaultKinds() []string {
	names := make([]string, 0, len(faultNeeds))
	for name := range faultNeeds {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// defaultScenario stand where a script says nothing.
func defaultScenario() Scenario {
	return Scenario{Duration: 60, Settle: 12,
		Fleet: Fleet{Nodes: 3, Hosts: 12, Zones: 3, Capacity: 2, CapacitySpread: 0.3, SlowStartFrom: 0.4, SlowStartTime: 8, ListDelay: 1, ListCallRate: 50,
			InputTime: 20e-6, MaxDescriptors: 1024},
		Network: Network{DelayWithinZone: 2e-4, DelayBetweenZones: 1e-3, Jitter: 0.3, SplitChance: 0.1},
		Rules: Rules{DrainGrace: 0.4, AnswerSlack: 0.05, FallMultiple: 4, FallTime: 1, MaxAttempts: 4, RetryAfter: 2,
			PollWithin: 10, DialTimeout: 0.25}}
}

// ReadFile reads a script. What is wrong with it is one message with file and line.
func ReadFile(path string) (Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Scenario{}, err
	}
	return Read(path, text)
}

// Read reads a script from text; path is for messages.
func Read(path string, text []byte) (Scenario, error) {
	s := defaultScenario()
	if err := strict.Decode(path, text, &s); err != nil {
		return s, err
	}
	if where, err := s.check(); err != nil {
		return s, where.Wrap(path, text, err)
	}
	return s, nil
}

// check gives the first thing that no fleet can be played with.
func (s Scenario) check() (strict.Place, error) {
	type figure struct {
		in    strict.Place
		x     float64
		least float64
		most  float64
	}
	f, n, r := s.Fleet, s.Network, s.Rules
	top := func(key string) strict.Place { return strict.Place{Key: key} }
	fleet := func(key string) strict.Place { return strict.Place{Table: "fleet", Key: key} }
	net := func(key string) strict.Place { return strict.Place{Table: "network", Key: key} }
	rule := func(key string) strict.Place { return strict.Place{Table: "rules", Key: key} }
	figures := []figure{{top("lasts"), s.Duration, 1, 1e5}, {top("settle"), s.Settle, 0, 1e3},
		{top("drawn_faults"), float64(s.DrawnFaults), 0, 1e3},
		{fleet("nodes"), float64(f.Nodes), 1, 2000}, {fleet("hosts"), float64(f.Hosts), 0, 5000},
		{fleet("zones"), float64(f.Zones), 1, 100}, {fleet("capacity"), f.Capacity, 1e-3, 1e4},
		{fleet("uneven"), f.CapacitySpread, 0, 0.9}, {fleet("cold_from"), f.SlowStartFrom, 0.01, 1}, {fleet("cold_for"), f.SlowStartTime, 0, 1e4},
		{fleet("roster_delay"), f.ListDelay, 0, 1e3}, {fleet("roster_calls"), f.ListCallRate, 0.1, 1e6}, {fleet("store"), f.StoreCallLimit, 0, 1e6},
		{fleet("node_cpu"), f.InputTime, 0, 1}, {fleet("sockets"), float64(f.MaxDescriptors), 32, 1e6},
		{net("near"), n.DelayWithinZone, 0, 10}, {net("far"), n.DelayBetweenZones, 0, 10}, {net("jitter"), n.Jitter, 0, 10},
		{net("bandwidth"), n.Bandwidth, 0, 1e12}, {net("pieces"), n.SplitChance, 0, 1},
		{rule("drain_grace"), r.DrainGrace, 0, 100}, {rule("answer_slack"), r.AnswerSlack, 0, 10},
		{rule("fall_multiple"), r.FallMultiple, 1, 1e3}, {rule("fall_for"), r.FallTime, 0.01, 100},
		{rule("max_connects"), float64(r.MaxAttempts), 1, 100}, {rule("retry_after"), r.RetryAfter, 0, 100},
		{rule("ask_within"), r.PollWithin, 0, 1e4}, {rule("dial_timeout"), r.DialTimeout, 1e-3, 100}}
	for i, t := range s.Traffic {
		of := func(key string) strict.Place { return strict.Place{Table: "traffic", Index: i, Key: key} }
		if t.Name == "" || strings.ContainsAny(t.Name, " ,=\r\n") {
			return of("name"), fmt.Errorf("a service type needs a name of one word, not %q", t.Name)
		}
		if _, ok := nodeEffects[t.Effect]; !ok {
			return of("effect"), fmt.Errorf("effect %q is none of repeatable, referenced, once-only", t.Effect)
		}
		figures = append(figures, figure{of("rate"), t.Rate, 0, 1e5}, figure{of("lives"), t.MeanLifetime, 0.01, 1e5},
			figure{of("load"), t.Load, 0, 1e3}, figure{of("target"), t.SetupObjective, 1e-3, 1e3},
			figure{of("timeout"), t.ConnectTimeout, 1e-2, 1e3}, figure{of("message"), t.MessageObjective, 0, 1e3},
			figure{of("value"), t.PriorityWeight, 0, 1e6}, figure{of("group"), float64(t.GroupSize), 0, 1e5},
			figure{of("retries"), float64(t.Retries), 0, 100}, figure{of("backoff"), t.Backoff, 0, 1e3},
			figure{of("heeds"), t.RetryAfterShare, 0, 1}, figure{of("memory_span"), t.MemorySpan, 0, 1e4})
	}
	for i, x := range s.Faults {
		of := func(key string) strict.Place { return strict.Place{Table: "fault", Index: i, Key: key} }
		needs, ok := faultNeeds[x.Kind]
		if !ok {
			return of("kind"), fmt.Errorf("no fault is called %q; there are %s", x.Kind, strings.Join(FaultKinds(), ", "))
		}
		figures = append(figures, figure{of("at"), x.At, 0, s.Duration}, figure{of("for"), x.Duration, 0, 1e4},
			figure{of("by"), x.Amount, 0, 1e4})
		switch {
		case needs.host && (x.Host < 0 || x.Host >= f.Hosts):
			return of("host"), fmt.Errorf("there is no host %d: the fleet begins with %d, from 0 on", x.Host, f.Hosts)
		case needs.node && (x.Node < 0 || x.Node >= f.Nodes):
			return of("node"), fmt.Errorf("there is no node %d: the fleet has %d, from 0 on", x.Node, f.Nodes)
		case needs.zone && (x.Zone < 0 || x.Zone >= f.Zones):
			return of("zone"), fmt.Errorf("there is no zone %d: the fleet has %d, from 0 on", x.Zone, f.Zones)
		case needs.count && (x.Count < 1 || x.Count > 5000):
			return of("count"), fmt.Errorf("%s needs a count from 1 to 5000, not %d", x.Kind, x.Count)
		case (x.Kind == "roster_silent" || x.Kind == "roster_reset") && !(x.Amount > 0 && x.Amount <= 1):
			return of("by"), fmt.Errorf("%s needs a share of the nodes over 0 and up to 1, not %v", x.Kind, x.Amount)
		case x.Kind == "roster_slow" && x.Amount < 0.1:
			return of("by"), fmt.Errorf("roster_slow needs 0.1 calls a second or more, not %v", x.Amount)
		}
	}
	for _, x := range figures {
		if !(x.x >= x.least && x.x <= x.most) {
			return x.in, fmt.Errorf("%s is %v, and goes from %v to %v", x.in.Key, x.x, x.least, x.most)
		}
	}
	return strict.Place{}, nil
}
