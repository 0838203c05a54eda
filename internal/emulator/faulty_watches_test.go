package emulator

import (
	"slices"

	"gorseledge/internal/node"
)

// ignoringSilence is a faulty node that treats a silent watch as alive: its core gets a heartbeat before each input.
type ignoringSilence struct{ Core }

func (c *ignoringSilence) Apply(now float64, in node.Input) []node.Effect {
	out := slices.Clone(c.Core.Apply(now, node.WatchAlive{}))
	return append(out, c.Core.Apply(now, in)...)
}

// neverPolling is a faulty node that does not poll again after a watch has ended.
type neverPolling struct{ Core }

func (c *neverPolling) Apply(now float64, in node.Input) []node.Effect {
	switch in.(type) {
	case node.WatchFailed:
		in = node.WatchAlive{}
	case node.TimerFired:
		return (&ignoringSilence{c.Core}).Apply(now, in)
	}
	return c.Core.Apply(now, in)
}

// ignoringRelocation is a faulty node that ignores a redirection to another discovery service.
type ignoringRelocation struct{ Core }

func (c *ignoringRelocation) Apply(now float64, in node.Input) []node.Effect {
	if _, moved := in.(node.DiscoveryMoved); moved {
		in = node.WatchAlive{}
	}
	return (&neverPolling{c.Core}).Apply(now, in)
}

// delayingLists is a faulty node that applies changes of the list a second late.
type delayingLists struct {
	Core
	lists []node.ListReceived
	since []float64
}

func (c *delayingLists) Apply(now float64, in node.Input) []node.Effect {
	var out []node.Effect
	for len(c.lists) > 0 && now > c.since[0]+1 {
		out = append(out, c.Core.Apply(now, c.lists[0])...)
		c.lists = c.lists[1:]
		c.since = c.since[1:]
	}
	if list, ok := in.(node.ListReceived); ok && !list.List.Complete {
		c.lists = append(c.lists, list)
		c.since = append(c.since, now)
		in = node.WatchAlive{}
	}
	return append(out, c.Core.Apply(now, in)...)
}

// dialingBeforeLists is a faulty node that applies lists only after its dials in progress have ended.
type dialingBeforeLists struct {
	Core
	dials map[node.ConnID]bool
	lists []node.ListReceived
}

func (c *dialingBeforeLists) Apply(now float64, in node.Input) []node.Effect {
	switch in := in.(type) {
	case node.Dialed:
		delete(c.dials, in.Conn)
	case node.ListReceived:
		if len(c.dials) > 0 {
			c.lists = append(c.lists, in)
			return nil
		}
	}
	out := slices.Clone(c.Core.Apply(now, in))
	for len(c.dials) == 0 && len(c.lists) > 0 {
		out = append(out, c.Core.Apply(now, c.lists[0])...)
		c.lists = c.lists[1:]
	}
	for _, e := range out {
		if d, ok := e.(node.Dial); ok {
			c.dials[d.Conn] = true
		}
	}
	return out
}

// restoringAllServing is a faulty node whose successor restores every host as serving from the handover.
type restoringAllServing struct{ Core }

func (c *restoringAllServing) Apply(now float64, in node.Input) []node.Effect {
	if handover, ok := in.(node.HandoverReceived); ok {
		for i := range handover.State.Hosts {
			handover.State.Hosts[i].Status = statusServing
		}
		handover.State.Index++ // makes the state newer than the list of the successor
	}
	return c.Core.Apply(now, in)
}

// pollingLate is a faulty node that polls again only twelve seconds after its watch has ended.
type pollingLate struct {
	Core
	until float64 // time of the delayed poll; 0 for none
}

func (c *pollingLate) Apply(now float64, in node.Input) []node.Effect {
	if _, ended := in.(node.WatchFailed); ended {
		c.until = now + 12
	}
	if c.until > 0 && now >= c.until {
		c.until = 0
		return append([]node.Effect{node.Watch{}}, c.Core.Apply(now, in)...)
	}
	out := c.Core.Apply(now, in)
	if c.until == 0 {
		return out
	}
	return slices.DeleteFunc(slices.Clone(out), isWatch)
}

// isWatch reports whether an effect is a call for a watch of the endpoint list.
func isWatch(e node.Effect) bool {
	_, watch := e.(node.Watch)
	return watch
}
