package scale

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"gorseledge/internal/fleet/view"
	"gorseledge/internal/membership"
	"gorseledge/internal/rig"
)

// realNodes are the real nodes of a run, and the relays between those of different regions.
type realNodes struct {
	rigNodes *rig.Nodes
	nodes    []*realNode
	relays   map[[2]int]*rig.Relay
	watch    *watch
	inForce  *inForceDelays
	mu       sync.Mutex
	exits    []string     // descriptions of processes that exited without being stopped by the run
	stopped  map[int]bool // by index in nodes: whether the run has stopped the node
}

// realNode is one real node.
type realNode struct {
	plan NodePlan
	node *rig.Node
}

const nodeReadyTimeout = 30 * time.Second // time for real nodes to become ready

// startReals starts the plan's real nodes. If it returns an error, none of them is left running.
func startReals(s *Script, p *Plan, program, dir string, seed uint64) (r *realNodes, err error) {
	r = &realNodes{relays: map[[2]int]*rig.Relay{}, watch: newWatch(), inForce: newInForceDelays(), stopped: map[int]bool{}}
	r.rigNodes, err = rig.NewNodes(rig.NodesOptions{Program: program, Dir: dir, Seed: seed, Hosts: s.Hosts,
		Flows: s.FlowRate, Observe: r.handleEvent})
	if err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			r.close()
		}
	}()
	for _, n := range p.Nodes {
		if n.Real {
			node, err := r.rigNodes.Add(n.Name, p.fleetFile(s, n))
			if err != nil {
				return nil, err
			}
			r.nodes = append(r.nodes, &realNode{n, node})
		}
	}
	if err := r.connect(seed); err != nil {
		return nil, err
	}
	for _, one := range r.nodes {
		if err := one.node.Prepare(len(p.Nodes)); err != nil {
			return nil, err
		}
		if err := one.node.Start(); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// connect puts a relay in each direction between each pair of real nodes of different regions. Cutting these relays has the
// effect that filtering messages has at hollow nodes.
func (r *realNodes) connect(seed uint64) error {
	for i, from := range r.nodes {
		if from.node.File.Via == nil {
			from.node.File.Via = map[string]string{}
		}
		for k, to := range r.nodes {
			if from.plan.Region == to.plan.Region {
				continue
			}
			relay, err := rig.NewRelay(to.plan.Address, seed*1000+uint64(100*i+k))
			if err != nil {
				return err
			}
			r.relays[[2]int{i, k}] = relay
			from.node.File.Via[to.plan.Address] = relay.Address()
		}
	}
	return nil
}

// handleEvent passes a member's state change in a node's log to the watch, and records the exit of a node that the run has
// not stopped.
func (r *realNodes) handleEvent(e rig.Event) {
	switch e.Kind {
	case "member":
		for _, state := range []membership.State{membership.Alive, membership.Suspect, membership.Dead, membership.Left} {
			if e.State == state.String() {
				r.watch.observe(r.nodes[e.Node].plan.Name, e.Member, state)
			}
		}
	case "exit":
		r.mu.Lock()
		defer r.mu.Unlock()
		if !r.stopped[e.Node] {
			r.exits = append(r.exits, fmt.Sprintf("%s: %s", r.nodes[e.Node].plan.Name, e.Note))
		}
	}
}

// unexpectedExits describes the processes that exited without being stopped by the run.
func (r *realNodes) unexpectedExits() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.exits)
}

// cut cuts each relay between two regions that the network separates, and restores all others.
func (r *realNodes) cut(c *cutNetwork) {
	for pair, relay := range r.relays {
		cut := c.blocks(r.nodes[pair[0]].plan.Region, r.nodes[pair[1]].plan.Region)
		relay.Set(func(w *rig.LinkConditions) { w.Cut = cut })
	}
}

// end stops the real nodes among plans: gracefully if kind is requestLeave, abruptly otherwise.
func (r *realNodes) end(plans []NodePlan, kind requestKind) {
	var all sync.WaitGroup
	for i, one := range r.nodes {
		if !slices.ContainsFunc(plans, func(n NodePlan) bool { return n.Name == one.plan.Name }) {
			continue
		}
		r.mu.Lock()
		r.stopped[i] = true
		r.mu.Unlock()
		if kind == requestLeave {
			all.Go(one.node.Leave)
		} else {
			all.Go(one.node.Kill)
		}
	}
	all.Wait()
}

