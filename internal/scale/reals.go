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

// reals are the real nodes of a run, and the relays between those of different regions.
type reals struct {
	nodes   *rig.Nodes
	of      []*real
	relays  map[[2]int]*rig.Relay
	watch   *watch
	inForce *inForce
	mu      sync.Mutex
	exits   []string // of processes that nobody ended
	stopped map[int]bool
}

// real is one of them.
type real struct {
	plan NodePlan
	node *rig.Node
}

const readyWithin = 30 * time.Second

// startReals starts the plan's real nodes; nothing of it is left running where it gives an error.
func startReals(s *Script, p *Plan, program, dir string, seed uint64) (r *reals, err error) {
	r = &reals{relays: map[[2]int]*rig.Relay{}, watch: newWatch(), inForce: newInForce(), stopped: map[int]bool{}}
	r.nodes, err = rig.NewNodes(rig.NodesOptions{Program: program, Dir: dir, Seed: seed, Hosts: s.Hosts, Flows: s.Flows, Observe: r.see})
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
			node, err := r.nodes.Add(n.Name, p.file(s, n))
			if err != nil {
				return nil, err
			}
			r.of = append(r.of, &real{n, node})
		}
	}
	if err := r.connect(seed); err != nil {
		return nil, err
	}
	for _, one := range r.of {
		if err := one.node.Prepare(len(p.Nodes)); err != nil {
			return nil, err
		}
		if err := one.node.Start(); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// connect puts a relay between each two real nodes of different regions: what hollow nodes filter, it cuts.
func (r *reals) connect(seed uint64) error {
	for i, from := range r.of {
		if from.node.File.Via == nil {
			from.node.File.Via = map[string]string{}
		}
		for k, to := range r.of {
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

// see takes what a node's log or end tells.
func (r *reals) see(e rig.Event) {
	switch e.Kind {
	case "member":
		for _, state := range []membership.State{membership.Alive, membership.Suspect, membership.Dead, membership.Left} {
			if e.State == state.String() {
				r.watch.see(r.of[e.Node].plan.Name, e.Member, state)
			}
		}
	case "exit":
		r.mu.Lock()
		defer r.mu.Unlock()
		if !r.stopped[e.Node] {
			r.exits = append(r.exits, fmt.Sprintf("%s: %s", r.of[e.Node].plan.Name, e.Note))
		}
	}
}

// ended gives the processes that ended by themselves.
func (r *reals) ended() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.exits)
}

// cut cuts the relays from and to regions, or mends them all.
func (r *reals) cut(c *cutNetwork) {
	for pair, relay := range r.relays {
		cut := c.drops(r.of[pair[0]].plan.Region, r.of[pair[1]].plan.Region)
		relay.Set(func(w *rig.LinkConditions) { w.Cut = cut })
	}
}

// end ends nodes: killed, or asked to leave.
func (r *reals) end(plans []NodePlan, kind requestKind) {
	var all sync.WaitGroup
	for i, one := range r.of {
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

// start starts nodes again.
func (r *reals) start(plans []NodePlan) error {
	for i, one := range r.of {
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

// facts waits until nodes are ready, and gives what they tell of themselves.
func (r *reals) facts(ctx context.Context, plans []NodePlan) (out []memberFacts, err error) {
	ctx, stop := context.WithTimeout(ctx, readyWithin)
	defer stop()
	for _, one := range r.of {
		if !slices.ContainsFunc(plans, func(n NodePlan) bool { return n.Name == one.plan.Name }) {
			continue
		}
		for {
			if m, ready := r.self(ctx, one); ready {
				out = append(out, m)
				break
			}
			select {
			case <-time.After(50 * time.Millisecond):
			case <-ctx.Done():
				return nil, fmt.Errorf("%s is not ready: %w", one.plan.Name, context.Cause(ctx))
			}
		}
	}
	return out, nil
}

func (r *reals) self(ctx context.Context, one *real) (memberFacts, bool) {
	v, err := one.node.View(ctx)
	if err != nil {
		return memberFacts{}, false
	}
	for _, m := range v.Members {
		if m.Name == v.Self {
			return memberFacts{Name: m.Name, Start: m.Start, Incarnation: m.Incarnation, Address: m.Address, Zone: m.Zone,
				Build: m.Build, Ready: m.Ready}, m.Ready
		}
	}
	return memberFacts{}, false
}

// views asks the nodes that run, by their place.
func (r *reals) views(ctx context.Context) map[int]view.View {
	out := map[int]view.View{}
	var mu sync.Mutex
	var all sync.WaitGroup
	for i, one := range r.of {
		if one.node.PID() == 0 {
			continue
		}
		all.Go(func() {
			v, err := one.node.View(ctx)
			if err != nil {
				return
			}
			r.look(v)
			mu.Lock()
			defer mu.Unlock()
			out[i] = v
		})
	}
	all.Wait()
	return out
}

// configs asks the nodes that run for the configuration that they have in force, by their place.
func (r *reals) configs(ctx context.Context) map[int]view.Config {
	out := map[int]view.Config{}
	var mu sync.Mutex
	var all sync.WaitGroup
	for i, one := range r.of {
		if one.node.PID() == 0 || len(one.node.File.Control) == 0 {
			continue
		}
		all.Go(func() {
			c, err := one.node.Config(ctx)
			if err != nil {
				return
			}
			r.inForce.look(one.plan.Name, c)
			mu.Lock()
			defer mu.Unlock()
			out[i] = c
		})
	}
	all.Wait()
	return out
}

// look has the watch see which members a node knows to be back.
func (r *reals) look(v view.View) {
	if !r.watch.looks() {
		return
	}
	members := map[string]membership.Member{}
	for _, m := range v.Members {
		if m.State == membership.Alive.String() || m.State == membership.Suspect.String() {
			members[m.Name] = membership.Member{Name: m.Name, Start: m.Start}
		}
	}
	r.watch.look(v.Self, func(name string) (membership.Member, bool) {
		m, living := members[name]
		return m, living
	})
}

func (r *reals) pids() (out []int) {
	for _, one := range r.of {
		if pid := one.node.PID(); pid != 0 {
			out = append(out, pid)
		}
	}
	return out
}

// close ends everything. It may be called while nodes are being started.
func (r *reals) close() {
	r.mu.Lock()
	for i := range r.of {
		r.stopped[i] = true
	}
	r.mu.Unlock()
	r.nodes.Close()
	for _, relay := range r.relays {
		relay.Close()
	}
}

// flows tells how the clients' flows were answered.
func (r *reals) flows() string {
	var out []string
	for answer, n := range r.nodes.Flows() {
		out = append(out, answer+" "+strconv.Itoa(n))
	}
	slices.Sort(out)
	return strings.Join(out, ", ")
}
