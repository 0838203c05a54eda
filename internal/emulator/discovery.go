package emulator

import (
	"math/rand/v2"
	"slices"

	"gorseledge/internal/discovery/endpoint"
	"gorseledge/internal/node"
)

// discovery tells the list late and works through calls in turn; one that waits too long fails.
type discovery struct {
	w       *World
	index   int64
	changes []change
	freeAt  float64
	late    float64 // on top of the script's delay
	calls   float64 // a second, that it works through
	down    bool
	backAt  float64    // when it was last back, from the start on
	moved   int        // how often nodes were sent to another
	watches []standing // watches that stand
	waiting []func()   // for its return
	chance  *rand.Rand
}

type change struct {
	index int64
	host  endpoint.Host
}

type standing struct {
	n    *station
	core Core
	turn int
}

const (
	callWait  = 3.0  // a call in the queue for longer fails
	heartbeat = 2.0  // between empty lines while nothing changes
	toAsk     = 1e-3 // for a call whose turn it is, as it always is at the agent to which lists are pushed
)

func (w *World) entry(h *host, status string) endpoint.Host {
	return endpoint.Host{Name: h.name, Address: h.name, Zone: zoneName(h.zone), Status: status, Weight: h.capacity,
		StartedAtMS: 1e3 * since(w.base, h.since)}
}

func since(base, at float64) float64 {
	if at <= 0 {
		return 0
	}
	return base + at
}

// tell has the list change after the delay.
func (d *discovery) tell(h *host, status string) {
	entry := d.w.entry(h, status)
	d.w.After(d.w.script.Fleet.Roster+d.late, func() {
		d.index++
		d.changes = append(d.changes, change{d.index, entry})
		if status == "SERVING" {
			h.leftAt = 0
		} else if h.leftAt == 0 {
			h.leftAt = d.w.Now
		}
		d.w.trace("listed %s %s", entry.Name, entry.Status)
		for _, s := range d.watches {
			d.send(s, endpoint.List{Index: d.index, Hosts: []endpoint.Host{entry}})
		}
	})
}

// calls are a process's calls for the list that are under way, by number; one of them may be a watch.
type calls struct {
	open  []int // oldest first
	count int
	muted int // up to this number nothing is said any more
}

func (c *calls) newest() int { return c.count }

// begin makes a call in place of all others, or beside the oldest.
func (c *calls) begin(beside bool) {
	keep := 0
	if beside {
		keep = min(1, len(c.open))
	}
	c.count++
	c.open = append(c.open[:keep], c.count)
}

func (c *calls) end() { c.open = nil }

// fail ends one and tells whether none is left.
func (c *calls) fail(turn int) bool {
	c.open = slices.DeleteFunc(c.open, func(t int) bool { return t == turn })
	return len(c.open) == 0
}

// stands tells whether a watch or a call is still its node's, and is no silent one.
func (s standing) stands() bool {
	c := &s.n.calls
	return s.n.running && s.n.core == s.core && slices.Contains(c.open, s.turn) && s.turn > c.muted
}

// send hands a list to a watch that still stands.
func (d *discovery) send(s standing, l endpoint.List) {
	d.w.After(1e-3, func() {
		if !d.down && s.stands() {
			s.n.hearing.heard()
			s.n.hearing.numbered = d.moved
			s.n.give(listed(l))
		}
	})
}

// beat has a watch that stands say something now and then.
func (d *discovery) beat(s standing) {
	d.w.After(heartbeat, func() {
		if !d.down && s.stands() {
			s.n.give(node.WatchAlive{})
			d.beat(s)
		}
	})
}

// whole is the list as discovery has it.
func (d *discovery) whole() endpoint.List {
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

// call is a node's call for a watch.
func (d *discovery) call(n *station, turn int, index int64) {
	d.w.result.ListCalls++
	s := standing{n, n.core, turn}
	n.hearing.asks(d.w.Now)
	if d.w.script.Rules.Pushed {
		if d.down { // its own agent takes the call and has nothing to say
			d.waiting = append(d.waiting, func() { d.answer(s, index) })
		} else {
			d.answerAfter(toAsk, s, index)
		}
		return
	}
	d.freeAt = max(d.freeAt, d.w.Now)
	wait := d.freeAt - d.w.Now + toAsk
	if d.down || wait > callWait {
		d.fail(s, min(wait, callWait), "status 503")
		return
	}
	d.freeAt += 1 / d.calls
	d.answerAfter(wait, s, index)
}

// answerAfter answers a call in its turn, unless discovery is down by then.
func (d *discovery) answerAfter(wait float64, s standing, index int64) {
	d.w.After(wait, func() {
		if d.down {
			d.fail(s, 0, "reset")
			return
		}
		d.answer(s, index)
	})
}

// answer begins a watch with what it missed.
func (d *discovery) answer(s standing, index int64) {
	if !s.stands() {
		return
	}
	s.n.calls.open = []int{s.turn}
	live := d.watches[:0]
	for _, o := range d.watches { // a watch taken up again takes the place of the old one
		if o.n != s.n && o.n.core == o.core {
			live = append(live, o)
		}
	}
	d.watches = append(live, s)
	if s.n.hearing.numbered != d.moved { // an index that it never gave
		index = 0
	}
	d.send(s, d.since(index))
	d.beat(s)
}

// since is what changed after an index, or the whole list.
func (d *discovery) since(index int64) endpoint.List {
	if index <= 0 || index > d.index {
		return d.whole()
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
func (d *discovery) fail(s standing, after float64, why string) {
	d.w.After(after, func() {
		if s.stands() && s.n.calls.fail(s.turn) { // else one beside it waits still
			s.n.hearing.ended(true)
			s.n.give(unlisted(why))
		}
	})
}

// fall ends all watches for some time.
func (d *discovery) fall(lasts float64) {
	d.down = true
	for _, s := range d.watches {
		d.fail(s, 0, "reset")
	}
	d.watches = nil
	d.w.After(lasts, func() {
		d.down, d.backAt = false, d.w.Now
		for _, answer := range d.waiting {
			answer()
		}
		d.waiting = nil
	})
}

// struck draws the processes whose watches and calls a fault befalls.
func (d *discovery) struck(share float64) (out []*station) {
	for _, n := range d.w.processes() {
		if d.chance.Float64() < share && n.hearing.open() {
			out = append(out, n)
		}
	}
	return out
}

// hush has watches, and calls that wait, say nothing any more; nobody hears of it.
func (d *discovery) hush(share float64) {
	for _, n := range d.struck(share) {
		n.hush()
	}
}

// cut ends watches, and calls that wait, at once.
func (d *discovery) cut(share float64) {
	for _, n := range d.struck(share) {
		for _, turn := range n.calls.open {
			d.fail(standing{n, n.core, turn}, 0, "reset")
		}
	}
}

// move sends the nodes, one by one within some time, to a discovery that knows the same hosts and begins its index
// anew; the watches of the old one fall silent. A node that asks before it is sent finds the new one as well.
func (d *discovery) move(within float64) {
	hosts := d.whole().Hosts
	d.changes, d.index, d.moved = nil, 1, d.moved+1
	for _, h := range hosts {
		d.changes = append(d.changes, change{1, h})
	}
	d.watches = nil
	for _, n := range d.w.processes() {
		core := n.core
		n.hush() // nothing more comes from the old one
		d.w.After(within*d.chance.Float64(), func() {
			if n.running && n.core == core {
				h := &n.hearing
				*h = hearing{movedAt: d.w.Now, calledAt: d.w.Now, bootAt: h.bootAt, numbered: h.numbered}
				n.give(node.DiscoveryMoved{})
			}
		})
	}
}
