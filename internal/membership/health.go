package membership

// adjustHealth adds delta to the local health score and limits the result to the range from 0 (healthy) to maxHealthScore
// (Lifeguard, section IV.A).
func (m *Members) adjustHealth(delta int) {
	if m.config.WithoutLifeguard {
		return
	}
	m.healthScore = min(max(m.healthScore+delta, 0), maxHealthScore)
}

// timeoutFactor returns the factor by which this node's timeouts are multiplied. It grows with the local health score.
func (m *Members) timeoutFactor() float64 { return float64(1 + m.healthScore) }

// isolated reports whether failed probes may be this node's own fault. That is so in two cases: this node has received no
// message for isolatedPeriods, so it may be unable to receive; or it learned within suspectedPeriods that others suspect
// it, so it may be unable to send.
func (m *Members) isolated() bool {
	if m.config.WithoutLifeguard || m.liveCount <= 1 {
		return false
	}
	notReceiving := m.now-m.lastReceivedAt > isolatedPeriods*m.config.Period
	recentlySuspected := m.now-m.lastSuspectedAt < suspectedPeriods*m.config.Period
	return notReceiving || recentlySuspected
}
