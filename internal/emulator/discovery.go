package emulator

import "gorseledge/internal/discovery/roster"

// discovery tells the list late and works through calls in turn; one that waits too long fails.
type discovery struct {
	w       *World
	index   int64
	changes []change
	freeAt  float64
	late    float64 // on top of the script's delay
	down    bool
	watches []standing // watches that stand
}

type change struct {
	index int64
	host  roster.Host
}

type standing struct {
	n    *station
	core Core
	turn int
}

const callWait = 3.0 // a call in the queue for longer fails

func (w *World) entry(h *host, status string) roster.Host {
	return roster.Host{Name: h.name, Address: h.name, Zone: zoneName(h.zone), Status: status, Weight: h.capacity,
		Since: 1e3 * since(w.base, h.since)}
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
	d.w.after(d.w.script.Fleet.Roster+d.late, func() {
		d.index++
		d.changes = append(d.changes, change{d.index, entry})
		d.w.trace("listed %s %s", entry.Name, entry.Status)
		for _, s := range d.watches {
			d.send(s, roster.List{Index: d.index, Hosts: []roster.Host{entry}})
		}
	})
}

// send hands a list to a watch that still stands.
func (d *discovery) send(s standing, l roster.List) {
	d.w.after(1e-3, func() {
		if !d.down && s.n.running && s.n.core == s.core && s.n.watch == s.turn {
			s.n.give(listed(l))
		}
	})
}

// whole is the list as discovery has it.
func (d *discovery) whole() roster.List {
	l := roster.List{Index: d.index, Whole: true}
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
	d.freeAt = max(d.freeAt, d.w.now)
	wait := d.freeAt - d.w.now
	fail := func(after float64, why string) {
		d.w.after(after, func() {
			if n.running && n.core == s.core && n.watch == turn {
				n.give(unlisted(why))
			}
		})
	}
	if d.down || wait > callWait {
		fail(min(wait+1e-3, callWait), "status 503")
		return
	}
	d.freeAt += 1 / d.w.script.Fleet.Calls
	d.w.after(wait+1e-3, func() {
		if d.down {
			fail(0, "reset")
			return
		}
		live := d.watches[:0]
		for _, o := range d.watches { // a watch taken up again takes the place of the old one
			if o.n != n && o.n.core == o.core {
				live = append(live, o)
			}
		}
		d.watches = append(live, s)
		if index <= 0 || index > d.index {
			d.send(s, d.whole())
			return
		}
		l := roster.List{Index: d.index}
		for _, c := range d.changes {
			if c.index > index {
				l.Hosts = append(l.Hosts, c.host)
			}
		}
		d.send(s, l)
	})
}

// fall ends all watches for some time.
func (d *discovery) fall(lasts float64) {
	d.down = true
	for _, s := range d.watches {
		if s.n.running && s.n.core == s.core && s.n.watch == s.turn {
			s.n.give(unlisted("reset"))
		}
	}
	d.watches = nil
	d.w.after(lasts, func() { d.down = false })
}
