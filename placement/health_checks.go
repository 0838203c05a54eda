package placement

import (
	"cmp"
	"math"
)

const (
	// checkInterval is the mean time in seconds between two health checks of an ejected server.
	checkInterval = 0.5
	// The time between two health checks is random, from minCheckIntervalFactor to
	// minCheckIntervalFactor + checkIntervalSpread times its mean.
	minCheckIntervalFactor = 0.75
	checkIntervalSpread    = 0.5
	// roundTripNoise is the variation in seconds of a health check's round trip on a network without faults.
	roundTripNoise = 4e-3
	// roundTripSpread is the factor by which the round trip of an unloaded server may exceed the shortest one at any
	// server.
	roundTripSpread = 3.0
	// delayPerRoundTrip converts the squared relative excess of a round trip to a message delay, in multiples of the
	// message objective.
	delayPerRoundTrip = 4
)

// checkState is the state of this node's health checks of one server.
type checkState struct {
	inFlight          bool    // a health check was requested and has not ended
	requestedAt       float64 // when the last health check was requested
	nextAt            float64 // earliest time of the next health check
	shortestRoundTrip float64 // in seconds; 0 if there was none
	passed            int     // health checks passed in a row
}

// checkSchedule is the state that the health checks of all servers share.
type checkSchedule struct {
	nextRoundAt       float64 // when load reports of all servers are next requested
	roundStartedAt    float64 // when load reports of all servers were last requested
	shortestRoundTrip float64 // at any server, in seconds; 0 if there was none
}

// HealthChecked reports the outcome of a health check. The load report is ignored unless the outcome is Served.
func (b *Balancer) HealthChecked(now float64, index int, outcome Outcome, report LoadReport) {
	if index < 0 || index >= len(b.servers) {
		return
	}
	s := &b.servers[index]
	s.check.inFlight = false
	if outcome == Served {
		s.check.passed++
		b.recordCheck(now, s, report)
	} else {
		s.check.passed = 0
	}
	b.returnIfHealthy(s)
}

// recordCheck records the load, or else the round trip, of a health check that passed.
func (b *Balancer) recordCheck(now float64, s *server, report LoadReport) {
	if report.Load >= 0 {
		b.recordReport(now, s, report.Load)
		return
	}
	if b.TimeHealthChecks && report.RoundTrip > 0 {
		b.observeRoundTrip(now, s, report.RoundTrip)
	}
}

// observeRoundTrip estimates the message delay from the round trip of a health check, to detect overload if no message
// delays are reported. The round trip is compared with the shortest one of this server. As the server's first checks may
// have been slow, the shortest round trip at any server, times roundTripSpread, is an upper bound for it.
func (b *Balancer) observeRoundTrip(now float64, s *server, roundTrip float64) {
	fastest := min(cmp.Or(b.checks.shortestRoundTrip, roundTrip), roundTrip)
	shortest := min(cmp.Or(s.check.shortestRoundTrip, roundTrip), roundTrip, roundTripSpread*fastest)
	b.checks.shortestRoundTrip = fastest
	s.check.shortestRoundTrip = shortest
	excess := (roundTrip - shortest) / (shortest + roundTripNoise)
	b.observeDelay(now, s, delayPerRoundTrip*b.messageObjective*math.Pow(excess, 2))
}

// startReportRound requests the load reports of all servers at once, so that one message carries all gossip. The time
// until the next round is random, because nodes may start at the same time.
func (b *Balancer) startReportRound(now float64) {
	if !b.LoadReports || now < b.checks.nextRoundAt {
		return
	}
	if b.checks.nextRoundAt > 0 {
		b.checks.roundStartedAt = now
	}
	b.checks.nextRoundAt = now + 2*b.random()*checkInterval*float64(b.Nodes)
}

// nextHealthCheck returns the next health check that is due. If the settings allow no health checks, an ejected server is
// used again without one when its ejection time has passed.
func (b *Balancer) nextHealthCheck(now float64) (Decision, bool) {
	for i := range b.servers {
		s := &b.servers[i]
		if !b.checkDue(now, s) {
			continue
		}
		b.scheduleNextCheck(now, s)
		if b.HealthChecks {
			s.check.inFlight = true
			return Decision{Action: CheckHealth, Server: i}, true
		}
		s.outlier.ejected = false
	}
	return Decision{}, false
}

// checkDue reports whether a server needs a health check now, because it is ejected, its load report is due, or its round
// trip has to be measured.
func (b *Balancer) checkDue(now float64, s *server) bool {
	if s.check.inFlight || now < s.check.nextAt || !s.listed || s.State != Ready || s.admin.disabled || b.handedOver {
		return false
	}
	if s.outlier.ejected {
		return true
	}
	if !b.HealthChecks {
		return false
	}
	reportDue := b.LoadReports && s.check.requestedAt < b.checks.roundStartedAt
	measured := b.TimeHealthChecks && s.inFlight > 0
	return reportDue || measured
}

// scheduleNextCheck sets when a server may be checked again. The interval grows with the number of nodes, so that the rate
// of all nodes' checks stays the same, except for servers that are ejected or were found slow within slowHold.
func (b *Balancer) scheduleNextCheck(now float64, s *server) {
	s.check.requestedAt = now
	s.check.nextAt = now + checkInterval*(minCheckIntervalFactor+checkIntervalSpread*b.random())
	slow := b.TimeHealthChecks && now-s.threshold.loweredAt < slowHold
	if !s.outlier.ejected && !slow {
		s.check.nextAt += checkInterval * float64(b.Nodes)
	}
}
