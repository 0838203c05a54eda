package scale

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"gorseledge/internal/configfeed"
)

// Options say how a script is run.
type Options struct {
	Program  string   // the built node
	Control  string   // the built control server; needed where the script asks for some
	Hollow   []string // command that runs ServeHollow on its standard input and output
	Seed     uint64
	Dir      string            // for the real nodes' directories
	Progress func(line string) // receives progress lines; may be nil
}

// Violation is a rule of a run that did not hold, with what was measured.
type Violation struct {
	Rule string
	Text string
}

// String returns the violation on one line.
func (v Violation) String() string { return v.Rule + ": " + v.Text }

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
	Size       int
	Real       int
	Events     int
	Rows       []Row
	Violations []Violation
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

// Run runs a script with a fleet of one size. When it returns, nothing that it started is running, also after an error.
// With an error it returns the result of what was measured before, or nil.
func Run(ctx context.Context, s *Script, size int, o Options) (*Result, error) {
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

// hollowNode is what a hollow process needs to know of a node.
func (r *run) hollowNode(n NodePlan) hollowNode {
	var number uint64
	fmt.Sscanf(n.Name, "n%d", &number)
	return hollowNode{Name: n.Name, Region: n.Region, Seed: r.Seed*31 + number, Build: r.build, Settled: len(r.plan.Nodes),
		Fleet: r.plan.file(r.script, n)}
}

func (r *run) add(row Row) {
	row.Nodes = r.result.Size
	if row.OfKind == 0 {
		row.OfKind = r.result.Size
	}
	r.result.Rows = append(r.result.Rows, row)
}

func (r *run) broken(rule, format string, args ...any) {
	v := Violation{rule, fmt.Sprintf(format, args...)}
	r.result.Violations = append(r.result.Violations, v)
	r.say("broken: %s", v)
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
