package emulator

import (
	"errors"

	"gorseledge/internal/node"
)

// errUnreachable is the error of every failed dial. Cores handle all dial errors alike.
var errUnreachable = errors.New("dialing a simulated host: unreachable")

// dial opens a connection to a host, which takes one round trip. If the host's process is down, the dial fails after the
// round trip; if the machine cannot be reached or the connection would take too long, it fails at the timeout.
func (n *nodeProcess) dial(e node.Dial) {
	c := &connection{nodeProcess: n, id: e.Conn, host: n.sim.hostsByName[e.Address]}
	n.connections[e.Conn] = c
	h := c.host
	if h == nil || h.vanished {
		n.failDial(c, e.Timeout)
		return
	}
	if !h.running {
		n.failDial(c, 2*n.sim.delay(n.machine, h.machine))
		return
	}
	seconds := 2*n.sim.delay(n.machine, h.machine) + n.sim.connectDelay
	if seconds > e.Timeout {
		n.failDial(c, e.Timeout)
		return
	}
	core := n.core
	n.sim.After(seconds, func() {
		switch {
		case !n.running || core != n.core:
		case !h.running || h.vanished:
			n.failDial(c, 0)
		default:
			n.deliverLater(func() node.Input { return n.establish(c) })
		}
	})
}

// establish connects the two ends and returns the input for the core: Dialed, or Closed if the core has closed the
// connection since it asked for the dial.
func (n *nodeProcess) establish(c *connection) node.Input {
	if n.connections[c.id] != c {
		return node.Closed{Conn: c.id}
	}
	nodeEnd, hostEnd := n.sim.join(n.machine, c.host.machine)
	c.socket = nodeEnd
	nodeEnd.onArrival = c.completeRead
	c.host.accept(hostEnd)
	return node.Dialed{Conn: c.id}
}

// failDial reports a failed dial to the core after the given seconds, or only the end of the connection if the core has
// closed it by then.
func (n *nodeProcess) failDial(c *connection, after float64) {
	core := n.core
	n.sim.After(after, func() {
		if !n.running || core != n.core {
			return
		}
		n.deliverLater(func() node.Input {
			if n.connections[c.id] == c {
				return node.Dialed{Conn: c.id, Err: errUnreachable}
			}
			return node.Closed{Conn: c.id}
		})
	})
}
