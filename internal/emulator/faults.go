package emulator

import (
	"maps"
	"math"
	"slices"
)

// inject has a fault happen now.
func (w *simulation) inject(f Fault) {
	w.trace("fault %s host %d node %d zone %d count %d for %g by %g", f.Kind, f.Host, f.Node, f.Zone, f.Count, f.Duration, f.Amount)
	host := func() *host { return w.hosts[f.Host%max(len(w.hosts), 1)] }
	switch f.Kind {
	case "grow":
		for range f.Count {
			w.addHost(w.Now)
		}
	case "shrink", "release":
		for i := range f.Count {
			w.After(f.Duration*float64(i)/float64(f.Count), func() {
				if h := w.oldestServingHost(); h != nil {
					w.drainAndRemove(h)
					if f.Kind == "release" {
						w.addHost(w.Now)
					}
				}
			})
		}
	case "zone_loss":
		for _, h := range w.hosts {
			if h.zone == f.Zone && h.state != removed {
				w.vanish(h, f.Duration)
			}
		}
	case "roster_late":
		w.discovery.extraDelay += f.Amount
		w.After(f.Duration, func() { w.discovery.extraDelay -= f.Amount })
	case "roster_down":
		w.discovery.interrupt(f.Duration)
	case "roster_slow":
		was := w.discovery.callRate
		w.discovery.callRate = max(f.Amount, 0.1)
		w.After(f.Duration, func() { w.discovery.callRate = was })
	case "roster_silent":
		w.discovery.silenceWatches(f.Amount)
	case "roster_reset":
		w.discovery.resetWatches(f.Amount)
	case "roster_move":
		w.discovery.relocate(f.Duration)
	case "dial_late":
		w.net.connectDelay += f.Amount
		w.After(f.Duration, func() { w.net.connectDelay -= f.Amount })
	case "leave":
		w.impatientShare = min(f.Amount, 1)
		w.After(f.Duration, func() { w.impatientShare = 0 })
	case "drop":
		for _, c := range w.clients {
			if c.established && w.random.Float64() < f.Amount {
				c.disconnect(true)
				c.reconnecting = true
				c.retryAfter(f.Duration * w.random.Float64())
			}
		}
	case "slow":
		h := host()
		h.slowdown = max(f.Amount, 1)
		w.After(f.Duration, func() { h.slowdown = 1 })
	case "errs":
		h := host()
		h.errorShare = f.Amount
		w.After(f.Duration, func() { h.errorShare = 0 })
	case "crash":
		if h := host(); h.running {
			h.crash()
			w.After(f.Duration, func() { w.revive(h) })
		}
	case "vanish":
		w.vanish(host(), f.Duration)
	case "drain":
		if h := host(); h.state == serving {
			h.state = draining
			w.discovery.announce(h, "DRAINING")
			w.After(f.Duration, func() { w.remove(h) })
		}
	case "stall":
		h := host()
		h.stalled = true
		w.After(f.Duration, func() { h.stalled = false })
	case "store_slow":
		was := w.store.callLimit
		w.store.callLimit = max(f.Amount, 0.1)
		w.After(f.Duration, func() { w.store.callLimit = was })
	case "hand":
		w.maintain(host(), f.Duration)
	case "upgrade":
		w.upgrade(f.Node)
	case "node_kill":
		w.kill(w.nodes[f.Node], f.Duration)
	case "node_restart":
		n := w.nodes[f.Node]
		if n.running {
			n.shuttingDown = true
			n.deliver(shutdown)
			w.After(4, func() { w.kill(n, f.Duration) })
		}
	}
}

// oldestServingHost is the first host that serves and has no end in sight.
func (w *simulation) oldestServingHost() *host {
	i := slices.IndexFunc(w.hosts, func(h *host) bool { return h.state == serving && h.running && !h.vanished })
	if i < 0 {
		return nil
	}
	return w.hosts[i]
}

// drainAndRemove drains a host and takes it away six seconds later.
func (w *simulation) drainAndRemove(h *host) {
	h.state = draining
	w.discovery.announce(h, "DRAINING")
	w.After(6, func() { w.remove(h) })
}

func (w *simulation) remove(h *host) {
	if h.state == removed {
		return
	}
	h.state = removed
	w.discovery.announce(h, "DELETED")
	if h.running {
		h.crash()
	}
}

