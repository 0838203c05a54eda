package scale

import (
	"context"
	"fmt"
	"slices"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"gorseledge/internal/configfeed"
)

// During says what happens while a change of the configuration goes on.
type During string

// The kinds of During.
const (
	DuringNothing     During = ""
	DuringRestart     During = "restart"      // a part of the nodes leaves and is started again, at once
	DuringServerFault During = "server-fault" // a control server is killed and another one stopped
	DuringServerStart During = "server-start" // all control servers have just been started again
	DuringRegionCut   During = "region-cut"   // a region is cut off
)

// changeGap is between two looks at who has a change in force.
const changeGap = 0.1

// disturbance is what goes on around a change.
type disturbance struct {
	name      string       // of the phase
	reachable []NodePlan   // nodes that the change is to reach
	victims   []NodePlan   // that are restarted or cut off
	before    func() error // brings about what stands before the change
	meanwhile func() error // brings about what happens at the same time as the change
	after     func() error // puts all right again
}

// change puts a new revision in force and measures when nodes have it.
func (r *run) change(ctx context.Context, i int, a Action) error {
	if err := sleep(ctx, r.script.Pause); err != nil {
		return err
	}
	d := r.disturbance(ctx, i, a)
	if err := r.watch(d.victims); err != nil {
		return err
	}
	before, err := r.sample(ctx)
	if err != nil {
		return err
	}
	r.say("%s", d.name)
	if err := d.before(); err != nil {
		return err
	}
	if err := r.measureChange(ctx, d, a.Window); err != nil {
		return err
	}
	if err := sleep(ctx, r.script.ChangeTime-time.Since(before.at).Seconds()); err != nil {
		return err
	}
	after, err := r.sample(ctx)
	if err != nil {
		return err
	}
	r.phase(d.name, before, after)
	if err := d.after(); err != nil {
		return err
	}
	if a.During == DuringRegionCut {
		if err := r.returnRegion(ctx, d, a); err != nil {
			return err
		}
	}
	took, err := r.converge(ctx, a.Window)
	if err != nil || took >= 0 {
		return err
	}
	return r.settle(ctx, d.name, a, d.victims)
}

// disturbance plans what goes on around a change.
func (r *run) disturbance(ctx context.Context, i int, a Action) disturbance {
	nothing := func() error { return nil }
	d := disturbance{name: string(Change), reachable: r.plan.Nodes, before: nothing, meanwhile: nothing, after: nothing}
	if a.During != DuringNothing {
		d.name = fmt.Sprintf("%s-%s", Change, a.During)
	}
	switch a.During {
	case DuringRestart:
		d.name = fmt.Sprintf("%s-%g", d.name, a.Part)
		d.victims = r.victims(i, Action{Kind: RestartSome, Part: a.Part})
		d.before = func() error { return r.end(d.victims, requestLeave) }
		d.meanwhile = func() error { return r.startAgain(ctx, d.victims) }
	case DuringServerStart:
		d.before = func() error {
			for _, server := range r.controls.servers {
				server.end(syscall.SIGTERM)
			}
			if err := r.controls.startAll(); err != nil {
				return err
			}
			return r.controls.ready(ctx)
		}
	case DuringRegionCut:
		d.victims = r.victims(i, Action{Kind: CutRegion})
		cut := d.victims[0].Region
		d.reachable = slices.DeleteFunc(slices.Clone(r.plan.Nodes), func(n NodePlan) bool { return n.Region == cut })
		d.before = func() error { return r.cut([]int{cut}) }
	case DuringServerFault:
		killed, stopped := r.controls.servers[1], r.controls.servers[2]
		d.meanwhile = func() error {
			killed.end(syscall.SIGKILL)
			stopped.signal(syscall.SIGSTOP)
			return nil
		}
		d.after = func() error {
			stopped.signal(syscall.SIGCONT)
			if err := killed.start(r.controls.program); err != nil {
				return err
			}
			return r.controls.ready(ctx)
		}
	}
	return d
}

// measureChange makes a change, with what happens meanwhile, and keeps when the 50th and 99th of a hundred and the last
// reachable node had it.
func (r *run) measureChange(ctx context.Context, d disturbance, window float64) error {
	was := r.version
	if err := r.beginChange(was); err != nil {
		return err
	}
	var both errgroup.Group
	both.Go(func() (err error) {
		r.version, err = r.controls.apply(ctx, was)
		return err
	})
	both.Go(d.meanwhile)
	if err := both.Wait(); err != nil {
		return err
	}
	times, err := r.waitInForce(ctx, d.reachable, window)
	if err != nil {
		return err
	}
	r.keepInForce(d.name, times, len(d.reachable))
	return nil
}

// beginChange has every node that does not have a newer version in force than this one note when it has.
func (r *run) beginChange(was configfeed.Version) error {
	r.before = was
	r.reals.inForce.begin(was)
	_, err := r.hollows.all(request{Kind: requestChange, Version: was})
	return err
}

// waitInForce waits until so many nodes have the change, or the window is over.
func (r *run) waitInForce(ctx context.Context, reachable []NodePlan, window float64) (*hdrhistogram.Histogram, error) {
	for waited := 0.0; ; waited += changeGap {
		k, err := r.hollows.report()
		if err != nil {
			return nil, err
		}
		if k.inForce.TotalCount() >= int64(hollowOf(reachable)) || waited > window { // the real ones are asked last
			r.reals.configs(ctx)
			k.inForce.Merge(hdrhistogram.Import(r.reals.inForce.times()))
			if k.inForce.TotalCount() >= int64(len(reachable)) || waited > window {
				return k.inForce, ctx.Err()
			}
		}
		if err := sleep(ctx, changeGap); err != nil {
			return nil, err
		}
	}
}

// keepInForce keeps the times and judges them.
func (r *run) keepInForce(name string, times *hdrhistogram.Histogram, reachable int) {
	bound := r.script.Force
	part := float64(times.TotalCount()) / float64(reachable)
	at := func(percent float64) float64 { return float64(times.ValueAtQuantile(percent)) / 1e3 }
	last := float64(times.Max()) / 1e3
	add := func(cost, unit string, value float64) {
		r.add(Row{Kind: Fleet, OfKind: reachable, Phase: name, Cost: cost, Unit: unit, Value: value})
	}
	add("in_force_by", "part", part)
	add("in_force_50th", "s", at(50))
	add("in_force_99th", "s", at(99))
	add("in_force_last", "s", last)
	r.say("%s: in force at %.1f%% of %d nodes; 50th %.2f s, 99th %.2f, last %.2f", name, 100*part, reachable, at(50), at(99), last)
	if part < 1 || last > bound {
		r.broken(RuleForce, "%s: in force at %d of %d reachable nodes, at the last after %.2f s, and %g s is the bound", name,
			times.TotalCount(), reachable, last, bound)
	}
}

// returnRegion mends the ways of a region after the stated time, and measures when its nodes have the change.
func (r *run) returnRegion(ctx context.Context, d disturbance, a Action) error {
	if err := sleep(ctx, a.For); err != nil {
		return err
	}
	if err := r.beginChange(r.before); err != nil {
		return err
	}
	if err := r.cut(nil); err != nil {
		return err
	}
	times, err := r.waitInForce(ctx, d.victims, a.Window)
	if err != nil {
		return err
	}
	r.keepInForce(d.name+"-back", times, len(d.victims))
	return nil
}
