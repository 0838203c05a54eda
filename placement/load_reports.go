package placement

const (
	// highLoad is the load over capacity above which a server gets new flows only after all others.
	highLoad = 0.75
	// coolingLoad is the load below which a server that had a high load is reported to the other nodes again.
	coolingLoad = highLoad - 0.1
	// reportValidity is the time in seconds for which a report counts.
	reportValidity = 8.0
	// gossipInterval is the time in seconds after which a high load is gossiped again.
	gossipInterval = 0.75 * reportValidity
)

// LoadReport is what a health check returned of a server.
type LoadReport struct {
	Load      float64 // load over capacity; negative where it was not reported
	RoundTrip float64 // seconds until the answer; 0 where it is not known
}

// reportedLoad is the last load report of a server, from this node's health check or from another node.
type reportedLoad struct {
	load          float64 // load over capacity
	receivedAt    float64
	gossipPending bool // the other nodes have to be notified
}

// high reports whether a server was so loaded of late that its messages wait.
func (r *reportedLoad) high(now float64) bool {
	return r.load > highLoad && now-r.receivedAt < reportValidity
}

// recordReport takes the load that a health check of this node brought. Each node pays for each message, so only
// what the others do not expect is passed on.
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

// GossipReceived reports the load over capacity of a server, as reported to another node.
func (b *Balancer) GossipReceived(now float64, index int, load float64) {
	s := b.server(index)
	s.report = reportedLoad{load: load, receivedAt: now}
}

// queueLoadGossip queues all pending gossip together, because one message costs less than one for each server.
func (b *Balancer) queueLoadGossip() {
	for i := range b.servers {
		report := &b.servers[i].report
		if report.gossipPending {
			report.gossipPending = false
			b.queued = append(b.queued, Decision{Action: GossipLoad, Server: i, Load: report.load})
		}
	}
}
