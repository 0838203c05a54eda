package placement

import (
	"math"
	"testing"
)

const (
	storeNodes    = 60
	storeClients  = 5     // clients of each node
	storeRate     = 100.0 // setups a second
	storeCapacity = 220   // setups in its queue
	storeStep     = 0.01  // seconds
)

// storeSetup is the setup of one attempt in the queue of a store.
type storeSetup struct {
	node    int
	flow    int
	attempt int
	until   float64 // when the attempt times out
}

// storeClient is one client, which arrives again until it is served.
type storeClient struct {
	arrivesAt float64
	served    bool
}

// sharedStore simulates a store that all servers share. It processes setups in the order of arrival, including those whose
// attempts have timed out since, and fails attempts that arrive while its queue is full.
type sharedStore struct {
	balancers []*testBalancer
	clients   [][storeClients]storeClient
	queue     []storeSetup
	work      float64 // setups that the store may finish now
	attempts  int     // attempts of all clients
	served    int     // clients served
}

func newSharedStore() *sharedStore {
	store := &sharedStore{clients: make([][storeClients]storeClient, storeNodes)}
	for node := range storeNodes {
		b := newTestBalancer(20, func(s *Settings) {
			s.Seed = uint64(node)
			s.Nodes = storeNodes
			s.MaxAttempts = 5
		})
		b.overload.uncertainty = 1
		store.balancers = append(store.balancers, b)
	}
	return store
}

// step runs all nodes and then the store at one point in time.
func (s *sharedStore) step(now float64) {
	for node, b := range s.balancers {
		b.now = now
		s.arrive(node)
		if math.Mod(now, housekeepingInterval) < storeStep {
			b.Woken(now)
		}
		s.carryOut(node)
	}
	s.timeOut(now)
	s.serve()
}

// arrive adds the flows of a node's clients that arrive now.
func (s *sharedStore) arrive(node int) {
	b := s.balancers[node]
	for i := range s.clients[node] {
		client := &s.clients[node][i]
		if client.served || client.arrivesAt > b.now {
			continue
		}
		client.arrivesAt = math.Inf(1)
		key := uint64(node*storeClients + i + 1)
		b.AddFlow(b.now, i, Arrival{ClientKey: key, Timeout: 2, Returning: true})
	}
}

// carryOut carries out all decisions of a node. Clients that get a Reject or an Abort arrive again after 50 ms.
func (s *sharedStore) carryOut(node int) {
	b := s.balancers[node]
	for {
		decision, ok := b.Next(b.now)
		if !ok {
			return
		}
		switch decision.Action {
		case Connect:
			s.enqueue(node, decision)
		case Reject, Abort:
			s.clients[node][decision.Flow].arrivesAt = b.now + 0.05
		}
	}
}

func (s *sharedStore) enqueue(node int, decision Decision) {
	b := s.balancers[node]
	s.attempts++
	attempt := b.flows[decision.Flow].attempts - 1
	if len(s.queue) >= storeCapacity {
		b.AttemptEnded(b.now, decision.Flow, attempt, Failed, false)
		return
	}
	s.queue = append(s.queue, storeSetup{node, decision.Flow, attempt, b.now + decision.Seconds})
}

// waiting reports whether the attempt of a setup is still waiting for it.
func (s *sharedStore) waiting(setup storeSetup) bool {
	f := &s.balancers[setup.node].flows[setup.flow]
	return f.inFlight && !f.established && f.attempts-1 == setup.attempt
}

func (s *sharedStore) timeOut(now float64) {
	for _, setup := range s.queue {
		if now >= setup.until && s.waiting(setup) {
			s.balancers[setup.node].AttemptEnded(now, setup.flow, setup.attempt, TimedOut, false)
		}
	}
}

func (s *sharedStore) serve() {
	s.work += storeRate * storeStep
	for ; s.work >= 1 && len(s.queue) > 0; s.work-- {
		setup := s.queue[0]
		s.queue = s.queue[1:]
		if !s.waiting(setup) {
			continue
		}
		s.balancers[setup.node].Established(setup.flow, setup.attempt)
		s.clients[setup.node][setup.flow].served = true
		s.served++
	}
	s.work = min(s.work, 1)
}

// If the clients of many nodes arrive at a shared store at once, attempts that time out and are retried can fill its queue, so
// that it works only for setups that are no longer needed. All clients are served, with few attempts for each.
func TestSharedStoreServesAllClientsInFewAttempts(t *testing.T) {
	const clients = storeNodes * storeClients
	store := newSharedStore()
	for now := 1000.0; now < 1012; now += storeStep {
		store.step(now)
	}
	if store.served < clients || store.attempts > 4*clients {
		t.Errorf("%d of %d clients served in %d attempts, want all in at most %d", store.served, clients, store.attempts, 4*clients)
	}
}
