package emulator

import (
	"maps"

	"gorseledge/internal/discovery/endpoint"
	"gorseledge/internal/node"
	"gorseledge/internal/settings"
)

// Core is what a simulated node runs: the core of a real node, or one that is deliberately wrong to show that the
// checker finds it. Times are Unix times in seconds.
type Core interface {
	Apply(now float64, in node.Input) []node.Effect
}

// nodeProcess is a simulated process of a node. It carries out the effects that its core asks for. While a node is
// upgraded it has two processes. Times are in seconds of the clock.
type nodeProcess struct {
	*machine
	world           *simulation
	index           int // of its node
	core            Core
	running         bool
	connections     map[node.ConnID]*connection
	lastConn        node.ConnID // the last number given to a client's connection
	idleAt          float64     // when its processor is done with all inputs so far
	listCalls       listCalls
	timerGeneration int                // of the timer that is set; older ones have no effect
	notifiedAt      map[string]float64 // when it learned that a host drains or is removed, by the host's name
	knownStarts     map[string]float64 // last start of a host that it knows, Unix time in milliseconds
	watchState      watchState
	disabledAt      map[string]float64 // when it confirmed that a host is administratively disabled
	predecessor     *nodeProcess       // nil outside an upgrade
	successor       *nodeProcess       // nil outside an upgrade
	shuttingDown    bool               // it was asked to shut down
	tookOver        bool               // it has taken the listener from its predecessor
	// unboundHosts are the host connections, by client connection, of transfers that the core is about to restore.
	unboundHosts map[node.ConnID]*connection
	cpuSeconds   float64
}

// boot starts a node's process anew, with the complete list of discovery.
func (s *simulation) boot(n *nodeProcess) {
	start := s.nodeStart(n.name, n.index)
	if s.options.AdjustSettings != nil {
		s.options.AdjustSettings(&start.Settings)
	}
	n.running = true
	n.vanished = false
	n.connections = map[node.ConnID]*connection{}
	n.notifiedAt = map[string]float64{}
	n.knownStarts = map[string]float64{}
	n.shuttingDown = false
	n.tookOver = false
	n.predecessor = nil
	n.successor = nil
	n.watchState = watchState{startedAt: s.Now, calledAt: s.Now, relocations: s.discovery.relocations}
	n.disabledAt = map[string]float64{} // a process without a predecessor knows of no disabled host
	n.lastConn |= 1
	n.timerGeneration++
	n.idleAt = s.Now
	n.listCalls.end()
	start.CachedList = s.discovery.completeList()
	s.startCore(n, start)
	n.recordList(start.CachedList)
	n.deliver(node.TimerFired{})
}

// nodeStart returns what a process of a node gets at its start. The actor names the random source of the process.
func (s *simulation) nodeStart(actor string, index int) node.Start {
	random := newRandom(s.seed, actor, int(s.Now*millisecondsPerSecond))
	nodeSettings, listener, err := settings.Parse(s.settings, random.Uint64())
	if err != nil {
		panic(err) // the settings are made by this package
	}
	nodeSettings.NodeNumber = index
	return node.Start{Settings: nodeSettings, Listener: listener, MaxDescriptors: s.script.Fleet.MaxDescriptors}
}

// startCore gives a process a new core.
func (s *simulation) startCore(n *nodeProcess, start node.Start) {
	n.core = node.New(s.startTime+s.Now, start)
	if s.options.WrapCore != nil {
		n.core = s.options.WrapCore(n.core)
	}
}

// processes returns the processes that run and have not vanished, predecessors in upgrades included.
func (s *simulation) processes() []*nodeProcess {
	var all []*nodeProcess
	for _, n := range s.nodes {
		for p := n; p != nil; p = p.predecessor {
			if p.running && !p.vanished {
				all = append(all, p)
			}
		}
	}
	return all
}

// deliver gives an input to the core once its processor is idle.
func (n *nodeProcess) deliver(in node.Input) { n.deliverLater(func() node.Input { return in }) }

// deliverLater makes an input when the processor is idle, gives it to the core and carries out the effects.
func (n *nodeProcess) deliverLater(makeInput func() node.Input) {
	core := n.core
	inputTime := n.world.script.Fleet.InputTime
	n.idleAt = max(n.idleAt, n.world.Now) + inputTime
	n.cpuSeconds += inputTime
	n.world.At(n.idleAt, func() {
		if !n.running || n.core != core {
			return
		}
		in := makeInput()
		if list, ok := in.(node.ListReceived); ok {
			n.recordList(list.List)
		}
		n.perform(n.core.Apply(n.world.startTime+n.world.Now, in))
	})
}

