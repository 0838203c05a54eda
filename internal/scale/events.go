package scale

import (
	"context"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
)

// event brings an action about and measures what it costs and when it is known.
func (r *run) event(ctx context.Context, i int, a Action) error {
	if err := sleep(ctx, r.script.Pause); err != nil {
		return err
	}
	victims := r.victims(i, a)
	name := string(a.Kind)
	if again := slices.IndexFunc(r.script.Events, func(b Action) bool { return b.Kind == a.Kind }); again < i {
		name = fmt.Sprintf("%s-%d", a.Kind, i)
	}
	if err := r.watch(victims); err != nil {
		return err
	}
	before, err := r.sample(ctx)
	if err != nil {
		return err
	}
	r.say("%s: %d nodes, from %s", name, len(victims), victims[0].Name)
	if a.Kind != RestartSome {
		if err := r.fail(ctx, a, victims); err != nil {
			return err
		}
		failed, err := r.sample(ctx)
		if err != nil {
			return err
		}
		r.phase(name, before, failed)
		if err := r.tellKnown(name, "gone", victims); err != nil {
			return err
		}
		before, name = failed, name+"-back"
	}
	took, err := r.recover(ctx, a, victims)
	if err != nil {
		return err
	}
	after, err := r.sample(ctx)
	if err != nil {
		return err
	}
	r.phase(name, before, after)
	if a.Kind == RestartSome {
		if err := r.tellKnown(name, "gone", victims); err != nil {
			return err
		}
	}
	if err := r.tellKnown(name, "back", victims); err != nil {
		return err
	}
	if took >= 0 {
		r.add(Row{Kind: Fleet, Phase: name, Cost: "all_agree", Unit: "s", Value: took})
		r.say("%s: all agree after %.1f s", name, took)
		return nil
	}
	return r.settle(ctx, name, a, victims)
}

// fail brings about what fails, and waits for the stated time.
func (r *run) fail(ctx context.Context, a Action, victims []NodePlan) error {
	if a.Kind == CutRegion {
		if err := r.cut([]int{victims[0].Region}); err != nil {
			return err
		}
	} else if err := r.end(victims, requestKill); err != nil {
		return err
	}
	return sleep(ctx, a.For)
}

// recover brings back what failed, and waits until all agree or the window is over.
func (r *run) recover(ctx context.Context, a Action, victims []NodePlan) (took float64, err error) {
	switch a.Kind {
	case CutRegion:
		if err = r.cut(nil); err == nil {
			var members []memberFacts
			if members, err = r.facts(ctx, victims); err == nil {
				err = r.expectBack(members)
			}
		}
	case RestartSome:
		if err = r.end(victims, requestLeave); err == nil {
			err = r.startAgain(ctx, victims)
		}
	default:
		err = r.startAgain(ctx, victims)
	}
	if err != nil {
		return 0, err
	}
	return r.converge(ctx, a.Window)
}

// settle has all agree before the next event. Nodes that were started again learn of a large fleet by its exchange in
// minutes: after the window, in which that is measured, the run introduces them.
func (r *run) settle(ctx context.Context, name string, a Action, victims []NodePlan) error {
	r.say("%s: not all agree within %g s", name, a.Window)
	if a.Kind != CutRegion && r.script.Introduce {
		if err := r.introduce(ctx, r.plan.Nodes, victims); err != nil {
			return err
		}
		if err := r.introduce(ctx, victims, r.plan.Nodes); err != nil {
			return err
		}
	}
	took, err := r.converge(ctx, r.script.Agree)
	if err != nil || took >= 0 {
		return err
	}
	wrong, first, err := r.check(ctx)
	if err == nil && wrong > 0 {
		r.broken(RuleAgree, "%s, %g s after its window: %d wrong, first: %s", name, r.script.Agree, wrong, first)
	}
	return err
}

