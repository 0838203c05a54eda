package rig

import (
	"math/rand/v2"
	"net/http"
	"sync"

	"gorseledge/internal/rig/standin"
)

// Options configure a run of a script.
type Options struct {
	Program  string            // path of the built node
	Control  string            // path of the built control server; not needed if the script has no control servers
	Seed     uint64            // seeds all random numbers of the run
	Dir      string            // parent of the directories of nodes and control servers
	History  string            // file that the events are written to as JSON Lines; if empty, none is written
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
	client    *http.Client   // for requests to the nodes' admin addresses
	control   *control       // nil if the script has no control servers
	flows     sync.WaitGroup // goroutines that run clients and that record the budget

	mu   sync.Mutex // protects rand
	rand *rand.Rand
}

// close stops all processes, clients, relays and stand-ins that the rig started and waits until they have ended.
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
