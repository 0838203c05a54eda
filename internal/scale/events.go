package scale

import (
	"context"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
)

// event carries out the i-th event, which is not a configuration change: it injects and ends the failure, records the costs
// and the detection times, and waits until the fleet converges.
func (r *run) event(ctx context.Context, i int, a Action) error {
	if err := sleep(ctx, r.script.EventDelay); err != nil {
		return err
	}
	victims := r.chooseVictims(i, a)
	name := string(a.Kind)
	if again := slices.IndexFunc(r.script.Events, func(b Action) bool { return b.Kind == a.Kind }); again < i {
		name = fmt.Sprintf("%s-%d", a.Kind, i)
	}
	if err := r.watchMembers(victims); err != nil {
		return err
	}
	before, err := r.sample(ctx)
	if err != nil {
		return err
	}
	r.reportProgress("%s: %d nodes, from %s", name, len(victims), victims[0].Name)
	if a.Kind != RestartSome {
		if err := r.injectFailure(ctx, a, victims); err != nil {
			return err
		}
		failed, err := r.sample(ctx)
		if err != nil {
			return err
		}
		r.recordPhase(name, before, failed)
		if err := r.recordDetection(name, "gone", victims); err != nil {
			return err
		}
		before, name = failed, name+"-back"
	}
	took, err := r.endFailure(ctx, a, victims)
	if err != nil {
		return err
	}
	after, err := r.sample(ctx)
	if err != nil {
		return err
	}
	r.recordPhase(name, before, after)
	if a.Kind == RestartSome {
		if err := r.recordDetection(name, "gone", victims); err != nil {
			return err
		}
	}
	if err := r.recordDetection(name, "back", victims); err != nil {
		return err
	}
	if took >= 0 {
		r.addRow(Row{Kind: Fleet, Phase: name, Cost: "all_agree", Unit: "s", Value: took})
		r.reportProgress("%s: converged after %.1f s", name, took)
		return nil
	}
	return r.ensureConvergence(ctx, name, a, victims)
}

// injectFailure kills the victims or cuts off their region, and waits for the action's failure duration.
func (r *run) injectFailure(ctx context.Context, a Action, victims []NodePlan) error {
	if a.Kind == CutRegion {
		if err := r.cutRegions([]int{victims[0].Region}); err != nil {
			return err
		}
	} else if err := r.endNodes(victims, requestKill); err != nil {
		return err
	}
	return sleep(ctx, a.FailureDuration)
}

// endFailure restarts the victims or reconnects their region, and waits until the fleet converges or the window is over. It
// returns the seconds until convergence, or -1. If the action is a restart, endFailure first has the victims leave.
func (r *run) endFailure(ctx context.Context, a Action, victims []NodePlan) (took float64, err error) {
	switch a.Kind {
	case CutRegion:
		if err = r.cutRegions(nil); err == nil {
			var members []memberRecord
			if members, err = r.memberRecords(ctx, victims); err == nil {
				err = r.expectReturns(members)
			}
		}
	case RestartSome:
		if err = r.endNodes(victims, requestLeave); err == nil {
			err = r.restartNodes(ctx, victims)
		}
	default:
		err = r.restartNodes(ctx, victims)
	}
	if err != nil {
		return 0, err
	}
	return r.awaitConvergence(ctx, a.Window)
}

// ensureConvergence is called when the fleet has not converged within the window of an event, and waits until it converges,
// so that the next event starts with a converged fleet. Restarted nodes may take minutes to learn of a large fleet by state
// exchange. The window measures that exchange; after it, if the script asks for member lists and the event is not a region
// cut, the run sends the victims the member list and sends all nodes the victims' records. If the fleet still has not
// converged after the reconvergence time-out, ensureConvergence adds a violation that says what is missing.
func (r *run) ensureConvergence(ctx context.Context, name string, a Action, victims []NodePlan) error {
	r.reportProgress("%s: not converged within %g s", name, a.Window)
	if a.Kind != CutRegion && r.script.SendMembers {
		if err := r.sendMembers(ctx, r.plan.Nodes, victims); err != nil {
			return err
		}
		if err := r.sendMembers(ctx, victims, r.plan.Nodes); err != nil {
			return err
		}
	}
	took, err := r.awaitConvergence(ctx, r.script.ReconvergenceTimeout)
	if err != nil || took >= 0 {
		return err
	}
	missing, err := r.missingForConvergence(ctx)
	if err == nil && missing.any() {
		r.addViolation(RuleEventConvergence, "%s, %g s after its window: %s", name, r.script.ReconvergenceTimeout, missing)
	}
	return err
}

