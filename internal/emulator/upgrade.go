package emulator

import (
	"encoding/json"
	"maps"

	"gorseledge/internal/node"
	"gorseledge/internal/settings"
)

const (
	processDelay    = 2e-4 // between two processes of one machine
	shutdownTimeout = 4.0  // from SIGTERM to the kill
)

// query puts a question to a core as the second address does, and gives the answer that comes with its effects.
func (n *nodeProcess) query(q node.Query) (a node.Reply) {
	for _, e := range n.core.Apply(n.world.startTime+n.world.Now, q) {
		if got, ok := e.(node.Reply); ok {
			a = got
			continue
		}
		n.perform(e)
	}
	return a
}

// setHostDisabled has operators take a host out, or put it back, at every node that runs. From the answer on the node is
// held to it, whatever discovery tells.
func (w *simulation) setHostDisabled(h *host, out bool) {
	for _, n := range w.processes() {
		q := node.Query{Question: node.EnableHost, Host: h.name}
		if out {
			q.Question = node.DisableHost
		}
		if a := n.query(q); !a.OK {
			continue
		}
		if _, was := n.disabledAt[h.name]; out && !was {
			n.disabledAt[h.name] = w.Now
		} else if !out {
			delete(n.disabledAt, h.name)
		}
	}
}

// processes are those that run, the old ones of upgrades included.
func (w *simulation) processes() (all []*nodeProcess) {
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
func (w *simulation) maintain(h *host, lasts float64) {
	if h.state != serving || !h.running {
		return
	}
	w.setHostDisabled(h, true)
	w.After(lasts/2, func() {
		if h.state == serving && h.running {
			h.crash()
			w.revive(h)
		}
	})
	w.After(lasts, func() { w.setHostDisabled(h, false) })
}

// transferred is what becomes of something that goes from one process to the other.
func transferred[T any](in T) (out T) {
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
func (w *simulation) upgrade(at int) {
	old := w.nodes[at]
	if !old.running || old.vanished || old.shuttingDown || old.predecessor != nil || old.successor != nil {
		return // one upgrade at a time
	}
	r, d, err := settings.Parse(w.settings, newRandom(w.seed, old.name+" anew", int(w.Now*1e3)).Uint64())
	if err != nil {
		panic(err) // the settings are made here
	}
	r.NodeNumber = old.index
	successor := &nodeProcess{machine: newMachine(old.name, old.zone), world: w, index: old.index, lastConn: old.lastConn, idleAt: w.Now, running: true,
		connections: map[node.Conn]*connection{}, notifiedAt: maps.Clone(old.notifiedAt), disabledAt: maps.Clone(old.disabledAt), knownStarts: maps.Clone(old.knownStarts), predecessor: old, watchState: watchState{startedAt: w.Now, calledAt: w.Now, relocations: old.watchState.relocations},
		unboundHosts: map[node.Conn]*connection{}}
	left := transferred(old.query(node.Query{Question: node.ClaimHandover}).Handover)
	old.successor = successor
	successor.core = node.New(w.startTime+w.Now, node.Start{Settings: r, Listener: d, MaxDescriptors: w.script.Fleet.MaxDescriptors, NotListening: true, Handover: left})
	if w.options.WrapCore != nil {
		successor.core = w.options.WrapCore(successor.core)
	}
	w.trace("%s: a new process", old.name)
	successor.deliver(node.TimerFired{})
	w.After(shutdownTimeout+1, func() {
		switch {
		case successor.tookOver && old.running: // it holds some connections to the end
			old.stop()
			old.notifyPeersOfExit()
		case !successor.tookOver && successor.running: // it never got ready
			successor.stop()
			successor.notifyPeersOfExit()
		}
	})
}

// takeOver has a successor that could serve take the clients.
func (n *nodeProcess) takeOver() {
	old := n.predecessor
	if old == nil || !old.running { // killed meanwhile: its next process has the door
		return
	}
	n.world.After(processDelay, func() {
		if !old.running || !n.running {
			return
		}
		left := transferred(old.query(node.Query{Question: node.TakeOver}).Handover)
		n.tookOver, n.world.nodes[n.index] = true, n
		n.disabledAt = maps.Clone(old.disabledAt)
		n.deliver(node.HandoverReceived{State: left})
		n.deliver(node.ListenerOpened{})
		n.world.After(processDelay, func() {
			if old.running && n.running {
				old.shuttingDown = true
				old.deliver(shutdown)
			}
		})
	})
}

// sendConnection moves an open connection to the successor: its bytes under way come there.
func (n *nodeProcess) sendConnection(e node.SendConnection) {
	successor, c, h := n.successor, n.connections[e.Conn], n.connections[e.Host]
	if successor == nil || !successor.running {
		n.deliver(node.ConnectionSent{Conn: e.Conn})
		return
	}
	parcel := transferred(e.Transfer)
	successor.lastConn += 2
	client := &connection{nodeProcess: successor, id: successor.lastConn, socket: c.socket}
	host := &connection{nodeProcess: successor, host: h.host, socket: h.socket, flow: h.flow, counted: true}
	successor.unboundHosts[client.id] = host
	h.flow = nil // it is out at the successor
	for _, p := range []*connection{client, host} {
		delete(n.machine.sockets, p.socket)
		successor.machine.sockets[p.socket] = true
		p.socket.machine, p.socket.onArrival = successor.machine, p.completeRead
	}
	c.socket, h.socket, c.sent, h.sent = nil, nil, true, true
	successor.connections[client.id] = client
	successor.deliver(node.ConnectionReceived{Conn: client.id, Transfer: parcel})
	n.deliver(node.ConnectionSent{Conn: e.Conn, OK: true})
}

// bindHostConnection gives the host's side of an adopted connection its number.
func (n *nodeProcess) bindHostConnection(e node.BindHostConnection) {
	p := n.unboundHosts[e.Client]
	delete(n.unboundHosts, e.Client)
	p.id = e.Conn
	n.connections[e.Conn] = p
}

// updatePeers brings news to the node's other processes.
func (n *nodeProcess) updatePeers(news node.HandoverUpdate) {
	news = transferred(news)
	for _, other := range []*nodeProcess{n.predecessor, n.successor} {
		if other == nil || !other.running {
			continue
		}
		n.world.After(processDelay, func() {
			if other.running {
				other.deliver(node.PeerProcessChanged{Update: news})
			}
		})
	}
}

// notifyPeersOfExit tells the other process that this one is no more.
func (n *nodeProcess) notifyPeersOfExit() {
	if n.successor != nil && n.successor.running {
		n.successor.deliver(node.PredecessorGone{})
		n.successor.predecessor = nil
	}
	if n.predecessor != nil && n.predecessor.running {
		n.predecessor.deliver(node.SuccessorGone{})
		n.predecessor.successor = nil
	}
}
