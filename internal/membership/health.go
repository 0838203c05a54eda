package membership

// adjustHealth changes the local health score by so much, within 0 (healthy) and maxHealthScore (Lifeguard, section
// IV.A).
func (m *Members) adjustHealth(by int) {
	if m.config.WithoutLifeguard {
		return
	}
	m.healthScore = min(max(m.healthScore+by, 0), maxHealthScore)
}

// timeoutFactor returns the factor of this node's timeouts, which grow with its local health score.
func (m *Members) timeoutFactor() float64 { return float64(1 + m.healthScore) }

// isolated reports whether this node has received no message for so long, or was suspected so recently, that the fault
// may be its own: it cannot receive, or cannot send.
func (m *Members) isolated() bool {
	if m.config.WithoutLifeguard || m.liveCount <= 1 {
		return false
	}
	notReceiving := m.now-m.lastReceivedAt > isolatedPeriods*m.config.Period
	notHeard := m.now-m.lastSuspectedAt < suspectedPeriods*m.config.Period
	return notReceiving || notHeard
}
