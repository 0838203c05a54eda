package node

import (
	"fmt"

	"gorseledge/placement"
)

// Hosts answer lines at once, so a line without an answer is a sign against the connection or its host. Times in
// seconds since the oldest line without an answer was sent.
const (
	suspectAfter          = 0.5 // while the host sends nothing on any connection
	confirmTimeout        = 0.2 // more, for a health check's answer and for input that came while this node was held up
	connectionSilentAfter = 2.5 // while the host sends on other connections: this one is of no use
)

// answerOverdue handles a connection whose host has not answered a line. Where the host sends nothing on any
// connection, all its flows are migrated at once, as their clients would otherwise wait for seconds on a host that has
// vanished. The silence of one connection alone is not taken for its host's.
func (n *Node) answerOverdue(c *connection) {
	f := c.flow
	age := n.now - f.unansweredSince[0]
	hostSilent := n.endpoints.hosts[f.hostIndex].lastHeard <= f.unansweredSince[0]
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

// migrateAllFrom migrates all flows off a host that has been silent for some seconds.
func (n *Node) migrateAllFrom(host int, silentFor float64) {
	migrated := 0
	for _, f := range n.flows.byIndex {
		if f != nil && f.hostIndex == host && f.established && !f.over {
			n.migrate(f, HostSilent, placement.ConnectionLost)
			migrated++
		}
	}
	n.emit(WriteLog{fmt.Sprintf("host %s silent for %.1f s, %d clients migrated", n.endpoints.hosts[host].name,
		silentFor, migrated)})
}
