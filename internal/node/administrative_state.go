package node

import "fmt"

const microsecondsPerSecond = 1e6

// administrativeState is an operator's decision whether a host is disabled.
//
// During an upgrade, operators may call either process of the node. Each call gets a revision, and both processes keep the
// decision with the highest one, in whatever order they learn of the calls.
type administrativeState struct {
	disabled bool
	revision int64 // Unix time of the call in microseconds, or more; 0 for a decision of a version without revisions
}

// newerThan reports whether a decision replaces another one. Of two calls in the same microsecond, the one that disables the
// host counts as the later one.
func (s administrativeState) newerThan(other administrativeState) bool {
	if s.revision == other.revision {
		return s.disabled && !other.disabled
	}
	return s.revision > other.revision
}

// nextRevision returns the revision of a call at a time, which is higher than that of the decision so far.
func (s administrativeState) nextRevision(now float64) int64 {
	return max(int64(now*microsecondsPerSecond), s.revision+1)
}

// setAdministrativelyDisabled disables or enables a host on behalf of an operator who called this process, and reports
// whether it was ever listed. It does not record names that were never listed. The call is a decision even if the host is
// as wanted already, as an earlier call at the other process may not be known here yet.
func (n *Node) setAdministrativelyDisabled(name string, disabled bool) bool {
	index, known := n.endpoints.byName[name]
	if !known {
		return false
	}
	revision := n.endpoints.hosts[index].administrative.nextRevision(n.now)
	n.decideAdministratively(index, administrativeState{disabled, revision}, AnyPeer)
	return true
}

// applyPeerDecision applies an operator's decision that came from the other process of an upgrade, which has the host on
// its list. A decision of a version without revisions counts as a call at its arrival.
func (n *Node) applyPeerDecision(name string, decision administrativeState, from Peer) {
	index := n.endpoints.indexOf(name)
	known := n.endpoints.hosts[index].administrative
	if decision.revision == 0 {
		if decision.disabled == known.disabled {
			return
		}
		decision.revision = known.nextRevision(n.now)
	}
	if decision.newerThan(known) {
		n.decideAdministratively(index, decision, from.opposite())
	}
}

// decideAdministratively puts an operator's decision on a host in force, and notifies another process of it.
func (n *Node) decideAdministratively(index int, decision administrativeState, notify Peer) {
	host := &n.endpoints.hosts[index]
	changed := host.administrative.disabled != decision.disabled
	host.administrative = decision
	n.emit(UpdatePeerProcess{decision.update(host.name), notify})
	if !changed {
		return
	}
	n.applyDisabled(index)
	if !decision.disabled {
		n.emit(WriteLog{fmt.Sprintf("host %s administratively enabled", host.name)})
		return
	}
	n.emit(WriteLog{fmt.Sprintf("host %s administratively disabled", host.name)})
	n.cancelUnsuitableDials()
}

// update returns the update that notifies another process of a decision on a host.
func (s administrativeState) update(host string) HandoverUpdate {
	if s.disabled {
		return HandoverUpdate{DisabledHost: host, HostRevision: s.revision}
	}
	return HandoverUpdate{EnabledHost: host, HostRevision: s.revision}
}

// restoreDecision applies the predecessor's decision on a host, unless an operator's later call is known here. The balancer
// has the predecessor's already.
func (n *Node) restoreDecision(index int, inherited administrativeState) {
	host := &n.endpoints.hosts[index]
	if host.administrative.revision > 0 && host.administrative.newerThan(inherited) {
		n.applyDisabled(index)
		return
	}
	host.administrative = inherited
}
