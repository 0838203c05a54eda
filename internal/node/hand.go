package node

import "fmt"

// asked carries out what the second address asks for; the answer says that it is done.
func (n *Node) asked(q Query) {
	a := Reply{OK: true}
	switch q.Question {
	case IsReady:
		a.OK = n.isReady()
	case GetFigures:
		a.Figures = n.tell()
	case DisableHost, EnableHost:
		if a.OK = n.byHand(q.Host, q.Question == DisableHost); n.shut {
			n.calls = append(n.calls, q)
		}
		a.StillDisabled = q.Question == EnableHost && n.overridden(q.Host)
	case ClaimHandover:
		n.paired, n.heldTold = true, 0
		a.Handover = n.legacy()
	case TakeOver:
		n.give()
		a.Handover = n.legacy()
	}
	n.ask(a)
}

// byHand takes a host out or puts it back, if it was ever listed. Guards against names that never were: nothing
// is kept for them.
func (n *Node) byHand(name string, out bool) bool {
	at, known := n.byName[name]
	if known && n.hosts[at].disabledByHand != out {
		n.hosts[at].disabledByHand = out
		n.applyDisabled(at)
		n.ask(WriteLog{fmt.Sprintf("host %s by hand: %s", name, map[bool]string{true: "out", false: "back"}[out])})
		if out {
			n.ask(UpdatePeerProcess{HandoverUpdate{DisabledHost: name}})
		} else {
			n.ask(UpdatePeerProcess{HandoverUpdate{EnabledHost: name}})
		}
	}
	return known
}
