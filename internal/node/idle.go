package node

import "gorseledge/internal/line"

const (
	spareFew  = 20  // descriptors kept for those who come meanwhile, so that they can be told no
	idleShare = 5   // one in so many descriptors may be with clients that ask for nothing
	settled   = 0.1 // by when a usual client's first line is there
)

// rest counts a client's connection among those that ask for nothing: not yet, or not any more.
func (n *Node) rest(c *conn) {
	if c.role != client || c.idle {
		return
	}
	c.idle = true
	n.idle++
	n.idlers = append(n.idlers, c.id)
}

// busy takes it out again.
func (n *Node) busy(c *conn) {
	if c.idle {
		c.idle = false
		n.idle--
	}
}

// used is how many descriptors connections hold, without those that are being closed.
func (n *Node) used() int { return n.descriptors - n.closing }

// short tells whether few descriptors are left, beside those that are kept for who comes meanwhile.
func (n *Node) short() bool { return n.used()+1+spareFew+n.lent > n.limit }

// dismiss ends a connection that has asked for nothing. Guards against a first line that arrives in just that moment,
// which the node's machine has taken: who sent it reads that it was turned away, and may come again.
func (n *Node) dismiss(c *conn, why Reason) {
	c.endUnasked(why)
	n.wait(c, lingering) // also where nothing goes out to it any more
	n.answer(c, line.BusyLine(0), c.reason)
}

// relieve ends the idle connection that is oldest, if it has been there for some time, and tells whether it
// did.
func (n *Node) relieve(idleFor float64) bool {
	for len(n.idlers) > 0 {
		c := n.conns[n.idlers[0]]
		idle := c != nil && c.idle
		if idle && (n.now-c.since < idleFor || len(c.own) > 0) {
			return false // what it is being told goes out first
		}
		n.idlers = n.idlers[1:]
		if idle {
			if c.finish == Open && !c.shut && c.writing == 0 { // as in dismiss, without the time to linger
				n.ask(Write{c.id, line.BusyLine(0)})
			}
			c.endUnasked(NoSockets)
			n.close(c, false)
			return true
		}
	}
	return false
}

// room ends idle connections until descriptors are not short, and tells whether that could be done.
func (n *Node) room(idleFor float64) bool {
	for n.short() {
		if !n.relieve(idleFor) {
			return false
		}
	}
	return true
}

// admit makes room for a connection that was accepted, or turns it away. Guards against clients that connect
// by hundreds and say nothing: the usual ones, whose first line comes at once, were told that none was
// left.
func (n *Node) admit(c *conn) {
	n.rest(c)
	for n.idle > max(n.limit/idleShare, 1) && n.relieve(settled) {
	}
	if !n.room(settled) {
		n.answer(c, line.BusyLine(0), NoSockets)
	}
	if n.used() > n.limit && !c.closed { // not even time for that
		n.close(c, false)
	}
}

// affords tells whether one more descriptor can be had, at the cost of one who asks for nothing.
func (n *Node) affords() bool { return n.room(settled / 4) }
