package node

import (
	"gorseledge/internal/line"
	"gorseledge/placement"
)

// A load below this share of a core is a delay: a message that takes seconds. Measured: of what is told to
// several connections at once, nearly all lies below, of what is told to one a fiftieth.
const leastLoad = 2e-3

// connect sends a flow's first line to a host.
func (n *Node) connect(f *flow, at int, within float64) {
	f.try++
	f.on, f.out, f.sent, f.sentAt = at, true, false, n.now
	if !n.affords() {
		n.connectOver(f, placement.NotSent)
		return
	}
	f.host = n.dial(server, at, f.opening.Within(f.first, within), within, f.client.id)
	f.host.flow = f
}

// words that a host may answer with, and what each says of the connect.
var answers = map[line.Word]placement.Outcome{
	line.Bye:  placement.Served,
	line.Move: placement.Canceled,
	line.Err:  placement.Failed,
	line.Busy: placement.Rejected,
}

// outcome of a connect that a host answered with something other than its receipt; what is not known may have
// run.
func outcome(word line.Word) placement.Outcome {
	if how, ok := answers[word]; ok {
		return how
	}
	return placement.Failed
}

// broken is the outcome of a connect that broke, ended or was never answered: whether it may have run turns
// on whether the last byte of its line was written.
func broken(sent, silent bool) placement.Outcome {
	switch {
	case !sent:
		return placement.ConnectFailed
	case silent:
		return placement.TimedOut
	}
	return placement.ConnectionLost
}

// connectOver tells the module how a connect ended that did not become a connection.
func (n *Node) connectOver(f *flow, how placement.Outcome) {
	if f.host != nil {
		n.close(f.host, false)
	}
	f.out = false
	if f.carried {
		n.module.AttemptEnded(n.now, f.id, f.try, how, true)
		if how.NeverRan() {
			n.answer(f.client, line.BusyLine(0), NotRestored)
		} else {
			n.answer(f.client, []byte(line.ErrLine), NotRestored)
		}
		return
	}
	n.module.AttemptEnded(n.now, f.id, f.try, how, how == placement.Served)
	n.touched = append(n.touched, f.id)
	if how == placement.Served { // it ran to its end before it was up: nothing of it can be passed on
		n.answer(f.client, []byte(line.ErrLine), Served)
	}
}

// hostLine takes a line of a host and tells whether it is to be passed on.
func (n *Node) hostLine(c *conn, text []byte) bool {
	f := c.flow
	word, rest := line.Split(text)
	if !f.established {
		if word != line.Up {
			n.connectOver(f, outcome(word))
			return false
		}
		c.calm()
		f.established, f.setup = true, n.now-f.client.since
		n.settled(&n.figures.Types[f.kind].Established)
		n.tellSuccessor(HandoverUpdate{Established: n.sitting(f)})
		if !f.carried {
			n.module.Established(f.id, f.try)
		}
		n.scan(f.client)
		if n.given {
			n.lift(f)
		}
		return true
	}
	switch word {
	case line.Load:
		if x, ok := line.LoadOf(rest); ok {
			n.note(f, x)
		}
	case line.Bye, line.Move:
		f.last = word
		n.wait(c, lingering)
	default:
		n.lineBack(f)
	}
	return true
}

// note takes what a host tells of a connection: its load or, where the settings say that delays are told too,
// how long a message takes there, in thousandths in place of millionths of a second. Both come under one
// word. Guards against the delay of a jammed host, told to all its connections at once, being taken for a
// load of next to nothing: the host that served nobody looked empty.
func (n *Node) note(f *flow, x float64) {
	if n.door.ReportsDelay && (!n.door.ReportsLoad || x < leastLoad && f.load >= x || x < leastLoad/2) {
		n.module.ReportDelay(n.now, f.id, x*1e3)
		return
	}
	f.load = x
	n.module.ReportLoad(f.id, x)
}

// lineBack measures how long a message took.
func (n *Node) lineBack(f *flow) {
	if len(f.waits) == 0 {
		return
	}
	if delay, known := n.took(f.waits[0]); known {
		n.module.ReportDelay(n.now, f.id, delay)
	}
	f.waits = append(f.waits[:0], f.waits[1:]...)
	if f.last != line.Other || f.host.finish != Open {
		return
	}
	f.host.calm()
	f.host.doubted = false
	if len(f.waits) > 0 {
		n.wait(f.host, max(f.waits[0]+quietAfter-n.now, 0))
	}
}

// endUnasked gives the reason for a connection that ends before it asked for anything.
func (c *conn) endUnasked(why Reason) {
	if c.reason == "" {
		c.reason = why
		if c.checked {
			c.reason = Checked
		}
	}
}

func (n *Node) dialedUp(c *conn, err error, own bool) {
	if err != nil {
		n.descriptors-- // it never had one, or has it no more: its close frees none
		n.closing--
		switch {
		case !own:
			n.broke(c)
		case c.role == probe:
			n.probed(c, placement.NotSent, untold)
		default: // guards against sound hosts being set aside when the node itself runs out
			n.connectOver(c.flow, placement.NotSent)
		}
		return
	}
	c.up = true
	n.flush(c)
	n.read(c)
}

