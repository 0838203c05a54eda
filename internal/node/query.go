package node

// handleQuery carries out a query of the admin address or of a successor, and answers it.
func (n *Node) handleQuery(query Query) {
	reply := Reply{OK: true}
	switch query.Question {
	case IsReady:
		reply.OK = n.isReady() && n.mayReplaceOther()
	case GetStatistics:
		reply.Statistics = n.currentStatistics()
	case DisableHost, EnableHost:
		reply.OK = n.setAdministrativelyDisabled(query.Host, query.Question == DisableHost)
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
