package node

import (
	"gorseledge/internal/line"
	"gorseledge/placement"
)

const (
	healthCheckTimeout = 1.0  // seconds; a host that answers later is too slow for flows as well
	loadReportField    = "x0" // name of the field with the load in the answer to a health check
)

// noLoadReport is the result of a health check without a load report.
var noLoadReport = placement.LoadReport{Load: -1}

// healthCheckLineFor returns the line that a health check sends. withReports asks for a load report as well.
func healthCheckLineFor(withReports bool) string {
	if withReports {
		return line.StatsLine
	}
	return line.PingLine
}

// checkHealth starts a health check of a host, or reports it as not sent if the host has no address or no descriptor is
// available.
func (n *Node) checkHealth(host int) {
	if n.endpoints.hosts[host].address == "" || !n.canAffordDescriptor() {
		n.balancer.HealthChecked(n.now, host, placement.NotSent, noLoadReport)
		return
	}
	n.dial(healthCheckRole, host, []byte(n.healthCheckLine), healthCheckTimeout, 0)
}

// handleHealthCheckLine handles the answer to a health check. Any answer but PONG is a failure.
func (n *Node) handleHealthCheckLine(c *connection, text []byte) {
	word, rest := line.Split(text)
	if word != line.Pong {
		n.healthCheckDone(c, placement.Failed, noLoadReport)
		return
	}
	report := noLoadReport
	if load, ok := line.ParseReport(rest, loadReportField); ok {
		report.Load = load
	}
	n.healthCheckDone(c, placement.Served, report)
}

// healthCheckInterrupted handles a health check that broke or timed out without an answer.
func (n *Node) healthCheckInterrupted(c *connection, timedOut bool) {
	lineSent := c.connected && len(c.ownOutput) == 0
	n.healthCheckDone(c, interruptedOutcome(lineSent, timedOut), noLoadReport)
}

// healthCheckDone closes a health check's connection and reports the result to the balancer.
func (n *Node) healthCheckDone(c *connection, outcome placement.Outcome, report placement.LoadReport) {
	n.closeConnection(c, false)
	if elapsed, known := n.elapsedSince(c.startedAt); known {
		report.RoundTrip = elapsed
	}
	n.balancer.HealthChecked(n.now, c.hostIndex, outcome, report)
}
