package rig

import (
	"context"
	"net"
	"os"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	garbageDatagrams = 200 // datagrams that one garbage fault sends
	garbageBytes     = 400 // exclusive upper bound of the size of such a datagram
)

// applyFaults begins each fault at its time and ends it after its duration. It returns at the end of the script.
func (r *Rig) applyFaults(ctx context.Context, faults []Fault) error {
	outer := ctx
	group, ctx := errgroup.WithContext(outer)
	started := time.Now()
	waitUntil := func(seconds float64) bool {
		select {
		case <-time.After(time.Until(started.Add(time.Duration(seconds * 1e9)))):
			return true
		case <-ctx.Done():
			return false
		}
	}
	for _, f := range faults {
		if !waitUntil(f.At) {
			break
		}
		r.history.add(Event{Kind: eventFaultStart, Fault: &f})
		r.progressf("%5.1f s  %s", f.At, f)
		group.Go(func() error {
			if err := r.changeFault(f, false); err != nil {
				return err
			}
			if !waitUntil(f.At + f.Duration) {
				return nil
			}
			err := r.changeFault(f, true)
			r.history.add(Event{Kind: eventFaultEnd, Fault: &f})
			return err
		})
	}
	waitUntil(r.script.Duration)
	if err := group.Wait(); err != nil {
		return err
	}
	return outer.Err()
}

// changeFault begins a fault, or ends it if over is true.
func (r *Rig) changeFault(f Fault, over bool) error {
	if faultKinds[f.Kind].onLink {
		r.changeLinks(f, func(conditions *LinkConditions) { setLinkFault(conditions, f, over) })
		return nil
	}
	for _, i := range f.Nodes {
		var err error
		if over {
			err = r.endNodeFault(r.nodes[i], f)
		} else {
			err = r.beginNodeFault(r.nodes[i], f)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// setLinkFault sets the condition of a link that a fault changes, or resets it if over is true.
func setLinkFault(conditions *LinkConditions, f Fault, over bool) {
	amount := f.Amount
	if over {
		amount = 0
	}
	switch f.Kind {
	case faultCut:
		conditions.Cut = !over
	case faultLoss:
		conditions.Loss = amount
	case faultDelay:
		conditions.Delay, conditions.Jitter = amount, amount
	case faultRepeat:
		conditions.Repeat = amount
	case faultReplay:
		conditions.Replay = amount
	case faultTear:
		conditions.BreakAfter = int64(amount)
	case faultSlow:
		conditions.SecondsPerByte = 0
		if amount > 0 {
			conditions.SecondsPerByte = 1 / amount
		}
	}
}

// beginNodeFault begins a fault of a node's process.
func (r *Rig) beginNodeFault(n *node, f Fault) error {
	switch f.Kind {
	case faultStop:
		n.setStopped(true)
	case faultKill:
		n.kill()
	case faultWipe:
		n.kill()
		if err := os.RemoveAll(n.dir); err != nil {
			return err
		}
		return r.writeNodeFiles(n)
	case faultRollback:
		n.kill()
		return n.restoreDir()
	case faultRestart:
		n.leave()
	case faultUpgrade:
		return n.upgrade()
	case faultGarbage:
		return r.sendGarbage(n)
	}
	return nil
}

// endNodeFault ends a fault of a node's process: it continues a stopped process and starts an ended one again, unless the
// node is to stay down for the rest of the run.
func (r *Rig) endNodeFault(n *node, f Fault) error {
	switch f.Kind {
	case faultStop:
		n.setStopped(false)
	case faultKill, faultWipe, faultRollback:
		if f.Duration > 0 {
			return n.start()
		}
	case faultRestart:
		return n.start()
	}
	return nil
}

// changeLinks changes the conditions of all links that a fault affects.
func (r *Rig) changeLinks(f Fault, change func(*LinkConditions)) {
	for _, from := range f.Nodes {
		to := f.To
		if len(to) == 0 {
			for k := range r.nodes {
				to = append(to, k)
			}
		}
		for _, k := range to {
			if k == from {
				continue
			}
			r.relays[nodeLink{from: from, to: k}].Set(change)
			if f.BothWays {
				r.relays[nodeLink{from: k, to: from}].Set(change)
			}
		}
	}
}

// sendGarbage sends datagrams of random bytes to a node. About half of them begin with the version byte of members'
// messages, so that the node's decoder reads past it.
func (r *Rig) sendGarbage(n *node) error {
	c, err := net.Dial("udp", n.fleetAddress)
	if err != nil {
		return err
	}
	defer c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for range garbageDatagrams {
		text := make([]byte, r.rand.IntN(garbageBytes))
		for i := range text {
			text[i] = byte(r.rand.Uint32())
		}
		if len(text) > 0 && r.rand.IntN(2) == 0 {
			text[0] = 1 // version byte of members' messages
		}
		c.Write(text) // errors are ignored: the node may be down
	}
	return nil
}
