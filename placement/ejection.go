package placement

const (
	// firstEjectionTime is the time in seconds from a server's first ejection until its first health check. The time
	// doubles with each further ejection, up to maxEjectionTime.
	firstEjectionTime = 1.0
	maxEjectionTime   = 16.0
	// outlierFailureRatio is the ratio of failed attempts above which a server is an outlier if no others fail.
	outlierFailureRatio = 0.2
	// commonFailureWeight is the factor by which the failure ratio of the other servers is added to outlierFailureRatio.
	commonFailureWeight = 2
	// passesToReturn is the number of health checks that an ejected server must pass in a row before it is used again.
	passesToReturn = 2
)

// outlierState is the state of outlier detection for one server.
type outlierState struct {
	failures     float64 // failed attempts, halved every evidenceHalfLife
	successes    float64 // established attempts, halved at the same times
	ejected      bool
	ejectionTime float64 // duration in seconds of the next ejection until its first health check
}

// peerEvidence sums up the outlier detection state of the base list, to decide on the ejection of one server.
type peerEvidence struct {
	failures float64 // failed attempts at all other servers
	attempts float64 // attempts at all other servers
	ejected  int     // ready servers that are ejected, plus one for the server itself
	ready    int     // servers in state Ready
}

// recordOutcome updates the state of a server from the outcome of an attempt or connection there.
func (b *Balancer) recordOutcome(now float64, f *flow, outcome Outcome, wasEstablished bool) {
	s := &b.servers[f.server]
	switch {
	case outcome == Rejected:
		s.rejectedAt = now
		return
	case wasEstablished && outcome == ConnectionLost:
		s.threshold.overloadedAt = now
		b.lowerThreshold(now, s, lostConnectionFactor)
		return
	case wasEstablished, outcome == Served, outcome == Canceled, outcome == NotSent:
		return
	case outcome == Failed && f.ranAt >= 0:
		return // a flow that fails repeatedly is more likely at fault than the server
	}
	b.recordFailure(now, s, outcome)
}

// recordFailure counts a failed attempt, and lowers the concurrency limit or ejects the server if necessary. A failure to
// connect counts against its server alone. Many dead servers on an outdated list would otherwise look like a fault that
// all servers share.
func (b *Balancer) recordFailure(now float64, s *server, outcome Outcome) {
	s.outlier.failures++
	peers := b.evidenceOfPeers(s)
	commonFailures := peers.failures / max(peers.attempts, 1)
	if outcome == ConnectFailed {
		b.ejectOutlier(now, s, peers, outlierFailureRatio, max(1, peers.ready*2/3))
		return
	}
	if outcome == Failed || outcome == TimedOut {
		b.limitConcurrency(now, commonFailures)
	}
	b.ejectOutlier(now, s, peers, outlierFailureRatio+commonFailureWeight*commonFailures, max(1, peers.ready/3))
}

// evidenceOfPeers sums up the attempts at all servers but the given one, because the failures of a single server do not
// indicate a shared fault.
func (b *Balancer) evidenceOfPeers(s *server) peerEvidence {
	evidence := peerEvidence{ejected: 1}
	for _, i := range b.base {
		peer := &b.servers[i]
		if peer != s {
			evidence.failures += peer.outlier.failures
			evidence.attempts = evidence.attempts + peer.outlier.failures + peer.outlier.successes
		}
		if peer.State != Ready {
			continue
		}
		evidence.ready++
		if peer.outlier.ejected {
			evidence.ejected++
		}
	}
	return evidence
}

// ejectOutlier ejects a server whose failure ratio exceeds failureRatio, unless more than maxEjected servers would then
// be ejected.
func (b *Balancer) ejectOutlier(now float64, s *server, peers peerEvidence, failureRatio float64, maxEjected int) {
	o := &s.outlier
	if o.failures/(o.failures+o.successes) <= failureRatio || o.ejected || !s.listed || peers.ejected > maxEjected {
		return
	}
	o.ejected = true
	s.check.passed = 0
	s.check.nextAt = now + o.ejectionTime
	b.logf("server %d ejected for %.1f s: %.1f attempts failed, %.1f succeeded, %d of %d servers ejected", s.ID, o.ejectionTime,
		o.failures, o.successes, peers.ejected, peers.ready)
	o.ejectionTime = min(2*o.ejectionTime, maxEjectionTime)
}

// returnIfHealthy ends the ejection of a server that has passed enough health checks.
func (b *Balancer) returnIfHealthy(s *server) {
	if !s.outlier.ejected || s.check.passed < passesToReturn {
		return
	}
	s.outlier.ejected = false
	s.outlier.failures = 0
	s.outlier.successes = 0
	b.logf("server %d no longer ejected: %d health checks passed in a row", s.ID, s.check.passed)
}
