package node

import "fmt"

// asked carries out what the second address asks for; the answer says that it is done.
func (n *Node) asked(q Asked) {
	a := Answer{Yes: true}
	switch q.What {
	case IsReady:
		a.Yes = n.isReady()
	case HowMany:
		a.Figures = n.tell()
	case TakeOut, PutBack:
		if a.Yes = n.byHand(q.Host, q.What == TakeOut); n.shut {
			n.calls = append(n.calls, q)
		}
		a.StillOut = q.What == PutBack && n.overridden(q.Host)
	case Claim:
		n.paired, n.heldTold = true, 0
		a.Legacy = n.legacy()
	case Take:
		n.give()
		a.Legacy = n.legacy()
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
		n.ask(Note{fmt.Sprintf("host %s by hand: %s", name, map[bool]string{true: "out", false: "back"}[out])})
		if out {
			n.ask(Tell{News{Out: name}})
		} else {
			n.ask(Tell{News{Back: name}})
		}
	}
	return known
}