// victims draws the nodes that an action is about.
func (r *run) victims(i int, a Action) (out []NodePlan) {
	nodes := r.plan.Nodes
	draw := rand.New(rand.NewPCG(r.Seed, uint64(1000*len(nodes)+i)))
	pick := func(same func(NodePlan) bool) []NodePlan {
		return slices.DeleteFunc(slices.Clone(nodes), func(n NodePlan) bool { return !same(n) })
	}
	one := nodes[draw.IntN(len(nodes))]
	switch a.Kind {
	case KillOne:
		return []NodePlan{one}
	case RestartSome:
		for _, at := range draw.Perm(len(nodes))[:int(math.Ceil(a.Part*float64(len(nodes))))] {
			out = append(out, nodes[at])
		}
		return out
	case KillRack: // the first of its zone, which is full where any is
		return pick(func(n NodePlan) bool { return n.Zone == one.Zone && n.Rack == 0 })
	case KillZone:
		return pick(func(n NodePlan) bool { return n.Zone == one.Zone })
	default:
		return pick(func(n NodePlan) bool { return n.Region == len(r.script.ZonesOf)-1 })
	}
}

// watch has every node note when it knows of the victims.
func (r *run) watch(victims []NodePlan) error {
	var names []string
	for _, n := range victims {
		names = append(names, n.Name)
	}
	r.expected = 0
	r.reals.watch.reset(names)
	_, err := r.hollows.all(request{Kind: requestWatch, Names: names})
	return err
}

// expectBack has every node note when it knows that the victims are back.
func (r *run) expectBack(members []memberFacts) error {
	starts := map[string]uint64{}
	for _, m := range members {
		starts[m.Name] = m.Start
	}
	r.expected = int64(len(members) * (len(r.plan.Nodes) - len(members)))
	r.reals.watch.expect(starts)
	_, err := r.hollows.all(request{Kind: requestReturn, Members: members})
	return err
}

// end ends nodes, real and hollow.
func (r *run) end(victims []NodePlan, kind requestKind) error {
	r.reals.end(victims, kind)
	r.running.add(-hollowOf(victims))
	return r.hollows.end(victims, kind)
}

// startAgain starts nodes that were ended.
func (r *run) startAgain(ctx context.Context, victims []NodePlan) error {
	if err := r.reals.start(victims); err != nil {
		return err
	}
	r.running.add(hollowOf(victims))
	members, err := r.hollows.start(victims, r.hollowNode)
	if err != nil {
		return err
	}
	real, err := r.reals.facts(ctx, victims)
	if err != nil {
		return err
	}
	return r.expectBack(append(members, real...))
}

func hollowOf(plans []NodePlan) (n int) {
	for _, p := range plans {
		if !p.Real {
			n++
		}
	}
	return n
}

// cut cuts regions off from the others, or mends all ways.
func (r *run) cut(regions []int) error {
	network := &cutNetwork{regions: map[int]bool{}}
	for _, region := range regions {
		network.regions[region] = true
	}
	r.reals.cut(network)
	r.controls.cut(network)
	_, err := r.hollows.all(request{Kind: requestCut, CutRegions: regions})
	return err
}

// tellKnown keeps when the first and the last of those who are not victims knew that these are gone, or back.
func (r *run) tellKnown(phase, what string, victims []NodePlan) error {
	known, err := r.hollows.report()
	if err != nil {
		return err
	}
	known.see(r.reals.watch.seen())
	times := known.gone
	if what == "back" {
		times = known.back
	}
	pairs := float64(len(victims)) * float64(len(r.plan.Nodes)-len(victims))
	part := float64(times.TotalCount()) / pairs
	add := func(cost, unit string, value float64) {
		r.add(Row{Kind: Fleet, Phase: phase, Cost: what + "_" + cost, Unit: unit, Value: value})
	}
	add("known_by", "part", part)
	if times.TotalCount() == 0 {
		r.say("%s: %s: known to nobody", phase, what)
		return nil
	}
	at := func(percent float64) float64 { return float64(times.ValueAtQuantile(percent)) / 1e3 }
	add("first", "s", float64(times.Min())/1e3)
	add("50th", "s", at(50))
	add("99th", "s", at(99))
	add("last", "s", float64(times.Max())/1e3)
	r.say("%s: %s: %.1f%% know; first %.1f s, 50th %.1f, 99th %.1f, last %.1f", phase, what, 100*part,
		float64(times.Min())/1e3, at(50), at(99), float64(times.Max())/1e3)
	return nil
}

func sortedKeys[V any](of map[string]V) []string { return slices.Sorted(maps.Keys(of)) }
