package emulator

import (
	"slices"

	"gorseledge/internal/node"
)

const (
	drainTime            = 6.0 // seconds from the start of a host's drain to its removal, in faults that remove several hosts
	gracefulShutdownTime = 4.0 // seconds that a node has for a graceful shutdown until its process is killed
)

// injectors maps each kind of fault to the function that injects it.
//
// Overlapping faults of one kind add up if they are delays. The other faults that set a value for a time do not: a later one
// replaces the value of an earlier one, and the first to end resets the value for both, except for the limits of the list's
// call rate and of the session store: see timedLimit.
var injectors = map[FaultKind]func(*simulation, Fault){
	faultGrow:                injectGrow,
	faultShrink:              injectRemovals,
	faultRollingRelease:      injectRemovals,
	faultZoneLoss:            injectZoneLoss,
	faultListDelay:           injectListDelay,
	faultDiscoveryOutage:     func(s *simulation, f Fault) { s.discovery.interrupt(f.Duration) },
	faultListCallRateLimit:   injectListCallRateLimit,
	faultWatchSilence:        func(s *simulation, f Fault) { s.discovery.silenceWatches(f.Amount) },
	faultWatchReset:          func(s *simulation, f Fault) { s.discovery.resetWatches(f.Amount) },
	faultDiscoveryRelocation: func(s *simulation, f Fault) { s.discovery.relocate(f.Duration) },
	faultConnectDelay:        injectConnectDelay,
	faultEarlyDeparture:      injectEarlyDeparture,
	faultDropClients:         injectDropClients,
	faultHostSlow:            injectHostSlow,
	faultHostErrors:          injectHostErrors,
	faultHostCrash:           injectHostCrash,
	faultHostVanish:          func(s *simulation, f Fault) { s.vanish(s.faultHost(f), f.Duration) },
	faultHostDrain:           injectHostDrain,
	faultHostStall:           injectHostStall,
	faultStoreSlow:           injectStoreSlow,
	faultHostDisabled:        func(s *simulation, f Fault) { s.disableForMaintenance(s.faultHost(f), f.Duration) },
	faultNodeUpgrade:         func(s *simulation, f Fault) { s.upgrade(f.Node) },
	faultNodeKill:            func(s *simulation, f Fault) { s.kill(s.nodes[f.Node], f.Duration) },
	faultNodeRestart:         injectNodeRestart,
}

// inject writes a fault to the trace and injects it.
func (s *simulation) inject(f Fault) {
	s.trace("fault %s host %d node %d zone %d count %d for %g by %g", f.Kind, f.Host, f.Node, f.Zone, f.Count, f.Duration, f.Amount)
	if injector, known := injectors[f.Kind]; known {
		injector(s, f)
	}
}

// faultHost returns the host of a fault whose kind requires one. The index wraps around, because a generated fleet may have
// fewer hosts than the fleet of the script, against which the index was checked.
func (s *simulation) faultHost(f Fault) *host { return s.hosts[f.Host%max(len(s.hosts), 1)] }

func injectGrow(s *simulation, f Fault) {
	for range f.Count {
		s.addHost(s.Now)
	}
}

// injectRemovals drains and removes f.Count hosts one after another, with starts spread evenly over f.Duration. A rolling release
// also adds a new host at the start of each drain.
func injectRemovals(s *simulation, f Fault) {
	for i := range f.Count {
		s.After(f.Duration*float64(i)/float64(f.Count), func() {
			h := s.oldestServingHost()
			if h == nil {
				return
			}
			s.drainAndRemove(h)
			if f.Kind == faultRollingRelease {
				s.addHost(s.Now)
			}
		})
	}
}

// injectZoneLoss takes all hosts of a zone off the network, including draining ones.
func injectZoneLoss(s *simulation, f Fault) {
	for _, h := range s.hosts {
		if h.zone == f.Zone && h.state != removed {
			s.vanish(h, f.Duration)
		}
	}
}

func injectListDelay(s *simulation, f Fault) {
	s.discovery.extraDelay += f.Amount
	s.After(f.Duration, func() { s.discovery.extraDelay -= f.Amount })
}

func injectListCallRateLimit(s *simulation, f Fault) {
	s.After(f.Duration, s.discovery.callRate.change(max(f.Amount, minListCallRate)))
}

func injectConnectDelay(s *simulation, f Fault) {
	s.network.connectDelay += f.Amount
	s.After(f.Duration, func() { s.network.connectDelay -= f.Amount })
}

// injectEarlyDeparture makes a share of the new clients leave before they are answered: see scheduleDeparture.
func injectEarlyDeparture(s *simulation, f Fault) {
	s.earlyDepartureShare = min(f.Amount, 1)
	s.After(f.Duration, func() { s.earlyDepartureShare = 0 })
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
	s.After(f.Duration, func() { s.restartHost(h) })
}

// injectHostDrain drains a host for the duration of the fault and then removes it.
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
	s.After(f.Duration, s.store.callLimit.change(max(f.Amount, minStoreCallLimit)))
}

// injectNodeRestart asks a node to shut down, kills its process after gracefulShutdownTime and restarts it f.Duration later.
func injectNodeRestart(s *simulation, f Fault) {
	n := s.nodes[f.Node]
	if !n.running {
		return
	}
	n.shuttingDown = true
	n.deliver(node.Shutdown{})
	s.After(gracefulShutdownTime, func() { s.kill(n, f.Duration) })
}

// oldestServingHost returns the host that was added first among those that are serving, running and on the network, or nil if
// there is none.
func (s *simulation) oldestServingHost() *host {
	i := slices.IndexFunc(s.hosts, func(h *host) bool { return h.state == serving && h.running && !h.vanished })
	if i < 0 {
		return nil
	}
	return s.hosts[i]
}

// drainAndRemove starts to drain a host and removes it after drainTime.
func (s *simulation) drainAndRemove(h *host) {
	h.state = draining
	s.discovery.announce(h, statusDraining)
	s.After(drainTime, func() { s.remove(h) })
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

// vanish takes a host's machine off the network for duration seconds without resetting its connections, as a power failure
// does: data to and from the host are lost. Then the process crashes, which resets the old connections, and restarts.
func (s *simulation) vanish(h *host, duration float64) {
	if h.vanished || h.state == removed {
		return
	}
	h.vanished = true
	s.After(duration, func() {
		h.vanished = false
		h.crash()
		s.restartHost(h)
	})
}

// restartHost restarts a host unless it is removed, and announces its new start time in the endpoint list.
func (s *simulation) restartHost(h *host) {
	if h.state == removed {
		return
	}
	h.start()
	s.discovery.announce(h, statusServing)
}

// kill ends a node's process without a graceful shutdown. If the process is the successor in an upgrade and the predecessor is
// still running and not shutting down, the predecessor becomes the node's listening process again. Otherwise the node starts a
// new process after restartAfter seconds, unless another process has replaced the killed one by then.
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
