package node

import (
	"hash/fnv"
	"strconv"
	"strings"

	"gorseledge/internal/discovery/endpoint"
	"gorseledge/placement"
)

// states of a host; one that is not known here gets nothing new.
var states = map[string]placement.EndpointState{"SERVING": placement.Ready, "DRAINING": placement.Draining,
	"DELETED": placement.Removed}

// number gives the id that a name stands for: all nodes and the simulator order the base list by it.
func number(name string) uint32 {
	tail := name[strings.LastIndexByte(name, '-')+1:]
	if id, err := strconv.ParseUint(tail, 16, 32); err == nil {
		return uint32(id)
	}
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32()
}

// host gives the small index that a name goes by.
func (n *Node) host(name string) int {
	at, ok := n.byName[name]
	if !ok {
		at = len(n.hosts)
		n.byName[name], n.byNumber[number(name)] = at, at
		n.hosts = append(n.hosts, host{name: name, told: endpoint.Host{Name: name, Status: "DELETED"}})
	}
	return at
}

func (n *Node) listed(l endpoint.List) {
	n.heard, n.misses = true, 0
	n.watch.spoke(n.now, false)
	kind := placement.ListChanges
	if l.Complete {
		kind = placement.ListFull
	}
	n.list(kind, l)
}

func (n *Node) list(kind placement.ListKind, l endpoint.List) {
	n.index = l.Index
	if kind != placement.ListChanges {
		for at := range n.hosts {
			n.hosts[at].told.Status = "DELETED"
		}
	}
	items := make([]placement.Endpoint, 0, len(l.Hosts))
	for _, h := range l.Hosts {
		at := n.host(h.Name)
		if h.Address != "" {
			n.hosts[at].address = h.Address
		}
		h.Address = n.hosts[at].address
		n.hosts[at].told = h
		state, ok := states[h.Status]
		if !ok || state == placement.Ready && n.hosts[at].address == "" {
			state = placement.Draining
		}
		zone, ok := n.zones[h.Zone]
		if !ok {
			zone = -1
		}
		items = append(items, placement.Endpoint{Server: at, ID: number(h.Name), State: state,
			StartedAt: max(h.StartedAtMS, 0) / 1e3, Zone: zone, Cell: int(h.Group), Size: n.weightOf(h.Name, h.Weight)})
	}
	n.module.UpdateEndpoints(n.now, kind, items)
	if !n.live.revision.IsZero() {
		for _, it := range items {
			n.applyDisabled(it.Server)
		}
	}
	n.recall()
}

// recall gives up the connects that are still being dialed to hosts that take nothing new by now: nothing of them
// is written, so each goes elsewhere at once. Guards against a dial that takes long and a line that is written
// to a host past the grace after it was told to drain (rule 3).
func (n *Node) recall() {
	for _, f := range n.flows {
		if f == nil || !f.out || f.established || f.carried || f.host.up {
			continue
		}
		if h := &n.hosts[f.on]; states[h.told.Status] != placement.Ready || h.overridden {
			n.connectOver(f, placement.NotSent)
		}
	}
}

// canServe tells whether clients can be served: a list was told, or discovery is out and the old one must do.
func (n *Node) canServe() bool {
	return !n.leaving && (n.heard || n.misses >= 2 && len(n.hosts) > 0)
}

// mayOpen tells whether the listener may open: the settings are not waited for, and where another process has the
// clients until then, they can be served.
func (n *Node) mayOpen() bool {
	return !n.awaitsSettings() && !n.leaving && (n.canServe() || !n.succeeds)
}

// isReady tells whether the front may send clients.
func (n *Node) isReady() bool { return !n.shut && n.canServe() }
