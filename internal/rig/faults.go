package rig

import (
	"context"
	"net"
	"os"
	"time"

	"golang.org/x/sync/errgroup"
)

// garbageDatagrams and garbageBytes are the number of datagrams of one garbage fault and the bound of their size.
const (
	garbageDatagrams = 200
	garbageBytes     = 400
)

// applyFaults applies the faults at their times, ends each after its duration and returns when the script is over.
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

// changeFault begins a fault, or ends it where over is true.
func (r *Rig) changeFault(f Fault, over bool) error {
	if faultKinds[f.Kind].onLink {
		r.changeLinks(f, func(w *LinkConditions) { setLinkFault(w, f, over) })
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

// setLinkFault sets what a fault changes of a link, or sets it back where the fault is over.
func setLinkFault(w *LinkConditions, f Fault, over bool) {
	amount := f.Amount
	if over {
		amount = 0
	}
	switch f.Kind {
	case faultCut:
		w.Cut = !over
	case faultLoss:
		w.Loss = amount
	case faultDelay:
		w.Delay, w.Jitter = amount, amount
	case faultRepeat:
		w.Repeat = amount
	case faultReplay:
		w.Replay = amount
	case faultTear:
		w.BreakAfter = int64(amount)
	case faultSlow:
		w.SecondsPerByte = 0
		if amount > 0 {
			w.SecondsPerByte = 1 / amount
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

// endNodeFault ends a fault of a node's process: the process continues, or is started again unless it stays down for
// the whole run.
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

// changeLinks changes the relays of a fault's links.
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

// sendGarbage sends random datagrams to a node; half of them begin with the right version.
func (r *Rig) sendGarbage(n *node) error {
	c, err := net.Dial("udp", n.fleet)
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
			text[0] = 1 // the version of members' messages
		}
		c.Write(text) // an error is no fault of the run: the node may be down
	}
	return nil
}
