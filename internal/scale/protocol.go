package scale

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/fleet"
	"gorseledge/internal/fleet/view"
	"gorseledge/internal/membership"
)

// The run and a hollow process exchange JSON objects, one per line: requests on the process's standard input, replies on its
// standard output. The process exits when its input ends.

// requestKind is what a hollow process is asked to do.
type requestKind string

const (
	requestPlan    requestKind = "plan"    // Regions is the region of every address
	requestStart   requestKind = "start"   // starts Nodes
	requestKill    requestKind = "kill"    // kills Names: their sockets are closed without a last message
	requestLeave   requestKind = "leave"   // has Names leave, which they announce
	requestCut     requestKind = "cut"     // cuts off each of CutRegions; without any, ends all cuts
	requestWatch   requestKind = "watch"   // from now on, notes when each node learns that Names are gone
	requestMembers requestKind = "members" // returns the records of the running nodes
	requestReturn  requestKind = "return"  // from now on, notes when each node learns that Members, which were watched, are back
	requestChange  requestKind = "change"  // from now on, notes when nodes put a version newer than Version in force
	requestReport  requestKind = "report"  // returns what the nodes have sent and know
	requestCheck   requestKind = "check"   // compares the nodes' views with Expected
)

// request is one line to a hollow process.
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
	ConfiguredNodes int          `json:"settled"` // number of nodes in its settings
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
	Members []memberRecord `json:"members,omitempty"` // start, members: the nodes' own records
	Report  *report        `json:"report,omitempty"`
	Wrong   int            `json:"wrong,omitempty"` // check: pairs of a node and a member whose state it has wrong
	First   string         `json:"first,omitempty"` // check: the first of these pairs
}

// memberRecord is what a node reports of itself.
type memberRecord struct {
	Name        string `json:"name"`
	Start       uint64 `json:"start"`
	Incarnation uint32 `json:"incarnation"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Build       string `json:"build"`
	Ready       bool   `json:"ready"`
}

func recordOf(m membership.Member) memberRecord {
	return memberRecord{Name: m.Name, Start: m.Start, Incarnation: m.Incarnation, Address: m.Address, Zone: m.Zone, Build: m.Build,
		Ready: m.Ready}
}

func membersOf(of []memberRecord) (out []membership.Member) {
	for _, m := range of {
		out = append(out, membership.Member{Name: m.Name, Start: m.Start, Incarnation: m.Incarnation, Address: m.Address, Zone: m.Zone,
			Build: m.Build, Ready: m.Ready})
	}
	return out
}

// report is what the nodes of a hollow process have sent and received since its start, and what they know.
type report struct {
	Nodes          int                    `json:"nodes"` // running nodes
	Traffic        []view.Traffic         `json:"traffic"`
	LiveCounts     map[int]countRange     `json:"living"`            // by region: number of live members in its nodes' views
	PendingUpdates int                    `json:"news"`              // membership updates left to gossip, summed over the nodes
	Digests        map[uint64]int         `json:"digests,omitempty"` // number of nodes with each digest
	Watch          watchReport            `json:"seen"`
	InForce        *hdrhistogram.Snapshot `json:"in_force"` // milliseconds from the change, one value per node
}

// countRange is the smallest and the largest of several counts. The zero value is an empty range.
type countRange struct {
	Min int `json:"least"`
	Max int `json:"most"`
}

func (s countRange) include(x int) countRange {
	if s.Max == 0 {
		return countRange{x, x}
	}
	return countRange{min(s.Min, x), max(s.Max, x)}
}

func (s countRange) merge(other countRange) countRange {
	if other.Max == 0 {
		return s
	}
	return s.include(other.Min).include(other.Max)
}
