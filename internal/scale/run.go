package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/emulator/members"
)

const (
	introducePause = 25 * time.Millisecond // between two messages to one node
	introduceAgain = 5.0                   // seconds after which who does not know all is introduced again
	lookGap        = time.Second           // between two looks at what the nodes know
)

// Options are how a script is played.
type Options struct {
	Program  string   // the built node
	Control  string   // the built control server; needed where the script asks for some
	Hollow   []string // command that runs ServeHollow on its standard input and output
	Seed     uint64
	Dir      string            // for the real nodes' directories
	Progress func(line string) // told as it goes; may be nil
}

// Break is a bound that did not hold.
type Break struct {
	Rule string
	Text string
}

func (b Break) String() string { return b.Rule + ": " + b.Text }

// The rules of a run.
const (
	RuleMeet      = "all know all within the stated time after the start"
	RuleAgree     = "all agree within the stated time after an event"
	RuleRest      = "the fleet comes to rest within the stated time"
	RuleTruth     = "hollow and real nodes agree in messages and bytes"
	RuleVirtual   = "the virtual clock agrees with hollow and real nodes"
	RuleCPU       = "a node's CPU is within its bound"
	RuleMemory    = "a node's memory is within its bound"
	RuleBandwidth = "a node's bytes are within their bound"
	RuleForce     = "a change is in force at every reachable node within its bound"
	RuleExit      = "no process ends by itself"
)

// Result is what a fleet of one size showed.
type Result struct {
	Size   int
	Real   int
	Events int
	Rows   []Row
	Breaks []Break
}

// run is a fleet under way.
type run struct {
	Options
	script   *Script
	plan     *Plan
	controls *controls          // nil where the script asks for none
	version  configfeed.Version // that is in force
	before   configfeed.Version // that was in force before the last change
	reals    *reals
	hollows  *hollows
	running  running
	expected int64 // pairs of a node and a member that it is to know as back
	virtual  <-chan virtualRest
	build    string
	result   *Result
	began    time.Time
}

// Play plays a script with a fleet of one size. Whatever happens, nothing that it started is left when it returns. With
// an error it gives what was measured before, or nil.
func Play(ctx context.Context, s *Script, size int, o Options) (*Result, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	p, err := newPlan(s, size, o.Seed)
	if err != nil {
		return nil, err
	}
	defer p.close()
	r := &run{Options: o, script: s, plan: p, began: time.Now(), result: &Result{Size: size, Real: s.Real, Events: len(s.Events)}}
	dir := filepath.Join(o.Dir, fmt.Sprint(size))
	if len(s.Control) > 0 {
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return nil, err
		}
		if r.controls, err = startControls(ctx, s, p, o.Control, dir, o.Seed); err != nil {
			return nil, err
		}
		defer r.controls.close()
		p.follow(r.controls)
	}
	if r.reals, err = startReals(s, p, o.Program, dir, o.Seed); err != nil {
		return nil, err
	}
	defer r.reals.close()
	processes := 0
	regions := map[string]int{}
	for _, n := range p.Nodes {
		processes = max(processes, n.Process+1)
		regions[n.Address] = n.Region
	}
	if r.hollows, err = startHollows(o.Hollow, processes, regions); err != nil {
		return nil, err
	}
	defer r.hollows.close()
	defer r.hollows.wait(ctx)()
	go r.guard(ctx, cancel)
	if err := r.play(ctx); err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return r.result, err
	}
	return r.result, nil
}

// play starts the fleet, measures it at rest, and brings the events about.
func (r *run) play(ctx context.Context) error {
	if err := r.start(ctx); err != nil {
		return err
	}
	flowing, stopFlows := context.WithCancel(ctx)
	defer stopFlows()
	r.reals.nodes.Traffic(flowing, ctx)
	if err := r.rest(ctx); err != nil {
		return err
	}
	for i, a := range r.script.Events {
		bring := r.event
		if a.Kind == Change {
			bring = r.change
		}
		if err := bring(ctx, i, a); err != nil {
			return err
		}
	}
	for _, e := range r.reals.ended() {
		r.broken(RuleExit, "%s", e)
	}
	r.say("clients: %s", r.reals.flows())
	return nil
}

