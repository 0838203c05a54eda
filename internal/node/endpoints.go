package node

import (
	"hash/fnv"
	"strconv"
	"strings"

	"gorseledge/internal/discovery/endpoint"
	"gorseledge/internal/line"
	"gorseledge/internal/peers"
	"gorseledge/placement"
)

const (
	millisecondsPerSecond = 1e3

	statusRemoved = "DELETED" // discovery's status of a host that was removed from the list

	hashedZoneBits = 31 // bits of a zone's name that distinguish zones which are not in the settings

	// failedCallsUntilCached is the number of failed calls to discovery after which a node that has received no list uses
	// its cached one.
	failedCallsUntilCached = 2
)

// endpointStates maps discovery's statuses to the balancer's states. A host with any other status gets no new flows.
var endpointStates = map[string]placement.EndpointState{
	"SERVING":     placement.Ready,
	"DRAINING":    placement.Draining,
	statusRemoved: placement.Removed,
}

// listedHost is the state of a host that is listed or was removed.
type listedHost struct {
	name      string
	address   string        // the address that was listed last, empty if no list had one
	listing   endpoint.Host // the host's last entry in the list
	lastHeard float64       // when the host last sent anything to this node
	removedAt float64       // when the host was removed from the list, if it is not on it
	forgotten bool          // the index is free: the fields are those of a host that was removed long ago

	administrative     administrativeState // what operators have decided by the admin address
	disabledBySettings bool                // the live settings disabled the host when applyDisabled last compared them
}

// acceptsNewFlows reports whether a host is listed as ready, and neither an operator nor the settings disable it.
func (h *listedHost) acceptsNewFlows() bool {
	disabled := h.administrative.disabled || h.disabledBySettings
	return endpointStates[h.listing.Status] == placement.Ready && !disabled
}

// endpointDirectory holds the hosts that are listed and those that were removed last, by the balancer's index, and how current
// the list is. A host keeps its index until it is forgotten.
type endpointDirectory struct {
	hosts        []listedHost
	freeIndices  []int // indices of forgotten hosts
	byName       map[string]int
	byID         map[uint32]int // by hostID
	zones        map[string]int
	listIndex    int64 // discovery's index of the last list
	listReceived bool  // discovery, or the predecessor's handover, has provided a list since the start
	failedCalls  int   // calls to discovery that have failed since the last list
}

// newEndpointDirectory returns a directory without hosts that knows the zones of the settings.
func newEndpointDirectory(zones []string) endpointDirectory {
	return endpointDirectory{byName: map[string]int{}, byID: map[uint32]int{}, zones: indexByName(zones)}
}

// hostID returns the id of a host: the hexadecimal number after the last hyphen of its name, or else a hash of the name.
// All nodes and the simulator order the list by this id.
func hostID(name string) uint32 {
	tail := name[strings.LastIndexByte(name, '-')+1:]
	if id, err := strconv.ParseUint(tail, 16, 32); err == nil {
		return uint32(id)
	}
	hash := fnv.New32a()
	hash.Write([]byte(name))
	return hash.Sum32()
}

// indexOf returns the index of a host. If the name is new, it adds the host as one that is not on the list.
func (d *endpointDirectory) indexOf(name string) int {
	index, known := d.byName[name]
	if known {
		return index
	}
	index = d.newIndex()
	d.byName[name] = index
	d.byID[hostID(name)] = index
	d.hosts[index] = listedHost{name: name, listing: endpoint.Host{Name: name, Status: statusRemoved}}
	return index
}

// newIndex returns an index without a host: that of a forgotten host, or a new one.
func (d *endpointDirectory) newIndex() int {
	last := len(d.freeIndices) - 1
	if last < 0 {
		d.hosts = append(d.hosts, listedHost{})
		return len(d.hosts) - 1
	}
	index := d.freeIndices[last]
	d.freeIndices = d.freeIndices[:last]
	return index
}

