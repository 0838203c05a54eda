package emulator

import (
	"fmt"
	"slices"
	"strings"

	"gorseledge/internal/strict"
)

// FaultKind is the kind of a fault. Scripts contain the string.
type FaultKind string

// The kinds of faults. The comments use the names of the fields of Fault, and mention each field that the kind uses.
const (
	faultGrow                FaultKind = "grow"          // Count new hosts start
	faultShrink              FaultKind = "shrink"        // Count hosts are drained and removed, spread over Duration
	faultRollingRelease      FaultKind = "release"       // Count hosts are replaced, spread over Duration
	faultZoneLoss            FaultKind = "zone_loss"     // all hosts of Zone vanish for Duration
	faultListDelay           FaultKind = "roster_late"   // changes get into the endpoint list Amount seconds later, for Duration
	faultDiscoveryOutage     FaultKind = "roster_down"   // discovery is down for Duration
	faultListCallRateLimit   FaultKind = "roster_slow"   // discovery answers only Amount calls a second, for Duration
	faultWatchSilence        FaultKind = "roster_silent" // the share Amount of watches and calls fall silent
	faultWatchReset          FaultKind = "roster_reset"  // the share Amount of watches and calls are reset
	faultDiscoveryRelocation FaultKind = "roster_move"   // nodes are redirected to another discovery service within Duration
	faultConnectDelay        FaultKind = "dial_late"     // connecting to a host takes Amount seconds longer, for Duration
	faultEarlyDeparture      FaultKind = "leave"         // the share Amount of new clients leaves unanswered, for Duration
	faultDropClients         FaultKind = "drop"          // the share Amount of clients disconnects, and reconnects within Duration
	faultHostSlow            FaultKind = "slow"          // a host's work takes Amount times as long, for Duration
	faultHostErrors          FaultKind = "errs"          // a host fails the share Amount of its set-ups, for Duration
	faultHostCrash           FaultKind = "crash"         // a host's process ends, and restarts after Duration
	faultHostVanish          FaultKind = "vanish"        // a host's machine is off the network for Duration
	faultHostDrain           FaultKind = "drain"         // a host drains for Duration and is removed
	faultHostStall           FaultKind = "stall"         // a host accepts connections but does not respond, for Duration
	faultStoreSlow           FaultKind = "store_slow"    // the session store accepts only Amount calls a second, for Duration
	faultHostDisabled        FaultKind = "hand"          // a host is administratively disabled for Duration and restarted halfway
	faultNodeUpgrade         FaultKind = "upgrade"       // a node starts a second process, which takes over from the first
	faultNodeKill            FaultKind = "node_kill"     // a node's process is killed, and restarts after Duration
	faultNodeRestart         FaultKind = "node_restart"  // a node shuts down gracefully, and restarts after Duration
)

const (
	minListCallRate   = 0.1  // calls a second
	minStoreCallLimit = 0.1  // calls a second
	maxFaultCount     = 5000 // hosts
	maxFaultDuration  = 1e4  // seconds
	maxFaultAmount    = 1e4  // in the unit of the kind
)

// Fault is a failure, or an action of an operator, that is injected into a run. Host, Node and Zone count from 0.
type Fault struct {
	At       float64   `toml:"at"` // seconds from the start of the run
	Kind     FaultKind `toml:"kind"`
	Host     int       `toml:"host"`
	Node     int       `toml:"node"`
	Zone     int       `toml:"zone"`
	Count    int       `toml:"count"` // hosts
	Duration float64   `toml:"for"`   // seconds
	Amount   float64   `toml:"by"`    // seconds, factor, share or rate, depending on the kind
}

// faultRequirements states which fields of a fault have to be valid for its kind.
type faultRequirements struct{ host, node, zone, count bool }

// faultNeeds has an entry for each kind of fault.
var faultNeeds = map[FaultKind]faultRequirements{
	faultGrow:                {count: true},
	faultShrink:              {count: true},
	faultRollingRelease:      {count: true},
	faultZoneLoss:            {zone: true},
	faultListDelay:           {},
	faultDiscoveryOutage:     {},
	faultListCallRateLimit:   {},
	faultWatchSilence:        {},
	faultWatchReset:          {},
	faultDiscoveryRelocation: {},
	faultConnectDelay:        {},
	faultEarlyDeparture:      {},
	faultDropClients:         {},
	faultHostSlow:            {host: true},
	faultHostErrors:          {host: true},
	faultHostCrash:           {host: true},
	faultHostVanish:          {host: true},
	faultHostDrain:           {host: true},
	faultHostStall:           {host: true},
	faultStoreSlow:           {},
	faultHostDisabled:        {host: true},
	faultNodeUpgrade:         {node: true},
	faultNodeKill:            {node: true},
	faultNodeRestart:         {node: true},
}

// FaultKinds returns the kinds of all faults, sorted.
func FaultKinds() []FaultKind {
	kinds := make([]FaultKind, 0, len(faultNeeds))
	for kind := range faultNeeds {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	return kinds
}

// joinFaultKinds returns the kinds of all faults, separated by commas, for an error message.
func joinFaultKinds() string {
	var names []string
	for _, kind := range FaultKinds() {
		names = append(names, string(kind))
	}
	return strings.Join(names, ", ")
}

// check returns an error and its place in the script if the fault cannot be injected into the fleet.
func (x Fault) check(index int, fleet Fleet) (strict.Place, error) {
	place := func(key string) strict.Place { return strict.Place{Table: "fault", Index: index, Key: key} }
	needs, known := faultNeeds[x.Kind]
	if !known {
		return place("kind"), fmt.Errorf("unknown fault kind %q, must be one of %s", x.Kind, joinFaultKinds())
	}
	amountIsShareOfNodes := x.Kind == faultWatchSilence || x.Kind == faultWatchReset
	switch {
	case needs.host && (x.Host < 0 || x.Host >= fleet.Hosts):
		return place("host"), fmt.Errorf("no host %d: the fleet starts with %d hosts, numbered from 0", x.Host, fleet.Hosts)
	case needs.node && (x.Node < 0 || x.Node >= fleet.Nodes):
		return place("node"), fmt.Errorf("no node %d: the fleet has %d nodes, numbered from 0", x.Node, fleet.Nodes)
	case needs.zone && (x.Zone < 0 || x.Zone >= fleet.Zones):
		return place("zone"), fmt.Errorf("no zone %d: the fleet has %d zones, numbered from 0", x.Zone, fleet.Zones)
	case needs.count && (x.Count < 1 || x.Count > maxFaultCount):
		return place("count"), fmt.Errorf("count of %s must be between 1 and %d hosts, got %d", x.Kind, maxFaultCount, x.Count)
	case amountIsShareOfNodes && !(x.Amount > 0 && x.Amount <= 1):
		return place("by"), fmt.Errorf("by of %s must be a share of the nodes above 0 and at most 1, got %v", x.Kind, x.Amount)
	case x.Kind == faultListCallRateLimit && x.Amount < minListCallRate:
		return place("by"), fmt.Errorf("by of %s must be at least %v calls a second, got %v", x.Kind, minListCallRate, x.Amount)
	}
	return strict.Place{}, nil
}

// bounds returns the allowed ranges of the fault's numeric fields.
func (x Fault) bounds(index int, duration float64) []bound {
	place := func(key string) strict.Place { return strict.Place{Table: "fault", Index: index, Key: key} }
	return []bound{
		{place("at"), x.At, 0, duration},
		{place("for"), x.Duration, 0, maxFaultDuration},
		{place("by"), x.Amount, 0, maxFaultAmount},
	}
}
