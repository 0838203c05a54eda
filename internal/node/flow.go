package node

import (
	"errors"

	"gorseledge/internal/line"
	"gorseledge/placement"
)

const (
	endWait   = 3.0  // for a host to end what its client has ended
	mostWaits = 64   // lines without an answer that are timed
	heldUp    = 0.05 // this node's own timer rang so late: what it measured meanwhile says nothing of others
)

// flow is one client's wish for a connection, from its first line on.
type flow struct {
	id           int // the module's index
	kind         int
	client, host *conn // host: of the present connect, or the last
	first        []byte
	opening      line.Opening
	carried      bool // was open at its host before this node started
	try          int  // number of the present connect, from 0
	on           int  // its host
	out          bool // a connect is out, or what it became
	sent         bool // its line is written to the last byte
	established  bool
	over         bool
	liftAt       float64
	lifting      bool      // goes over to a successor: nothing more is read
	passing      bool      // is on its way
	last         line.Word // what the host said before its end
	sentAt       float64
	setup        float64
	load         float64   // as it was told last
	waits        []float64 // when lines went to the host that had none back
}

// clientLine takes a line of a client and tells whether it is to be passed on.
func (n *Node) clientLine(c *conn, text []byte) bool {
	if f := c.flow; f != nil {
		if len(f.waits) == 0 {
			n.wait(f.host, quietAfter)
		}
		if len(f.waits) < mostWaits {
			f.waits = append(f.waits, n.now)
		}
		return true
	}
	if word, _ := line.Split(text); word == line.Ping {
		c.checked = true
		words := line.ErrLine
		if n.isReady() {
			words = line.PongLine
		}
		// Guards against one who asks hundreds of times at once, or asks and stays: neither its answers nor
		// its time may grow without bound, so lineWait goes on from the accept.
		if c.own = append(c.own, words...); len(c.own) > mostOwn {
			n.answer(c, []byte(line.ErrLine), ClientOdd)
		}
		n.flush(c)
		return false
	}
	n.open(c, text)
	return false
}

// open takes a first line: it is refused here for what is wrong with it, or a flow begins.
func (n *Node) open(c *conn, text []byte) {
	c.calm()
	n.busy(c) // whatever comes of it, nobody else takes its descriptor
	c.heard = true
	o, err := line.ParseOpening(text)
	kind, known := n.types[o.Type]
	switch {
	case errors.Is(err, line.ErrTimeout):
		n.answer(c, []byte(line.ErrLine), NoTimeout)
	case err != nil:
		n.answer(c, []byte(line.ErrLine), BadLine)
	case c.in.Len() > len(text): // a client waits for its answer
		n.answer(c, []byte(line.ErrLine), ClientOdd)
	case n.ids.stray(o):
		n.answer(c, line.BusyLine(0), SameID)
	case !known:
		n.answer(c, []byte(line.ErrLine), UnknownType)
	case !n.affords():
		n.turnAway(c, kind, NoSockets)
	case n.leaving && !n.door.PassThrough || n.late():
		n.turnAway(c, kind, ShuttingDown)
	default:
		n.begin(c, &flow{client: c, kind: kind, try: -1, opening: o, first: append([]byte(nil), text...)})
	}
}

// turnAway rejects a flow that the module never hears of.
func (n *Node) turnAway(c *conn, kind int, why Reason) {
	words := line.BusyLine(0)
	n.taken()
	n.told(kind, words)
	n.figures.Open--
	n.answer(c, words, why)
}

func (n *Node) begin(c *conn, f *flow) {
	at, listed := n.byName[f.opening.At]
	if f.opening.At != "" && (!listed || n.hosts[at].address == "") {
		n.turnAway(c, f.kind, UnknownHost)
		return
	}
	n.taken()
	c.flow = f
	n.place(f)
	a := n.arrival(f)
	if f.opening.At == "" {
		n.module.AddFlow(n.now, f.id, a)
		return
	}
	f.carried = true
	n.module.RestoreFlow(n.now, f.id, a, at)
	n.connect(f, at, f.opening.Timeout)
}

// place gives a flow its index.
func (n *Node) place(f *flow) {
	if free := len(n.free); free > 0 {
		f.id, n.free = n.free[free-1], n.free[:free-1]
		n.flows[f.id] = f
	} else {
		f.id, n.flows = len(n.flows), append(n.flows, f)
	}
	n.ids.begin(f)
}

// arrival is what the module is told of a flow. One that sits at the predecessor is the predecessor's no more.
func (n *Node) arrival(f *flow) placement.Arrival {
	tenant, known := n.tenants[f.opening.Tenant]
	if !known {
		tenant = len(n.door.Tenants) // a member without a share
	}
	a := placement.Arrival{Type: f.kind, Tenant: tenant, ClientKey: f.opening.Key, GroupKey: f.opening.Group,
		Timeout: f.opening.Timeout, Load: f.opening.Load, MidFlow: f.opening.MidFlow, Returning: f.opening.Back}
	if s := n.ids.sits[f.opening.ID]; s != nil {
		a.HeldBy = 1 + s.at
		n.leaves(s.ID)
	}
	return a
}

// answer says the last words to a client that is not established and ends its connection.
func (n *Node) answer(c *conn, words []byte, why Reason) {
	c.reason = why
	c.own = append(c.own, words...)
	c.finish = Ended
	if f := c.flow; f != nil {
		n.told(f.kind, words)
		n.gone(f)
		n.touched = append(n.touched, f.id)
	}
	n.flush(c)
}

func (n *Node) reject(f *flow, away float64) { n.answer(f.client, line.BusyLine(away), Rejected) }

func (n *Node) abort(f *flow) { n.answer(f.client, []byte(line.ErrLine), Aborted) }

// move tells an established client to come again and ends both sides. What the host said in whole lines goes
// first.
func (n *Node) move(f *flow, why Reason, how placement.Outcome) {
	if !f.established || f.over || f.passing { // what is on its way is the successor's to move
		return
	}
	n.close(f.host, false)
	f.client.own = append(f.client.own, line.MoveLine...)
	n.finished(f, Ended, why, how)
}

// finished tells the module that an established connection is over and ends the client's side in kind.
func (n *Node) finished(f *flow, end End, why Reason, how placement.Outcome) {
	n.gone(f)
	f.out = false
	n.module.AttemptEnded(n.now, f.id, f.try, how, true)
	n.touched = append(n.touched, f.id)
	c := f.client
	if c.reason == "" {
		c.reason = why
	}
	c.finish = end
	if c.closed {
		return
	}
	n.wait(c, lingering)
	n.flush(c)
}

// record writes the log line of a client's connection.
func (n *Node) record(c *conn) {
	r := Record{Reason: c.reason, Duration: n.now - c.since, BytesToClient: c.passed}
	if f := c.flow; f != nil {
		r.Type, r.Attempts, r.Setup = n.door.ServiceTypes[f.kind], f.try+1, f.setup
		if f.host != nil {
			r.Host, r.BytesFromClient = n.hosts[f.on].name, f.host.passed
		}
	}
	n.ask(LogConnection{r})
}