// start restarts the real nodes among plans.
func (r *realNodes) start(plans []NodePlan) error {
	for i, one := range r.nodes {
		if !slices.ContainsFunc(plans, func(n NodePlan) bool { return n.Name == one.plan.Name }) {
			continue
		}
		if err := one.node.Start(); err != nil {
			return err
		}
		r.mu.Lock()
		r.stopped[i] = false
		r.mu.Unlock()
	}
	return nil
}

// memberRecords waits until the real nodes among plans are ready, and returns their records.
func (r *realNodes) memberRecords(ctx context.Context, plans []NodePlan) (out []memberRecord, err error) {
	ctx, stop := context.WithTimeout(ctx, nodeReadyTimeout)
	defer stop()
	for _, one := range r.nodes {
		if !slices.ContainsFunc(plans, func(n NodePlan) bool { return n.Name == one.plan.Name }) {
			continue
		}
		for {
			if m, ready := r.ownRecord(ctx, one); ready {
				out = append(out, m)
				break
			}
			select {
			case <-time.After(50 * time.Millisecond):
			case <-ctx.Done():
				return nil, fmt.Errorf("waiting for node %s to be ready: %w", one.plan.Name, context.Cause(ctx))
			}
		}
	}
	return out, nil
}

func (r *realNodes) ownRecord(ctx context.Context, one *realNode) (memberRecord, bool) {
	v, err := one.node.View(ctx)
	if err != nil {
		return memberRecord{}, false
	}
	for _, m := range v.Members {
		if m.Name == v.Self {
			return memberRecord{Name: m.Name, Start: m.Start, Incarnation: m.Incarnation, Address: m.Address, Zone: m.Zone,
				Build: m.Build, Ready: m.Ready}, m.Ready
		}
	}
	return memberRecord{}, false
}

// views returns, by index in nodes, the views of the running nodes that answer, and checks each view for expected returns.
func (r *realNodes) views(ctx context.Context) map[int]view.View {
	out := map[int]view.View{}
	var mu sync.Mutex
	var all sync.WaitGroup
	for i, one := range r.nodes {
		if one.node.PID() == 0 {
			continue
		}
		all.Go(func() {
			v, err := one.node.View(ctx)
			if err != nil {
				return
			}
			r.checkReturned(v)
			mu.Lock()
			defer mu.Unlock()
			out[i] = v
		})
	}
	all.Wait()
	return out
}

// configs returns, by index in nodes, the configuration that each running node with control servers reports, if it answers,
// and records when the node put it in force.
func (r *realNodes) configs(ctx context.Context) map[int]view.Config {
	out := map[int]view.Config{}
	var mu sync.Mutex
	var all sync.WaitGroup
	for i, one := range r.nodes {
		if one.node.PID() == 0 || len(one.node.File.Control) == 0 {
			continue
		}
		all.Go(func() {
			c, err := one.node.Config(ctx)
			if err != nil {
				return
			}
			r.inForce.recordReportedConfig(one.plan.Name, c)
			mu.Lock()
			defer mu.Unlock()
			out[i] = c
		})
	}
	all.Wait()
	return out
}

// checkReturned records in the watch which expected members a view holds as live again.
func (r *realNodes) checkReturned(v view.View) {
	if !r.watch.expectsReturns() {
		return
	}
	members := map[string]membership.Member{}
	for _, m := range v.Members {
		if m.State == membership.Alive.String() || m.State == membership.Suspect.String() {
			members[m.Name] = membership.Member{Name: m.Name, Start: m.Start}
		}
	}
	r.watch.checkReturned(v.Self, func(name string) (membership.Member, bool) {
		m, live := members[name]
		return m, live
	})
}

func (r *realNodes) pids() (out []int) {
	for _, one := range r.nodes {
		if pid := one.node.PID(); pid != 0 {
			out = append(out, pid)
		}
	}
	return out
}

// close ends all nodes and relays. startReals calls it also when only some of the nodes have been started.
func (r *realNodes) close() {
	r.mu.Lock()
	for i := range r.nodes {
		r.stopped[i] = true
	}
	r.mu.Unlock()
	r.rigNodes.Close()
	for _, relay := range r.relays {
		relay.Close()
	}
}

// flows returns the number of the clients' flows by answer as one line of text.
func (r *realNodes) flows() string {
	var out []string
	for answer, n := range r.rigNodes.Flows() {
		out = append(out, answer+" "+strconv.Itoa(n))
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}
