package emulator

import (
	"math/rand/v2"
	"slices"

	"gorseledge/internal/discovery/endpoint"
	"gorseledge/internal/node"
)

// discovery tells the list late and works through calls in turn; one that waits too long fails.
type discovery struct {
	world          *simulation
	index          int64
	changes        []listChange
	idleAt         float64
	extraDelay     float64 // on top of the script's delay
	callRate       float64 // a second, that it works through
	down           bool
	availableSince float64     // when it was last back, from the start on
	relocations    int         // how often nodes were sent to another
	watches        []listWatch // watches that stand
	waiting        []func()    // for its return
	random         *rand.Rand
}

type listChange struct {
	index int64
	host  endpoint.Host
}

type listWatch struct {
	process *nodeProcess
	core    Core
	call    int
}

const (
	maxCallWait       = 3.0  // a call in the queue for longer fails
	heartbeatInterval = 2.0  // between empty lines while nothing changes
	callDelay         = 1e-3 // for a call whose turn it is, as it always is at the agent to which lists are pushed
)

func (w *simulation) entry(h *host, status string) endpoint.Host {
	return endpoint.Host{Name: h.name, Address: h.name, Zone: zoneName(h.zone), Status: status, Weight: h.capacity,
		StartedAtMS: 1e3 * startTimeOfDay(w.startTime, h.startedAt)}
}

func startTimeOfDay(base, at float64) float64 {
	if at <= 0 {
		return 0
	}
	return base + at
}

// announce has the list change after the delay.
func (d *discovery) announce(h *host, status string) {
	entry := d.world.entry(h, status)
	d.world.After(d.world.script.Fleet.ListDelay+d.extraDelay, func() {
		d.index++
		d.changes = append(d.changes, listChange{d.index, entry})
		if status == "SERVING" {
			h.withdrawnAt = 0
		} else if h.withdrawnAt == 0 {
			h.withdrawnAt = d.world.Now
		}
		d.world.trace("listed %s %s", entry.Name, entry.Status)
		for _, s := range d.watches {
			d.send(s, endpoint.List{Index: d.index, Hosts: []endpoint.Host{entry}})
		}
	})
}

// listCalls are a process's calls for the list that are under way, by number; one of them may be a watch.
type listCalls struct {
	open         []int // oldest first
	count        int
	silencedUpTo int // up to this number nothing is said any more
}

func (c *listCalls) newest() int { return c.count }

// begin makes a call in place of all others, or beside the oldest.
func (c *listCalls) begin(beside bool) {
	keep := 0
	if beside {
		keep = min(1, len(c.open))
	}
	c.count++
	c.open = append(c.open[:keep], c.count)
}

func (c *listCalls) end() { c.open = nil }

// fail ends one and tells whether none is left.
func (c *listCalls) fail(turn int) bool {
	c.open = slices.DeleteFunc(c.open, func(t int) bool { return t == turn })
	return len(c.open) == 0
}

// current tells whether a watch or a call is still its node's, and is no silent one.
func (s listWatch) current() bool {
	c := &s.process.listCalls
	return s.process.running && s.process.core == s.core && slices.Contains(c.open, s.call) && s.call > c.silencedUpTo
}

// send hands a list to a watch that still stands.
func (d *discovery) send(s listWatch, l endpoint.List) {
	d.world.After(1e-3, func() {
		if !d.down && s.current() {
			s.process.watchState.received()
			s.process.watchState.relocations = d.relocations
			s.process.deliver(listReceived(l))
		}
	})
}

// sendHeartbeats has a watch that stands say something now and then.
func (d *discovery) sendHeartbeats(s listWatch) {
	d.world.After(heartbeatInterval, func() {
		if !d.down && s.current() {
			s.process.deliver(node.WatchAlive{})
			d.sendHeartbeats(s)
		}
	})
}

// completeList is the list as discovery has it.
func (d *discovery) completeList() endpoint.List {
	l := endpoint.List{Index: d.index, Complete: true}
	at := map[string]int{}
	for _, c := range d.changes {
		i, seen := at[c.host.Name]
		if !seen {
			i, at[c.host.Name] = len(l.Hosts), len(l.Hosts)
			l.Hosts = append(l.Hosts, c.host)
		}
		l.Hosts[i] = c.host
	}
	kept := l.Hosts[:0]
	for _, h := range l.Hosts {
		if h.Status != "DELETED" {
			kept = append(kept, h)
		}
	}
	l.Hosts = kept
	return l
}

