package node

import "gorseledge/placement"

const (
	stillComing = 0.6 // new connections go on coming for a while after a node was asked to leave
	lastMargin  = 0.4 // before the node is killed
	longestStay = 3.0 // however long the connect timeouts are
)

// leave begins the end. What was taken is still answered. Where packets pass through, connections are held, as they
// outlive the node; elsewhere their clients are moved.
func (n *Node) leave() {
	if n.leaving {
		return
	}
	n.leaving, n.leaveAt = true, n.now
	if n.door.PassThrough {
		return
	}
	for _, f := range n.flows {
		if f != nil && f.established && !f.over {
			n.move(f, MovedLeaving, placement.CalledOff)
		}
	}
}

// depart exits once nothing is left, or when it is time.
func (n *Node) depart() {
	stay := min(n.door.Longest, longestStay) + lastMargin
	if !n.exited && (n.now >= n.leaveAt+stay || n.now >= n.leaveAt+stillComing && len(n.conns) == 0) {
		n.exited = true
		n.ask(Exit{})
		return
	}
	next := n.leaveAt + stay
	if n.now < n.leaveAt+stillComing {
		next = n.leaveAt + stillComing
	}
	n.wakeAt = min(n.wakeAt, next)
}
