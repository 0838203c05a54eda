package rig

import (
	"math/rand/v2"
	"net/http"
	"sync"

	"gorseledge/internal/rig/standin"
)

// Options are how a script is played.
type Options struct {
	Program  string // the built node
	Seed     uint64
	Dir      string            // for the nodes' directories
	History  string            // file; none where it is empty
	Progress func(line string) // told as it goes
}

// Rig is a run under way.
type Rig struct {
	Options
	script  *Script
	history *history
	nodes   []*node
	relays  map[[2]int]*relay
	hosts   *standin.Hosts
	roster  *standin.Discovery
	client  *http.Client
	flows   sync.WaitGroup
	rand    *rand.Rand
	mu      sync.Mutex // over rand
}

// close ends everything that the rig started and waits for it.
func (r *Rig) close() {
	for _, n := range r.nodes {
		n.kill()
	}
	r.flows.Wait()
	for _, l := range r.relays {
		l.close()
	}
	if r.roster != nil {
		r.roster.Close()
	}
	if r.hosts != nil {
		r.hosts.Close()
	}
	r.client.CloseIdleConnections()
}
