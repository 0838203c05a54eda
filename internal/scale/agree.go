package scale

import (
	"context"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gorseledge/internal/emulator/members"
)

const (
	introducePause = 25 * time.Millisecond // between two messages to one node
	introduceAgain = 5.0                   // seconds after which who does not know all is introduced again
	lookGap        = time.Second           // between two looks at what the nodes know
)

// meet waits until all know all. Where the run introduces them, it does so again while some do not: a message may have
// been lost on a busy machine.
func (r *run) meet(ctx context.Context) (took float64, err error) {
	if !r.script.Introduce {
		return r.converge(ctx, r.script.Settle)
	}
	for began := time.Now(); ; {
		if err := r.introduce(ctx, r.plan.Nodes, r.plan.Nodes); err != nil {
			return 0, err
		}
		took, err = r.converge(ctx, introduceAgain)
		if err != nil || took >= 0 {
			return took, err
		}
		if time.Since(began).Seconds() > r.script.Settle {
			return -1, nil
		}
	}
}

// unmet says who does not know whom; a fleet that never knew itself cannot be measured.
func (r *run) unmet(ctx context.Context) error {
	wrong, first, err := r.check(ctx)
	if err != nil {
		return err
	}
	return fmt.Errorf("%s (%g s): %d wrong, first: %s", RuleMeet, r.script.Settle, wrong, first)
}

// quiet waits until the nodes know the same and tell each other nothing new. On a machine that is too busy for the
// nodes' time-outs that may never be: each late answer is a suspicion, of which all are told.
func (r *run) quiet(ctx context.Context) error {
	for began := time.Now(); r.script.AtRest; {
		k, err := r.hollows.ask(request{Kind: requestReport, Digests: true})
		if err != nil {
			return err
		}
		if len(k.digests) <= 1 && float64(k.news) <= members.MaxIdlePendingUpdates*float64(k.nodes) {
			return nil
		}
		if waited := time.Since(began).Seconds(); waited > r.script.Quiet {
			r.broken(RuleRest, "after %.0f s the nodes know %d different states, and tell of %.1f members each", waited, len(k.digests),
				float64(k.news)/float64(k.nodes))
			return nil
		}
		if err := sleep(ctx, lookGap.Seconds()); err != nil {
			return err
		}
	}
	return nil
}

// introduce tells the nodes of to who the members are.
func (r *run) introduce(ctx context.Context, members, to []NodePlan) error {
	facts, err := r.facts(ctx, members)
	if err != nil {
		return err
	}
	var addresses []string
	for _, n := range to {
		addresses = append(addresses, n.Address)
	}
	return r.plan.introduce(ctx, facts, addresses)
}

// facts gives what nodes tell of themselves now.
func (r *run) facts(ctx context.Context, nodes []NodePlan) ([]memberFacts, error) {
	facts, err := r.reals.facts(ctx, nodes)
	if err != nil {
		return nil, err
	}
	of := map[string]bool{}
	for _, n := range nodes {
		of[n.Name] = true
	}
	replies, err := r.hollows.all(request{Kind: requestMembers})
	if err != nil {
		return nil, err
	}
	for _, a := range replies {
		for _, m := range a.Members {
			if of[m.Name] {
				facts = append(facts, m)
			}
		}
	}
	return facts, nil
}

// converge waits until every node holds as many members for living as there are nodes, and gives the seconds that it
// took; -1 where that was too long.
func (r *run) converge(ctx context.Context, within float64) (took float64, err error) {
	for began := time.Now(); ; {
		agree, err := r.agree(ctx)
		if err != nil {
			return 0, err
		}
		switch took = time.Since(began).Seconds(); {
		case agree:
			return took, nil
		case took > within:
			return -1, nil
		}
		if err := sleep(ctx, lookGap.Seconds()); err != nil {
			return 0, err
		}
	}
}

// agree tells whether every node holds as many members for living as there are nodes.
func (r *run) agree(ctx context.Context) (bool, error) {
	known, err := r.hollows.report()
	if err != nil {
		return false, err
	}
	size := len(r.plan.Nodes)
	for _, s := range known.living {
		if s.Least != size || s.Most != size {
			return false, nil
		}
	}
	views := r.reals.views(ctx)
	for _, v := range views {
		if v.LiveCount != size {
			return false, nil
		}
	}
	back := known.back.TotalCount() + hdrhistogram.Import(r.reals.watch.seen().Back).TotalCount()
	return len(views) == r.script.Real && back >= r.expected, ctx.Err()
}

// check counts who holds whom wrongly while all nodes run.
func (r *run) check(ctx context.Context) (wrong int, first string, err error) {
	all := map[string]bool{}
	e := expectation{}
	for _, n := range r.plan.Nodes {
		all[n.Name] = true
		e.Names = append(e.Names, n.Name)
	}
	var expected []expectation
	for region := range r.script.ZonesOf {
		e.Region = region
		expected = append(expected, e)
	}
	replies, err := r.hollows.all(request{Kind: requestCheck, Expected: expected})
	if err != nil {
		return 0, "", err
	}
	note := func(n int, why string) {
		if wrong += n; first == "" {
			first = why
		}
	}
	for _, a := range replies {
		note(a.Wrong, a.First)
	}
	for _, v := range r.reals.views(ctx) {
		note(disagreement(v, all))
	}
	return wrong, first, nil
}
