package placement

const (
	// highLoad is the load divided by capacity above which a server gets new flows only after all others.
	highLoad = 0.75
	// coolingLoad is the load below which the other nodes are notified that a server no longer has a high load. It is
	// lower than highLoad, so that a load that varies around highLoad is not gossiped repeatedly.
	coolingLoad = highLoad - 0.1
	// reportValidity is the time in seconds for which a load report is used.
	reportValidity = 8.0
	// gossipInterval is the time in seconds after which a high load is gossiped again, before the last report expires.
	gossipInterval = 0.75 * reportValidity
)

// LoadReport is the result of a health check that passed.
type LoadReport struct {
	Load      float64 // load divided by capacity; negative if it was not reported
	RoundTrip float64 // seconds until the answer; 0 if it is not known
}

// reportedLoad is the last load report of a server, from this node's health check or from another node.
type reportedLoad struct {
	load          float64 // load divided by capacity
	receivedAt    float64
	gossipPending bool // the other nodes have to be notified of the load
}

// high reports whether the last report, if still valid, shows a load at which messages are delayed.
func (r *reportedLoad) high(now float64) bool {
	return r.load > highLoad && now-r.receivedAt < reportValidity
}

// recordReport records the load from a health check of this node. Every gossip message costs each node work, so the load is
// gossiped only if it is high and no high load was reported within gossipInterval, or if it has fallen below coolingLoad
// while the other nodes still count it as high.
func (b *Balancer) recordReport(now float64, s *server, load float64) {
	isHigh := load > highLoad
	wasHigh := s.report.high(now)
	if b.LoadGossip && isHigh && wasHigh && now-s.report.receivedAt < gossipInterval {
		return
	}
	s.report.gossipPending = b.LoadGossip && (isHigh || wasHigh && load < coolingLoad)
	s.report.load = load
	s.report.receivedAt = now
}

// GossipReceived reports the load of a server divided by its capacity, as reported to another node.
func (b *Balancer) GossipReceived(now float64, index int, load float64) {
	s := b.server(index)
	s.report = reportedLoad{load: load, receivedAt: now}
}

// queueLoadGossip queues all pending gossip together, because one message costs less than one message for each server.
func (b *Balancer) queueLoadGossip() {
	for i := range b.servers {
		report := &b.servers[i].report
		if report.gossipPending {
			report.gossipPending = false
			b.queued = append(b.queued, Decision{Action: GossipLoad, Server: i, Load: report.load})
		}
	}
}
