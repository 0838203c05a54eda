package scale

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/fleet"
	"gorseledge/internal/fleet/view"
	"gorseledge/internal/membership"
)

// The run and a hollow process exchange JSON objects, one a line: a request on its standard input, a reply on its
// standard output. The process ends when its input does.

// requestKind says what a hollow process is asked for.
type requestKind string

const (
	requestPlan    requestKind = "plan"    // Regions: of every address
	requestStart   requestKind = "start"   // Nodes
	requestKill    requestKind = "kill"    // Names: their sockets are closed without a word
	requestLeave   requestKind = "leave"   // Names: they say that they go
	requestCut     requestKind = "cut"     // CutRegions: each of them hears only itself; none mends all
	requestWatch   requestKind = "watch"   // Names: when each node knows that they are gone is noted from now on
	requestMembers requestKind = "members" // what the nodes that run tell of themselves
	requestReturn  requestKind = "return"  // Members: watched ones that are back, whose start is to become known
	requestChange  requestKind = "change"  // Version: when nodes have a newer one in force is noted from now on
	requestReport  requestKind = "report"  // what the process and its nodes have spent and know
	requestCheck   requestKind = "check"   // Names: those that run and are to be held for living by every node
)

// request is one line to a hollow process.
type request struct {
	Kind       requestKind        `json:"kind"`
	Nodes      []hollowNode       `json:"nodes,omitempty"`
	Names      []string           `json:"names,omitempty"`
	Members    []memberFacts      `json:"members,omitempty"`
	Regions    map[string]int     `json:"regions,omitempty"`
	Digests    bool               `json:"digests,omitempty"` // report: with the digests of what nodes know
	Version    configfeed.Version `json:"version,omitzero"`
	CutRegions []int              `json:"cut_regions,omitempty"`
	Expected   []expectation      `json:"expected,omitempty"`
}

// hollowNode is what a hollow process needs to start one.
type hollowNode struct {
	Name    string       `json:"name"`
	Region  int          `json:"region"`
	Seed    uint64       `json:"seed"`
	Build   string       `json:"build"`
	Settled int          `json:"settled"` // nodes that its settings speak of
	Fleet   fleet.Config `json:"fleet"`
}

// expectation is whom the nodes of a region are to hold for living.
type expectation struct {
	Region int      `json:"region"`
	Names  []string `json:"names"`
}

// reply is one line from a hollow process.
type reply struct {
	Error   string        `json:"error,omitempty"`
	Members []memberFacts `json:"members,omitempty"` // start, members: as the nodes tell of themselves
	Report  *report       `json:"report,omitempty"`
	Wrong   int           `json:"wrong,omitempty"` // check: pairs of a node and a member that it holds wrongly
	First   string        `json:"first,omitempty"` // of them
}

// memberFacts are what a node tells of itself.
type memberFacts struct {
	Name        string `json:"name"`
	Start       uint64 `json:"start"`
	Incarnation uint32 `json:"incarnation"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
	Build       string `json:"build"`
	Ready       bool   `json:"ready"`
}

func factsOf(m membership.Member) memberFacts {
	return memberFacts{Name: m.Name, Start: m.Start, Incarnation: m.Incarnation, Address: m.Address, Zone: m.Zone, Build: m.Build,
		Ready: m.Ready}
}

func facts(of []memberFacts) (out []membership.Member) {
	for _, m := range of {
		out = append(out, membership.Member{Name: m.Name, Start: m.Start, Incarnation: m.Incarnation, Address: m.Address, Zone: m.Zone,
			Build: m.Build, Ready: m.Ready})
	}
	return out
}

// report is what a hollow process and its nodes have spent since their start, and what they know.
type report struct {
	Nodes   int                    `json:"nodes"` // that run
	Traffic []view.Traffic         `json:"traffic"`
	Living  map[int]spread         `json:"living"`            // by region: how many members its nodes hold for living
	News    int                    `json:"news"`              // members that the nodes still tell of, over all nodes
	Digests map[uint64]int         `json:"digests,omitempty"` // how many nodes have each
	Seen    seen                   `json:"seen"`
	InForce *hdrhistogram.Snapshot `json:"in_force"` // milliseconds, one for each node
}

// spread is the least and the most of a figure.
type spread struct {
	Least int `json:"least"`
	Most  int `json:"most"`
}

func (s spread) with(x int) spread {
	if s.Most == 0 {
		return spread{x, x}
	}
	return spread{min(s.Least, x), max(s.Most, x)}
}

func (s spread) merge(other spread) spread {
	if other.Most == 0 {
		return s
	}
	return s.with(other.Least).with(other.Most)
}
