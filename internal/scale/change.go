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

// Disturbance is what happens to the fleet while a configuration change is applied.
type Disturbance string

// The kinds of Disturbance.
const (
	DisturbanceNone        Disturbance = ""
	DisturbanceRestart     Disturbance = "restart"      // a fraction of the nodes leaves and is restarted at once
	DisturbanceServerFault Disturbance = "server-fault" // a control server is killed and another one is suspended by SIGSTOP
	DisturbanceServerStart Disturbance = "server-start" // all control servers are restarted before the change
	DisturbanceRegionCut   Disturbance = "region-cut"   // a region is cut off from all others
)

// inForcePollInterval is the time in seconds between two reads of how many nodes have a change in force.
const inForcePollInterval = 0.1

// changeSteps are the steps around one configuration change.
type changeSteps struct {
	phase        string       // name of the phase in the rows
	reachable    []NodePlan   // nodes that the change is expected to reach
	disturbed    []NodePlan   // nodes that are restarted or cut off
	before       func() error // runs before the change is applied
	concurrently func() error // runs at the same time as the change is applied
	after        func() error // undoes the disturbance once the change has been measured
}

// change carries out the i-th event, a configuration change: it applies a new revision during the action's disturbance,
// measures when each node has the revision in force and what the phase costs, ends the disturbance and waits until the
// fleet converges.
func (r *run) change(ctx context.Context, i int, a Action) error {
	if err := sleep(ctx, r.script.EventDelay); err != nil {
		return err
	}
	d := r.planChange(ctx, i, a)
	if err := r.watchMembers(d.disturbed); err != nil {
		return err
	}
	before, err := r.sample(ctx)
	if err != nil {
		return err
	}
	r.reportProgress("%s", d.phase)
	if err := d.before(); err != nil {
		return err
	}
	if err := r.measureChange(ctx, d, a.Window); err != nil {
		return err
	}
	if err := sleep(ctx, r.script.MinChangeDuration-time.Since(before.at).Seconds()); err != nil {
		return err
	}
	after, err := r.sample(ctx)
	if err != nil {
		return err
	}
	r.recordPhase(d.phase, before, after)
	if err := d.after(); err != nil {
		return err
	}
	if a.Disturbance == DisturbanceRegionCut {
		if err := r.reconnectRegion(ctx, d, a); err != nil {
			return err
		}
	}
	took, err := r.awaitConvergence(ctx, a.Window)
	if err != nil || took >= 0 {
		return err
	}
	return r.ensureConvergence(ctx, d.phase, a, d.disturbed)
}

