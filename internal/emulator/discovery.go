package emulator

import (
	"math/rand/v2"
	"slices"

	"gorseledge/internal/discovery/endpoint"
	"gorseledge/internal/node"
)

const (
	maxCallWait       = 3.0  // seconds; a call that has to wait longer fails
	heartbeatInterval = 2.0  // seconds between heartbeats of a watch
	callDelay         = 1e-3 // seconds of a call that does not wait
	deliveryDelay     = 1e-3 // seconds from discovery to a node
)

// The statuses of hosts in endpoint lists.
const (
	statusServing  = "SERVING"
	statusDraining = "DRAINING"
	statusDeleted  = "DELETED"
)

// The reasons of failed calls and watches, as a node gets them.
const (
	failureUnavailable = "status 503"
	failureReset       = "reset"
)

// discovery delivers the endpoint list late, and answers calls for it one after another.
type discovery struct {
	world          *simulation
	index          int64 // of the last change
	changes        []listChange
	idleAt         float64 // time at which it has answered all calls so far
	extraDelay     float64 // seconds beside the script's delay
	callRate       float64 // calls a second that it answers
	down           bool
	availableSince float64     // when it last became available
	relocations    int         // how often nodes were sent to another discovery
	watches        []listWatch // established watches, possibly some that have ended
	waiting        []func()    // answers for when it is available again
	random         *rand.Rand
}

// listChange is a change of the endpoint list.
type listChange struct {
	index int64
	host  endpoint.Host
}

// listWatch is a call of a process for the endpoint list, or the watch that it became.
type listWatch struct {
	process *nodeProcess
	core    Core
	call    int // number of the call within the process
}

// listCalls are the calls of a process for the endpoint list that are in flight, by number. One of them may be a watch.
type listCalls struct {
	open         []int // oldest first
	count        int   // calls made so far
	silencedUpTo int   // calls up to this number deliver nothing any more
}

// newest returns the number of the last call.
func (c *listCalls) newest() int { return c.count }

// begin makes a call that replaces all others, or all but the oldest.
func (c *listCalls) begin(keepOldest bool) {
	kept := 0
	if keepOldest {
		kept = min(1, len(c.open))
	}
	c.count++
	c.open = append(c.open[:kept], c.count)
}

// end ends all calls.
func (c *listCalls) end() { c.open = nil }

// fail ends one call and reports whether none is left.
func (c *listCalls) fail(call int) bool {
	c.open = slices.DeleteFunc(c.open, func(other int) bool { return other == call })
	return len(c.open) == 0
}

// current reports whether the process still has this call or watch, and it is not silenced.
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
		StartedAtMS: millisecondsPerSecond * startTimeOfDay(s.startTime, h.startedAt),
	}
}

// startTimeOfDay returns the Unix time, in seconds, of a start at a time of the clock; 0 stands for a start long ago.
func startTimeOfDay(base, startedAt float64) float64 {
	if startedAt <= 0 {
		return 0
	}
	return base + startedAt
}

// addListed adds a host to the list at once.
func (d *discovery) addListed(h *host) {
	d.index++
	d.changes = append(d.changes, listChange{d.index, d.world.entry(h, statusServing)})
}

// announce changes the status of a host in the list after the delay.
func (d *discovery) announce(h *host, status string) {
	entry := d.world.entry(h, status)
	d.world.After(d.world.script.Fleet.ListDelay+d.extraDelay, func() {
		d.index++
		d.changes = append(d.changes, listChange{d.index, entry})
		if status == statusServing {
			h.withdrawnAt = 0
		} else if h.withdrawnAt == 0 {
			h.withdrawnAt = d.world.Now
		}
		d.world.trace("listed %s %s", entry.Name, entry.Status)
		for _, w := range d.watches {
			d.deliver(w, endpoint.List{Index: d.index, Hosts: []endpoint.Host{entry}})
		}
	})
}

// deliver sends a list to a watch.
func (d *discovery) deliver(w listWatch, list endpoint.List) {
	d.world.After(deliveryDelay, func() {
		if d.down || !w.current() {
			return
		}
		w.process.watchState.received()
		w.process.watchState.relocations = d.relocations
		w.process.deliver(node.ListReceived{List: list})
	})
}

// sendHeartbeats sends heartbeats to a watch while it is current.
func (d *discovery) sendHeartbeats(w listWatch) {
	d.world.After(heartbeatInterval, func() {
		if d.down || !w.current() {
			return
		}
		w.process.deliver(node.WatchAlive{})
		d.sendHeartbeats(w)
	})
}

