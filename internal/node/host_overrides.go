package node

import (
	"fmt"
	"math"
	"slices"

	"gorseledge/internal/node/live"
)

// A host takes no new flows as long as the live settings disable it or an operator at the second address has disabled
// it. The live settings may replace a host's listed weight as well.

// weightOf returns a host's weight: that of the live settings or else the listed one, which counts as 0 if negative.
func (n *Node) weightOf(name string, listed float64) float64 {
	if weight := n.live.revision.Settings.Hosts[name].Weight; weight != nil {
		return *weight
	}
	return max(listed, 0)
}

// applyWeights applies the weights of the hosts for which the settings have or had one.
func (n *Node) applyWeights(next, previous map[string]live.Host) {
	for _, hosts := range []map[string]live.Host{next, previous} {
		for name := range hosts {
			if index, known := n.endpoints.byName[name]; known {
				listed := n.endpoints.hosts[index].listing.Weight
				n.balancer.SetSize(index, n.weightOf(name, listed))
			}
		}
	}
}

// isDisabledBySettings reports whether the live settings disable a host now.
func (n *Node) isDisabledBySettings(name string) bool { return n.disabledUntil(name) > n.now }

// disabledUntil returns the Unix time until which the live settings disable a host, 0 for not at all.
func (n *Node) disabledUntil(name string) float64 {
	if until := n.live.revision.Settings.Hosts[name].DisabledUntil; until != nil {
		return *until
	}
	return 0
}

// applyHostOverrides disables or enables the hosts for which the live settings have changed or a time is over.
func (n *Node) applyHostOverrides() {
	n.live.nextOverrideExpiry = math.Inf(1)
	for _, host := range n.live.revision.Settings.Hosts {
		if until := host.DisabledUntil; until != nil && *until > n.now {
			n.live.nextOverrideExpiry = min(n.live.nextOverrideExpiry, *until)
		}
	}
	for index := range n.endpoints.hosts {
		n.applyDisabled(index)
	}
	n.cancelUnsuitableDials()
}

// expireHostOverrides enables the hosts whose time is over.
func (n *Node) expireHostOverrides() {
	if n.now >= n.live.nextOverrideExpiry {
		n.applyHostOverrides()
	}
}

// applyDisabled gives the balancer whether a host is disabled.
func (n *Node) applyDisabled(index int) {
	host := &n.endpoints.hosts[index]
	disabled := n.isDisabledBySettings(host.name)
	if disabled != host.disabledBySettings {
		host.disabledBySettings = disabled
		n.logDisabledBySettings(host)
	}
	n.balancer.SetDisabled(n.now, index, host.administrativelyDisabled || disabled)
}

// logDisabledBySettings logs that the live settings disable a host now, or no longer do.
func (n *Node) logDisabledBySettings(host *listedHost) {
	revision := n.live.revision
	if host.disabledBySettings {
		n.emit(WriteLog{fmt.Sprintf("host %s disabled until %.0f by revision %d.%d", host.name,
			n.disabledUntil(host.name), revision.Epoch, revision.Number)})
		return
	}
	n.emit(WriteLog{fmt.Sprintf("host %s no longer disabled by revision %d.%d", host.name, revision.Epoch,
		revision.Number)})
}

// restoreSettings takes the predecessor's revision and the hosts that it has disabled, once the balancer has taken what
// is known of the hosts. Where the revision does not fit this process, a host that the predecessor had disabled stays
// so until an operator enables it: this prevents flows to it in the meantime.
func (n *Node) restoreSettings(state *HandoverState, indices []int) {
	fits := n.peerRevisionFits(state.Revision)
	for i, index := range indices {
		host := &n.endpoints.hosts[index]
		if fits {
			host.administrativelyDisabled = slices.Contains(state.AdministrativelyDisabled, host.name)
		} else {
			host.administrativelyDisabled = i < len(state.Balancer.Servers) && state.Balancer.Servers[i].Disabled
		}
	}
	if fits && state.Revision.NewerThan(n.live.revision) {
		n.enforceRevision(*state.Revision)
	} else if !n.live.revision.IsZero() {
		n.applyHostOverrides()
	}
}

// peerRevisionFits reports whether the predecessor has a revision and this node's start allows it.
func (n *Node) peerRevisionFits(revision *live.Revision) bool {
	if revision == nil {
		return false
	}
	if err := n.checkFits(revision.Settings); err != nil {
		n.emit(WriteLog{fmt.Sprintf("the predecessor's revision %d.%d does not fit: %v", revision.Epoch,
			revision.Number, err)})
		return false
	}
	return true
}

// addSettingsTo adds what of the live settings goes over to a successor.
func (n *Node) addSettingsTo(state *HandoverState) {
	if n.live.revision.IsZero() {
		return
	}
	revision := n.live.revision
	state.Revision = &revision
	for i := range n.endpoints.hosts {
		host := &n.endpoints.hosts[i]
		if host.administrativelyDisabled {
			state.AdministrativelyDisabled = append(state.AdministrativelyDisabled, host.name)
		}
	}
}