// chooseVictims selects the nodes that the i-th event affects. For one script, the choice depends only on the seed, the
// fleet size, i and a.
func (r *run) chooseVictims(i int, a Action) (out []NodePlan) {
	nodes := r.plan.Nodes
	random := rand.New(rand.NewPCG(r.Seed, uint64(1000*len(nodes)+i)))
	pick := func(same func(NodePlan) bool) []NodePlan {
		return slices.DeleteFunc(slices.Clone(nodes), func(n NodePlan) bool { return !same(n) })
	}
	one := nodes[random.IntN(len(nodes))]
	switch a.Kind {
	case KillOne:
		return []NodePlan{one}
	case RestartSome:
		for _, at := range random.Perm(len(nodes))[:int(math.Ceil(a.Fraction*float64(len(nodes))))] {
			out = append(out, nodes[at])
		}
		return out
	case KillRack: // the first rack of the zone, which is full if any rack of the zone is
		return pick(func(n NodePlan) bool { return n.Zone == one.Zone && n.Rack == 0 })
	case KillZone:
		return pick(func(n NodePlan) bool { return n.Zone == one.Zone })
	default:
		return pick(func(n NodePlan) bool { return n.Region == len(r.script.ZonesPerRegion)-1 })
	}
}

// watchMembers starts recording when each node sees the victims as dead or left, and forgets earlier records.
func (r *run) watchMembers(victims []NodePlan) error {
	var names []string
	for _, n := range victims {
		names = append(names, n.Name)
	}
	r.expectedReturns = 0
	r.reals.watch.reset(names)
	_, err := r.hollows.requestAll(request{Kind: requestWatchDepartures, Names: names})
	return err
}

// expectReturns starts recording when each other node sees the members, which are the watched ones, as live again.
func (r *run) expectReturns(members []memberRecord) error {
	starts := map[string]uint64{}
	for _, m := range members {
		starts[m.Name] = m.Start
	}
	r.expectedReturns = int64(len(members) * (len(r.plan.Nodes) - len(members)))
	r.reals.watch.expect(starts)
	_, err := r.hollows.requestAll(request{Kind: requestWatchReturns, Members: members})
	return err
}

// endNodes stops real and hollow nodes: abruptly if kind is requestKill, gracefully if it is requestLeave.
func (r *run) endNodes(victims []NodePlan, kind requestKind) error {
	r.reals.end(victims, kind)
	r.running.add(-countHollow(victims))
	return r.hollows.end(victims, kind)
}

// restartNodes starts nodes that have ended, and starts recording when the other nodes see them as live again.
func (r *run) restartNodes(ctx context.Context, victims []NodePlan) error {
	if err := r.reals.start(victims); err != nil {
		return err
	}
	r.running.add(countHollow(victims))
	members, err := r.hollows.start(victims, r.hollowNode)
	if err != nil {
		return err
	}
	real, err := r.reals.memberRecords(ctx, victims)
	if err != nil {
		return err
	}
	return r.expectReturns(append(members, real...))
}

func countHollow(plans []NodePlan) (n int) {
	for _, p := range plans {
		if !p.Real {
			n++
		}
	}
	return n
}

// cutRegions cuts regions off from all others; without regions it ends all cuts.
func (r *run) cutRegions(regions []int) error {
	network := &cutNetwork{regions: map[int]bool{}}
	for _, region := range regions {
		network.regions[region] = true
	}
	r.reals.cut(network)
	r.controls.cut(network)
	_, err := r.hollows.requestAll(request{Kind: requestCut, CutRegions: regions})
	return err
}

// recordDetection adds rows for the fraction of pairs of another node and a victim in which the node saw that the victim
// was gone or back, as what states, and for the times until it did.
func (r *run) recordDetection(phase, what string, victims []NodePlan) error {
	report, err := r.hollows.report()
	if err != nil {
		return err
	}
	report.addWatch(r.reals.watch.report())
	times := report.departed
	if what == "back" {
		times = report.returned
	}
	pairs := float64(len(victims)) * float64(len(r.plan.Nodes)-len(victims))
	fraction := float64(times.TotalCount()) / pairs
	add := func(cost, unit string, value float64) {
		r.addRow(Row{Kind: Fleet, Phase: phase, Cost: what + "_" + cost, Unit: unit, Value: value})
	}
	add("known_by", "part", fraction)
	if times.TotalCount() == 0 {
		r.reportProgress("%s: %s: no node knows", phase, what)
		return nil
	}
	at := func(percent float64) float64 { return float64(times.ValueAtQuantile(percent)) / 1e3 }
	add("first", "s", float64(times.Min())/1e3)
	add("50th", "s", at(50))
	add("99th", "s", at(99))
	add("last", "s", float64(times.Max())/1e3)
	r.reportProgress("%s: %s: %.1f%% know; first %.1f s, 50th %.1f, 99th %.1f, last %.1f", phase, what, 100*fraction,
		float64(times.Min())/1e3, at(50), at(99), float64(times.Max())/1e3)
	return nil
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
