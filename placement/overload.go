package placement

const (
	// overloadHold is the time in seconds for which an overloaded server gets no new flow. Message delays of an
	// overloaded server are reported once a second.
	overloadHold = 1.5
	// slowHold is the time in seconds for which a server whose threshold was lowered counts as slow.
	slowHold = 2.0
	// thresholdPause is the shortest time in seconds between two steps that lower a threshold.
	thresholdPause = 1
	// thresholdRecovery is the share by which a threshold rises in each housekeeping interval.
	thresholdRecovery = 0.02
	// lostConnectionFactor is what a broken connection leaves of the load threshold.
	lostConnectionFactor = 0.9
	// delayWeight is the share by which a delay of one message objective lowers the load threshold.
	delayWeight = 0.05
	// leastDelayFactor is the least that a slow message leaves of the load threshold.
	leastDelayFactor = 0.8
	// overloadRise is how fast the overload level rises, in 1/s at a slow share of 1.
	overloadRise = 2.0
	// overloadFadeTime is the time in seconds in which the overload level falls to 1/e of its value.
	overloadFadeTime = 60.0
	// overloadBegins and overloadEnds are the slow shares at which a log line is written.
	overloadBegins = 0.5
	overloadEnds   = 0.1
	// returnPacing is the factor from the slow share that an uncertain node sees to the share of returning clients
	// that have to wait.
	returnPacing = 2.5
	// smallFleet is the number of nodes up to which each sees enough of the faults that servers share.
	smallFleet = 10
)

// loadThreshold is the load up to which a server is not overloaded, as far as this node has seen.
type loadThreshold struct {
	load         float64 // of this node's connections; infinite until more was seen to be too much
	loweredAt    float64
	overloadedAt float64 // when the server was last seen to be overloaded
	roundingDraw float64 // decides whether this node exceeds a threshold of less than one connection
}

// overloadState is what this node sees of the load on all servers.
type overloadState struct {
	level       float64 // from 0 to 1: chance that a flow enters at its group's home in place of its primary
	slowShare   float64 // share of the servers with connections of this node that are slow
	uncertainty float64 // 1 without connections, and near 0 with many of them for each server
	logged      bool    // the last log line on it said that the servers were overloaded
}

// ReportDelay reports how long a message takes now, in seconds, on an established connection.
func (b *Balancer) ReportDelay(now float64, id int, delay float64) {
	if !b.isLive(id) || !b.flows[id].established {
		return
	}
	b.observeDelay(now, &b.servers[b.flows[id].server], delay)
}

// observeDelay takes a message delay in seconds, or an estimate of it. Hosts report delays from a third of the
// objective on; less means that the server has recovered.
func (b *Balancer) observeDelay(now float64, s *server, delay float64) {
	if delay > b.messageObjective {
		s.threshold.overloadedAt = now
	}
	if delay > b.messageObjective/3 {
		b.lowerThreshold(now, s, max(leastDelayFactor, 1-delayWeight*delay/b.messageObjective))
	}
}

// lowerThreshold sets the load threshold of a server below the load of this node's connections there. The floor of
// one connection a node would be no threshold for a hundred nodes, so the draw decides which of them migrate one.
func (b *Balancer) lowerThreshold(now float64, s *server, factor float64) {
	if now-s.threshold.loweredAt < thresholdPause {
		return
	}
	s.threshold.loweredAt = now
	lowered := factor * min(s.assignedLoad, s.threshold.load)
	s.threshold.load = max(lowered, b.meanUsualLoad()*(1-b.overload.uncertainty))
	s.threshold.roundingDraw = b.random()
}

// updateOverload raises the load thresholds and updates the overload level. A threshold rises slowly, also while
// its server is empty, because all nodes would send flows at once to a server without one.
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
	o.slowShare = slow / max(used, 1)
	o.level += housekeepingInterval * (overloadRise*o.slowShare*(1-o.level) - o.level/overloadFadeTime)
	o.uncertainty = 1 / (1 + inFlight/max(float64(len(b.base)), 1))
	b.logOverload(slow, used)
}

// rise raises a threshold that was not lowered of late. The step is reckoned from the usual load of a server at
// the least. This prevents a threshold that was lowered before any load was known from staying near zero.
func (t *loadThreshold) rise(now, usualServerLoad float64) {
	if now-t.loweredAt > overloadHold {
		t.load += thresholdRecovery * max(t.load, usualServerLoad)
	}
}

// logOverload writes a line when more than half of the servers in use have become slow, or nearly none still is.
func (b *Balancer) logOverload(slow, used float64) {
	o := &b.overload
	ended := o.logged && o.slowShare < overloadEnds
	began := !o.logged && o.slowShare > overloadBegins
	if !ended && !began {
		return
	}
	o.logged = !o.logged
	b.logf("overloaded: %v, %.0f of %.0f servers in use slow, %.0f%% sent home", o.logged, slow, used, 100*o.level)
}

// exceeded reports whether a server has more load than its threshold by so much that connections migrate. Where
// the threshold is less than one connection the draw decides, so that all nodes together migrate a part of them.
func (t *loadThreshold) exceeded(load, meanUsualLoad float64) bool {
	aboveOneConnection := t.load >= meanUsualLoad
	drawn := load-t.load > t.roundingDraw*load
	return load > thresholdSlack*t.load && (aboveOneConnection || drawn)
}

// overloadedNow reports whether a server was seen to be overloaded within overloadHold.
func (t *loadThreshold) overloadedNow(now float64) bool {
	return now-t.overloadedAt < overloadHold
}
