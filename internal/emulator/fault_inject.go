package emulator

import (
	"slices"

	"gorseledge/internal/node"
)

const (
	removalDelay = 6.0 // seconds from the start of a host's drain to its removal
	restartDelay = 4.0 // seconds from the start of a node's graceful shutdown to its end
)

// injectors maps each kind of fault to the function that injects it.
var injectors = map[FaultKind]func(*simulation, Fault){
	faultGrow:         injectGrow,
	faultShrink:       injectRemovals,
	faultRelease:      injectRemovals,
	faultZoneLoss:     injectZoneLoss,
	faultListLate:     injectListLate,
	faultListDown:     func(s *simulation, f Fault) { s.discovery.interrupt(f.Duration) },
	faultListSlow:     injectListSlow,
	faultListSilent:   func(s *simulation, f Fault) { s.discovery.silenceWatches(f.Amount) },
	faultListReset:    func(s *simulation, f Fault) { s.discovery.resetWatches(f.Amount) },
	faultListMove:     func(s *simulation, f Fault) { s.discovery.relocate(f.Duration) },
	faultDialLate:     injectDialLate,
	faultClientsLeave: injectClientsLeave,
	faultDropClients:  injectDropClients,
	faultHostSlow:     injectHostSlow,
	faultHostErrors:   injectHostErrors,
	faultHostCrash:    injectHostCrash,
	faultHostVanish:   func(s *simulation, f Fault) { s.vanish(s.faultHost(f), f.Duration) },
	faultHostDrain:    injectHostDrain,
	faultHostStall:    injectHostStall,
	faultStoreSlow:    injectStoreSlow,
	faultHostDisabled: func(s *simulation, f Fault) { s.disableForMaintenance(s.faultHost(f), f.Duration) },
	faultNodeUpgrade:  func(s *simulation, f Fault) { s.upgrade(f.Node) },
	faultNodeKill:     func(s *simulation, f Fault) { s.kill(s.nodes[f.Node], f.Duration) },
	faultNodeRestart:  injectNodeRestart,
}

// inject injects a fault now.
func (s *simulation) inject(f Fault) {
	s.trace("fault %s host %d node %d zone %d count %d for %g by %g", f.Kind, f.Host, f.Node, f.Zone, f.Count, f.Duration, f.Amount)
	if injector, known := injectors[f.Kind]; known {
		injector(s, f)
	}
}

// faultHost returns the host of a fault whose kind requires one.
func (s *simulation) faultHost(f Fault) *host { return s.hosts[f.Host%max(len(s.hosts), 1)] }

func injectGrow(s *simulation, f Fault) {
	for range f.Count {
		s.addHost(s.Now)
	}
}

// injectRemovals drains and removes hosts one after another. A release adds a new host for each of them.
func injectRemovals(s *simulation, f Fault) {
	for i := range f.Count {
		s.After(f.Duration*float64(i)/float64(f.Count), func() {
			h := s.oldestServingHost()
			if h == nil {
				return
			}
			s.drainAndRemove(h)
			if f.Kind == faultRelease {
				s.addHost(s.Now)
			}
		})
	}
}

func injectZoneLoss(s *simulation, f Fault) {
	for _, h := range s.hosts {
		if h.zone == f.Zone && h.state != removed {
			s.vanish(h, f.Duration)
		}
	}
}

func injectListLate(s *simulation, f Fault) {
	s.discovery.extraDelay += f.Amount
	s.After(f.Duration, func() { s.discovery.extraDelay -= f.Amount })
}

func injectListSlow(s *simulation, f Fault) {
	previous := s.discovery.callRate
	s.discovery.callRate = max(f.Amount, minListCallRate)
	s.After(f.Duration, func() { s.discovery.callRate = previous })
}

func injectDialLate(s *simulation, f Fault) {
	s.network.connectDelay += f.Amount
	s.After(f.Duration, func() { s.network.connectDelay -= f.Amount })
}