// vanish has a machine vanish without a word, and come back cold.
func (w *simulation) vanish(h *host, lasts float64) {
	if h.vanished || h.state == removed {
		return
	}
	h.vanished = true
	w.After(lasts, func() {
		h.vanished = false
		h.crash()
		w.revive(h)
	})
}

// revive starts a host anew, which the list tells under a new start time.
func (w *simulation) revive(h *host) {
	if h.state == removed {
		return
	}
	h.start()
	w.discovery.announce(h, "SERVING")
}

// kill ends a node's process outright, and starts it again.
func (w *simulation) kill(n *nodeProcess, back float64) {
	if n.running {
		n.stop()
		n.notifyPeersOfExit()
	}
	if old := n.predecessor; old != nil && old.running && !old.shuttingDown { // it has the clients again
		w.nodes[n.index], n.predecessor = old, nil
		return
	}
	w.After(back, func() {
		if !n.running && w.nodes[n.index] == n {
			w.boot(n)
		}
	})
}

// drawFaults gives the faults that the seed adds to the script.
func (w *simulation) drawFaults() (out []Fault) {
	chance := newRandom(w.seed, "faults", 0)
	// Seeds from before clients left draw the same faults beside.
	names := slices.DeleteFunc(FaultKinds(), func(kind string) bool { return kind == "leave" })
	f := w.script.Fleet
	for range w.script.DrawnFaults {
		x := Fault{At: chance.Float64() * w.script.Duration, Kind: names[chance.IntN(len(names))], Duration: 1 + 9*chance.Float64(),
			Host: chance.IntN(max(f.Hosts, 1)), Node: chance.IntN(f.Nodes), Zone: chance.IntN(f.Zones),
			Count: 1 + chance.IntN(max(f.Hosts/2, 1))}
		switch x.Kind {
		case "dial_late":
			x.Amount = chance.Float64()
		case "roster_slow":
			x.Amount = float64(f.Nodes) * (0.1 + chance.Float64()) // a whole fleet's calls within one to ten seconds
		case "drop", "errs", "roster_silent", "roster_reset":
			x.Amount = 0.2 + 0.5*chance.Float64()
		case "store_slow":
			x.Amount = 1 + 20*chance.Float64()
		default:
			x.Amount = 1 + 6*chance.Float64()
		}
		if f.Hosts > 0 || !faultNeeds[x.Kind].host {
			out = append(out, x)
		}
	}
	if w.script.DrawnFaults > 0 {
		out = append(out, Fault{At: chance.Float64() * w.script.Duration, Kind: "leave", Amount: chance.Float64(), Duration: 1 + 9*chance.Float64()})
	}
	return out
}

// drawFleet gives a script whose fleet and rules come from the seed: 5 to 350 nodes and 4 to 600 hosts, small ones as often
// as large ones.
func (s Scenario) drawFleet(seed uint64) Scenario {
	chance := newRandom(seed, "settings", 0)
	between := func(least, most float64) float64 { return least + (most-least)*chance.Float64() }
	spread := func(least, most float64) int { return int(least * math.Pow(most/least, chance.Float64())) }
	s.Fleet.Nodes, s.Fleet.Hosts = spread(5, 351), spread(4, 601)
	s.Fleet.Zones = 1 + chance.IntN(4)
	s.Fleet.ListCallRate = float64(s.Fleet.Nodes) * between(0.3, 2) // all nodes' calls within half a second to three (docs/operating.md)
	s.Fleet.ListDelay = between(0.1, 3)
	s.Rules.DrainGrace, s.Rules.DialTimeout, s.Rules.PollWithin = between(0.25, 1), between(0.1, 1.5), between(5, 15)
	s.Rules.Pushed = chance.IntN(2) == 0
	kinds := slices.Sorted(maps.Keys(nodeEffects))
	s.Traffic = slices.Clone(s.Traffic)
	for i := range s.Traffic {
		t := &s.Traffic[i]
		t.Effect, t.MemorySpan = kinds[chance.IntN(len(kinds))], between(1, 8)
		t.ConnectTimeout = between(1, 4)
		t.SetupObjective = min(t.SetupObjective, t.ConnectTimeout/2)
	}
	return s
}
