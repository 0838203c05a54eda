package emulator

import (
	"encoding/json"
	"maps"

	"gorseledge/internal/node"
	"gorseledge/internal/settings"
)

const (
	handDelay = 2e-4 // between two processes of one machine
	lastCall  = 4.0  // from SIGTERM to the kill
)

// ask puts a question to a core as the second address does, and gives the answer that comes with its effects.
func (n *station) ask(q node.Query) (a node.Reply) {
	for _, e := range n.core.Apply(n.w.base+n.w.Now, q) {
		if got, ok := e.(node.Reply); ok {
			a = got
			continue
		}
		n.perform(e)
	}
	return a
}

// byHand has operators take a host out, or put it back, at every node that runs. From the answer on the node is
// held to it, whatever discovery tells.
func (w *World) byHand(h *host, out bool) {
	for _, n := range w.processes() {
		q := node.Query{Question: node.EnableHost, Host: h.name}
		if out {
			q.Question = node.DisableHost
		}
		if a := n.ask(q); !a.OK {
			continue
		}
		if _, was := n.out[h.name]; out && !was {
			n.out[h.name] = w.Now
		} else if !out {
			delete(n.out, h.name)
		}
	}
}

// processes are those that run, the old ones of upgrades included.
func (w *World) processes() (all []*station) {
	for _, n := range w.nodes {
		for p := n; p != nil; p = p.predecessor {
			if p.running && !p.vanished {
				all = append(all, p)
			}
		}
	}
	return all
}

// maintain has a host taken out by hand, restarted in the middle of that, and put back.
func (w *World) maintain(h *host, lasts float64) {
	if h.state != serving || !h.running {
		return
	}
	w.byHand(h, true)
	w.After(lasts/2, func() {
		if h.state == serving && h.running {
			h.crash()
			w.revive(h)
		}
	})
	w.After(lasts, func() { w.byHand(h, false) })
}

// crossed is what becomes of something that goes from one process to the other.
func crossed[T any](in T) (out T) {
	text, err := json.Marshal(in)
	if err == nil {
		err = json.Unmarshal(text, &out)
	}
	if err != nil {
		panic(err) // both ends are made here
	}
	return out
}

// upgrade starts a node's program again beside the old process, which is asked to leave once the new one is ready.
func (w *World) upgrade(at int) {
	old := w.nodes[at]
	if !old.running || old.vanished || old.leaving || old.predecessor != nil || old.successor != nil {
		return // one upgrade at a time
	}
	r, d, err := settings.Parse(w.settings, fork(w.seed, old.name+" anew", int(w.Now*1e3)).Uint64())
	if err != nil {
		panic(err) // the settings are made here
	}
	r.NodeNumber = old.index
	successor := &station{machine: newMachine(old.name, old.zone), w: w, index: old.index, last: old.last, freeAt: w.Now, running: true,
		conns: map[node.Conn]*port{}, told: maps.Clone(old.told), out: maps.Clone(old.out), starts: maps.Clone(old.starts), predecessor: old, hearing: hearing{bootAt: w.Now, calledAt: w.Now, numbered: old.hearing.numbered},
		adopted: map[node.Conn]*port{}}
	left := crossed(old.ask(node.Query{Question: node.ClaimHandover}).Handover)
	old.successor = successor
	successor.core = node.New(w.base+w.Now, node.Start{Settings: r, Listener: d, MaxDescriptors: w.script.Fleet.Sockets, NotListening: true, Handover: left})
	if w.options.Wrong != nil {
		successor.core = w.options.Wrong(successor.core)
	}
	w.trace("%s: a new process", old.name)
	successor.give(node.TimerFired{})
	w.After(lastCall+1, func() {
		switch {
		case successor.given && old.running: // it holds some connections to the end
			old.stop()
			old.parted()
		case !successor.given && successor.running: // it never got ready
			successor.stop()
			successor.parted()
		}
	})
}

// takes has a successor that could serve take the clients.
func (n *station) takes() {
	old := n.predecessor
	if old == nil || !old.running { // killed meanwhile: its next process has the door
		return
	}
	n.w.After(handDelay, func() {
		if !old.running || !n.running {
			return
		}
		left := crossed(old.ask(node.Query{Question: node.TakeOver}).Handover)
		n.given, n.w.nodes[n.index] = true, n
		n.out = maps.Clone(old.out)
		n.give(node.HandoverReceived{State: left})
		n.give(node.ListenerOpened{})
		n.w.After(handDelay, func() {
			if old.running && n.running {
				old.leaving = true
				old.give(leave)
			}
		})
	})
}

// pass moves an open connection to the successor: its bytes under way come there.
func (n *station) pass(e node.SendConnection) {
	successor, c, h := n.successor, n.conns[e.Conn], n.conns[e.Host]
	if successor == nil || !successor.running {
		n.give(node.ConnectionSent{Conn: e.Conn})
		return
	}
	parcel := crossed(e.Transfer)
	successor.last += 2
	client := &port{station: successor, id: successor.last, s: c.s}
	host := &port{station: successor, host: h.host, s: h.s, flow: h.flow, counted: true}
	successor.adopted[client.id] = host
	h.flow = nil // it is out at the successor
	for _, p := range []*port{client, host} {
		delete(n.machine.sockets, p.s)
		successor.machine.sockets[p.s] = true
		p.s.on, p.s.wake = successor.machine, p.hear
	}
	c.s, h.s, c.passed, h.passed = nil, nil, true, true
	successor.conns[client.id] = client
	successor.give(node.ConnectionReceived{Conn: client.id, Transfer: parcel})
	n.give(node.ConnectionSent{Conn: e.Conn, OK: true})
}

// own gives the host's side of an adopted connection its number.
func (n *station) own(e node.BindHostConnection) {
	p := n.adopted[e.Client]
	delete(n.adopted, e.Client)
	p.id = e.Conn
	n.conns[e.Conn] = p
}

// tell brings news to the node's other processes.
func (n *station) tell(news node.HandoverUpdate) {
	news = crossed(news)
	for _, other := range []*station{n.predecessor, n.successor} {
		if other == nil || !other.running {
			continue
		}
		n.w.After(handDelay, func() {
			if other.running {
				other.give(node.PeerProcessChanged{Update: news})
			}
		})
	}
}

// parted tells the other process that this one is no more.
func (n *station) parted() {
	if n.successor != nil && n.successor.running {
		n.successor.give(node.PredecessorGone{})
		n.successor.predecessor = nil
	}
	if n.predecessor != nil && n.predecessor.running {
		n.predecessor.give(node.SuccessorGone{})
		n.predecessor.successor = nil
	}
}
