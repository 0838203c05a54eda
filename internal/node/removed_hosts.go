package node

import (
	"cmp"
	"slices"
)

// maxRemovedHosts is how many hosts are remembered that are not on the list. A host that returns soon is known again by what
// operators and connections have shown of it.
const maxRemovedHosts = 1024

// forgetRemovedHosts forgets the hosts that were removed from the list first, if there are more than maxRemovedHosts. Each
// release adds hosts under new names, so that a node in long service would otherwise hold all that ever were. It forgets half
// of them at a time, so that it is not done for each list. Hosts that are still needed are kept.
func (n *Node) forgetRemovedHosts() {
	removed := n.endpoints.removedHosts()
	if len(removed) <= maxRemovedHosts {
		return
	}
	needed := n.hostsInUse()
	removed = slices.DeleteFunc(removed, func(index int) bool {
		return needed[index] || n.endpoints.hosts[index].administrative.disabled
	})
	slices.SortFunc(removed, func(x, y int) int {
		return cmp.Compare(n.endpoints.hosts[x].removedAt, n.endpoints.hosts[y].removedAt)
	})
	oldest := removed[:max(len(removed)-maxRemovedHosts/2, 0)]
	for _, index := range n.balancer.Forget(oldest) {
		n.endpoints.forget(index)
	}
}

// removedHosts returns the indices of the hosts that are known but not on the list.
func (d *endpointDirectory) removedHosts() (removed []int) {
	if len(d.hosts)-len(d.freeIndices) <= maxRemovedHosts {
		return nil
	}
	for index := range d.hosts {
		if host := &d.hosts[index]; !host.forgotten && host.listing.Status == statusRemoved {
			removed = append(removed, index)
		}
	}
	return removed
}

// forget frees the index of a host.
func (d *endpointDirectory) forget(index int) {
	name := d.hosts[index].name
	delete(d.byName, name)
	if id := hostID(name); d.byID[id] == index {
		delete(d.byID, id)
	}
	d.hosts[index] = listedHost{forgotten: true}
	d.hosts[index].listing.Status = statusRemoved
	d.freeIndices = append(d.freeIndices, index)
}

// hostsInUse returns the hosts that an open connection or a flow refers to.
func (n *Node) hostsInUse() map[int]bool {
	used := map[int]bool{}
	for _, c := range n.connections.byID {
		if c.role != clientRole {
			used[c.hostIndex] = true
		}
		if c.flow != nil {
			used[c.flow.hostIndex] = true
		}
	}
	for _, f := range n.flows.byIndex {
		if f != nil {
			used[f.hostIndex] = true
		}
	}
	for _, inherited := range n.flows.ids.inherited {
		used[inherited.hostIndex] = true
	}
	return used
}