// start starts all nodes and waits until they know each other.
func (r *run) start(ctx context.Context) error {
	plans := r.plan.Nodes
	real, err := r.reals.facts(ctx, plans)
	if err != nil {
		return err
	}
	r.build = real[0].Build
	before, err := r.sample(ctx)
	if err != nil {
		return err
	}
	if _, err := r.hollows.start(plans, r.hollowNode); err != nil {
		return err
	}
	r.running.add(len(plans) - r.script.Real)
	r.say("%d hollow nodes in %d processes run beside %d real ones, %.1f s after the start", len(plans)-r.script.Real,
		len(r.hollows.of), r.script.Real, time.Since(r.began).Seconds())
	if r.script.Virtual {
		r.virtual = r.playVirtual(ctx)
	}
	took, err := r.meet(ctx)
	if err != nil {
		return err
	}
	after, err := r.sample(ctx)
	if err != nil {
		return err
	}
	r.phase("start", before, after)
	if took < 0 {
		return r.unmet(ctx)
	}
	r.add(Row{Kind: Fleet, Phase: "start", Cost: "all_know_all", Unit: "s", Value: time.Since(r.began).Seconds()})
	r.say("all know all")
	return nil
}

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

// rest measures the fleet while nothing happens to it.
func (r *run) rest(ctx context.Context) error {
	if err := r.quiet(ctx); err != nil {
		return err
	}
	before, err := r.sample(ctx)
	if err != nil {
		return err
	}
	r.say("at rest, for %g s", r.script.Rest)
	if err := sleep(ctx, r.script.Rest); err != nil {
		return err
	}
	after, err := r.sample(ctx)
	if err != nil {
		return err
	}
	hollow, real := r.phase("rest", before, after)
	r.judgeRest(hollow, real)
	if r.script.Virtual {
		return r.judgeVirtual(ctx, hollow, real)
	}
	return nil
}

// quiet waits until the nodes know the same and tell each other nothing new. On a machine that is too busy for the
// nodes' time-outs that may never be: each late answer is a suspicion, of which all are told.
func (r *run) quiet(ctx context.Context) error {
	for began := time.Now(); r.script.AtRest; {
		k, err := r.hollows.ask(request{Kind: requestReport, Digests: true})
		if err != nil {
			return err
		}
		if len(k.digests) <= 1 && float64(k.news) <= members.RestNews*float64(k.nodes) {
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

// hollowNode is what a hollow process needs to know of a node.
func (r *run) hollowNode(n NodePlan) hollowNode {
	var number uint64
	fmt.Sscanf(n.Name, "n%d", &number)
	return hollowNode{Name: n.Name, Region: n.Region, Seed: r.Seed*31 + number, Build: r.build, Settled: len(r.plan.Nodes),
		Fleet: r.plan.file(r.script, n)}
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
		if v.Living != size {
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

// phase keeps the costs between two samples, of hollow and of real nodes.
func (r *run) phase(name string, before, after sample) (hollow, real costs) {
	hollow, real = hollowCosts(before, after), realCosts(before, after)
	for _, of := range []struct {
		kind Kind
		costs
	}{{Hollow, hollow}, {Real, real}, {Server, serverCosts(before, after, hollow, real)}} {
		if of.nodes == 0 {
			continue
		}
		total := of.total()
		add := func(cost, unit string, value float64) {
			r.add(Row{Kind: of.kind, OfKind: of.nodes, Phase: name, Cost: cost, Unit: unit, Value: value})
		}
		add("cpu", "cores", of.cpu)
		add("memory", "B", of.memory)
		if of.kind == Hollow {
			add("suspicions", "1/s", of.suspicions)
		}
		if of.slope != 0 {
			add("memory_slope", "B", of.slope)
			add("memory_of_process", "B", of.base)
		}
		of.traffic["all"] = total
		for _, kind := range sortedKeys(of.traffic) {
			t := of.traffic[kind]
			add("sent_messages."+kind, "1/s", t.sentMessages)
			add("sent_bytes."+kind, "B/s", t.sentBytes)
			add("received_messages."+kind, "1/s", t.receivedMessages)
			add("received_bytes."+kind, "B/s", t.receivedBytes)
		}
		delete(of.traffic, "all")
		r.say("%s, %s: %.3f%% of a core, %.1f MB, sent %.2f messages and %.0f bytes a second", name, of.kind, 100*of.cpu,
			of.memory/1e6, total.sentMessages, total.sentBytes)
	}
	return hollow, real
}

func (r *run) add(row Row) {
	row.Nodes = r.result.Size
	if row.OfKind == 0 {
		row.OfKind = r.result.Size
	}
	r.result.Rows = append(r.result.Rows, row)
}

func (r *run) broken(rule, format string, args ...any) {
	b := Break{rule, fmt.Sprintf(format, args...)}
	r.result.Breaks = append(r.result.Breaks, b)
	r.say("broken: %s", b)
}

func (r *run) say(format string, args ...any) {
	if r.Progress != nil {
		r.Progress(fmt.Sprintf("%4d nodes %5.1f s  ", r.result.Size, time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...))
	}
}

// sleep waits for seconds.
func sleep(ctx context.Context, seconds float64) error {
	select {
	case <-time.After(time.Duration(seconds * 1e9)):
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

var errBound = errors.New("the run was ended before its bound")
