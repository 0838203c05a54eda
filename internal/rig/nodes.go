package rig

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"gorseledge/internal/fleet"
	"gorseledge/internal/fleet/view"
	"gorseledge/internal/rig/standin"
)

// Nodes are nodes of the built program with their stand-ins, for runs that no Script describes: the caller chooses
// names and fleet files and injects its own faults.
type Nodes struct {
	rig   *Rig
	nodes []*Node
}

// Node is one node of Nodes.
type Node struct {
	node *node
	File fleet.Config // its fleet file; Address is set by Add where it is empty
}

// NodesOptions configure Nodes.
type NodesOptions struct {
	Program string
	Dir     string // for the nodes' directories
	Seed    uint64
	Hosts   int         // number of stand-in hosts
	Flows   float64     // new clients a second, over all nodes
	Observe func(Event) // called with each event, At in Unix seconds; may be nil
}

// NewNodes starts the stand-ins. Close ends them and all nodes.
func NewNodes(o NodesOptions) (*Nodes, error) {
	h, err := newHistory("")
	if err != nil {
		return nil, err
	}
	h.observe = o.Observe
	r := &Rig{Options: Options{Program: o.Program, Seed: o.Seed, Dir: o.Dir}, script: &Script{FlowRate: o.Flows}, history: h,
		rand:   rand.New(rand.NewPCG(o.Seed, 11)),
		client: &http.Client{Timeout: viewTimeout, Transport: &http.Transport{DisableKeepAlives: true}}}
	n := &Nodes{rig: r}
	if r.hosts, err = standin.StartHosts(o.Hosts); err != nil {
		return nil, err
	}
	r.discovery = standin.StartDiscovery()
	r.discovery.Publish(r.hosts.EndpointList(1))
	return n, nil
}

// viewTimeout is the time for an answer from a node that knows a large fleet, on a busy machine.
const viewTimeout = 5 * time.Second

// Add prepares a node with a name and a fleet file of its own; settled is the number of nodes that its settings
// speak of. Prepare writes its files, Start starts it.
func (n *Nodes) Add(name string, file fleet.Config) (*Node, error) {
	i := len(n.rig.nodes)
	added := &node{rig: n.rig, index: i, label: name, dir: filepath.Join(n.rig.Dir, name), fleet: file.Address}
	for _, address := range []*string{&added.client, &added.admin, &added.fleet} {
		if *address != "" {
			continue
		}
		var err error
		if *address, err = freeAddress(i); err != nil {
			return nil, err
		}
	}
	file.Address = added.fleet
	n.rig.nodes = append(n.rig.nodes, added)
	result := &Node{node: added, File: file}
	n.nodes = append(n.nodes, result)
	return result, nil
}

// Traffic starts clients in the background until ctx ends; flows that are open then may continue until runContext ends.
// Close waits for them.
func (n *Nodes) Traffic(ctx, runContext context.Context) {
	n.rig.flows.Go(func() { n.rig.traffic(ctx, runContext) })
}

// Flows returns the number of flows that have ended, by answer.
func (n *Nodes) Flows() map[string]int {
	out := map[string]int{}
	for _, e := range n.rig.history.all() {
		if e.Kind == eventFlow {
			out[e.Answer]++
		}
	}
	return out
}

// Close stops all nodes, clients and stand-ins and waits until they have ended.
func (n *Nodes) Close() { n.rig.close() }

// Prepare writes the node's directory; settled is the number of nodes that its settings speak of.
func (n *Node) Prepare(settled int) error {
	if err := os.MkdirAll(n.node.dir, 0o755); err != nil {
		return err
	}
	return n.node.rig.writeFiles(n.node, n.File, settled)
}

// Start starts the node unless it runs.
func (n *Node) Start() error { return n.node.start() }

// Kill ends the node's process at once.
func (n *Node) Kill() { n.node.kill() }

// Leave asks the node to leave, and waits for it.
func (n *Node) Leave() { n.node.leave() }

// PID returns the id of the process that serves, 0 if there is none.
func (n *Node) PID() int {
	n.node.mu.Lock()
	defer n.node.mu.Unlock()
	if n.node.current == nil {
		return 0
	}
	return n.node.current.cmd.Process.Pid
}

// View asks the node for what it knows of its fleet.
func (n *Node) View(ctx context.Context) (view.View, error) { return n.node.rig.view(ctx, n.node) }

// Config asks the node for the configuration that it has in force.
func (n *Node) Config(ctx context.Context) (c view.Config, err error) {
	err = n.node.rig.fetch(ctx, n.node, "/-/config", &c)
	return c, err
}
