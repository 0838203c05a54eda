package node

import (
	"fmt"
	"math"
	"slices"

	"gorseledge/internal/node/live"
)

// A host gets no new flows as long as the live settings disable it, or while an operator has disabled it by the admin
// address. The live settings may also replace a host's listed weight.

// weightOf returns a host's weight: that of the live settings, or else the listed one. A negative one counts as 0.
func (n *Node) weightOf(name string, listed float64) float64 {
	if weight := n.live.revision.Settings.Hosts[name].Weight; weight != nil {
		return *weight
	}
	return max(listed, 0)
}

// applyWeights applies the weights of the hosts that the new or the previous settings name.
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

// disabledUntil returns the Unix time until which the live settings disable a host, 0 if they do not disable it.
func (n *Node) disabledUntil(name string) float64 {
	if until := n.live.revision.Settings.Hosts[name].DisabledUntil; until != nil {
		return *until
	}
	return 0
}

// applyHostOverrides disables or enables each host by the live settings as of now, and notes when the next of these
// overrides expires.
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

// expireHostOverrides enables the hosts whose override has expired.
func (n *Node) expireHostOverrides() {
	if n.now >= n.live.nextOverrideExpiry {
		n.applyHostOverrides()
	}
}

// applyDisabled passes to the balancer whether a host is disabled, and logs if the live settings have changed that.
func (n *Node) applyDisabled(index int) {
	host := &n.endpoints.hosts[index]
	disabled := n.isDisabledBySettings(host.name)
	if disabled != host.disabledBySettings {
		host.disabledBySettings = disabled
		n.logDisabledBySettings(host)
	}
	n.balancer.SetDisabled(n.now, index, host.administrative.disabled || disabled)
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

// restoreSettings applies the predecessor's revision and its disabled hosts, after the balancer was restored. If this
// process cannot apply the revision, each host that the predecessor had disabled for any reason stays disabled until an
// operator enables it, so that it gets no flows in the meantime.
func (n *Node) restoreSettings(state *HandoverState, indices []int) {
	fits := n.peerRevisionFits(state.Revision)
	for i, index := range indices {
		name := n.endpoints.hosts[index].name
		disabled := i < len(state.Balancer.Servers) && state.Balancer.Servers[i].Disabled
		if fits {
			disabled = slices.Contains(state.AdministrativelyDisabled, name)
		}
		n.restoreDecision(index, administrativeState{disabled, state.HostRevisions[name]})
	}
	if fits && state.Revision.NewerThan(n.live.revision) {
		n.enforceRevision(*state.Revision)
	} else if !n.live.revision.IsZero() {
		n.applyHostOverrides()
	}
}

// peerRevisionFits reports whether the predecessor has a revision and this node's start settings allow it.
func (n *Node) peerRevisionFits(revision *live.Revision) bool {
	if revision == nil {
		return false
	}
	if err := n.checkFits(revision.Settings); err != nil {
		n.emit(WriteLog{fmt.Sprintf("revision %d.%d of the predecessor rejected: %v", revision.Epoch,
			revision.Number, err)})
		return false
	}
	return true
}

// addSettingsTo adds the revision in force and the operators' decisions on hosts to the state for a successor.
func (n *Node) addSettingsTo(state *HandoverState) {
	state.HostRevisions = map[string]int64{}
	for i := range n.endpoints.hosts {
		host := &n.endpoints.hosts[i]
		if host.administrative.revision > 0 {
			state.HostRevisions[host.name] = host.administrative.revision
		}
	}
	if n.live.revision.IsZero() {
		return
	}
	revision := n.live.revision
	state.Revision = &revision
	for i := range n.endpoints.hosts {
		host := &n.endpoints.hosts[i]
		if host.administrative.disabled {
			state.AdministrativelyDisabled = append(state.AdministrativelyDisabled, host.name)
		}
	}
}
