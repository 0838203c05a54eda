package emulator

import (
	"slices"

	"gorseledge/internal/node"
)

// ignoringSilence is a node that takes a silent watch as alive.
type ignoringSilence struct{ Core }

func (c *ignoringSilence) Apply(now float64, in node.Input) []node.Effect {
	out := slices.Clone(c.Core.Apply(now, node.WatchAlive{}))
	return append(out, c.Core.Apply(now, in)...)
}

// neverPolling is a node that never polls again once a watch has ended.
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

// ignoringRelocation is a node that stays with the discovery that it knows.
type ignoringRelocation struct{ Core }

func (c *ignoringRelocation) Apply(now float64, in node.Input) []node.Effect {
	if _, moved := in.(node.DiscoveryMoved); moved {
		in = node.WatchAlive{}
	}
	return (&neverPolling{c.Core}).Apply(now, in)
}

// delayingLists is a node that takes changes of the list a second late.
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

// dialingBeforeLists is a node that takes no list while it dials.
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

// restoringAllServing is a node whose successor takes over with every host as serving.
type restoringAllServing struct{ Core }

func (c *restoringAllServing) Apply(now float64, in node.Input) []node.Effect {
	if handover, ok := in.(node.HandoverReceived); ok {
		for i := range handover.State.Hosts {
			handover.State.Hosts[i].Status = statusServing
		}
		handover.State.Index++ // as if it were newer than the list of the successor
	}
	return c.Core.Apply(now, in)
}

// pollingLate is a node that polls twelve seconds after its watch has ended.
type pollingLate struct {
	Core
	until float64 // when it polls; 0 for not waiting
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

// isWatch reports whether an effect polls discovery.
func isWatch(e node.Effect) bool {
	_, watch := e.(node.Watch)
	return watch
}
