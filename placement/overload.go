package placement

const (
	// overloadHold is the time in seconds for which an overloaded server gets no new flows. It is longer than the second
	// between two reports of message delays from an overloaded server.
	overloadHold = 1.5
	// slowHold is the time in seconds for which a server whose threshold was lowered counts as slow.
	slowHold = 2.0
	// thresholdPause is the shortest time in seconds between two decreases of a threshold.
	thresholdPause = 1
	// thresholdRecovery is the fraction by which a threshold rises in each housekeeping interval.
	thresholdRecovery = 0.02
	// lostConnectionFactor is the factor by which a lost connection lowers the load threshold.
	lostConnectionFactor = 0.9
	// delayWeight is the fraction by which a delay of one message objective lowers the load threshold.
	delayWeight = 0.05
	// minDelayFactor is the smallest factor by which a message delay lowers the load threshold.
	minDelayFactor = 0.8
	// overloadRise is the rate in 1/s at which the overload level rises if all servers in use are slow.
	overloadRise = 2.0
	// overloadFadeTime is the time in seconds in which the overload level falls to 1/e of its value.
	overloadFadeTime = 60.0
	// A log line reports overload when the fraction of slow servers exceeds overloadLogAbove, and its end when the
	// fraction falls below overloadLogBelow.
	overloadLogAbove = 0.5
	overloadLogBelow = 0.1
	// returnPacing is the factor from the fraction of slow servers to the fraction of returning clients that have to wait
	// at a node without connections.
	returnPacing = 2.5
	// smallFleet is the number of nodes up to which each node has enough of the traffic to recognize faults that servers
	// share.
	smallFleet = 10
)

// loadThreshold is the load up to which this node assumes that a server is not overloaded.
type loadThreshold struct {
	load           float64 // load of this node's attempts and connections at the server; infinite until overload is observed
	loweredAt      float64 // when the threshold was last lowered
	overloadedAt   float64 // when the server was last observed to be overloaded
	roundingOffset float64 // random number that decides whether this node exceeds a threshold of less than one connection
}

// overloadState sums up the overload of all servers that this node observes.
type overloadState struct {
	level        float64 // from 0 to 1: chance that a flow of a group starts at the group's home instead of at its primary
	slowFraction float64 // fraction of slow servers among those with connections of this node
	uncertainty  float64 // 1 without connections, and close to 0 with many of them for each server
	logged       bool    // the last log line about overload reported its beginning
}

// ReportDelay reports the current message delay in seconds on an established connection.
func (b *Balancer) ReportDelay(now float64, id int, delay float64) {
	if !b.isLive(id) || !b.flows[id].established {
		return
	}
	b.observeDelay(now, &b.servers[b.flows[id].server], delay)
}

// observeDelay updates the load threshold of a server from a measured or estimated message delay in seconds. Servers
// report delays from a third of the message objective on. A shorter delay means that the server has recovered.
func (b *Balancer) observeDelay(now float64, s *server, delay float64) {
	if delay > b.messageObjective {
		s.threshold.overloadedAt = now
	}
	if delay > b.messageObjective/3 {
		b.lowerThreshold(now, s, max(minDelayFactor, 1-delayWeight*delay/b.messageObjective))
	}
}

// lowerThreshold sets the load threshold of a server below the load of this node's connections there. If a hundred nodes
// have one connection each on a server, a lower bound of one connection for each node would shed no load at all. The
// random rounding offset therefore decides which of the nodes migrate their connection.
func (b *Balancer) lowerThreshold(now float64, s *server, factor float64) {
	if now-s.threshold.loweredAt < thresholdPause {
		return
	}
	s.threshold.loweredAt = now
	lowered := factor * min(s.assignedLoad, s.threshold.load)
	s.threshold.load = max(lowered, b.meanUsualLoad()*(1-b.overload.uncertainty))
	s.threshold.roundingOffset = b.random()
}

// updateOverload raises the load thresholds and updates the overload level. A threshold rises slowly even while its server
// is empty, because all nodes would immediately send flows to a server whose threshold was removed.
func (b *Balancer) updateOverload(now float64) {
	usualServerLoad := max(b.quotaPerServer/2, b.overload.uncertainty) * b.meanUsualLoad()
	used, slow, inFlight := 0.0, 0.0, 0.0
	for i := range b.servers {
		s := &b.servers[i]
		s.migrations = 0
		s.threshold.rise(now, usualServerLoad)
		if s.inFlight <= 0 {
			continue
		}
		used++
		inFlight += float64(s.inFlight)
		if now-s.threshold.loweredAt < slowHold {
			slow++
		}
	}
	o := &b.overload
	o.slowFraction = slow / max(used, 1)
	o.level += housekeepingInterval * (overloadRise*o.slowFraction*(1-o.level) - o.level/overloadFadeTime)
	o.uncertainty = 1 / (1 + inFlight/max(float64(len(b.base)), 1))
	b.logOverload(slow, used)
}

// rise raises a threshold that was not lowered within overloadHold. The step is proportional to the threshold, or to the
// usual load of a server if that is higher: a threshold that was lowered before any load was known would otherwise stay
// near zero.
func (t *loadThreshold) rise(now, usualServerLoad float64) {
	if now-t.loweredAt > overloadHold {
		t.load += thresholdRecovery * max(t.load, usualServerLoad)
	}
}

// logOverload writes a log line when more than half of the servers in use have become slow, and another when fewer than a
// tenth still are.
func (b *Balancer) logOverload(slow, used float64) {
	o := &b.overload
	ended := o.logged && o.slowFraction < overloadLogBelow
	began := !o.logged && o.slowFraction > overloadLogAbove
	if !ended && !began {
		return
	}
	o.logged = !o.logged
	b.logf("servers overloaded: %v, %.0f of %.0f servers in use slow, %.0f%% of group flows start at a home",
		o.logged, slow, used, 100*o.level)
}

// exceeded reports whether the load of a server exceeds its threshold by so much that connections have to migrate. If the
// threshold is less than the load of one connection, the random rounding offset decides, so that all nodes together
// migrate a part of their connections.
func (t *loadThreshold) exceeded(load, meanUsualLoad float64) bool {
	aboveOneConnection := t.load >= meanUsualLoad
	roundedUp := load-t.load > t.roundingOffset*load
	return load > thresholdSlack*t.load && (aboveOneConnection || roundedUp)
}

// overloadedNow reports whether a server was observed to be overloaded within overloadHold.
func (t *loadThreshold) overloadedNow(now float64) bool {
	return now-t.overloadedAt < overloadHold
}