// update applies one entry of a list, received at the time now, and returns the host's index. An entry without an address
// keeps the known one.
func (d *endpointDirectory) update(listing endpoint.Host, now float64) int {
	index := d.indexOf(listing.Name)
	host := &d.hosts[index]
	if listing.Address != "" {
		host.address = listing.Address
	}
	listing.Address = host.address
	host.listing = listing
	host.removedAt = now
	return index
}

// removeAll marks all hosts as not on the list, before a complete list is applied.
func (d *endpointDirectory) removeAll(now float64) {
	for i := range d.hosts {
		if d.hosts[i].listing.Status != statusRemoved {
			d.hosts[i].listing.Status = statusRemoved
			d.hosts[i].removedAt = now
		}
	}
}

// zoneOf returns the index of a zone, placement.UnknownZone for a host without one. A zone that is not in the settings has an
// index of its own beyond theirs, by its name.
func (d *endpointDirectory) zoneOf(name string) int {
	if zone, known := d.zones[name]; known {
		return zone
	}
	if name == "" {
		return placement.UnknownZone
	}
	return len(d.zones) + int(line.Hash([]byte(name))>>(64-hashedZoneBits))
}

// stateOf returns the state of a host for the balancer. A host without an address counts as draining, as no new flow can
// be sent to it.
func (d *endpointDirectory) stateOf(host int) placement.EndpointState {
	state, known := endpointStates[d.hosts[host].listing.Status]
	if !known || state == placement.Ready && d.hosts[host].address == "" {
		return placement.Draining
	}
	return state
}

// hasUsableList reports whether there is a list to place flows by. Discovery has sent one, or else it is unavailable, or its
// answer is overdue, and the cached list is used instead.
func (d *endpointDirectory) hasUsableList(overdue bool) bool {
	unavailable := overdue || d.failedCalls >= failedCallsUntilCached
	return d.listReceived || unavailable && len(d.hosts) > 0
}

// listReceived handles a list from discovery, which is complete or contains changes.
func (n *Node) listReceived(list endpoint.List) {
	n.endpoints.listReceived = true
	n.endpoints.failedCalls = 0
	n.watch.recordActivity(n.now, false)
	kind := placement.ListChanges
	if list.Complete {
		kind = placement.ListFull
	}
	n.applyList(kind, list)
	n.forgetRemovedHosts()
}

// applyList applies an endpoint list, by which new flows are placed from here on.
func (n *Node) applyList(kind placement.ListKind, list endpoint.List) {
	n.endpoints.listIndex = list.Index
	if kind != placement.ListChanges {
		n.endpoints.removeAll(n.now)
	}
	endpoints := make([]placement.Endpoint, 0, len(list.Hosts))
	for _, listing := range list.Hosts {
		host := n.endpoints.update(listing, n.now)
		endpoints = append(endpoints, n.endpointOf(host))
	}
	n.balancer.UpdateEndpoints(n.now, kind, endpoints)
	if !n.live.revision.IsZero() {
		for i := range endpoints {
			n.applyDisabled(endpoints[i].Server)
		}
	}
	n.cancelUnsuitableDials()
}

// endpointOf returns the balancer's view of a host, as it is listed now.
func (n *Node) endpointOf(host int) placement.Endpoint {
	listing := n.endpoints.hosts[host].listing
	return placement.Endpoint{
		Server:    host,
		ID:        hostID(listing.Name),
		State:     n.endpoints.stateOf(host),
		StartedAt: max(listing.StartedAtMS, 0) / millisecondsPerSecond,
		Zone:      n.endpoints.zoneOf(listing.Zone),
		Cell:      int(listing.Group),
		Size:      n.weightOf(listing.Name, listing.Weight),
	}
}

// gossipReceived handles the load reports of another node. Reports about hosts that were never listed here are ignored.
func (n *Node) gossipReceived(loads []peers.HostLoad) {
	for _, report := range loads {
		if host, known := n.endpoints.byID[report.Host]; known {
			n.balancer.GossipReceived(n.now, host, report.Load)
		}
	}
}
