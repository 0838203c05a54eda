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

// Options are the programs, the seed and the directory with which a script is run.
type Options struct {
	Program  string   // path of the built node program
	Control  string   // path of the built control server program; required if the script asks for control servers
	Hollow   []string // command that runs ServeHollow on its standard input and output
	Seed     uint64
	Dir      string            // parent of the directories of real nodes and control servers
	Progress func(line string) // receives progress lines; may be nil
}

// Violation is a rule of a run that did not hold, and a text that states the measured values.
type Violation struct {
	Rule string
	Text string
}

// String returns the violation on one line.
func (v Violation) String() string { return v.Rule + ": " + v.Text }

// The rules of a run.
const (
	RuleStartConvergence  = "all nodes know each other within the start time-out"
	RuleEventConvergence  = "the fleet converges within the stated time after an event"
	RuleQuiescence        = "the fleet is quiescent within the stated time"
	RuleHollowMatchesReal = "hollow and real nodes exchange the same messages and bytes"
	RuleVirtualMatches    = "members on the virtual clock send the same messages and bytes as nodes"
	RuleCPU               = "a node's CPU is within its bound"
	RuleMemory            = "a node's memory is within its bound"
	RuleBandwidth         = "a node's bytes are within their bound"
	RuleInForce           = "a change is in force at every reachable node within its bound"
	RuleNoUnexpectedExit  = "no process exits on its own"
)

// Result holds the measurements and violations of a fleet of one size.
type Result struct {
	Size       int
	Real       int
	Events     int
	Rows       []Row
	Violations []Violation
}

// run is the state of a running fleet.
type run struct {
	Options
	script          *Script
	plan            *Plan
	controls        *controlServers    // nil if the script asks for none
	version         configfeed.Version // version that was applied last
	previousVersion configfeed.Version // version that was in force before the last change
	reals           *realNodes
	hollows         *hollowHosts
	running         running
	expectedReturns int64 // number of pairs of a node and a returned member that the node must see as live
	virtual         <-chan virtualRest
	build           string
	result          *Result
	began           time.Time
}

// Run runs a script with a fleet of one size. When Run returns, with or without an error, no process that it started is
// running. A result that is returned with an error holds what was measured before the error; it is nil if the
// network, the files or the processes of the run could not be set up.
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
	if len(s.ControlServers) > 0 {
		if err := os.MkdirAll(dir, 0o755); err != nil {
			return nil, err
		}
		if r.controls, err = startControls(ctx, s, p, o.Control, dir, o.Seed); err != nil {
			return nil, err
		}
		defer r.controls.close()
		p.followControlServers(r.controls)
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
	defer r.hollows.killOnCancel(ctx)()
	go r.enforceLimits(ctx, cancel)
	if err := r.runScript(ctx); err != nil {
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return r.result, err
	}
	return r.result, nil
}

// runScript starts the fleet, starts the clients' flows, measures the fleet at rest and carries out the events. At the end
// it adds a violation for each process that exited unexpectedly.
func (r *run) runScript(ctx context.Context) error {
	if err := r.start(ctx); err != nil {
		return err
	}
	flowing, stopFlows := context.WithCancel(ctx)
	defer stopFlows()
	r.reals.rigNodes.Traffic(flowing, ctx)
	if err := r.measureRest(ctx); err != nil {
		return err
	}
	for i, a := range r.script.Events {
		carryOut := r.event
		if a.Kind == Change {
			carryOut = r.change
		}
		if err := carryOut(ctx, i, a); err != nil {
			return err
		}
	}
	for _, e := range r.reals.unexpectedExits() {
		r.addViolation(RuleNoUnexpectedExit, "%s", e)
	}
	r.reportProgress("clients: %s", r.reals.flows())
	return nil
}

// start waits until the real nodes are ready, starts the hollow nodes, waits until all nodes know each other, and records
// the costs of the phase.
func (r *run) start(ctx context.Context) error {
	plans := r.plan.Nodes
	real, err := r.reals.memberRecords(ctx, plans)
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
	r.reportProgress("%d hollow nodes in %d processes and %d real nodes run, %.1f s after the start", len(plans)-r.script.Real,
		len(r.hollows.hosts), r.script.Real, time.Since(r.began).Seconds())
	if r.script.Virtual {
		r.virtual = r.runVirtual(ctx)
	}
	took, err := r.awaitStartConvergence(ctx)
	if err != nil {
		return err
	}
	after, err := r.sample(ctx)
	if err != nil {
		return err
	}
	r.recordPhase("start", before, after)
	if took < 0 {
		return r.startConvergenceError(ctx)
	}
	r.addRow(Row{Kind: Fleet, Phase: "start", Cost: "all_know_all", Unit: "s", Value: time.Since(r.began).Seconds()})
	r.reportProgress("all nodes know each other")
	return nil
}

// measureRest records the costs of the fleet while no event disturbs it, and compares them with each other and with the
// bounds.
func (r *run) measureRest(ctx context.Context) error {
	if err := r.awaitQuiescence(ctx); err != nil {
		return err
	}
	before, err := r.sample(ctx)
	if err != nil {
		return err
	}
	r.reportProgress("at rest, for %g s", r.script.RestDuration)
	if err := sleep(ctx, r.script.RestDuration); err != nil {
		return err
	}
	after, err := r.sample(ctx)
	if err != nil {
		return err
	}
	hollow, real := r.recordPhase("rest", before, after)
	r.checkRest(hollow, real)
	if r.script.Virtual {
		return r.checkVirtual(ctx, hollow, real)
	}
	return nil
}

// hollowNode returns what a hollow process needs to start a node.
func (r *run) hollowNode(n NodePlan) hollowNode {
	var number uint64
	fmt.Sscanf(n.Name, "n%d", &number)
	return hollowNode{Name: n.Name, Region: n.Region, Seed: r.Seed*31 + number, Build: r.build, ConfiguredNodes: len(r.plan.Nodes),
		Fleet: r.plan.fleetFile(r.script, n)}
}

func (r *run) addRow(row Row) {
	row.Nodes = r.result.Size
	if row.NodesOfKind == 0 {
		row.NodesOfKind = r.result.Size
	}
	r.result.Rows = append(r.result.Rows, row)
}

func (r *run) addViolation(rule, format string, args ...any) {
	v := Violation{rule, fmt.Sprintf(format, args...)}
	r.result.Violations = append(r.result.Violations, v)
	r.reportProgress("broken: %s", v)
}

func (r *run) reportProgress(format string, args ...any) {
	if r.Progress != nil {
		r.Progress(fmt.Sprintf("%4d nodes %5.1f s  ", r.result.Size, time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...))
	}
}

// sleep waits for seconds. If the context ends first, sleep returns the context's cause.
func sleep(ctx context.Context, seconds float64) error {
	select {
	case <-time.After(time.Duration(seconds * 1e9)):
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

var errLimit = errors.New("run ended before it exceeded a limit")
