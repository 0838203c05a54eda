package node

import (
	"fmt"

	"gorseledge/placement"
)

// Hosts answer lines at once, so an unanswered line suggests that the connection or its host has failed. The times are in
// seconds; suspectAfter and connectionSilentAfter count from when the oldest unanswered line was sent.
const (
	suspectAfter          = 0.5 // after this time, the node checks whether the host is silent on all its connections
	confirmTimeout        = 0.2 // extra time for the answer to a health check, and for input that this node handles late
	connectionSilentAfter = 2.5 // after this time, the flow is migrated even if its host still sends on other connections
)

// answerOverdue handles a connection whose host has not answered a line. If the host sends nothing on any connection,
// all its flows are migrated at once, as their clients would otherwise wait for seconds on a host that has failed. If
// the host still sends on other connections, only the silent connection is migrated.
func (n *Node) answerOverdue(c *connection) {
	f := c.flow
	age := n.now - f.unanswered[0].sentAt
	hostSilent := n.endpoints.hosts[f.hostIndex].lastHeard <= f.unanswered[0].sentAt
	switch {
	case !hostSilent && age < connectionSilentAfter:
		c.suspected = false
		n.setDeadline(c, min(suspectAfter, connectionSilentAfter-age))
	case !c.suspected:
		c.suspected = true
		n.setDeadline(c, confirmTimeout)
		if n.healthChecksEnabled && hostSilent {
			n.checkHealth(f.hostIndex)
		}
	case !hostSilent:
		n.migrate(f, HostSilent, placement.ConnectionLost)
	default:
		n.migrateAllFrom(f.hostIndex, age)
	}
}

// migrateAllFrom migrates all established flows from a host that has been silent for silentFor seconds.
func (n *Node) migrateAllFrom(host int, silentFor float64) {
	migrated := 0
	for _, f := range n.flows.byIndex {
		if f != nil && f.hostIndex == host && f.established && !f.ended {
			n.migrate(f, HostSilent, placement.ConnectionLost)
			migrated++
		}
	}
	n.emit(WriteLog{fmt.Sprintf("host %s silent for %.1f s, %d clients migrated", n.endpoints.hosts[host].name,
		silentFor, migrated)})
}
