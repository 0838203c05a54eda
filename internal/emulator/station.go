package emulator

import (
	"bytes"
	"errors"

	"gorseledge/internal/discovery/endpoint"
	"gorseledge/internal/line"
	"gorseledge/internal/node"
)

// Core is what a station runs: the real node's, or a deliberately wrong one that shows that a checker fires.
type Core interface {
	Apply(now float64, in node.Input) []node.Effect
}

// station is the machine of one node: it carries out what the core asks for, each effect in its time.
type station struct {
	*machine
	w           *World
	index       int
	core        Core
	running     bool
	conns       map[node.Conn]*port
	last        node.Conn
	freeAt      float64 // when its processor is done with what came before
	calls       calls   // for the list
	timer       int
	told        map[string]float64 // when it learned that a host drains or is gone
	starts      map[string]float64 // when a host last started, as it was told
	hearing     hearing
	out         map[string]float64 // when it said yes to a host taken out by hand
	predecessor *station           // the process before this one, and the one after it, while there are two
	successor   *station
	leaving     bool                // it was asked to leave
	given       bool                // the predecessor has given its clients
	adopted     map[node.Conn]*port // host's sides of connections that the core is about to adopt, by their client's
	cpu         float64
}

// port is a core's connection.
type port struct {
	*station
	id      node.Conn
	s       *socket
	into    []byte
	host    *host
	flow    *flow
	counted bool
	passed  bool // it is the successor's
}

var errUnreached = errors.New("unreached")

// give hands an input to the core once its processor is free, and carries out what it asks for.
func (n *station) give(in node.Input) { n.giveLate(func() node.Input { return in }) }

// giveLate makes the input when the core takes it: what a core closed meanwhile is answered otherwise.
func (n *station) giveLate(make func() node.Input) {
	core := n.core
	n.freeAt = max(n.freeAt, n.w.Now) + n.w.script.Fleet.CPU
	n.cpu += n.w.script.Fleet.CPU
	n.w.At(n.freeAt, func() {
		if !n.running || n.core != core {
			return
		}
		in := make()
		if l, ok := in.(node.ListReceived); ok {
			n.learned(l.List)
		}
		for _, e := range n.core.Apply(n.w.base+n.w.Now, in) {
			n.perform(e)
		}
	})
}

// learned notes since when the node knows that a host takes nothing new.
func (n *station) learned(l endpoint.List) {
	for _, h := range l.Hosts {
		n.starts[h.Name] = h.StartedAtMS
		if h.Status == "SERVING" {
			delete(n.told, h.Name)
		} else if _, known := n.told[h.Name]; !known {
			n.told[h.Name] = n.w.Now
		}
	}
}

func (n *station) perform(e node.Effect) {
	switch e := e.(type) {
	case node.Read:
		p := n.conns[e.Conn]
		p.into = e.Into
		p.hear()
	case node.Write:
		p := n.conns[e.Conn]
		p.written(e.Data)
		size := len(e.Data)
		failed := p.s.end == reset
		if !failed {
			p.s.send(e.Data)
		}
		n.give(node.WriteDone{Conn: e.Conn, Count: size, Failed: failed})
	case node.Dial:
		n.dial(e)
	case node.CloseWrite:
		n.conns[e.Conn].s.finish()
	case node.Close:
		p := n.conns[e.Conn]
		p.released()
		if p.s != nil {
			p.s.close(e.Reset)
		}
		delete(n.conns, e.Conn)
		if p.s != nil || p.passed {
			n.give(node.Closed{Conn: e.Conn})
		} else {
			p.into = nil
		}
	case node.Watch:
		n.calls.begin(e.Beside)
		n.w.discovery.call(n, n.calls.newest(), e.Index)
	case node.StopWatch:
		n.calls.end()
		n.hearing.ended(false)
	case node.SetTimer:
		n.timer++
		turn, core := n.timer, n.core
		n.w.At(e.At-n.w.base, func() {
			if turn == n.timer && core == n.core {
				n.give(node.TimerFired{})
			}
		})
	case node.WriteLog:
		n.w.trace("%s %s", n.name, e.Line)
	case node.LogConnection:
		n.w.trace("%s ended %s %s", n.name, e.Record.Reason, e.Record.Host)
	case node.Exit:
		n.stop()
		n.parted()
	case node.StopReading:
		p := n.conns[e.Conn]
		got := node.ReadDone{Conn: p.id, Count: p.s.read(p.into)}
		p.into = nil
		n.give(got)
	case node.SendConnection:
		n.pass(e)
	case node.BindHostConnection:
		n.own(e)
	case node.UpdatePeerProcess:
		n.tell(e.Update)
	case node.OpenListener:
		n.takes()
	}
}

