package node

import (
	"gorseledge/internal/line"
	"gorseledge/placement"
)

const (
	stillComing = 0.6 // new connections go on coming for a while after a node was asked to leave
	lastMargin  = 0.4 // before the node is killed
	lastWords   = 0.1 // for the answers to what is still waiting then
	longestStay = 3.0 // however long the connect timeouts are
)

// leave begins the end; what was taken is still answered.
func (n *Node) leave() {
	if n.leaving {
		return
	}
	n.leaving, n.leaveAt = true, n.now
}

// depart goes on with it until nothing is left or it is time to exit. Where packets pass through, connections
// are held, as they outlive the node; elsewhere their clients are moved, also those established meanwhile.
func (n *Node) depart() {
	stay := min(n.door.Longest, longestStay) + lastMargin
	for _, f := range n.flows {
		switch {
		case f == nil || f.over:
		case f.established && !n.door.PassThrough:
			n.move(f, MovedLeaving, placement.CalledOff)
		case !f.established && n.now >= n.leaveAt+stay-lastWords:
			n.quit(f)
			n.answer(f.client, []byte(line.ErrLine), Leaving)
		}
	}
	if !n.exited && (n.now >= n.leaveAt+stay || n.now >= n.leaveAt+stillComing && len(n.conns) == 0) {
		n.exited = true
		n.ask(Exit{})
		return
	}
	for _, next := range []float64{stillComing, stay - lastWords, stay} {
		if n.now < n.leaveAt+next {
			n.wakeAt = min(n.wakeAt, n.leaveAt+next)
			return
		}
	}
}
