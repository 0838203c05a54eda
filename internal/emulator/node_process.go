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

// nodeProcess is the machine of one node: it carries out what the core asks for, each effect in its time.
type nodeProcess struct {
	*machine
	world           *simulation
	index           int
	core            Core
	running         bool
	connections     map[node.Conn]*connection
	lastConn        node.Conn
	idleAt          float64   // when its processor is done with what came before
	listCalls       listCalls // for the list
	timerGeneration int
	notifiedAt      map[string]float64 // when it learned that a host drains or is gone
	knownStarts     map[string]float64 // when a host last started, as it was told
	watchState      watchState
	disabledAt      map[string]float64 // when it said yes to a host taken out by hand
	predecessor     *nodeProcess       // the process before this one, and the one after it, while there are two
	successor       *nodeProcess
	shuttingDown    bool                      // it was asked to leave
	tookOver        bool                      // the predecessor has given its clients
	unboundHosts    map[node.Conn]*connection // host's sides of connections that the core is about to adopt, by their client's
	cpuSeconds      float64
}

// connection is a core's connection.
type connection struct {
	*nodeProcess
	id         node.Conn
	socket     *socket
	readBuffer []byte
	host       *host
	flow       *flow
	counted    bool
	sent       bool // it is the successor's
}

var errUnreached = errors.New("unreached")

// deliver hands an input to the core once its processor is free, and carries out what it asks for.
func (n *nodeProcess) deliver(in node.Input) { n.deliverLater(func() node.Input { return in }) }

// deliverLater makes the input when the core takes it: what a core closed meanwhile is answered otherwise.
func (n *nodeProcess) deliverLater(make func() node.Input) {
	core := n.core
	n.idleAt = max(n.idleAt, n.world.Now) + n.world.script.Fleet.InputTime
	n.cpuSeconds += n.world.script.Fleet.InputTime
	n.world.At(n.idleAt, func() {
		if !n.running || n.core != core {
			return
		}
		in := make()
		if l, ok := in.(node.ListReceived); ok {
			n.recordList(l.List)
		}
		for _, e := range n.core.Apply(n.world.startTime+n.world.Now, in) {
			n.perform(e)
		}
	})
}

// recordList notes since when the node knows that a host takes nothing new.
func (n *nodeProcess) recordList(l endpoint.List) {
	for _, h := range l.Hosts {
		n.knownStarts[h.Name] = h.StartedAtMS
		if h.Status == "SERVING" {
			delete(n.notifiedAt, h.Name)
		} else if _, known := n.notifiedAt[h.Name]; !known {
			n.notifiedAt[h.Name] = n.world.Now
		}
	}
}

func (n *nodeProcess) perform(e node.Effect) {
	switch e := e.(type) {
	case node.Read:
		p := n.connections[e.Conn]
		p.readBuffer = e.Into
		p.completeRead()
	case node.Write:
		p := n.connections[e.Conn]
		p.observeWrite(e.Data)
		size := len(e.Data)
		failed := p.socket.farEnd == streamReset
		if !failed {
			p.socket.send(e.Data)
		}
		n.deliver(node.WriteDone{Conn: e.Conn, Count: size, Failed: failed})
	case node.Dial:
		n.dial(e)
	case node.CloseWrite:
		n.connections[e.Conn].socket.finish()
	case node.Close:
		p := n.connections[e.Conn]
		p.endAttempt()
		if p.socket != nil {
			p.socket.close(e.Reset)
		}
		delete(n.connections, e.Conn)
		if p.socket != nil || p.sent {
			n.deliver(node.Closed{Conn: e.Conn})
		} else {
			p.readBuffer = nil
		}
	case node.Watch:
		n.listCalls.begin(e.Beside)
		n.world.discovery.handleCall(n, n.listCalls.newest(), e.Index)
	case node.StopWatch:
		n.listCalls.end()
		n.watchState.ended(false)
	case node.SetTimer:
		n.timerGeneration++
		turn, core := n.timerGeneration, n.core
		n.world.At(e.At-n.world.startTime, func() {
			if turn == n.timerGeneration && core == n.core {
				n.deliver(node.TimerFired{})
			}
		})
	case node.WriteLog:
		n.world.trace("%s %s", n.name, e.Line)
	case node.LogConnection:
		n.world.trace("%s ended %s %s", n.name, e.Record.Reason, e.Record.Host)
	case node.Exit:
		n.stop()
		n.notifyPeersOfExit()
	case node.StopReading:
		p := n.connections[e.Conn]
		got := node.ReadDone{Conn: p.id, Count: p.socket.read(p.readBuffer)}
		p.readBuffer = nil
		n.deliver(got)
	case node.SendConnection:
		n.sendConnection(e)
	case node.BindHostConnection:
		n.bindHostConnection(e)
	case node.UpdatePeerProcess:
		n.updatePeers(e.Update)
	case node.OpenListener:
		n.takeOver()
	}
}

