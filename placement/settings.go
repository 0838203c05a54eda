package placement

import (
	"cmp"
	"math"
	"slices"
)

// defaultPollInterval is the poll interval in seconds where the settings have none.
const defaultPollInterval = 16.0

// Idempotency says what a second execution of a flow does.
type Idempotency uint8

// The kinds of idempotency, the strictest first.
const (
	AtMostOnce        Idempotency = iota // a flow that may have run must not be attempted again
	IdempotentWithKey                    // servers within a KeyScope drop repeats for the KeyLifetime
	Idempotent                           // repeats do no harm
)

// KeyScope is the set of servers among which the repeats of a flow with an idempotency key are dropped.
type KeyScope uint8

// The scopes of an idempotency key.
const (
	KeyScopeCell KeyScope = iota // servers of one cell
	KeyScopeZone                 // servers of one zone
	KeyScopeAll                  // all servers
)

// ServiceType holds what differs between the types of service. The zero value is the strictest. Times are seconds.
type ServiceType struct {
	Idempotency      Idempotency
	KeyScope         KeyScope
	KeyLifetime      float64 // how long repeats are dropped, from the first attempt that may have run
	SetupObjective   float64 // latency objective of a setup
	MessageObjective float64 // latency objective of a message on an established connection; 0 for none
}

// Settings are what a balancer is configured with. Times are seconds.
type Settings struct {
	Seed             uint64  // of all random draws
	Nodes            int     // nodes that share the servers, this one included
	NodeNumber       int     // number of this node among them, the same after a restart
	StartedAt        float64 // when this process started
	Tick             float64 // shortest time between two rounds of inputs
	MaxAttempts      int     // for one flow
	DialTimeout      float64 // longest time from a Connect decision until the request is written
	HealthChecks     bool    // health checks are allowed
	MaxRetryAfter    float64 // longest Retry-After that a client follows; 0 where none is allowed
	WatchEndpoints   bool    // the endpoint list has to be polled
	PollInterval     float64 // longest time between two polls without a watch; 0 for defaultPollInterval
	LoadReports      bool    // health checks bring load reports
	LoadGossip       bool    // nodes send one another the loads that were reported to them
	TimeHealthChecks bool    // the round trip of health checks stands in for message delays
	SlowStartShare   float64 // share of its capacity, above 0 to 1, that a server has when it starts
	SlowStartTime    float64 // time after its start until a server has all its capacity
	OverloadMultiple float64 // a server in slow start fails under more than this multiple of its capacity
	OverloadWindow   float64 // for how long such a server bears that
	ServiceTypes     []ServiceType
	Quotas           []float64 // by tenant: open connections of its quota over all nodes; nil for none
}

// Objectives are the replaceable latency objectives of one service type, in seconds.
type Objectives struct {
	Setup   float64
	Message float64 // 0 for none
}

// LiveSettings are the parts of Settings that may be replaced while flows go on. Times are seconds.
type LiveSettings struct {
	MaxAttempts      int
	MaxRetryAfter    float64
	PollInterval     float64
	SlowStartShare   float64
	SlowStartTime    float64
	OverloadMultiple float64
	OverloadWindow   float64
	Objectives       []Objectives // by service type
	Quotas           []float64    // by tenant
}

// Live returns the replaceable part of the settings. The result shares nothing with them.
func (s Settings) Live() LiveSettings {
	live := LiveSettings{
		MaxAttempts:      s.MaxAttempts,
		MaxRetryAfter:    s.MaxRetryAfter,
		PollInterval:     s.PollInterval,
		SlowStartShare:   s.SlowStartShare,
		SlowStartTime:    s.SlowStartTime,
		OverloadMultiple: s.OverloadMultiple,
		OverloadWindow:   s.OverloadWindow,
		Quotas:           slices.Clone(s.Quotas),
	}
	for _, serviceType := range s.ServiceTypes {
		live.Objectives = append(live.Objectives,
			Objectives{Setup: serviceType.SetupObjective, Message: serviceType.MessageObjective})
	}
	return live
}

// ApplySettings puts live settings into force for all later decisions. Earlier decisions and the deadlines of
// waiting flows stand. The caller gives as many objectives as there are service types and as many quotas as there
// are tenants; quotas of another number are ignored. The balancer keeps nothing of the argument.
func (b *Balancer) ApplySettings(live LiveSettings) {
	b.MaxAttempts = live.MaxAttempts
	b.MaxRetryAfter = live.MaxRetryAfter
	b.PollInterval = pollInterval(live.PollInterval)
	b.SlowStartShare = live.SlowStartShare
	b.SlowStartTime = live.SlowStartTime
	b.OverloadMultiple = live.OverloadMultiple
	b.OverloadWindow = live.OverloadWindow
	b.applyObjectives(live.Objectives)
	if len(live.Quotas) == len(b.Quotas) {
		b.Quotas = slices.Clone(live.Quotas)
	}
	if b.longestList > 0 {
		b.updateQuotaPerServer()
	}
}

func (b *Balancer) applyObjectives(objectives []Objectives) {
	b.ServiceTypes = slices.Clone(b.ServiceTypes) // the slice given to New belongs to the caller
	given := min(len(objectives), len(b.ServiceTypes))
	for i, objective := range objectives[:given] {
		b.ServiceTypes[i].SetupObjective = objective.Setup
		b.ServiceTypes[i].MessageObjective = objective.Message
	}
	b.messageObjective = shortestMessageObjective(b.ServiceTypes[:given])
}

// SetNodes sets the number of nodes that share the servers, this one included. Fewer than one counts as one.
func (b *Balancer) SetNodes(nodes int) {
	nodes = max(nodes, 1)
	b.quotaPerServer *= float64(b.Nodes) / float64(nodes)
	b.Nodes = nodes
}

// SetSize replaces the size of a server until the endpoint list names the server again.
func (b *Balancer) SetSize(server int, size float64) {
	b.server(server).Size = size
}

// overQuota reports whether a tenant has more open connections here than this node's part of its quota.
func (b *Balancer) overQuota(tenant int) bool {
	return tenant < len(b.Quotas) && float64(b.openByTenant[tenant]*b.Nodes) > b.Quotas[tenant]
}

// updateQuotaPerServer reckons by the longest list so far: a shorter one does not make the servers larger.
func (b *Balancer) updateQuotaPerServer() {
	b.quotaPerServer = 0
	for _, quota := range b.Quotas {
		b.quotaPerServer += quota / b.longestList / float64(b.Nodes)
	}
}

// shortestMessageObjective returns the shortest message objective in seconds, infinite if no type has one.
func shortestMessageObjective(serviceTypes []ServiceType) float64 {
	shortest := math.Inf(1)
	for _, serviceType := range serviceTypes {
		shortest = min(shortest, cmp.Or(serviceType.MessageObjective, shortest))
	}
	return shortest
}

func pollInterval(interval float64) float64 {
	return cmp.Or(interval, defaultPollInterval)
}