// planChange returns the steps of the i-th event, a configuration change with its disturbance.
func (r *run) planChange(ctx context.Context, i int, a Action) changeSteps {
	noop := func() error { return nil }
	d := changeSteps{phase: string(Change), reachable: r.plan.Nodes, before: noop, concurrently: noop, after: noop}
	if a.Disturbance != DisturbanceNone {
		d.phase = fmt.Sprintf("%s-%s", Change, a.Disturbance)
	}
	switch a.Disturbance {
	case DisturbanceRestart:
		d.phase = fmt.Sprintf("%s-%g", d.phase, a.Fraction)
		d.disturbed = r.chooseVictims(i, Action{Kind: RestartSome, Fraction: a.Fraction})
		d.before = func() error { return r.endNodes(d.disturbed, requestLeave) }
		d.concurrently = func() error { return r.restartNodes(ctx, d.disturbed) }
	case DisturbanceServerStart:
		d.before = func() error {
			for _, server := range r.controls.servers {
				server.end(syscall.SIGTERM)
			}
			if err := r.controls.startAll(); err != nil {
				return err
			}
			return r.controls.ready(ctx)
		}
	case DisturbanceRegionCut:
		d.disturbed = r.chooseVictims(i, Action{Kind: CutRegion})
		cut := d.disturbed[0].Region
		d.reachable = slices.DeleteFunc(slices.Clone(r.plan.Nodes), func(n NodePlan) bool { return n.Region == cut })
		d.before = func() error { return r.cutRegions([]int{cut}) }
	case DisturbanceServerFault:
		killed, stopped := r.controls.servers[1], r.controls.servers[2]
		d.concurrently = func() error {
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

// measureChange applies a change at the same time as the concurrent disturbance, waits until all reachable nodes
// have the change in force or the window is over, and records the percentiles of their delays.
func (r *run) measureChange(ctx context.Context, d changeSteps, window float64) error {
	previous := r.version
	if err := r.beginChange(previous); err != nil {
		return err
	}
	var both errgroup.Group
	both.Go(func() (err error) {
		r.version, err = r.controls.apply(ctx, previous)
		return err
	})
	both.Go(d.concurrently)
	if err := both.Wait(); err != nil {
		return err
	}
	delays, err := r.awaitInForce(ctx, d.reachable, window)
	if err != nil {
		return err
	}
	r.recordInForce(d.phase, delays, len(d.reachable))
	return nil
}

// beginChange starts recording, for hollow and real nodes, when each puts in force a version newer than previous.
func (r *run) beginChange(previous configfeed.Version) error {
	r.previousVersion = previous
	r.reals.inForce.begin(previous)
	_, err := r.hollows.requestAll(request{Kind: requestWatchInForce, Version: previous})
	return err
}

// awaitInForce waits until all reachable nodes have the change in force or the window is over, and returns the delays in
// milliseconds of the nodes that have it. The window counts the pauses between polls, not the polls themselves. The real
// nodes are polled only when enough hollow nodes have the change or the window is over.
func (r *run) awaitInForce(ctx context.Context, reachable []NodePlan, window float64) (*hdrhistogram.Histogram, error) {
	for waited := 0.0; ; waited += inForcePollInterval {
		report, err := r.hollows.report()
		if err != nil {
			return nil, err
		}
		if report.inForce.TotalCount() >= int64(countHollow(reachable)) || waited > window {
			r.reals.configs(ctx)
			report.inForce.Merge(hdrhistogram.Import(r.reals.inForce.snapshot()))
			if report.inForce.TotalCount() >= int64(len(reachable)) || waited > window {
				return report.inForce, ctx.Err()
			}
		}
		if err := sleep(ctx, inForcePollInterval); err != nil {
			return nil, err
		}
	}
}

// recordInForce adds rows for the delays, in milliseconds, and a violation if the last node exceeded the bound or a
// reachable node never had the change in force.
func (r *run) recordInForce(name string, delays *hdrhistogram.Histogram, reachable int) {
	bound := r.script.InForceBound
	fraction := float64(delays.TotalCount()) / float64(reachable)
	at := func(percent float64) float64 { return float64(delays.ValueAtQuantile(percent)) / 1e3 }
	last := float64(delays.Max()) / 1e3
	add := func(cost, unit string, value float64) {
		r.addRow(Row{Kind: Fleet, NodesOfKind: reachable, Phase: name, Cost: cost, Unit: unit, Value: value})
	}
	add("in_force_by", "part", fraction)
	add("in_force_50th", "s", at(50))
	add("in_force_99th", "s", at(99))
	add("in_force_last", "s", last)
	r.reportProgress("%s: in force at %.1f%% of %d nodes; 50th %.2f s, 99th %.2f, last %.2f", name, 100*fraction, reachable,
		at(50), at(99), last)
	if fraction < 1 || last > bound {
		r.addViolation(RuleInForce, "%s: in force at %d of %d reachable nodes, at the last one after %.2f s; the bound is %g s", name,
			delays.TotalCount(), reachable, last, bound)
	}
}

// reconnectRegion ends a region's cut after the action's failure duration, and measures how soon after that the region's
// nodes have the change in force.
func (r *run) reconnectRegion(ctx context.Context, d changeSteps, a Action) error {
	if err := sleep(ctx, a.FailureDuration); err != nil {
		return err
	}
	if err := r.beginChange(r.previousVersion); err != nil {
		return err
	}
	if err := r.cutRegions(nil); err != nil {
		return err
	}
	delays, err := r.awaitInForce(ctx, d.disturbed, a.Window)
	if err != nil {
		return err
	}
	r.recordInForce(d.phase+"-back", delays, len(d.disturbed))
	return nil
}
