package rig

import (
	"context"
	"net"
	"os"
	"time"

	"golang.org/x/sync/errgroup"
)

// befall brings the faults about, in their order, and waits until the last is over.
func (r *Rig) befall(ctx context.Context, faults []Fault) error {
	outer := ctx
	group, ctx := errgroup.WithContext(outer)
	from := time.Now()
	wait := func(seconds float64) bool {
		select {
		case <-time.After(time.Until(from.Add(time.Duration(seconds * 1e9)))):
			return true
		case <-ctx.Done():
			return false
		}
	}
	for _, f := range faults {
		if !wait(f.At) {
			break
		}
		r.history.add(Event{What: "fault", Fault: &f})
		r.say("%5.1f s  %s", f.At, f)
		group.Go(func() error {
			if err := r.bring(f, false); err != nil {
				return err
			}
			if !wait(f.At + f.For) {
				return nil
			}
			err := r.bring(f, true)
			r.history.add(Event{What: "over", Fault: &f})
			return err
		})
	}
	wait(r.script.Lasts)
	if err := group.Wait(); err != nil {
		return err
	}
	return outer.Err()
}

// bring begins a fault, or ends it.
func (r *Rig) bring(f Fault, over bool) error {
	if kinds[f.Kind].way {
		r.ways(f, func(w *Way) {
			by := f.By
			if over {
				by = 0
			}
			switch f.Kind {
			case "cut":
				w.Cut = !over
			case "loss":
				w.Loss = by
			case "delay":
				w.Delay, w.Jitter = by, by
			case "repeat":
				w.Repeat = by
			case "replay":
				w.Replay = by
			case "tear":
				w.CutAt = int64(by)
			case "slow":
				w.PerByte = 0
				if by > 0 {
					w.PerByte = 1 / by
				}
			}
		})
		return nil
	}
	for _, i := range f.Nodes {
		n := r.nodes[i]
		var err error
		switch {
		case f.Kind == "stop":
			n.stop(!over)
		case f.Kind == "upgrade" && !over:
			err = n.upgrade()
		case f.Kind == "garbage" && !over:
			err = r.garbage(n)
		case over && kinds[f.Kind].ends && f.Kind != "upgrade":
			if f.For > 0 || !kinds[f.Kind].stays {
				err = n.start()
			}
		case f.Kind == "kill":
			n.kill()
		case f.Kind == "wipe":
			n.kill()
			if err = os.RemoveAll(n.dir); err == nil {
				err = r.prepare(n)
			}
		case f.Kind == "rollback":
			n.kill()
			err = n.putBack()
		case f.Kind == "restart":
			n.leave()
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// ways changes the ways of a fault.
func (r *Rig) ways(f Fault, change func(*Way)) {
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
			r.relays[[2]int{from, k}].set(change)
			if f.Both {
				r.relays[[2]int{k, from}].set(change)
			}
		}
	}
}

// garbage sends a node what means nothing.
func (r *Rig) garbage(n *node) error {
	c, err := net.Dial("udp", n.fleet)
	if err != nil {
		return err
	}
	defer c.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for range 200 {
		text := make([]byte, r.rand.IntN(400))
		for i := range text {
			text[i] = byte(r.rand.Uint32())
		}
		if len(text) > 0 && r.rand.IntN(2) == 0 {
			text[0] = 1 // of the right version
		}
		c.Write(text) // it may have been killed: then nobody hears
	}
	return nil
}
