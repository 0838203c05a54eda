package node

import "container/heap"

// due is a time at which a connection wants to be looked at; one that was set again since is stale.
type due struct {
	at   float64
	conn Conn
	turn uint64
}

type dues []due

func (d dues) Len() int           { return len(d) }
func (d dues) Less(i, j int) bool { return d[i].at < d[j].at }
func (d dues) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *dues) Push(x any)        { *d = append(*d, x.(due)) }
func (d *dues) Pop() any {
	last := len(*d) - 1
	x := (*d)[last]
	*d = (*d)[:last]
	return x
}

// wait has a connection looked at after some time, in place of what it waited for before.
func (n *Node) wait(c *conn, after float64) {
	c.turn++
	heap.Push(&n.dues, due{n.now + after, c.id, c.turn})
}

// calm takes back what a connection waits for.
func (c *conn) calm() { c.turn++ }

// ringDue looks at each connection whose time has come.
func (n *Node) ringDue() {
	for len(n.dues) > 0 && n.dues[0].at <= n.now {
		d := heap.Pop(&n.dues).(due)
		if c := n.conns[d.conn]; c != nil && c.turn == d.turn {
			n.overdue(c)
		}
	}
}

// nextDue drops stale entries and gives the time of the first that counts.
func (n *Node) nextDue() float64 {
	next := min(n.wakeAt, n.watch.due(), n.live.expiry)
	if n.shut && !n.able && n.awaitsSettings() {
		next = min(next, n.live.awaitTill)
	}
	for len(n.dues) > 0 {
		d := n.dues[0]
		if c := n.conns[d.conn]; c != nil && c.turn == d.turn {
			return min(d.at, next)
		}
		heap.Pop(&n.dues)
	}
	return next
}