// handleCall is a node's call for a watch.
func (d *discovery) handleCall(n *nodeProcess, turn int, index int64) {
	d.world.result.ListCalls++
	s := listWatch{n, n.core, turn}
	n.watchState.calling(d.world.Now)
	if d.world.script.Rules.Pushed {
		if d.down { // its own agent takes the call and has nothing to say
			d.waiting = append(d.waiting, func() { d.startWatch(s, index) })
		} else {
			d.startWatchAfter(callDelay, s, index)
		}
		return
	}
	d.idleAt = max(d.idleAt, d.world.Now)
	wait := d.idleAt - d.world.Now + callDelay
	if d.down || wait > maxCallWait {
		d.fail(s, min(wait, maxCallWait), "status 503")
		return
	}
	d.idleAt += 1 / d.callRate
	d.startWatchAfter(wait, s, index)
}

// startWatchAfter answers a call in its turn, unless discovery is down by then.
func (d *discovery) startWatchAfter(wait float64, s listWatch, index int64) {
	d.world.After(wait, func() {
		if d.down {
			d.fail(s, 0, "reset")
			return
		}
		d.startWatch(s, index)
	})
}

// startWatch begins a watch with what it missed.
func (d *discovery) startWatch(s listWatch, index int64) {
	if !s.current() {
		return
	}
	s.process.listCalls.open = []int{s.call}
	live := d.watches[:0]
	for _, o := range d.watches { // a watch taken up again takes the place of the old one
		if o.process != s.process && o.process.core == o.core {
			live = append(live, o)
		}
	}
	d.watches = append(live, s)
	if s.process.watchState.relocations != d.relocations { // an index that it never gave
		index = 0
	}
	d.send(s, d.listSince(index))
	d.sendHeartbeats(s)
}

// listSince is what changed after an index, or the whole list.
func (d *discovery) listSince(index int64) endpoint.List {
	if index <= 0 || index > d.index {
		return d.completeList()
	}
	l := endpoint.List{Index: d.index}
	for _, c := range d.changes {
		if c.index > index {
			l.Hosts = append(l.Hosts, c.host)
		}
	}
	return l
}

// fail ends a call, or the watch that it became.
func (d *discovery) fail(s listWatch, after float64, why string) {
	d.world.After(after, func() {
		if s.current() && s.process.listCalls.fail(s.call) { // else one beside it waits still
			s.process.watchState.ended(true)
			s.process.deliver(watchFailed(why))
		}
	})
}

// interrupt ends all watches for some time.
func (d *discovery) interrupt(lasts float64) {
	d.down = true
	for _, s := range d.watches {
		d.fail(s, 0, "reset")
	}
	d.watches = nil
	d.world.After(lasts, func() {
		d.down, d.availableSince = false, d.world.Now
		for _, answer := range d.waiting {
			answer()
		}
		d.waiting = nil
	})
}

// drawAffected draws the processes whose watches and calls a fault befalls.
func (d *discovery) drawAffected(share float64) (out []*nodeProcess) {
	for _, n := range d.world.processes() {
		if d.random.Float64() < share && n.watchState.active() {
			out = append(out, n)
		}
	}
	return out
}

// silenceWatches has watches, and calls that wait, say nothing any more; nobody hears of it.
func (d *discovery) silenceWatches(share float64) {
	for _, n := range d.drawAffected(share) {
		n.silenceWatch()
	}
}

// resetWatches ends watches, and calls that wait, at once.
func (d *discovery) resetWatches(share float64) {
	for _, n := range d.drawAffected(share) {
		for _, turn := range n.listCalls.open {
			d.fail(listWatch{n, n.core, turn}, 0, "reset")
		}
	}
}

// relocate sends the nodes, one by one within some time, to a discovery that knows the same hosts and begins its index
// anew; the watches of the old one fall silent. A node that asks before it is sent finds the new one as well.
func (d *discovery) relocate(within float64) {
	hosts := d.completeList().Hosts
	d.changes, d.index, d.relocations = nil, 1, d.relocations+1
	for _, h := range hosts {
		d.changes = append(d.changes, listChange{1, h})
	}
	d.watches = nil
	for _, n := range d.world.processes() {
		core := n.core
		n.silenceWatch() // nothing more comes from the old one
		d.world.After(within*d.random.Float64(), func() {
			if n.running && n.core == core {
				h := &n.watchState
				*h = watchState{relocatedAt: d.world.Now, calledAt: d.world.Now, startedAt: h.startedAt, relocations: h.relocations}
				n.deliver(node.DiscoveryMoved{})
			}
		})
	}
}
