package rig

import (
	"math/rand/v2"
	"net/http"
	"sync"

	"gorseledge/internal/rig/standin"
)

// Options say how a script is run.
type Options struct {
	Program  string // path of the built node
	Control  string // path of the built control server; not needed where the script has none
	Seed     uint64
	Dir      string            // parent of the nodes' directories
	History  string            // file for the events (JSON Lines); none where empty
	Progress func(line string) // receives progress lines; may be nil
}

// nodeLink identifies the link from one node to another, both by index.
type nodeLink struct{ from, to int }

// Rig is a run in progress: the nodes, the relays between them and the stand-ins around them.
type Rig struct {
	Options
	script    *Script
	history   *history
	nodes     []*node
	relays    map[nodeLink]*Relay
	hosts     *standin.Hosts
	discovery *standin.Discovery
	client    *http.Client   // for the admin addresses of nodes
	control   *control       // nil where the script has no control servers
	flows     sync.WaitGroup // goroutines of clients and of the budget

	mu   sync.Mutex // protects rand
	rand *rand.Rand
}

// close stops everything that the rig started and waits until it has ended.
func (r *Rig) close() {
	for _, n := range r.nodes {
		n.kill()
	}
	r.flows.Wait()
	if r.control != nil {
		r.control.close()
	}
	for _, relay := range r.relays {
		relay.Close()
	}
	if r.discovery != nil {
		r.discovery.Close()
	}
	if r.hosts != nil {
		r.hosts.Close()
	}
	r.client.CloseIdleConnections()
}
