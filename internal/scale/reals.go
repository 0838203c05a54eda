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
	inForce  *inForceTimes
	mu       sync.Mutex
	exits    []string // processes that exited on their own
	stopped  map[int]bool
}

// realNode is one real node.
type realNode struct {
	plan NodePlan
	node *rig.Node
}

const nodeReadyTimeout = 30 * time.Second

// startReals starts the plan's real nodes. If it returns an error, none of them is left running.
func startReals(s *Script, p *Plan, program, dir string, seed uint64) (r *realNodes, err error) {
	r = &realNodes{relays: map[[2]int]*rig.Relay{}, watch: newWatch(), inForce: newInForceTimes(), stopped: map[int]bool{}}
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

// connect puts a relay between each pair of real nodes of different regions. Relays cut what hollow nodes filter.
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

// handleEvent handles a state change in a node's log, or the exit of a node.
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

// unexpectedExits returns the processes that exited on their own.
func (r *realNodes) unexpectedExits() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.exits)
}

// cut cuts the relays that the network blocks and restores all others.
func (r *realNodes) cut(c *cutNetwork) {
	for pair, relay := range r.relays {
		cut := c.blocks(r.nodes[pair[0]].plan.Region, r.nodes[pair[1]].plan.Region)
		relay.Set(func(w *rig.LinkConditions) { w.Cut = cut })
	}
}

// end ends the real nodes among plans: killed, or asked to leave, as kind says.
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

// views returns the views of the running nodes, by index.
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

// configs returns the configuration that each running node has in force, by index.
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
			r.inForce.recordConfig(one.plan.Name, c)
			mu.Lock()
			defer mu.Unlock()
			out[i] = c
		})
	}
	all.Wait()
	return out
}

// checkReturned notes in the watch which members a node knows to be back.
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

// close ends all nodes and relays. It may be called while nodes are being started.
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

// flows returns the number of clients' flows by answer, on one line.
func (r *realNodes) flows() string {
	var out []string
	for answer, n := range r.rigNodes.Flows() {
		out = append(out, answer+" "+strconv.Itoa(n))
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}