func injectClientsLeave(s *simulation, f Fault) {
	s.impatientShare = min(f.Amount, 1)
	s.After(f.Duration, func() { s.impatientShare = 0 })
}

func injectDropClients(s *simulation, f Fault) {
	for _, c := range s.clients {
		if c.established && s.random.Float64() < f.Amount {
			c.disconnect(true)
			c.reconnecting = true
			c.retryAfter(f.Duration * s.random.Float64())
		}
	}
}

func injectHostSlow(s *simulation, f Fault) {
	h := s.faultHost(f)
	h.slowdown = max(f.Amount, 1)
	s.After(f.Duration, func() { h.slowdown = 1 })
}

func injectHostErrors(s *simulation, f Fault) {
	h := s.faultHost(f)
	h.errorShare = f.Amount
	s.After(f.Duration, func() { h.errorShare = 0 })
}

func injectHostCrash(s *simulation, f Fault) {
	h := s.faultHost(f)
	if !h.running {
		return
	}
	h.crash()
	s.After(f.Duration, func() { s.revive(h) })
}

func injectHostDrain(s *simulation, f Fault) {
	h := s.faultHost(f)
	if h.state != serving {
		return
	}
	h.state = draining
	s.discovery.announce(h, statusDraining)
	s.After(f.Duration, func() { s.remove(h) })
}

func injectHostStall(s *simulation, f Fault) {
	h := s.faultHost(f)
	h.stalled = true
	s.After(f.Duration, func() { h.stalled = false })
}

func injectStoreSlow(s *simulation, f Fault) {
	previous := s.store.callLimit
	s.store.callLimit = max(f.Amount, minStoreCallLimit)
	s.After(f.Duration, func() { s.store.callLimit = previous })
}

func injectNodeRestart(s *simulation, f Fault) {
	n := s.nodes[f.Node]
	if !n.running {
		return
	}
	n.shuttingDown = true
	n.deliver(node.Shutdown{})
	s.After(restartDelay, func() { s.kill(n, f.Duration) })
}

// oldestServingHost returns the first host that serves and runs, or nil.
func (s *simulation) oldestServingHost() *host {
	i := slices.IndexFunc(s.hosts, func(h *host) bool { return h.state == serving && h.running && !h.vanished })
	if i < 0 {
		return nil
	}
	return s.hosts[i]
}

// drainAndRemove starts to drain a host and removes it after the removal delay.
func (s *simulation) drainAndRemove(h *host) {
	h.state = draining
	s.discovery.announce(h, statusDraining)
	s.After(removalDelay, func() { s.remove(h) })
}

// remove deletes a host from the endpoint list and ends its process. It has no effect on a removed host.
func (s *simulation) remove(h *host) {
	if h.state == removed {
		return
	}
	h.state = removed
	s.discovery.announce(h, statusDeleted)
	if h.running {
		h.crash()
	}
}

// vanish takes a host's machine off the network for the given seconds, without resetting its connections. The host then
// restarts.
func (s *simulation) vanish(h *host, duration float64) {
	if h.vanished || h.state == removed {
		return
	}
	h.vanished = true
	s.After(duration, func() {
		h.vanished = false
		h.crash()
		s.revive(h)
	})
}

// revive restarts a host unless it is removed, and announces its new start time in the endpoint list.
func (s *simulation) revive(h *host) {
	if h.state == removed {
		return
	}
	h.start()
	s.discovery.announce(h, statusServing)
}

// kill ends a node's process without a shutdown and restarts it after the given seconds. If its predecessor in an upgrade
// still runs and is not shutting down, the predecessor listens again instead, and no process is started.
func (s *simulation) kill(n *nodeProcess, restartAfter float64) {
	if n.running {
		n.stop()
		n.notifyPeersOfExit()
	}
	if old := n.predecessor; old != nil && old.running && !old.shuttingDown {
		s.nodes[n.index] = old
		n.predecessor = nil
		return
	}
	s.After(restartAfter, func() {
		if !n.running && s.nodes[n.index] == n {
			s.boot(n)
		}
	})
}
