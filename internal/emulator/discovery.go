package emulator

import (
	"math/rand/v2"
	"slices"

	"gorseledge/internal/discovery/endpoint"
	"gorseledge/internal/node"
)

const (
	maxCallWait       = 3.0  // seconds; a call that would wait longer for its answer fails
	heartbeatInterval = 2.0  // seconds between heartbeats of a watch
	callDelay         = 1e-3 // seconds until a call is answered that does not queue
	deliveryDelay     = 1e-3 // seconds that a list takes from discovery to a node
)

// The statuses of hosts in endpoint lists.
const (
	statusServing  = "SERVING"
	statusDraining = "DRAINING"
	statusDeleted  = "DELETED"
)

// The reasons with which calls and watches fail, as they are reported to a node.
const (
	failureUnavailable = "status 503"
	failureReset       = "reset"
)

// discovery is the simulated discovery service. Changes get into its endpoint list after a delay, and it answers calls one
// after another at a limited rate.
type discovery struct {
	sim             *simulation
	index           int64 // index of the last change
	changes         []listChange
	idleAt          float64    // time at which all calls so far are answered
	extraDelay      float64    // seconds that faults add to the script's delay
	callRate        timedLimit // calls that it answers a second
	down            bool
	availableSince  float64     // time at which it last became available
	relocations     int         // how often nodes were redirected to another discovery service
	watches         []listWatch // established watches; some may have ended
	deferredAnswers []func()    // answers to calls of agents, sent once discovery is available again
	random          *rand.Rand
}

// listChange is a change of the endpoint list.
type listChange struct {
	index int64
	host  endpoint.Host
}

// listWatch is a call of a process for the endpoint list, and the watch that the answered call becomes.
type listWatch struct {
	process *nodeProcess
	core    Core
	call    int // number of the call, counted from 1 in each process
}

// listCalls are the calls of a process for the endpoint list that are in flight, by number. One of them may be a watch.
type listCalls struct {
	open         []int // oldest first
	count        int   // calls made so far
	silencedUpTo int   // calls up to this number deliver nothing more
}

// newest returns the number of the last call.
func (c *listCalls) newest() int { return c.count }

// begin records a new call. It replaces all earlier ones, or waits beside them; then the second oldest ends if there are too
// many.
func (c *listCalls) begin(keepPrevious bool) {
	c.count++
	if !keepPrevious {
		c.open = nil
	}
	if len(c.open) >= node.MaxWaitingCalls {
		c.open = slices.Delete(c.open, 1, 2)
	}
	c.open = append(c.open, c.count)
}

// end discards all open calls.
func (c *listCalls) end() { c.open = nil }

// fail discards one call and reports whether no other is open.
func (c *listCalls) fail(call int) bool {
	c.open = slices.DeleteFunc(c.open, func(other int) bool { return other == call })
	return len(c.open) == 0
}

// current reports whether the call or watch is still open in the process that made it, and is not silenced.
func (w listWatch) current() bool {
	calls := &w.process.listCalls
	sameProcess := w.process.running && w.process.core == w.core
	return sameProcess && slices.Contains(calls.open, w.call) && w.call > calls.silencedUpTo
}

// entry returns the entry of a host in the endpoint list.
func (s *simulation) entry(h *host, status string) endpoint.Host {
	return endpoint.Host{
		Name:        h.name,
		Address:     h.name,
		Zone:        zoneName(h.zone),
		Status:      status,
		Weight:      h.capacity,
		StartedAtMS: millisecondsPerSecond * unixStartTime(s.startTime, h.startedAt),
	}
}

// unixStartTime converts the time at which a host started from the clock to Unix time, in seconds. A host that started
// before the run has 0 in both.
func unixStartTime(base, startedAt float64) float64 {
	if startedAt <= 0 {
		return 0
	}
	return base + startedAt
}

// addListed adds a host to the list without delay.
func (d *discovery) addListed(h *host) {
	d.index++
	d.changes = append(d.changes, listChange{d.index, d.sim.entry(h, statusServing)})
}

// announce changes the status of a host in the list after the list's delay, and sends the change to all watches.
func (d *discovery) announce(h *host, status string) {
	entry := d.sim.entry(h, status)
	d.sim.After(d.sim.script.Fleet.ListDelay+d.extraDelay, func() {
		d.index++
		d.changes = append(d.changes, listChange{d.index, entry})
		if status == statusServing {
			h.withdrawnAt = 0
		} else if h.withdrawnAt == 0 {
			h.withdrawnAt = d.sim.Now
		}
		d.sim.trace("listed %s %s", entry.Name, entry.Status)
		for _, w := range d.watches {
			d.deliver(w, endpoint.List{Index: d.index, Hosts: []endpoint.Host{entry}})
		}
	})
}

// deliver sends a list to a watch. It is lost if discovery is down or the watch has ended when it would arrive.
func (d *discovery) deliver(w listWatch, list endpoint.List) {
	d.sim.After(deliveryDelay, func() {
		if d.down || !w.current() {
			return
		}
		w.process.watchState.recordDelivery()
		w.process.watchState.relocations = d.relocations
		w.process.deliver(node.ListReceived{List: list})
	})
}

// sendHeartbeats sends heartbeats to a watch until it ends or discovery goes down.
func (d *discovery) sendHeartbeats(w listWatch) {
	d.sim.After(heartbeatInterval, func() {
		if d.down || !w.current() {
			return
		}
		w.process.deliver(node.WatchAlive{})
		d.sendHeartbeats(w)
	})
}

