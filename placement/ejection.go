package placement

const (
	// firstEjectionTime is the time in seconds until the first health check of a server that was ejected. It
	// doubles with each further ejection up to maxEjectionTime.
	firstEjectionTime = 1.0
	maxEjectionTime   = 16.0
	// outlierFailureShare is the share of failures above which a server is an outlier where others have none.
	outlierFailureShare = 0.2
	// commonFailureWeight is how much of the other servers' share of failures is added to outlierFailureShare.
	commonFailureWeight = 2
	// passesToReturn is the number of health checks in a row after which an ejected server is used again.
	passesToReturn = 2
)

// outlierState is what outlier detection knows of one server.
type outlierState struct {
	failures     float64 // failed attempts, halved every evidenceHalfLife
	successes    float64 // established attempts, likewise
	ejected      bool
	ejectionTime float64 // of the next ejection, in seconds
}

// peerEvidence sums up what outlier detection knows of the servers on the base list.
type peerEvidence struct {
	failures float64 // at all servers but the one in question
	attempts float64 // likewise
	ejected  int     // ready servers that would be ejected if the one in question were
	ready    int
}

// recordOutcome takes what the outcome of an attempt or connection says of its server.
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
		return // a flow that fails again says something of itself and not of the server
	}
	b.recordFailure(now, s, outcome)
}

// recordFailure counts a failed attempt and draws the conclusions. A connection that failed is the fault of its
// server alone. This prevents many dead servers, on a list that is late, from being taken for a fault that all share.
func (b *Balancer) recordFailure(now float64, s *server, outcome Outcome) {
	s.outlier.failures++
	peers := b.evidenceOfPeers(s)
	commonFailures := peers.failures / max(peers.attempts, 1)
	if outcome == ConnectFailed {
		b.ejectOutlier(now, s, peers, outlierFailureShare, max(1, peers.ready*2/3))
		return
	}
	if outcome == Failed || outcome == TimedOut {
		b.limitConcurrency(now, commonFailures)
	}
	b.ejectOutlier(now, s, peers, outlierFailureShare+commonFailureWeight*commonFailures, max(1, peers.ready/3))
}

// evidenceOfPeers leaves out the failures of the server in question: one faulty server is no sign of a shared fault.
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

// ejectOutlier ejects a server whose share of failures is above a limit, unless too many are ejected already.
func (b *Balancer) ejectOutlier(now float64, s *server, peers peerEvidence, failureShare float64, mostEjected int) {
	o := &s.outlier
	if o.failures/(o.failures+o.successes) <= failureShare || o.ejected || !s.listed || peers.ejected > mostEjected {
		return
	}
	o.ejected = true
	s.check.passed = 0
	s.check.nextAt = now + o.ejectionTime
	b.logf("server %d ejected for %.1f s: %.1f failures to %.1f established, %d of %d ejected", s.ID, o.ejectionTime,
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
	b.logf("server %d back after %d health checks passed", s.ID, s.check.passed)
}
