// Package placement makes every decision of the load balancer: to which server a flow is sent, when an attempt is
// retried, when a flow is rejected, and which servers are ejected, health-checked or drained of connections.
//
// The package holds the state of servers and flows. It performs no input or output, has no clock and starts no
// goroutines, and its only source of randomness is the seed in its settings. The host, which is the process that embeds
// a Balancer, reports events through the input methods of Balancer (UpdateEndpoints, AddFlow, RestoreFlow,
// Established, AttemptEnded, ClientLeft, ReportLoad, ReportDelay, HealthChecked, GossipReceived, Woken), which update
// the state but return no decision. The host then calls Next until there is no further decision. Equal settings and
// equal inputs lead to equal decisions.
//
// Flows and servers are identified by small indices that the host assigns. Times are in seconds on the host's clock.
//
// Terms, of which base list, primary, spill and home come from the paper that the design follows:
//
//   - A flow is one client's request for a connection, and the connection that it becomes. An attempt is one try to
//     set up the flow's connection at a server. A flow that arrives mid-flow is an established connection that was
//     handled by another node before.
//   - The base list holds every listed server in any state, ordered by id. All nodes that have the same endpoint
//     list have the same base list. The usable servers are those of the base list that accept new flows now.
//   - The primary of a flow is the server at the position in the base list that is selected by the hash of the flow's
//     client key. If that server accepts no new flows, the hash selects one of the usable servers instead.
//   - A flow spills when its primary has more connections than the spill limit. It then visits the other servers
//     until one has capacity.
//   - The home of a group of flows is the server with the lowest rank for the hash of the group. Its second home
//     has the second lowest rank, and so on. A flow of a group spills from home to home.
//   - A server is in slow start for some time after its start. During that time its weight rises from the
//     settings' SlowStartFraction to 1, and all nodes together keep within a budget of attempts there.
//   - The uncertainty of a node is 1 if it has no connections, and close to 0 if it has many for each server. An
//     uncertain node cannot tell from its own connections which servers have capacity.
package placement

import (
	"encoding/binary"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
)

const (
	// longAgo is the time of an event that has not happened yet. It is so early that every pause after it is over.
	longAgo = -99.0
	// housekeepingInterval is the time in seconds between two Wake decisions. The pauses that end with a wake are longer.
	housekeepingInterval = 0.25
	// evidenceHalfLife is the time in seconds after which the counts of failures and successes are halved.
	evidenceHalfLife = 8.0
	// noWake is the value of Balancer.wakeAt while no wake is outstanding.
	noWake = -1.0
)

// Balancer makes the decisions of one node. Instances share no state. A Balancer must be created by New and used by
// one goroutine at a time. The embedded Settings are those in force.
type Balancer struct {
	Settings
	servers []server
	flows   []flow
	base    []int // indices of the base list's servers, by id
	usable  []int // indices of the servers that accept new flows now, by id; rebuilt for each decision

	pendingFlows      []int      // flows that await a decision
	queued            []Decision // decisions that Next returns before it looks for others
	randomCount       uint64     // random numbers generated so far
	openByTenant      []int      // established connections; the last element counts tenants without a quota
	attemptsInFlight  int        // attempts that are neither established nor ended
	longestListLength float64    // length of the longest base list so far
	quotaPerServer    float64    // connections that the quotas of all tenants allow for each server and node
	handedOver        bool       // a successor process handles new flows
	nextDecayAt       float64    // when the counts of failures and successes are next halved
	wakeAt            float64    // when the requested wake is due, or noWake

	loads       loadEstimates
	concurrency concurrencyLimit
	overload    overloadState
	polling     pollingState
	checks      checkSchedule

	messageObjective float64 // shortest message objective of all service types; infinite if none has one
}

// New returns a balancer without servers and flows. The caller must not change the slices in settings afterwards. Fewer
// than one node counts as one, and a poll interval of 0 as defaultPollInterval.
func New(settings Settings) *Balancer {
	settings.Nodes = max(settings.Nodes, 1)
	settings.PollInterval = pollInterval(settings.PollInterval)
	if len(settings.ServiceTypes) == 0 {
		settings.ServiceTypes = make([]ServiceType, 1) // the zero value is the strictest service type
	}
	return &Balancer{
		Settings:         settings,
		openByTenant:     make([]int, len(settings.Quotas)+1),
		wakeAt:           noWake,
		loads:            newLoadEstimates(len(settings.ServiceTypes)),
		concurrency:      concurrencyLimit{limit: math.Inf(1), loweredAt: longAgo},
		overload:         overloadState{level: 1 - 1/float64(settings.Nodes), uncertainty: 1},
		messageObjective: shortestMessageObjective(settings.ServiceTypes),
	}
}

// Next returns the next decision, or false if there is none for now. The host calls it after each round of inputs until
// it returns false.
func (b *Balancer) Next(now float64) (Decision, bool) {
	if decision, ok := b.nextFlowDecision(now); ok {
		return decision, true
	}
	if b.wakeAt == noWake {
		b.housekeep(now)
	}
	if len(b.queued) > 0 {
		decision := b.queued[0]
		b.queued = b.queued[1:]
		return decision, true
	}
	if b.WatchEndpoints && !b.polling.watching && now >= b.polling.nextAt {
		b.polling.watching = true
		return Decision{Action: WatchEndpoints}, true
	}
	b.startReportRound(now)
	return b.nextHealthCheck(now)
}

// housekeep queues the decisions that are due once in each housekeeping interval: migrations, load gossip and the next
// Wake.
func (b *Balancer) housekeep(now float64) {
	b.wakeAt = now + housekeepingInterval
	b.migrateExcess(now)
	b.queueLoadGossip()
	b.queued = append(b.queued, Decision{Action: Wake, Seconds: housekeepingInterval})
}

// Woken reports that the delay of a Wake decision has passed. A call before that time is harmless.
func (b *Balancer) Woken(now float64) {
	if now >= b.wakeAt-b.Tick {
		b.wakeAt = noWake
	}
	b.updateOverload(now)
	b.liftConcurrencyLimit(now)
	b.decayEvidence(now)
}

// decayEvidence halves the counts of failures and successes when their half-life has passed.
func (b *Balancer) decayEvidence(now float64) {
	if now < b.nextDecayAt {
		return
	}
	b.nextDecayAt = now + evidenceHalfLife
	for i := range b.servers {
		b.servers[i].outlier.failures /= 2
		b.servers[i].outlier.successes /= 2
	}
}

// random returns a number that is uniformly distributed over [0, 1). It hashes the seed together with the count of
// numbers generated so far, because a plain counter would produce similar sequences for similar seeds.
func (b *Balancer) random() float64 {
	var input [16]byte
	binary.LittleEndian.PutUint64(input[:8], b.Seed)
	binary.LittleEndian.PutUint64(input[8:], b.randomCount)
	b.randomCount++
	return float64(xxhash.Sum64(input[:])>>11) / (1 << 53)
}

// hash64 returns the hash of a key.
func hash64(key uint64) uint64 {
	var input [8]byte
	binary.BigEndian.PutUint64(input[:], key)
	return xxhash.Sum64(input[:])
}

// logf queues a Log decision with a formatted message.
func (b *Balancer) logf(format string, arguments ...any) {
	b.queued = append(b.queued, Decision{Action: Log, Message: fmt.Sprintf(format, arguments...)})
}
