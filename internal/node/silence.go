package node

import (
	"fmt"

	"gorseledge/placement"
)

const (
	quietAfter  = 0.5 // a line that had none back while its host said nothing to anybody: hosts answer at once
	doubtFor    = 0.2 // for a probe's answer, and for what came while this node itself was held up
	silentAfter = 2.5 // a line that had none back while its host talks to others: that connection is no use
)

// silent looks at a connection whose line had none back. Guards against clients that sit for seconds on a
// machine that has vanished: where a host says nothing to anybody, all are moved off it at once.
func (n *Node) silent(c *conn) {
	f := c.flow
	age := n.now - f.waits[0]
	quiet := n.hosts[f.on].heard <= f.waits[0]
	switch {
	case !quiet && age < silentAfter:
		c.doubted = false
		n.wait(c, min(quietAfter, silentAfter-age))
	case !c.doubted:
		c.doubted = true
		n.wait(c, doubtFor)
		if n.mayProbe && quiet { // guards against one connection's silence being taken for its host's
			n.probe(f.on)
		}
	case !quiet:
		n.move(f, HostSilent, placement.ConnectionLost)
	default:
		moved := 0
		for _, g := range n.flows {
			if g != nil && g.on == f.on && g.established && !g.over {
				n.move(g, HostSilent, placement.ConnectionLost)
				moved++
			}
		}
		n.ask(WriteLog{fmt.Sprintf("host %s silent for %.1f s, %d clients moved off it", n.hosts[f.on].name, age,
			moved)})
	}
}