// completeList returns the present list without deleted hosts.
func (d *discovery) completeList() endpoint.List {
	list := endpoint.List{Index: d.index, Complete: true}
	positions := map[string]int{}
	for _, change := range d.changes {
		position, seen := positions[change.host.Name]
		if !seen {
			position = len(list.Hosts)
			positions[change.host.Name] = position
			list.Hosts = append(list.Hosts, change.host)
		}
		list.Hosts[position] = change.host
	}
	list.Hosts = slices.DeleteFunc(list.Hosts, func(h endpoint.Host) bool { return h.Status == statusDeleted })
	return list
}

// listSince returns the changes after an index. It returns the complete list for index 0 and for one that this discovery
// service has not reached.
func (d *discovery) listSince(index int64) endpoint.List {
	if index <= 0 || index > d.index {
		return d.completeList()
	}
	list := endpoint.List{Index: d.index}
	for _, change := range d.changes {
		if change.index > index {
			list.Hosts = append(list.Hosts, change.host)
		}
	}
	return list
}

// handleCall handles a process's call for a watch of the changes after an index. If lists are pushed, the agent next to
// the node handles the call: it does not queue, and is answered once discovery is available.
func (d *discovery) handleCall(n *nodeProcess, call int, index int64) {
	d.sim.result.ListCalls++
	w := listWatch{n, n.core, call}
	n.watchState.recordCall(d.sim.Now)
	if d.sim.script.Rules.Pushed {
		if d.down {
			d.deferredAnswers = append(d.deferredAnswers, func() { d.startWatch(w, index) })
			return
		}
		d.startWatchAfter(callDelay, w, index)
		return
	}
	d.idleAt = max(d.idleAt, d.sim.Now)
	wait := d.idleAt - d.sim.Now + callDelay
	if d.down || wait > maxCallWait {
		d.fail(w, min(wait, maxCallWait), failureUnavailable)
		return
	}
	d.idleAt += 1 / d.callRate.value()
	d.startWatchAfter(wait, w, index)
}

// startWatchAfter answers a call after the given seconds. The call fails if discovery is down by then.
func (d *discovery) startWatchAfter(wait float64, w listWatch, index int64) {
	d.sim.After(wait, func() {
		if d.down {
			d.fail(w, 0, failureReset)
			return
		}
		d.startWatch(w, index)
	})
}

// startWatch turns a call into the only watch of its process, and delivers the changes after the index.
func (d *discovery) startWatch(w listWatch, index int64) {
	if !w.current() {
		return
	}
	w.process.listCalls.open = []int{w.call}
	kept := d.watches[:0]
	for _, other := range d.watches {
		if other.process != w.process && other.process.core == other.core {
			kept = append(kept, other)
		}
	}
	d.watches = append(kept, w)
	if w.process.watchState.relocations != d.relocations {
		index = 0 // the index is of the discovery service before the relocation
	}
	d.deliver(w, d.listSince(index))
	d.sendHeartbeats(w)
}

// fail ends a call or a watch after the given seconds. The process is notified unless another of its calls is open.
func (d *discovery) fail(w listWatch, after float64, reason string) {
	d.sim.After(after, func() {
		if w.current() && w.process.listCalls.fail(w.call) {
			w.process.watchState.recordEnd(true)
			w.process.deliver(node.WatchFailed{Reason: reason})
		}
	})
}

// interrupt takes discovery down for the given seconds and ends all watches.
func (d *discovery) interrupt(duration float64) {
	d.down = true
	for _, w := range d.watches {
		d.fail(w, 0, failureReset)
	}
	d.watches = nil
	d.sim.After(duration, func() {
		d.down = false
		d.availableSince = d.sim.Now
		for _, answer := range d.deferredAnswers {
			answer()
		}
		d.deferredAnswers = nil
	})
}

// selectAffected selects each process with the probability share, and returns those selected that have a watch or a call.
func (d *discovery) selectAffected(share float64) []*nodeProcess {
	var affected []*nodeProcess
	for _, n := range d.sim.processes() {
		if d.random.Float64() < share && n.watchState.active() {
			affected = append(affected, n)
		}
	}
	return affected
}

// silenceWatches makes the watches and calls of a share of the processes deliver nothing more. The processes are not
// notified of this.
func (d *discovery) silenceWatches(share float64) {
	for _, n := range d.selectAffected(share) {
		n.silenceWatch()
	}
}

// resetWatches resets the watches and calls of a share of the processes.
func (d *discovery) resetWatches(share float64) {
	for _, n := range d.selectAffected(share) {
		for _, call := range n.listCalls.open {
			d.fail(listWatch{n, n.core, call}, 0, failureReset)
		}
	}
}

// relocate replaces discovery by a service that has the same hosts and numbers its changes from 1. The watches of the old
// service fall silent, and each node is redirected at a random time within the given seconds. A node that polls before
// that reaches the new service as well.
func (d *discovery) relocate(within float64) {
	hosts := d.completeList().Hosts
	d.index = 1
	d.relocations++
	d.changes = nil
	for _, h := range hosts {
		d.changes = append(d.changes, listChange{d.index, h})
	}
	d.watches = nil
	for _, n := range d.sim.processes() {
		core := n.core
		n.silenceWatch()
		d.sim.After(within*d.random.Float64(), func() {
			if n.running && n.core == core {
				n.restartWatch()
			}
		})
	}
}

// restartWatch notifies a process that it was redirected to another discovery service.
func (n *nodeProcess) restartWatch() {
	n.watchState = watchState{
		relocatedAt: n.sim.Now,
		calledAt:    n.sim.Now,
		startedAt:   n.watchState.startedAt,
		relocations: n.watchState.relocations,
	}
	n.deliver(node.DiscoveryMoved{})
}
