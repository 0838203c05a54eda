package emulator

import (
	"errors"

	"gorseledge/internal/node"
)

// errUnreachable is the error of each dial that fails. Cores do not tell dial errors apart.
var errUnreachable = errors.New("dialing a simulated host: unreachable")

// dial opens a connection to a host, which takes a round trip. It fails at once, but for a round trip, if the host's
// process is down, and at the timeout if its machine cannot be reached.
func (n *nodeProcess) dial(e node.Dial) {
	c := &connection{nodeProcess: n, id: e.Conn, host: n.world.hostsByName[e.Address]}
	n.connections[e.Conn] = c
	h := c.host
	if h == nil || h.vanished {
		n.failDial(c, e.Timeout)
		return
	}
	if !h.running {
		n.failDial(c, 2*n.world.delay(n.machine, h.machine))
		return
	}
	seconds := 2*n.world.delay(n.machine, h.machine) + n.world.connectDelay
	if seconds > e.Timeout {
		n.failDial(c, e.Timeout)
		return
	}
	core := n.core
	n.world.After(seconds, func() {
		switch {
		case !n.running || core != n.core:
		case !h.running || h.vanished:
			n.failDial(c, 0)
		default:
			n.deliverLater(func() node.Input { return n.establish(c) })
		}
	})
}

// establish connects a connection to its host. It returns the input for the core, which may have closed it meanwhile.
func (n *nodeProcess) establish(c *connection) node.Input {
	if n.connections[c.id] != c {
		return node.Closed{Conn: c.id}
	}
	near, far := n.world.join(n.machine, c.host.machine)
	c.socket = near
	near.onArrival = c.completeRead
	c.host.accept(far)
	return node.Dialed{Conn: c.id}
}

// failDial reports to the core, after some seconds, that a connection could not be established.
func (n *nodeProcess) failDial(c *connection, after float64) {
	core := n.core
	n.world.After(after, func() {
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
