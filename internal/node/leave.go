package node

import (
	"gorseledge/internal/line"
	"gorseledge/placement"
)

const (
	stillComing = 0.6  // new connections go on coming for a while after a node was asked to leave
	lastMargin  = 0.4  // before the node is killed
	lastWords   = 0.1  // for the answers to what is still waiting then
	longestStay = 3.0  // however long the connect timeouts are
	longestHold = 30.0 // for held connections to end, where nobody kills the node
)

// leave begins the end; what was taken is still answered.
func (n *Node) leave() {
	if n.leaving {
		return
	}
	n.leaving, n.leaveAt = true, n.now
}

// stay is for how long a leaving node still answers what it took.
func (n *Node) stay() float64 { return min(n.door.MaxConnectTimeout, longestStay) + lastMargin }

// late tells whether it is too late for a leaving node to begin a flow.
func (n *Node) late() bool { return n.leaving && n.now >= n.leaveAt+n.stay()-lastWords }

// alone tells whether no connection is left but probes, which nobody needs any more.
func (n *Node) alone() bool {
	for _, c := range n.conns {
		if c.role != probe {
			return false
		}
	}
	return true
}

// depart goes on with it until nothing is left or it is time to exit. Where packets pass through, connections
// are held, as they outlive the node: until it is killed, as an exit of its own ends them. Elsewhere their
// clients are moved, also those established meanwhile.
func (n *Node) depart() {
	stay, held := n.stay(), false
	for _, f := range n.flows {
		switch {
		case f == nil || f.over || f.lifting: // guards against a move of what is about to go over
		case f.established && !n.door.PassThrough:
			n.move(f, MigratedAtShutdown, placement.Canceled)
		case !f.established && n.late():
			n.quit(f)
			n.answer(f.client, []byte(line.ErrLine), ShuttingDown)
		case f.established:
			held = true
		}
	}
	for _, id := range n.idlers {
		if c := n.conns[id]; c != nil && c.idle && c.finish == Open && n.late() {
			n.dismiss(c, ShuttingDown)
		}
	}
	end := stay
	if held {
		end = longestHold
	}
	if !n.shuttered && n.now >= n.leaveAt+stillComing {
		n.shuttered = true
		n.ask(CloseListener{})
	}
	done := n.alone() && (n.given || n.now >= n.leaveAt+stillComing)
	if !n.exited && (n.now >= n.leaveAt+end || done) {
		n.exited = true
		n.ask(Exit{})
		return
	}
	for _, next := range []float64{stillComing, stay - lastWords, stay, longestHold} {
		if n.now < n.leaveAt+next {
			n.wakeAt = min(n.wakeAt, n.leaveAt+next)
			return
		}
	}
}
