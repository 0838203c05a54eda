package node

import (
	"gorseledge/internal/line"
	"gorseledge/internal/ring"
)

const (
	ringSize   = 2 * line.Longest // a whole line always fits, and another begins
	sinkSize   = 512
	lineWait   = 2.0 // for a first line, from the accept on; clients send it at once
	failedWait = 0.1
	lingering  = 1.0     // for the far side to end as well, so that a reset does not overtake the last words
	mostOwn    = 64      // bytes of answers that may wait for a client that asks on and on
	mostSunk   = 1 << 14 // bytes that are read after the last words
)

type role uint8

const (
	client role = iota
	server      // a flow's connection to its host
	probe
)

// conn is one connection and the ring of what was read from it.
type conn struct {
	id       Conn
	role     role
	flow     *flow
	host     int // that it was dialed to
	in       *ring.Ring
	scanned  int    // bytes of in that were looked at
	ready    int    // bytes of in that may go to the other side: whole lines
	own      []byte // the node's own words, sent once nothing more is ready from the other side
	passed   uint64 // bytes written
	reading  bool
	writing  int // bytes of the write under way
	fromPeer bool
	up       bool
	ended    End // what the far side did
	finish   End // how to end once all is written; Open for not yet
	shut     bool
	closed   bool
	sink     bool // what comes is dropped
	sunk     int  // bytes that were
	heard    bool // a client's first line, or what came in its place, was read
	idle     bool // asks for nothing yet, or for nothing any more
	doubted  bool // a line to it is overdue
	checked  bool // has asked whether the node is ready
	turn     uint64
	since    float64
	reason   Reason // of a client's connection that ends
}

func (n *Node) newConn(id Conn, as role) *conn {
	c := &conn{id: id, role: as, since: n.now}
	n.conns[id] = c
	n.descriptors++
	return c
}

// dial opens a connection whose first words are given, for a client's connection or for none.
func (n *Node) dial(as role, host int, words []byte, within float64, whose Conn) *conn {
	n.dialed += 2
	c := n.newConn(n.dialed, as)
	c.host, c.own = host, words
	n.wait(c, within)
	if n.door.DialTimeout > 0 {
		within = min(within, n.door.DialTimeout)
	}
	n.ask(Dial{c.id, n.hosts[host].address, within, whose})
	return c
}

// other is the connection that c's flow joins it to.
func (c *conn) other() *conn {
	switch {
	case c.flow == nil:
		return nil
	case c.role == client:
		return c.flow.host
	default:
		return c.flow.client
	}
}

// read asks for more from c if there is room for it.
func (n *Node) read(c *conn) {
	if !c.up || c.reading || c.closed || c.ended != Open || c.flow != nil && c.flow.lifting {
		return
	}
	if c.in == nil {
		c.in = ring.New(ringSize)
	}
	if into := c.in.Space(); len(into) > 0 {
		c.reading = true
		n.ask(Read{c.id, into})
	}
}

// flush writes what may go out on c: whole lines of the other side, then the node's own words, then the end.
func (n *Node) flush(c *conn) {
	if !c.up || c.writing > 0 || c.closed || c.shut {
		return
	}
	if from := c.source(); from != nil && from.ready > 0 {
		data := from.in.Front(from.ready)
		c.writing, c.fromPeer = len(data), true
		n.ask(Write{c.id, data})
		return
	}
	if len(c.own) > 0 {
		c.writing, c.fromPeer = len(c.own), false
		n.ask(Write{c.id, c.own})
		return
	}
	switch c.finish {
	case Broken:
		n.close(c, true)
	case Ended:
		// Where few descriptors are left, who has been heard and answered does not linger.
		if c.ended != Open || c.heard && n.short() {
			n.close(c, false)
			return
		}
		c.shut = true
		n.ask(CloseWrite{c.id})
		n.rest(c)
		if !n.halfOpen(c) {
			n.wait(c, lingering)
		}
	}
}

// source is the connection whose lines c passes on, also when that one is closed already.
func (c *conn) source() *conn {
	if c.flow == nil || !c.flow.established {
		return nil
	}
	return c.other()
}

