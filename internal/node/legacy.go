package node

import (
	"cmp"
	"fmt"
	"slices"

	"gorseledge/internal/discovery/roster"
	"gorseledge/internal/node/live"
	"gorseledge/placement"
)

const (
	flightSpare = 8    // descriptors that an elder may need beside those it holds, for connects of flows in flight
	sitsFor     = 10.0 // that connections of an elder that is gone have to come again
)

// Sitting is an open connection of the node's other process.
type Sitting struct {
	ID   string  `json:"ID"`
	Key  uint64  `json:"Key"`
	Host string  `json:"Host"`
	Load float64 `json:"Load"`
	at   int
}

// Legacy is what a process leaves to the one that takes its place, its elder's included.
type Legacy struct {
	Index  int64             `json:"Index"`
	Heard  bool              `json:"Heard"` // discovery has told a list
	Hosts  []roster.Host     `json:"Hosts"` // all that were ever listed, as they were told last
	Module placement.Legacy  `json:"Module"`
	Sits   []Sitting         `json:"Sits"`
	Spent  map[uint64]uint64 `json:"Spent"` // client keys by the hash of an ended flow's id
	Held   int               `json:"Held"`  // descriptors

	Revision       *live.Revision `json:"Revision,omitempty"`       // of the live settings; nil for none
	DisabledByHand []string       `json:"DisabledByHand,omitempty"` // hosts, where there is a revision: the module's are those of both
}

// News is what one process tells the other while there are two. One field is set.
type News struct {
	Out  string   `json:"Out,omitempty"`  // a host by hand
	Back string   `json:"Back,omitempty"` // a host by hand
	Sits *Sitting `json:"Sits,omitempty"` // a flow became a connection
	Over string   `json:"Over,omitempty"` // id of a connection that is no more
	Held int      `json:"Held,omitempty"` // descriptors

	Revision *live.Revision `json:"Revision,omitempty"` // of the live settings, in force
}

// legacy gives all that goes over.
func (n *Node) legacy() *Legacy {
	l := &Legacy{Index: n.index, Heard: n.heard, Module: n.module.Legacy(), Spent: n.ids.ended(),
		Held: n.used() + n.lent}
	for _, h := range n.hosts {
		l.Hosts = append(l.Hosts, h.told)
	}
	for _, f := range n.flows {
		if f != nil && f.established && !f.over {
			l.Sits = append(l.Sits, *n.sitting(f))
		}
	}
	for _, s := range n.ids.sits {
		l.Sits = append(l.Sits, *s)
	}
	n.handoverSettings(l)
	return l
}

func (n *Node) sitting(f *flow) *Sitting {
	return &Sitting{ID: f.opening.ID, Key: f.opening.Key, Host: n.hosts[f.on].name, Load: cmp.Or(f.load, f.opening.Load)}
}

// inherit takes what the elder has left; a second time, in place of the first.
func (n *Node) inherit(l *Legacy) {
	places := make([]int, len(l.Hosts))
	for i, h := range l.Hosts {
		places[i] = n.host(h.Name)
	}
	if l.Heard && (!n.heard || l.Index >= n.index) {
		n.heard, n.misses = true, 0
		n.list(placement.ListFull, roster.List{Index: l.Index, Whole: true, Hosts: l.Hosts})
	}
	mine := n.module.Legacy().Servers
	for i, s := range l.Module.Servers {
		if i < len(places) {
			mine = append(mine, make([]placement.Standing, max(places[i]+1-len(mine), 0))...)
			mine[places[i]] = s
		}
	}
	l.Module.Servers = mine
	n.module.Inherit(l.Module)
	n.inheritSettings(l, places)
	n.ids.spent, n.ids.older = map[uint64]uint64{}, l.Spent
	for _, id := range n.ids.sitting() {
		n.leaves(id)
	}
	for i := range l.Sits {
		n.sits(&l.Sits[i])
	}
	n.lent = l.Held + n.toll
	for _, q := range n.calls { // guards against a call that crossed with what the elder says here
		n.byHand(q.Host, q.What == TakeOut)
	}
}

// sits takes a connection that the elder holds.
func (n *Node) sits(s *Sitting) {
	at, known := n.byName[s.Host]
	if !known || len(n.ids.sits) >= mostSpent {
		return
	}
	n.leaves(s.ID)
	s.at = at
	n.ids.sits[s.ID] = s
	n.module.Elsewhere(at, 1, s.Load)
}

// leaves takes the end of a connection that the elder holds, or its coming here.
func (n *Node) leaves(id string) {
	if s := n.ids.sits[id]; s != nil {
		delete(n.ids.sits, id)
		n.module.Elsewhere(s.at, -1, -s.Load)
	}
}

// toldBy takes news of the node's other process.
func (n *Node) toldBy(news News) {
	switch {
	case news.Out != "":
		n.byHand(news.Out, true)
	case news.Back != "":
		n.byHand(news.Back, false)
	case news.Revision != nil:
		if _, err := n.putInForce(*news.Revision); err != nil {
			n.ask(Note{fmt.Sprintf("the other process's revision %d.%d not in force: %v", news.Revision.Epoch,
				news.Revision.Number, err)})
		}
	case n.given: // an heir's own connections are none of its elder's business
	case news.Sits != nil:
		n.sits(news.Sits)
	case news.Over != "":
		if s := n.ids.sits[news.Over]; s != nil {
			n.ids.remember(s.ID, s.Key)
			n.leaves(s.ID)
		}
	case news.Held > 0:
		n.lent = news.Held + n.toll
	}
}

// give hands the flows that come from now on to an heir. What is held is kept, and a few descriptors more for
// flows in flight.
func (n *Node) give() {
	n.given = true
	n.limit = min(n.limit, n.used()+n.lent+spareFew+1+flightSpare)
	n.module.Give(true)
	n.ask(Note{fmt.Sprintf("an heir takes the clients: %d descriptors held", n.used())})
	for _, f := range n.flows {
		if f != nil {
			n.lift(f)
		}
	}
}

// heirGone takes them back, unless this process was asked to leave.
func (n *Node) heirGone() {
	if n.paired = false; !n.given {
		return
	}
	n.given, n.limit = false, n.sockets
	for _, f := range n.lifts {
		if !f.passing { // what is on its way comes back by itself
			n.unlift(f)
		}
	}
	n.module.Give(false)
	n.ask(Note{"the heir is gone"})
}

// elderGone is the end of the other process: what it held comes again soon, or never.
func (n *Node) elderGone() {
	n.lent, n.forgetAt = 0, n.now+sitsFor
	n.ask(Note{fmt.Sprintf("the elder is gone, %d connections may come again", len(n.ids.sits))})
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

// tellHeir tells an heir what changed of the connections here.
func (n *Node) tellHeir(news News) {
	if n.paired {
		n.ask(Tell{news})
	}
}

// tellHeld tells an heir how many descriptors it cannot have.
func (n *Node) tellHeld() {
	if held := n.used() + n.lent; n.paired && held != n.heldTold && held > 0 {
		n.heldTold = held
		n.ask(Tell{News{Held: held}})
	}
}

// sitting gives the ids of the elder's connections in order.
func (s *ids) sitting() []string {
	all := make([]string, 0, len(s.sits))
	for id := range s.sits {
		all = append(all, id)
	}
	slices.Sort(all)
	return all
}
