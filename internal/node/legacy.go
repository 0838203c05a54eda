package node

import (
	"cmp"
	"fmt"
	"slices"

	"gorseledge/internal/discovery/endpoint"
	"gorseledge/internal/node/live"
	"gorseledge/placement"
)

const (
	flightSpare = 8    // descriptors that a predecessor may need beside those it holds, for connects of flows in flight
	sitsFor     = 10.0 // that connections of a predecessor that is gone have to come again
)

// InheritedConnection is an open connection of the node's other process.
type InheritedConnection struct {
	ID        string  `json:"ID"`
	ClientKey uint64  `json:"Key"`
	Host      string  `json:"Host"`
	Load      float64 `json:"Load"`
	at        int
}

// HandoverState is what a process leaves to the one that takes its place, its predecessor's included.
type HandoverState struct {
	Index        int64                   `json:"Index"`
	ListReceived bool                    `json:"Heard"` // discovery has told a list
	Hosts        []endpoint.Host         `json:"Hosts"` // all that were ever listed, as they were told last
	Module       placement.HandoverState `json:"Module"`
	Connections  []InheritedConnection   `json:"Sits"`
	EndedFlows   map[uint64]uint64       `json:"Spent"` // client keys by the hash of an ended flow's id
	Descriptors  int                     `json:"Held"`  // descriptors

	Revision       *live.Revision `json:"Revision,omitempty"`       // of the live settings; nil for none
	DisabledByHand []string       `json:"DisabledByHand,omitempty"` // hosts, where there is a revision: the module's are those of both
}

// HandoverUpdate is what one process tells the other while there are two. One field is set.
type HandoverUpdate struct {
	DisabledHost string               `json:"Out,omitempty"`  // a host by hand
	EnabledHost  string               `json:"Back,omitempty"` // a host by hand
	Established  *InheritedConnection `json:"Sits,omitempty"` // a flow became a connection
	EndedFlow    string               `json:"Over,omitempty"` // id of a connection that is no more
	Descriptors  int                  `json:"Held,omitempty"` // descriptors

	Revision *live.Revision `json:"Revision,omitempty"` // of the live settings, in force
}

// legacy gives all that goes over.
func (n *Node) legacy() *HandoverState {
	l := &HandoverState{Index: n.index, ListReceived: n.heard, Module: n.module.HandoverState(), EndedFlows: n.ids.ended(),
		Descriptors: n.used() + n.lent}
	for _, h := range n.hosts {
		l.Hosts = append(l.Hosts, h.told)
	}
	for _, f := range n.flows {
		if f != nil && f.established && !f.over {
			l.Connections = append(l.Connections, *n.sitting(f))
		}
	}
	for _, s := range n.ids.sits {
		l.Connections = append(l.Connections, *s)
	}
	n.handoverSettings(l)
	return l
}

func (n *Node) sitting(f *flow) *InheritedConnection {
	return &InheritedConnection{ID: f.opening.ID, ClientKey: f.opening.Key, Host: n.hosts[f.on].name, Load: cmp.Or(f.load, f.opening.Load)}
}

// inherit takes what the predecessor has left; a second time, in place of the first.
func (n *Node) inherit(l *HandoverState) {
	places := make([]int, len(l.Hosts))
	for i, h := range l.Hosts {
		places[i] = n.host(h.Name)
	}
	if l.ListReceived && (!n.heard || l.Index >= n.index) {
		n.heard, n.misses = true, 0
		n.list(placement.ListFull, endpoint.List{Index: l.Index, Complete: true, Hosts: l.Hosts})
	}
	mine := n.module.HandoverState().Servers
	for i, s := range l.Module.Servers {
		if i < len(places) {
			mine = append(mine, make([]placement.ServerState, max(places[i]+1-len(mine), 0))...)
			mine[places[i]] = s
		}
	}
	l.Module.Servers = mine
	n.module.Restore(l.Module)
	n.inheritSettings(l, places)
	n.ids.spent, n.ids.older = map[uint64]uint64{}, l.EndedFlows
	for _, id := range n.ids.sitting() {
		n.leaves(id)
	}
	for i := range l.Connections {
		n.sits(&l.Connections[i])
	}
	n.lent = l.Descriptors + n.toll
	for _, q := range n.calls { // guards against a call that crossed with what the predecessor says here
		n.byHand(q.Host, q.Question == DisableHost)
	}
}