// query asks the core a question, as the admin address does. It returns the reply and carries out the other effects.
func (n *nodeProcess) query(q node.Query) node.Reply {
	var reply node.Reply
	for _, e := range n.core.Apply(n.world.startTime+n.world.Now, q) {
		if r, ok := e.(node.Reply); ok {
			reply = r
			continue
		}
		n.performOne(e)
	}
	return reply
}

// recordList records since when the process knows that a host drains or is removed, and when each host started.
func (n *nodeProcess) recordList(list endpoint.List) {
	for _, h := range list.Hosts {
		n.knownStarts[h.Name] = h.StartedAtMS
		if h.Status == statusServing {
			delete(n.notifiedAt, h.Name)
			continue
		}
		if _, known := n.notifiedAt[h.Name]; !known {
			n.notifiedAt[h.Name] = n.world.Now
		}
	}
}

// perform carries out effects in their order.
func (n *nodeProcess) perform(effects []node.Effect) {
	for _, e := range effects {
		n.performOne(e)
	}
}

// performOne carries out one effect.
func (n *nodeProcess) performOne(e node.Effect) {
	switch e := e.(type) {
	case node.Read:
		n.connections[e.Conn].readBuffer = e.Into
		n.connections[e.Conn].completeRead()
	case node.StopReading:
		n.connections[e.Conn].cancelRead()
	case node.Write:
		n.connections[e.Conn].write(e.Data)
	case node.Dial:
		n.dial(e)
	case node.CloseWrite:
		n.connections[e.Conn].socket.finish()
	case node.Close:
		n.closeConnection(e)
	case node.Watch:
		n.listCalls.begin(e.KeepPrevious)
		n.world.discovery.handleCall(n, n.listCalls.newest(), e.Index)
	case node.StopWatch:
		n.listCalls.end()
		n.watchState.ended(false)
	case node.SetTimer:
		n.setTimer(e.At - n.world.startTime)
	case node.WriteLog:
		n.world.trace("%s %s", n.name, e.Line)
	case node.LogConnection:
		n.world.trace("%s ended %s %s", n.name, e.Record.Reason, e.Record.Host)
	case node.Exit:
		n.stop()
		n.notifyPeersOfExit()
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

// closeConnection closes a connection. One that is still being dialed is reported as closed when its dial ends.
func (n *nodeProcess) closeConnection(e node.Close) {
	c := n.connections[e.Conn]
	c.endAttempt()
	if c.socket != nil {
		c.socket.close(e.Reset)
	}
	delete(n.connections, e.Conn)
	if c.socket != nil || c.sent {
		n.deliver(node.Closed{Conn: e.Conn})
		return
	}
	c.readBuffer = nil
}

// setTimer sets the core's only timer to a time of the clock.
func (n *nodeProcess) setTimer(at float64) {
	n.timerGeneration++
	generation, core := n.timerGeneration, n.core
	n.world.At(at, func() {
		if generation == n.timerGeneration && core == n.core {
			n.deliver(node.TimerFired{})
		}
	})
}

// accept takes a client's connection. It is reset if the process does not run, and lost if the machine has vanished.
func (n *nodeProcess) accept(s *socket, f *flow) {
	if n.vanished {
		return
	}
	if !n.running {
		s.close(true)
		return
	}
	n.lastConn += 2
	c := &connection{nodeProcess: n, id: n.lastConn, socket: s}
	n.connections[c.id] = c
	f.acceptedBy = n
	s.onArrival = c.completeRead
	n.deliver(node.Accepted{Conn: c.id})
}

// stop ends the process and resets its connections.
func (n *nodeProcess) stop() {
	n.running = false
	for _, c := range n.connections {
		c.endAttempt()
	}
	n.connections = map[node.ConnID]*connection{}
	n.machine.resetAll()
}

// cloneKnowledge copies what a predecessor knows of hosts to its successor.
func (n *nodeProcess) cloneKnowledge(from *nodeProcess) {
	n.notifiedAt = maps.Clone(from.notifiedAt)
	n.disabledAt = maps.Clone(from.disabledAt)
	n.knownStarts = maps.Clone(from.knownStarts)
}
