package rig

import (
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

// applyFaults begins each fault of control servers at its time and ends it after its duration. It returns when the last has
// ended.
func (c *control) applyFaults(ctx context.Context) error {
	started := time.Now()
	waitUntil := func(seconds float64) error {
		return sleep(ctx, time.Until(started.Add(time.Duration(seconds*1e9))))
	}
	group := new(errgroup.Group)
	for _, f := range c.rig.script.GenerateControlFaults(c.rig.Seed) {
		group.Go(func() error {
			if err := waitUntil(f.At); err != nil {
				return err
			}
			c.record(eventControlFaultStart, ControlEvent{Fault: &f})
			c.rig.progressf("%5.1f s  %s", f.At, f)
			if err := c.changeFault(f, false); err != nil {
				return err
			}
			if err := waitUntil(f.At + f.Duration); err != nil {
				return err
			}
			err := c.changeFault(f, true)
			c.record(eventControlFaultEnd, ControlEvent{Fault: &f})
			return err
		})
	}
	return group.Wait()
}

// changeFault begins a fault, or ends it if over is true.
func (c *control) changeFault(f ControlFault, over bool) error {
	if controlKinds[f.Kind] {
		c.changeLinks(f, over)
		return nil
	}
	group := new(errgroup.Group)
	for _, i := range f.Servers {
		group.Go(func() error {
			if over {
				return c.servers[i].endFault(f)
			}
			return c.servers[i].beginFault(f)
		})
	}
	return group.Wait()
}

// changeLinks cuts the links that a fault affects, or ends that cut. A link forwards again once no fault cuts it.
func (c *control) changeLinks(f ControlFault, over bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for l, relay := range c.relays {
		if !c.cutsLink(f, l) {
			continue
		}
		if over {
			c.cuts[l]--
		} else {
			c.cuts[l]++
		}
		relay.Set(func(conditions *LinkConditions) { conditions.Cut = c.cuts[l] > 0 })
	}
}

// cutsLink reports whether a fault cuts a link.
func (c *control) cutsLink(f ControlFault, l controlLink) bool {
	switch f.Kind {
	case faultCutNodes:
		return !l.server && slices.Contains(f.Nodes, l.from) && slices.Contains(f.Servers, l.to)
	case faultCut:
		return l.server && slices.Contains(f.Servers, l.from) && (len(f.To) == 0 || slices.Contains(f.To, l.to))
	case faultRegion:
		from := regions[l.from%len(regions)]
		if l.server {
			from = c.servers[l.from].region()
		}
		return (from == f.Region) != (c.servers[l.to].region() == f.Region)
	}
	return false
}