// sits takes a connection that the predecessor holds.
func (n *Node) sits(s *InheritedConnection) {
	at, known := n.byName[s.Host]
	if !known || len(n.ids.sits) >= mostSpent {
		return
	}
	n.leaves(s.ID)
	s.at = at
	n.ids.sits[s.ID] = s
	n.module.AddPeerLoad(at, 1, s.Load)
}

// leaves takes the end of a connection that the predecessor holds, or its coming here.
func (n *Node) leaves(id string) {
	if s := n.ids.sits[id]; s != nil {
		delete(n.ids.sits, id)
		n.module.AddPeerLoad(s.at, -1, -s.Load)
	}
}

// toldBy takes news of the node's other process.
func (n *Node) toldBy(news HandoverUpdate) {
	switch {
	case news.DisabledHost != "":
		n.byHand(news.DisabledHost, true)
	case news.EnabledHost != "":
		n.byHand(news.EnabledHost, false)
	case news.Revision != nil:
		if _, err := n.putInForce(*news.Revision); err != nil {
			n.ask(WriteLog{fmt.Sprintf("the other process's revision %d.%d not in force: %v", news.Revision.Epoch,
				news.Revision.Number, err)})
		}
	case n.given: // a successor's own connections are none of its predecessor's business
	case news.Established != nil:
		n.sits(news.Established)
	case news.EndedFlow != "":
		if s := n.ids.sits[news.EndedFlow]; s != nil {
			n.ids.remember(s.ID, s.ClientKey)
			n.leaves(s.ID)
		}
	case news.Descriptors > 0:
		n.lent = news.Descriptors + n.toll
	}
}

// give hands the flows that come from now on to a successor. What is held is kept, and a few descriptors more for
// flows in flight.
func (n *Node) give() {
	n.given = true
	n.limit = min(n.limit, n.used()+n.lent+spareFew+1+flightSpare)
	n.module.SetHandedOver(true)
	n.ask(WriteLog{fmt.Sprintf("a successor takes the clients: %d descriptors held", n.used())})
	for _, f := range n.flows {
		if f != nil {
			n.lift(f)
		}
	}
}

// successorGone takes them back, unless this process was asked to leave.
func (n *Node) successorGone() {
	if n.paired = false; !n.given {
		return
	}
	n.given, n.limit = false, n.sockets
	for _, f := range n.lifts {
		if !f.passing { // what is on its way comes back by itself
			n.unlift(f)
		}
	}
	n.module.SetHandedOver(false)
	n.ask(WriteLog{"the successor is gone"})
}

// predecessorGone is the end of the other process: what it held comes again soon, or never.
func (n *Node) predecessorGone() {
	n.lent, n.forgetAt = 0, n.now+sitsFor
	n.ask(WriteLog{fmt.Sprintf("the predecessor is gone, %d connections may come again", len(n.ids.sits))})
}

// forget drops what did not come.
func (n *Node) forget() {
	if n.forgetAt > 0 && n.now >= n.forgetAt {
		n.forgetAt = 0
		for _, id := range n.ids.sitting() {
			n.leaves(id)
		}
	}
}

// tellSuccessor tells a successor what changed of the connections here.
func (n *Node) tellSuccessor(news HandoverUpdate) {
	if n.paired {
		n.ask(UpdatePeerProcess{news})
	}
}

// tellHeld tells a successor how many descriptors it cannot have.
func (n *Node) tellHeld() {
	if held := n.used() + n.lent; n.paired && held != n.heldTold && held > 0 {
		n.heldTold = held
		n.ask(UpdatePeerProcess{HandoverUpdate{Descriptors: held}})
	}
}

// sitting gives the ids of the predecessor's connections in order.
func (s *ids) sitting() []string {
	all := make([]string, 0, len(s.sits))
	for id := range s.sits {
		all = append(all, id)
	}
	slices.Sort(all)
	return all
}
