package node

import (
	"gorseledge/internal/line"
	"gorseledge/placement"
)

const probeWait = 1.0 // for the answer to a probe: a host that needs longer is no use for a flow either

// untold is the report of a probe that brought none.
var untold = placement.LoadReport{Load: -1}

func probeWords(reports bool) string {
	if reports {
		return line.StatLine
	}
	return line.PingLine
}

// probe asks a host whether it serves.
func (n *Node) probe(at int) {
	if n.hosts[at].address == "" || !n.affords() {
		n.module.HealthChecked(n.now, at, placement.NotSent, untold)
		return
	}
	n.dial(probe, at, []byte(n.probes), probeWait, 0)
}

// probeLine takes the answer; anything but a PONG is a host that does not serve.
func (n *Node) probeLine(c *conn, text []byte) {
	how, r := placement.Failed, untold
	if word, rest := line.Split(text); word == line.Pong {
		how = placement.Served
		if load, ok := line.Report(rest, "x0"); ok {
			r.Load = load
		}
	}
	n.probed(c, how, r)
}

func (n *Node) probed(c *conn, how placement.Outcome, r placement.LoadReport) {
	n.close(c, false)
	if took, known := n.took(c.since); known {
		r.RoundTrip = took
	}
	n.module.HealthChecked(n.now, c.host, how, r)
}