// wrote takes the result of a write.
func (n *Node) wrote(c *conn, count int, failed bool) {
	from := c.source()
	peer := c.fromPeer && from != nil
	c.writing = 0
	c.passed += uint64(count)
	if peer {
		from.in.Drop(count)
		from.ready -= count
		from.scanned -= count
		n.read(from)
	} else {
		c.own = c.own[min(count, len(c.own)):]
	}
	if failed { // the read under way tells how the far side ended, and brings its last words first
		c.shut = true
		n.wait(c, failedWait)
		return
	}
	if c.role == server && len(c.own) == 0 && c.flow != nil {
		n.dispatched(c.flow)
	}
	n.flush(c)
}

// close frees a connection.
func (n *Node) close(c *conn, reset bool) {
	if c.closed {
		return
	}
	c.closed = true
	c.calm()
	n.busy(c)
	delete(n.conns, c.id)
	n.closing++
	n.ask(Close{c.id, reset})
	if c.role == client {
		n.record(c)
	}
}

// got takes what a read brought.
func (n *Node) got(c *conn, count int, end End) {
	c.reading = false
	c.in.Fill(count)
	if count > 0 && c.role != client {
		n.hosts[c.host].heard = n.now
	}
	if count > 0 && c.role == server && c.writing > 0 && len(c.own) == c.writing {
		n.dispatched(c.flow) // guards against an answer that overtakes the word that its question is written
	}
	c.ended = end
	if c.finish != Open && !n.halfOpen(c) {
		n.discard(c, count)
	} else {
		n.scan(c)
	}
	if c.closed {
		return
	}
	switch end {
	case Open:
		n.read(c)
	case Ended:
		n.farEnded(c)
	case Broken:
		n.broke(c)
	}
}

// discard drops what comes on a connection that is being ended. Its old ring may still be under a write that
// the far side never took, so what comes now goes elsewhere.
func (n *Node) discard(c *conn, count int) {
	// Guards against a client that was told to go and sends on at full speed, which keeps the loop from
	// others.
	if c.sunk += count; c.role == client && c.sunk > mostSunk {
		c.endUnasked(ClientOdd)
		n.close(c, true)
		return
	}
	c.heard = true
	if c.role == client && c.shut && n.short() {
		n.close(c, false)
		return
	}
	if !c.sink {
		c.in, c.sink, c.ready, c.scanned = ring.New(sinkSize), true, 0, 0
		return
	}
	c.in.Drop(c.in.Len())
}

// scan looks at each whole line that came. What is over-long ends the connection; what is not whole waits.
func (n *Node) scan(c *conn) {
	for !c.closed && (c.finish == Open || n.halfOpen(c)) {
		if c.role == client && c.flow != nil && !c.flow.established {
			if c.in.Room() == 0 { // guards against one who does not wait: an end of it would never be seen
				n.quit(c.flow)
				n.answer(c, []byte(line.ErrLine), ClientOdd)
			}
			return // what follows a first line waits until the flow is established
		}
		end := c.in.Find(c.scanned, '\n')
		if end < 0 {
			if c.in.Len()-c.ready >= line.Longest {
				n.overlong(c)
				return
			}
			c.scanned = c.in.Len()
			return
		}
		if end+1-c.ready > line.Longest {
			n.overlong(c)
			return
		}
		from := c.ready
		c.scanned = end + 1
		n.text = c.in.Append(n.text[:0], from, end+1)
		pass := false
		switch c.role {
		case client:
			pass = n.clientLine(c, n.text)
		case server:
			pass = n.hostLine(c, n.text)
		case probe:
			n.probeLine(c, n.text)
		}
		if c.closed {
			return
		}
		if pass {
			c.ready = end + 1
			if to := c.other(); to != nil {
				n.flush(to)
			}
			continue
		}
		if from == 0 { // nothing before it is still to be passed on
			c.in.Drop(end + 1)
			c.scanned = 0
		}
	}
}
