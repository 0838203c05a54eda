package scale

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/fleet"
	"gorseledge/internal/fleet/view"
	"gorseledge/internal/membership"
)

// The process that executes the run and each hollow process exchange JSON objects, one per line: the run writes requests to
// the hollow process's standard input, and the hollow process writes one reply to each request, in order, to its standard
// output. The hollow process exits when its input ends. A JSON key that differs from its field's name is part of this format.

// requestKind is the operation that a request asks of a hollow process.
type requestKind string

const (
	requestSetRegions      requestKind = "plan"    // sets Regions, the region of each node address
	requestStart           requestKind = "start"   // starts Nodes
	requestKill            requestKind = "kill"    // stops Names abruptly: their sockets are closed without an announcement
	requestLeave           requestKind = "leave"   // stops Names gracefully: each announces that it leaves
	requestCut             requestKind = "cut"     // cuts each of CutRegions off from all others; an empty list ends all cuts
	requestWatchDepartures requestKind = "watch"   // starts recording when each node sees Names as dead or left
	requestMembers         requestKind = "members" // returns the membership records of the running nodes
	requestWatchReturns    requestKind = "return"  // starts recording when each node sees Members of the watch as live again
	requestWatchInForce    requestKind = "change"  // starts recording when each node puts in force a version above Version
	requestReport          requestKind = "report"  // returns the nodes' traffic, statistics of their views and recorded times
	requestCheck           requestKind = "check"   // counts the disagreements of the nodes' views with Expected
)

// request is one line to a hollow process. Which fields it uses depends on Kind.
type request struct {
	Kind       requestKind        `json:"kind"`
	Nodes      []hollowNode       `json:"nodes,omitempty"`
	Names      []string           `json:"names,omitempty"`
	Members    []memberRecord     `json:"members,omitempty"`
	Regions    map[string]int     `json:"regions,omitempty"`
	Digests    bool               `json:"digests,omitempty"` // report: include the digests of the nodes' views
	Version    configfeed.Version `json:"version,omitzero"`
	CutRegions []int              `json:"cut_regions,omitempty"`
	Expected   []expectation      `json:"expected,omitempty"`
}

// hollowNode is what a hollow process needs to start a node.
type hollowNode struct {
	Name            string       `json:"name"`
	Region          int          `json:"region"`
	Seed            uint64       `json:"seed"`
	Build           string       `json:"build"`
	ConfiguredNodes int          `json:"settled"` // number of nodes in the node's settings; Fleet has no such field
	Fleet           fleet.Config `json:"fleet"`
}

// expectation is the set of members that the nodes of a region should see as live.
type expectation struct {
	Region int      `json:"region"`
	Names  []string `json:"names"`
}

// reply is one line from a hollow process.
type reply struct {
	Error   string         `json:"error,omitempty"`
	Members []memberRecord `json:"members,omitempty"` // start: records of the started nodes; members: of the running nodes
	Report  *report        `json:"report,omitempty"`
	// Disagreements is the reply to check: the number of pairs of a node and a member whose state in the node's view differs
	// from the expected state.
	Disagreements     int    `json:"wrong,omitempty"`
	FirstDisagreement string `json:"first,omitempty"` // check: text that describes the first such pair
}

// memberRecord is the membership record that a node publishes about itself.
type memberRecord struct {
	Name        string `json:"name"`
	Start       uint64 `json:"start"`
	Incarnation uint32 `json:"incarnation"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Build       string `json:"build"`
	Ready       bool   `json:"ready"`
}

func newMemberRecord(m membership.Member) memberRecord {
	return memberRecord{Name: m.Name, Start: m.Start, Incarnation: m.Incarnation, Address: m.Address, Zone: m.Zone, Build: m.Build,
		Ready: m.Ready}
}

func toMembers(records []memberRecord) (out []membership.Member) {
	for _, m := range records {
		out = append(out, membership.Member{Name: m.Name, Start: m.Start, Incarnation: m.Incarnation, Address: m.Address, Zone: m.Zone,
			Build: m.Build, Ready: m.Ready})
	}
	return out
}

// report holds the traffic of a hollow process's nodes since the process started, including nodes that have ended,
// statistics of the running nodes' views, and the recorded times.
type report struct {
	Nodes          int                    `json:"nodes"` // running nodes
	Traffic        []view.Traffic         `json:"traffic"`
	LiveCounts     map[int]countRange     `json:"living"`            // by region: range of its nodes' live member counts
	PendingUpdates int                    `json:"news"`              // total of updates still to gossip; low at quiescence
	Digests        map[uint64]int         `json:"digests,omitempty"` // number of nodes by view digest; one digest at quiescence
	Detections     watchReport            `json:"seen"`
	InForceDelays  *hdrhistogram.Snapshot `json:"in_force"` // milliseconds from the change, at most one value per node
}

// countRange is the smallest and the largest of several live member counts. The zero value is an empty range: a node counts
// itself as live, so no count is 0.
type countRange struct {
	Min int `json:"least"`
	Max int `json:"most"`
}

// include returns the range extended to include count.
func (r countRange) include(count int) countRange {
	if r.Max == 0 {
		return countRange{count, count}
	}
	return countRange{min(r.Min, count), max(r.Max, count)}
}

// merge returns the smallest range that includes both ranges.
func (r countRange) merge(other countRange) countRange {
	if other.Max == 0 {
		return r
	}
	return r.include(other.Min).include(other.Max)
}
