package placement

import (
	"cmp"
	"math"
)

const (
	// checkInterval is the mean time in seconds between two health checks of one ejected server.
	checkInterval = 0.5
	// A time between two health checks is drawn evenly from leastCheckInterval to leastCheckInterval + checkSpread,
	// as a share of its mean.
	leastCheckInterval = 0.75
	checkSpread        = 0.5
	// roundTripNoise is the variation in seconds of a health check's round trip on a sound network.
	roundTripNoise = 4e-3
	// roundTripSpread is the multiple of the shortest round trip at any server up to which a server is not slow.
	roundTripSpread = 3.0
	// delayPerRoundTrip is the factor from the squared excess of a round trip to message objectives of delay.
	delayPerRoundTrip = 4
)

// checkState is what this node's health checks have shown of one server.
type checkState struct {
	inFlight          bool
	requestedAt       float64 // when the last one was requested
	nextAt            float64 // when the next one may be
	shortestRoundTrip float64 // in seconds; 0 for none
	passed            int     // in a row
}

// checkSchedule is what the health checks of all servers have in common.
type checkSchedule struct {
	nextRoundAt       float64 // when load reports of all servers are requested next
	roundStartedAt    float64 // when they were last
	shortestRoundTrip float64 // at any server, in seconds; 0 for none
}

// HealthChecked reports the outcome of a health check. The report counts only if the outcome is Served.
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

// recordCheck takes what a health check that passed has brought.
func (b *Balancer) recordCheck(now float64, s *server, report LoadReport) {
	if report.Load >= 0 {
		b.recordReport(now, s, report.Load)
		return
	}
	if b.TimeHealthChecks && report.RoundTrip > 0 {
		b.observeRoundTrip(now, s, report.RoundTrip)
	}
}

// observeRoundTrip estimates the message delay from the round trip of a health check, for overload that no message
// shows. The shortest round trip at any server bounds the one at this server, whose first checks may have been slow.
func (b *Balancer) observeRoundTrip(now float64, s *server, roundTrip float64) {
	fastest := min(cmp.Or(b.checks.shortestRoundTrip, roundTrip), roundTrip)
	shortest := min(cmp.Or(s.check.shortestRoundTrip, roundTrip), roundTrip, roundTripSpread*fastest)
	b.checks.shortestRoundTrip = fastest
	s.check.shortestRoundTrip = shortest
	excess := (roundTrip - shortest) / (shortest + roundTripNoise)
	b.observeDelay(now, s, delayPerRoundTrip*b.messageObjective*math.Pow(excess, 2))
}

// startReportRound requests the load reports of all servers at once, so that one message carries all gossip.
// The time to the next round is drawn, because nodes may start together.
func (b *Balancer) startReportRound(now float64) {
	if !b.LoadReports || now < b.checks.nextRoundAt {
		return
	}
	if b.checks.nextRoundAt > 0 {
		b.checks.roundStartedAt = now
	}
	b.checks.nextRoundAt = now + 2*b.random()*checkInterval*float64(b.Nodes)
}

// nextHealthCheck returns the next health check that is due. Where none are allowed, an ejected server returns
// without one.
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

// checkDue reports whether a server needs a health check now: it is ejected, its load report is requested, or its
// round trip is measured.
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

// scheduleNextCheck sets when a server may be checked again. All nodes share the pace, except for servers that are
// ejected or whose measured round trip was long just now.
func (b *Balancer) scheduleNextCheck(now float64, s *server) {
	s.check.requestedAt = now
	s.check.nextAt = now + checkInterval*(leastCheckInterval+checkSpread*b.random())
	slow := b.TimeHealthChecks && now-s.threshold.loweredAt < slowHold
	if !s.outlier.ejected && !slow {
		s.check.nextAt += checkInterval * float64(b.Nodes)
	}
}
