package node

import (
	"hash/fnv"
	"strconv"
	"strings"

	"gorseledge/internal/discovery/endpoint"
	"gorseledge/internal/peers"
	"gorseledge/placement"
)

const (
	millisecondsPerSecond = 1e3

	statusRemoved = "DELETED" // discovery's status of a host that is not on the list

	// failedCallsUntilCached is after how many failed calls a node without a list serves by its cached one.
	failedCallsUntilCached = 2
)

// endpointStates gives the balancer's state for each of discovery's. A host in any other state takes no new flows.
var endpointStates = map[string]placement.EndpointState{
	"SERVING":     placement.Ready,
	"DRAINING":    placement.Draining,
	statusRemoved: placement.Removed,
}

// listedHost is a host that was listed at least once.
type listedHost struct {
	name      string
	address   string        // the last one listed, empty for none ever
	listing   endpoint.Host // as it was listed last
	lastHeard float64       // when it last sent anything

	administrativelyDisabled bool // by an operator at the second address
	disabledBySettings       bool // by the live settings, when that was looked at last
}

// takesNewFlows reports whether a host is listed as ready and the settings do not disable it.
func (h *listedHost) takesNewFlows() bool {
	return endpointStates[h.listing.Status] == placement.Ready && !h.disabledBySettings
}

// endpointDirectory knows all hosts that were ever listed, by the balancer's index, and how current the list is. A host
// keeps its index for the life of the process.
type endpointDirectory struct {
	hosts        []listedHost
	byName       map[string]int
	byID         map[uint32]int // by hostID
	zones        map[string]int
	listIndex    int64 // discovery's index of the last list
	listReceived bool  // discovery has sent a list since the start
	failedCalls  int   // calls of discovery that failed since the last list
}

// newEndpointDirectory returns a directory without hosts, with the zones of the settings.
func newEndpointDirectory(zones []string) endpointDirectory {
	return endpointDirectory{byName: map[string]int{}, byID: map[uint32]int{}, zones: indexByName(zones)}
}

// hostID returns the id that a host's name stands for: the hexadecimal number after the last hyphen, or else a hash of
// the name. All nodes and the simulator order the list by it.
func hostID(name string) uint32 {
	tail := name[strings.LastIndexByte(name, '-')+1:]
	if id, err := strconv.ParseUint(tail, 16, 32); err == nil {
		return uint32(id)
	}
	hash := fnv.New32a()
	hash.Write([]byte(name))
	return hash.Sum32()
}

// indexOf returns the index of a host, which it adds as one that is not on the list if the name is new.
func (d *endpointDirectory) indexOf(name string) int {
	index, known := d.byName[name]
	if known {
		return index
	}
	index = len(d.hosts)
	d.byName[name] = index
	d.byID[hostID(name)] = index
	d.hosts = append(d.hosts, listedHost{name: name, listing: endpoint.Host{Name: name, Status: statusRemoved}})
	return index
}

// update takes one host of a list and returns its index. A list that gives no address leaves the known one.
func (d *endpointDirectory) update(listing endpoint.Host) int {
	index := d.indexOf(listing.Name)
	host := &d.hosts[index]
	if listing.Address != "" {
		host.address = listing.Address
	}
	listing.Address = host.address
	host.listing = listing
	return index
}

// removeAll marks all hosts as not on the list, before a complete list is taken.
func (d *endpointDirectory) removeAll() {
	for i := range d.hosts {
		d.hosts[i].listing.Status = statusRemoved
	}
}

// zoneOf returns the index of a zone, -1 for one that the settings do not have.
func (d *endpointDirectory) zoneOf(name string) int {
	if zone, known := d.zones[name]; known {
		return zone
	}
	return -1
}

// stateOf returns the state in which the balancer sees a host. A host without an address cannot take new flows.
func (d *endpointDirectory) stateOf(host int) placement.EndpointState {
	state, known := endpointStates[d.hosts[host].listing.Status]
	if !known || state == placement.Ready && d.hosts[host].address == "" {
		return placement.Draining
	}
	return state
}

// mayServe reports whether there is a list to serve by: discovery has sent one, or is out and the cached one must do.
func (d *endpointDirectory) mayServe() bool {
	return d.listReceived || d.failedCalls >= failedCallsUntilCached && len(d.hosts) > 0
}

// listReceived handles what discovery sent: a complete list or changes.
func (n *Node) listReceived(list endpoint.List) {
	n.endpoints.listReceived = true
	n.endpoints.failedCalls = 0
	n.watch.noteActivity(n.now, false)
	kind := placement.ListChanges
	if list.Complete {
		kind = placement.ListFull
	}
	n.applyList(kind, list)
}

// applyList puts an endpoint list into effect: new flows are decided by it from here on.
func (n *Node) applyList(kind placement.ListKind, list endpoint.List) {
	n.endpoints.listIndex = list.Index
	if kind != placement.ListChanges {
		n.endpoints.removeAll()
	}
	endpoints := make([]placement.Endpoint, 0, len(list.Hosts))
	for _, listing := range list.Hosts {
		host := n.endpoints.update(listing)
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

// endpointOf returns what the balancer is given of a host, as it is listed now.
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

// gossipReceived handles the load reports of another node. Of a host that was never listed here nothing is kept.
func (n *Node) gossipReceived(loads []peers.HostLoad) {
	for _, report := range loads {
		if host, known := n.endpoints.byID[report.Host]; known {
			n.balancer.GossipReceived(n.now, host, report.Load)
		}
	}
}