// completeRead answers a read that is under way with what has arrived.
func (p *connection) completeRead() {
	if p.readBuffer == nil || p.socket == nil || len(p.socket.received) == 0 && p.socket.farEnd == streamOpen {
		return
	}
	got := node.ReadDone{Conn: p.id, Count: p.socket.read(p.readBuffer)}
	if len(p.socket.received) == 0 {
		got.End = [...]node.End{node.Open, node.Ended, node.Broken}[p.socket.farEnd]
	}
	p.readBuffer = nil
	p.nodeProcess.deliver(got)
}

// accept takes a client's connection.
func (n *nodeProcess) accept(s *socket, f *flow) {
	if !n.running || n.vanished {
		if !n.vanished {
			s.close(true)
		}
		return
	}
	n.lastConn += 2
	p := &connection{nodeProcess: n, id: n.lastConn, socket: s}
	n.connections[p.id] = p
	f.acceptedBy = n
	s.onArrival = p.completeRead
	n.deliver(node.Accepted{Conn: p.id})
}

// dial opens a connection to a host: a round trip, or nothing until the time is up.
func (n *nodeProcess) dial(e node.Dial) {
	p := &connection{nodeProcess: n, id: e.Conn, host: n.world.hostByAddress(e.Address)}
	n.connections[e.Conn] = p
	core := n.core
	h := p.host
	fail := func(after float64) {
		n.world.After(after, func() {
			if !n.running || core != n.core {
				return
			}
			n.deliverLater(func() node.Input {
				if n.connections[e.Conn] == p {
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
		fail(2 * n.world.net.delay(n.machine, h.machine))
		return
	}
	took := 2*n.world.net.delay(n.machine, h.machine) + n.world.net.connectDelay
	if took > e.Timeout {
		fail(e.Timeout)
		return
	}
	n.world.After(took, func() {
		switch {
		case !n.running || core != n.core:
		case !h.running || h.vanished:
			fail(0)
		default:
			n.deliverLater(func() node.Input {
				if n.connections[e.Conn] != p {
					return node.Closed{Conn: e.Conn}
				}
				mine, theirs := n.world.net.join(n.machine, h.machine)
				p.socket = mine
				mine.onArrival = p.completeRead
				h.accept(theirs)
				return node.Dialed{Conn: e.Conn}
			})
		}
	})
}

// observeWrite looks at what a core writes to a host: a first line is a connect that may run from here on.
func (p *connection) observeWrite(data []byte) {
	if p.host == nil || p.counted || !bytes.HasPrefix(data, []byte("OPEN ")) {
		return
	}
	p.counted = true
	if o, err := line.ParseOpening(data); err == nil {
		if f := p.world.flowByID(o.ID); f != nil {
			p.flow = f
			f.openAttempts++
			p.world.checker.checkAttempt(f, p.nodeProcess, p.host)
		}
	}
}

func (p *connection) endAttempt() {
	if p.flow != nil {
		p.flow.openAttempts--
		p.flow = nil
	}
}

// stop ends the process.
func (n *nodeProcess) stop() {
	n.running = false
	for _, p := range n.connections {
		p.endAttempt()
	}
	n.connections = map[node.Conn]*connection{}
	n.machine.resetAll(bySerial)
}