// halfOpen tells whether c's client has ended its sending while the host may still speak.
func (n *Node) halfOpen(c *conn) bool { return c.role == server && c.finish == Ended && !c.flow.over }

// farEnded takes the good end of the far side's sending and ends the other side in the same way.
func (n *Node) farEnded(c *conn) {
	f := c.flow
	switch {
	case c.role == probe:
		n.broke(c)
	case c.role == client && (f == nil || f.over):
		c.endUnasked(NoLine)
		if c.finish == Open {
			c.finish = Ended
		}
		n.flush(c)
		if c.shut { // all was said before
			n.close(c, false)
		}
	case c.role == client && !f.established:
		n.left(f)
	case c.role == client:
		c.reason = ClientEnded
		f.host.finish = Ended
		n.wait(f.host, endWait)
		n.flush(f.host)
	case !f.established:
		n.connectOver(f, broken(f.sent, false))
	default:
		n.hostEnded(f)
	}
}

// hostEnded ends a flow whose host has ended it; its last words go to the client first.
func (n *Node) hostEnded(f *flow) {
	n.close(f.host, false)
	switch {
	case f.last == line.Bye:
		n.finished(f, Ended, Served, placement.Served)
	case f.last == line.Move:
		n.finished(f, Ended, SentAway, placement.Canceled)
	case f.client.reason == ClientEnded:
		n.finished(f, Ended, ClientEnded, placement.Canceled)
	default:
		// Guards against a stream that ends in good order being taken for a jam, for which others were moved
		// off: a host that sheds, or dies, breaks what it drops.
		n.finished(f, Ended, HostEnded, placement.Canceled)
	}
}

// departed takes a client that is seen to have gone although not all that it sent is read. Guards against connects,
// first or further, for one that left while this node was busy or had more of it to read.
func (n *Node) departed(c *conn) {
	if c.flow != nil && !c.flow.established && c.finish == Open {
		n.left(c.flow)
	}
}

// left takes a client that does not wait for its answer.
func (n *Node) left(f *flow) {
	n.quit(f)
	n.settled(&n.figures.Types[f.kind].ClientLeft)
	f.client.reason = ClientLeft
	n.close(f.client, false)
}

// quit calls off what goes on for a flow that is not established.
func (n *Node) quit(f *flow) {
	n.gone(f)
	n.module.ClientLeft(f.id)
	if f.out {
		f.out = false
		n.close(f.host, false)
		n.module.AttemptEnded(n.now, f.id, f.try, placement.Canceled, true)
	}
	n.touched = append(n.touched, f.id)
}

// broke takes a connection that broke, or never came up.
func (n *Node) broke(c *conn) {
	f := c.flow
	c.ended = Broken
	switch {
	case c.role == probe:
		n.probed(c, broken(c.up && len(c.own) == 0, false), untold)
	case c.role == client && (f == nil || f.over):
		c.endUnasked(ClientReset)
		n.close(c, false)
	case c.role == client && !f.established:
		n.left(f)
	case c.role == client:
		c.reason = ClientReset
		n.close(f.host, true)
		n.close(c, false)
		n.finished(f, Broken, ClientReset, placement.Canceled)
	case !f.established:
		n.connectOver(f, broken(f.sent, false))
	default:
		n.close(c, false)
		n.finished(f, Broken, HostReset, placement.ConnectionLost)
	}
}

// overdue looks at a connection that waited long enough.
func (n *Node) overdue(c *conn) {
	f := c.flow
	switch {
	case c.role == probe:
		n.probed(c, broken(c.up && len(c.own) == 0, true), untold)
	case c.role == client && f != nil && f.established && !f.over:
		n.broke(c) // what was written to it failed
	case c.role == client && f == nil && c.finish == Open && !c.shut:
		n.dismiss(c, NoLine)
	case c.role == client:
		c.endUnasked(NoLine)
		n.close(c, false)
	case !f.established:
		n.connectOver(f, broken(f.sent, true))
	case f.last != line.Other || c.finish != Open:
		n.hostEnded(f) // it said so, or its client did: the end itself is late
	case c.shut:
		n.broke(c)
	case len(f.waits) > 0 && c.in.Room() > 0:
		n.silent(c)
	}
}

// overlong ends what a too long line came on.
func (n *Node) overlong(c *conn) {
	f := c.flow
	switch {
	case c.role == probe:
		n.probed(c, placement.Failed, untold)
	case f == nil:
		n.answer(c, []byte(line.ErrLine), ClientOdd)
	case c.role == server && !f.established:
		n.connectOver(f, placement.Failed)
	case c.role == server:
		n.close(c, true)
		n.finished(f, Ended, HostOdd, placement.ConnectionLost)
	default:
		n.close(f.host, true)
		n.finished(f, Ended, ClientOdd, placement.Canceled)
	}
}
