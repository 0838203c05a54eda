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

// Nodes are nodes of the built program with their stand-ins, for callers that do not run a Script. The caller chooses the
// names and fleet files of the nodes and injects its own faults.
type Nodes struct {
	rig   *Rig
	nodes []*Node
}

// Node is one node of Nodes.
type Node struct {
	node *node
	File fleet.Config // content of its fleet file; Add sets Address if it is empty
}

// NodesOptions configure Nodes.
type NodesOptions struct {
	Program string      // path of the built node
	Dir     string      // parent of the nodes' directories
	Seed    uint64      // seeds the random numbers of the clients and the nodes
	Hosts   int         // number of stand-in hosts
	Flows   float64     // new clients per second, over all nodes
	Observe func(Event) // called with each event, At in Unix seconds; may be nil
}

// NewNodes starts the stand-ins, without any node yet. Close ends the stand-ins and all nodes.
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

// viewTimeout is the time limit of a request to a node. It is long enough for a node that lists a large fleet on a busy
// machine.
const viewTimeout = 5 * time.Second

// Add adds a node with a name and a fleet file, and assigns free addresses to it. Prepare writes its files, and Start starts
// it.
func (n *Nodes) Add(name string, file fleet.Config) (*Node, error) {
	i := len(n.rig.nodes)
	added := &node{rig: n.rig, index: i, label: name, dir: filepath.Join(n.rig.Dir, name), fleetAddress: file.Address}
	for _, address := range []*string{&added.clientAddress, &added.adminAddress, &added.fleetAddress} {
		if *address != "" {
			continue
		}
		var err error
		if *address, err = freeAddress(i); err != nil {
			return nil, err
		}
	}
	file.Address = added.fleetAddress
	n.rig.nodes = append(n.rig.nodes, added)
	result := &Node{node: added, File: file}
	n.nodes = append(n.nodes, result)
	return result, nil
}

// Traffic starts clients in the background until ctx ends. Flows that are open at that time may continue until runContext
// ends; Close waits for them.
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

// Prepare creates the node's directory with its files. nodeCount is the number of nodes in the fleet according to the node's
// settings.
func (n *Node) Prepare(nodeCount int) error {
	if err := os.MkdirAll(n.node.dir, 0o755); err != nil {
		return err
	}
	return n.node.rig.writeConfigAndFleetFile(n.node, n.File, nodeCount)
}

// Start starts the node unless it is running.
func (n *Node) Start() error { return n.node.start() }

// Kill kills the node's processes and waits until they have ended.
func (n *Node) Kill() { n.node.kill() }

// Leave asks the node to leave its fleet and shut down, and waits until it has ended.
func (n *Node) Leave() { n.node.leave() }

// PID returns the ID of the process that serves, or 0 if there is none.
func (n *Node) PID() int {
	n.node.mu.Lock()
	defer n.node.mu.Unlock()
	if n.node.current == nil {
		return 0
	}
	return n.node.current.cmd.Process.Pid
}

// View reads the node's view of its fleet.
func (n *Node) View(ctx context.Context) (view.View, error) { return n.node.rig.view(ctx, n.node) }

// Config reads the configuration that the node has in force.
func (n *Node) Config(ctx context.Context) (c view.Config, err error) {
	err = n.node.rig.fetch(ctx, n.node, "/-/config", &c)
	return c, err
}