// completeList returns the list as discovery has it, without deleted hosts.
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

// listSince returns the changes after an index, or the complete list if there is no such index.
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

// handleCall takes a process's call for a watch that begins after an index. Where lists are pushed, the agent beside the
// node takes the call and answers once discovery is available.
func (d *discovery) handleCall(n *nodeProcess, call int, index int64) {
	d.world.result.ListCalls++
	w := listWatch{n, n.core, call}
	n.watchState.calling(d.world.Now)
	if d.world.script.Rules.Pushed {
		if d.down {
			d.waiting = append(d.waiting, func() { d.startWatch(w, index) })
			return
		}
		d.startWatchAfter(callDelay, w, index)
		return
	}
	d.idleAt = max(d.idleAt, d.world.Now)
	wait := d.idleAt - d.world.Now + callDelay
	if d.down || wait > maxCallWait {
		d.fail(w, min(wait, maxCallWait), failureUnavailable)
		return
	}
	d.idleAt += 1 / d.callRate
	d.startWatchAfter(wait, w, index)
}

// startWatchAfter answers a call after some seconds. The call fails if discovery is down by then.
func (d *discovery) startWatchAfter(wait float64, w listWatch, index int64) {
	d.world.After(wait, func() {
		if d.down {
			d.fail(w, 0, failureReset)
			return
		}
		d.startWatch(w, index)
	})
}

// startWatch makes a call the watch of its process, in place of any other, and delivers what changed after the index.
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
		index = 0 // another discovery gave this index
	}
	d.deliver(w, d.listSince(index))
	d.sendHeartbeats(w)
}

// fail ends a call or a watch after some seconds. The process learns of it unless another call is still open.
func (d *discovery) fail(w listWatch, after float64, reason string) {
	d.world.After(after, func() {
		if w.current() && w.process.listCalls.fail(w.call) {
			w.process.watchState.ended(true)
			w.process.deliver(node.WatchFailed{Reason: reason})
		}
	})
}

// interrupt takes discovery down for some seconds and ends all watches.
func (d *discovery) interrupt(duration float64) {
	d.down = true
	for _, w := range d.watches {
		d.fail(w, 0, failureReset)
	}
	d.watches = nil
	d.world.After(duration, func() {
		d.down = false
		d.availableSince = d.world.Now
		for _, answer := range d.waiting {
			answer()
		}
		d.waiting = nil
	})
}

// drawAffected draws a share of the processes, and returns those of them that have a watch or a call.
func (d *discovery) drawAffected(share float64) []*nodeProcess {
	var affected []*nodeProcess
	for _, n := range d.world.processes() {
		if d.random.Float64() < share && n.watchState.active() {
			affected = append(affected, n)
		}
	}
	return affected
}

// silenceWatches has the watches and calls of a share of the processes deliver nothing any more. The processes get no
// event for it.
func (d *discovery) silenceWatches(share float64) {
	for _, n := range d.drawAffected(share) {
		n.silenceWatch()
	}
}

// resetWatches ends the watches and calls of a share of the processes at once.
func (d *discovery) resetWatches(share float64) {
	for _, n := range d.drawAffected(share) {
		for _, call := range n.listCalls.open {
			d.fail(listWatch{n, n.core, call}, 0, failureReset)
		}
	}
}

// relocate sends the nodes, one by one within some seconds, to a discovery that has the same hosts and numbers its
// changes anew. The watches of the old one fall silent. A node that polls before it is sent reaches the new one as well.
func (d *discovery) relocate(within float64) {
	hosts := d.completeList().Hosts
	d.index = 1
	d.relocations++
	d.changes = nil
	for _, h := range hosts {
		d.changes = append(d.changes, listChange{d.index, h})
	}
	d.watches = nil
	for _, n := range d.world.processes() {
		core := n.core
		n.silenceWatch()
		d.world.After(within*d.random.Float64(), func() {
			if n.running && n.core == core {
				n.restartWatch()
			}
		})
	}
}

// restartWatch notifies a process that discovery has moved.
func (n *nodeProcess) restartWatch() {
	n.watchState = watchState{
		relocatedAt: n.world.Now,
		calledAt:    n.world.Now,
		startedAt:   n.watchState.startedAt,
		relocations: n.watchState.relocations,
	}
	n.deliver(node.DiscoveryMoved{})
}
