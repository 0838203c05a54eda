package node

import "fmt"

// handleQuery carries out a query of the admin address or of a successor, and answers it.
func (n *Node) handleQuery(query Query) {
	reply := Reply{OK: true}
	switch query.Question {
	case IsReady:
		reply.OK = n.isReady() && n.mayReplaceOther()
	case GetStatistics:
		reply.Statistics = n.currentStatistics()
	case DisableHost, EnableHost:
		reply.OK = n.handleDisableQuery(query)
		reply.StillDisabled = query.Question == EnableHost && n.isDisabledBySettings(query.Host)
	case ClaimHandover:
		n.upgrade.notifyFromNow()
		reply.Handover = n.handoverState()
	case TakeOver:
		n.handOverClients()
		reply.Handover = n.handoverState()
	}
	n.emit(reply)
}

// handleDisableQuery disables or enables a host, and reports whether it was ever listed. A query that arrives while the
// listener is closed is also kept for restore, as the state that a predecessor hands over may have been recorded before.
func (n *Node) handleDisableQuery(query Query) bool {
	known := n.setAdministrativelyDisabled(query.Host, query.Question == DisableHost)
	if n.startup.listenerClosed {
		n.upgrade.pendingQueries = append(n.upgrade.pendingQueries, query)
	}
	return known
}

// setAdministrativelyDisabled disables or enables a host on behalf of an operator, and reports whether it was ever
// listed. It does not record names that were never listed.
func (n *Node) setAdministrativelyDisabled(name string, disabled bool) bool {
	index, known := n.endpoints.byName[name]
	if !known || n.endpoints.hosts[index].administrativelyDisabled == disabled {
		return known
	}
	n.endpoints.hosts[index].administrativelyDisabled = disabled
	n.applyDisabled(index)
	if disabled {
		n.cancelUnsuitableDials()
		n.emit(WriteLog{fmt.Sprintf("host %s administratively disabled", name)})
		n.emit(UpdatePeerProcess{HandoverUpdate{DisabledHost: name}})
		return true
	}
	n.emit(WriteLog{fmt.Sprintf("host %s administratively enabled", name)})
	n.emit(UpdatePeerProcess{HandoverUpdate{EnabledHost: name}})
	return true
}