// hear answers a read that is under way with what has arrived.
func (p *port) hear() {
	if p.into == nil || p.s == nil || len(p.s.in) == 0 && p.s.end == going {
		return
	}
	got := node.ReadDone{Conn: p.id, Count: p.s.read(p.into)}
	if len(p.s.in) == 0 {
		got.End = [...]node.End{node.Open, node.Ended, node.Broken}[p.s.end]
	}
	p.into = nil
	p.station.give(got)
}

// accept takes a client's connection.
func (n *station) accept(s *socket, f *flow) {
	if !n.running || n.vanished {
		if !n.vanished {
			s.close(true)
		}
		return
	}
	n.last += 2
	p := &port{station: n, id: n.last, s: s}
	n.conns[p.id] = p
	f.taken = n
	s.wake = p.hear
	n.give(node.Accepted{Conn: p.id})
}

// dial opens a connection to a host: a round trip, or nothing until the time is up.
func (n *station) dial(e node.Dial) {
	p := &port{station: n, id: e.Conn, host: n.w.hostAt(e.Address)}
	n.conns[e.Conn] = p
	core := n.core
	h := p.host
	fail := func(after float64) {
		n.w.After(after, func() {
			if !n.running || core != n.core {
				return
			}
			n.giveLate(func() node.Input {
				if n.conns[e.Conn] == p {
					return node.Dialed{Conn: e.Conn, Err: errUnreached}
				}
				return node.Closed{Conn: e.Conn} // given up meanwhile
			})
		})
	}
	switch {
	case h == nil || h.vanished:
		fail(e.Timeout)
		return
	case !h.running:
		fail(2 * n.w.net.delay(n.machine, h.machine))
		return
	}
	took := 2*n.w.net.delay(n.machine, h.machine) + n.w.net.late
	if took > e.Timeout {
		fail(e.Timeout)
		return
	}
	n.w.After(took, func() {
		switch {
		case !n.running || core != n.core:
		case !h.running || h.vanished:
			fail(0)
		default:
			n.giveLate(func() node.Input {
				if n.conns[e.Conn] != p {
					return node.Closed{Conn: e.Conn}
				}
				mine, theirs := n.w.net.join(n.machine, h.machine)
				p.s = mine
				mine.wake = p.hear
				h.accept(theirs)
				return node.Dialed{Conn: e.Conn}
			})
		}
	})
}

// written looks at what a core writes to a host: a first line is a connect that may run from here on.
func (p *port) written(data []byte) {
	if p.host == nil || p.counted || !bytes.HasPrefix(data, []byte("OPEN ")) {
		return
	}
	p.counted = true
	if o, err := line.ParseOpening(data); err == nil {
		if f := p.w.flowOf(o.ID); f != nil {
			p.flow = f
			f.out++
			p.w.rules.sent(f, p.station, p.host)
		}
	}
}

func (p *port) released() {
	if p.flow != nil {
		p.flow.out--
		p.flow = nil
	}
}

// stop ends the process.
func (n *station) stop() {
	n.running = false
	for _, p := range n.conns {
		p.released()
	}
	n.conns = map[node.Conn]*port{}
	n.machine.die(bySerial)
}
