package emulator

import (
	"maps"
	"math"
	"slices"
)

// befall has a fault happen now.
func (w *World) befall(f Fault) {
	w.trace("fault %s host %d node %d zone %d count %d for %g by %g", f.Kind, f.Host, f.Node, f.Zone, f.Count, f.For, f.By)
	host := func() *host { return w.hosts[f.Host%max(len(w.hosts), 1)] }
	switch f.Kind {
	case "grow":
		for range f.Count {
			w.addHost(w.Now)
		}
	case "shrink", "release":
		for i := range f.Count {
			w.After(f.For*float64(i)/float64(f.Count), func() {
				if h := w.oldest(); h != nil {
					w.retire(h)
					if f.Kind == "release" {
						w.addHost(w.Now)
					}
				}
			})
		}
	case "zone_loss":
		for _, h := range w.hosts {
			if h.zone == f.Zone && h.state != gone {
				w.lose(h, f.For)
			}
		}
	case "roster_late":
		w.discovery.late += f.By
		w.After(f.For, func() { w.discovery.late -= f.By })
	case "roster_down":
		w.discovery.fall(f.For)
	case "roster_slow":
		was := w.discovery.calls
		w.discovery.calls = max(f.By, 0.1)
		w.After(f.For, func() { w.discovery.calls = was })
	case "roster_silent":
		w.discovery.hush(f.By)
	case "roster_reset":
		w.discovery.cut(f.By)
	case "roster_move":
		w.discovery.move(f.For)
	case "dial_late":
		w.net.late += f.By
		w.After(f.For, func() { w.net.late -= f.By })
	case "leave":
		w.impatient = min(f.By, 1)
		w.After(f.For, func() { w.impatient = 0 })
	case "drop":
		for _, c := range w.clients {
			if c.up && w.chance.Float64() < f.By {
				c.quit(true)
				c.back = true
				c.again(f.For * w.chance.Float64())
			}
		}
	case "slow":
		h := host()
		h.slow = max(f.By, 1)
		w.After(f.For, func() { h.slow = 1 })
	case "errs":
		h := host()
		h.errs = f.By
		w.After(f.For, func() { h.errs = 0 })
	case "crash":
		if h := host(); h.running {
			h.crash()
			w.After(f.For, func() { w.revive(h) })
		}
	case "vanish":
		w.lose(host(), f.For)
	case "drain":
		if h := host(); h.state == serving {
			h.state = draining
			w.discovery.tell(h, "DRAINING")
			w.After(f.For, func() { w.remove(h) })
		}
	case "stall":
		h := host()
		h.stalled = true
		w.After(f.For, func() { h.stalled = false })
	case "store_slow":
		was := w.store.bears
		w.store.bears = max(f.By, 0.1)
		w.After(f.For, func() { w.store.bears = was })
	case "hand":
		w.maintain(host(), f.For)
	case "upgrade":
		w.upgrade(f.Node)
	case "node_kill":
		w.kill(w.nodes[f.Node], f.For)
	case "node_restart":
		n := w.nodes[f.Node]
		if n.running {
			n.leaving = true
			n.give(leave)
			w.After(4, func() { w.kill(n, f.For) })
		}
	}
}

// oldest is the first host that serves and has no end in sight.
func (w *World) oldest() *host {
	i := slices.IndexFunc(w.hosts, func(h *host) bool { return h.state == serving && h.running && !h.vanished })
	if i < 0 {
		return nil
	}
	return w.hosts[i]
}

// retire drains a host and takes it away six seconds later.
func (w *World) retire(h *host) {
	h.state = draining
	w.discovery.tell(h, "DRAINING")
	w.After(6, func() { w.remove(h) })
}

func (w *World) remove(h *host) {
	if h.state == gone {
		return
	}
	h.state = gone
	w.discovery.tell(h, "DELETED")
	if h.running {
		h.crash()
	}
}

// lose has a machine vanish without a word, and come back cold.
func (w *World) lose(h *host, lasts float64) {
	if h.vanished || h.state == gone {
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
func (w *World) revive(h *host) {
	if h.state == gone {
		return
	}
	h.start()
	w.discovery.tell(h, "SERVING")
}

// kill ends a node's process outright, and starts it again.
func (w *World) kill(n *station, back float64) {
	if n.running {
		n.stop()
		n.parted()
	}
	if old := n.predecessor; old != nil && old.running && !old.leaving { // it has the clients again
		w.nodes[n.index], n.predecessor = old, nil
		return
	}
	w.After(back, func() {
		if !n.running && w.nodes[n.index] == n {
			w.boot(n)
		}
	})
}

// drawn gives the faults that the seed adds to the script.
func (w *World) drawn() (out []Fault) {
	chance := fork(w.seed, "faults", 0)
	// Seeds from before clients left draw the same faults beside.
	names := slices.DeleteFunc(Kinds(), func(kind string) bool { return kind == "leave" })
	f := w.script.Fleet
	for range w.script.Drawn {
		x := Fault{At: chance.Float64() * w.script.Lasts, Kind: names[chance.IntN(len(names))], For: 1 + 9*chance.Float64(),
			Host: chance.IntN(max(f.Hosts, 1)), Node: chance.IntN(f.Nodes), Zone: chance.IntN(f.Zones),
			Count: 1 + chance.IntN(max(f.Hosts/2, 1))}
		switch x.Kind {
		case "dial_late":
			x.By = chance.Float64()
		case "roster_slow":
			x.By = float64(f.Nodes) * (0.1 + chance.Float64()) // a whole fleet's calls within one to ten seconds
		case "drop", "errs", "roster_silent", "roster_reset":
			x.By = 0.2 + 0.5*chance.Float64()
		case "store_slow":
			x.By = 1 + 20*chance.Float64()
		default:
			x.By = 1 + 6*chance.Float64()
		}
		if f.Hosts > 0 || !kinds[x.Kind].host {
			out = append(out, x)
		}
	}
	if w.script.Drawn > 0 {
		out = append(out, Fault{At: chance.Float64() * w.script.Lasts, Kind: "leave", By: chance.Float64(), For: 1 + 9*chance.Float64()})
	}
	return out
}

// draw gives a script whose fleet and rules come from the seed: 5 to 350 nodes and 4 to 600 hosts, small ones as often
// as large ones.
func (s Scenario) draw(seed uint64) Scenario {
	chance := fork(seed, "settings", 0)
	between := func(least, most float64) float64 { return least + (most-least)*chance.Float64() }
	spread := func(least, most float64) int { return int(least * math.Pow(most/least, chance.Float64())) }
	s.Fleet.Nodes, s.Fleet.Hosts = spread(5, 351), spread(4, 601)
	s.Fleet.Zones = 1 + chance.IntN(4)
	s.Fleet.Calls = float64(s.Fleet.Nodes) * between(0.3, 2) // all nodes' calls within half a second to three (docs/operating.md)
	s.Fleet.Roster = between(0.1, 3)
	s.Rules.Grace, s.Rules.DialTimeout, s.Rules.AskWithin = between(0.25, 1), between(0.1, 1.5), between(5, 15)
	s.Rules.Pushed = chance.IntN(2) == 0
	kinds := slices.Sorted(maps.Keys(effects))
	s.Traffic = slices.Clone(s.Traffic)
	for i := range s.Traffic {
		t := &s.Traffic[i]
		t.Effect, t.Span = kinds[chance.IntN(len(kinds))], between(1, 8)
		t.Timeout = between(1, 4)
		t.Target = min(t.Target, t.Timeout/2)
	}
	return s
}
