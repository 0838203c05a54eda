package placement

import (
	"cmp"
	"math"
	"slices"
)

// defaultPollInterval is the poll interval in seconds if the settings have none.
const defaultPollInterval = 16.0

// Idempotency is the effect of a second execution of a flow.
type Idempotency uint8

// The kinds of idempotency, the strictest first.
const (
	AtMostOnce        Idempotency = iota // a flow that may have had an effect must not be attempted again
	IdempotentWithKey                    // servers within the KeyScope drop repeated attempts for the KeyLifetime
	Idempotent                           // repeated attempts are harmless
)

// KeyScope is the set of servers that drop the repeated attempts of a flow with an idempotency key.
type KeyScope uint8

// The scopes of an idempotency key.
const (
	KeyScopeCell KeyScope = iota // servers of one cell
	KeyScopeZone                 // servers of one zone
	KeyScopeAll                  // all servers
)

// ServiceType holds the properties of one type of service. The zero value is the strictest. Times are in seconds.
type ServiceType struct {
	Idempotency      Idempotency
	KeyScope         KeyScope
	KeyLifetime      float64 // how long repeated attempts are dropped, from the first attempt that may have had an effect
	SetupObjective   float64 // latency objective of a setup
	MessageObjective float64 // latency objective of a message on an established connection; 0 for none
}

// Settings is the configuration of a balancer. Times are in seconds.
type Settings struct {
	Seed              uint64  // seed of all random numbers
	Nodes             int     // nodes that share the servers, this one included
	NodeNumber        int     // number of this node among them, the same after a restart
	StartedAt         float64 // when this process started
	Tick              float64 // shortest time between two rounds of inputs from the host
	MaxAttempts       int     // maximum number of attempts for one flow
	DialTimeout       float64 // longest time from a Connect decision until the request is written
	HealthChecks      bool    // health checks are allowed
	MaxRetryAfter     float64 // longest Retry-After that a client obeys; 0 if none is allowed
	WatchEndpoints    bool    // the endpoint list has to be polled
	PollInterval      float64 // longest time between two polls without a watch; 0 for defaultPollInterval
	AgentPollPause    float64 // longest pause after a failed poll of a list service on the same machine; 0 if all nodes share it
	LoadReports       bool    // health checks return load reports
	LoadGossip        bool    // nodes notify one another of the loads that were reported to them
	TimeHealthChecks  bool    // message delays are estimated from the round trips of health checks
	SlowStartFraction float64 // fraction of its capacity, above 0 and up to 1, that a server has when it starts
	SlowStartTime     float64 // time from the start of a server until it has its full capacity
	OverloadMultiple  float64 // multiple of its current capacity above which a server in slow start fails
	OverloadWindow    float64 // for how long a server in slow start withstands a load above that multiple
	ServiceTypes      []ServiceType
	Quotas            []float64 // by tenant: maximum of open connections over all nodes; nil for no quotas
}

// Objectives are the replaceable latency objectives of one service type, in seconds.
type Objectives struct {
	Setup   float64
	Message float64 // 0 for none
}

// LiveSettings is the part of Settings that may be replaced while the balancer is in use. Times are in seconds.
type LiveSettings struct {
	MaxAttempts       int
	MaxRetryAfter     float64
	PollInterval      float64
	SlowStartFraction float64
	SlowStartTime     float64
	OverloadMultiple  float64
	OverloadWindow    float64
	Objectives        []Objectives // by service type
	Quotas            []float64    // by tenant
}

// Live returns the replaceable part of the settings. The result shares no memory with them.
func (s Settings) Live() LiveSettings {
	live := LiveSettings{
		MaxAttempts:       s.MaxAttempts,
		MaxRetryAfter:     s.MaxRetryAfter,
		PollInterval:      s.PollInterval,
		SlowStartFraction: s.SlowStartFraction,
		SlowStartTime:     s.SlowStartTime,
		OverloadMultiple:  s.OverloadMultiple,
		OverloadWindow:    s.OverloadWindow,
		Quotas:            slices.Clone(s.Quotas),
	}
	for _, serviceType := range s.ServiceTypes {
		live.Objectives = append(live.Objectives,
			Objectives{Setup: serviceType.SetupObjective, Message: serviceType.MessageObjective})
	}
	return live
}

// ApplySettings applies live settings to all later decisions. Earlier decisions and the deadlines of waiting flows remain
// in force. The caller passes as many objectives as there are service types and as many quotas as there are tenants; if
// the number of quotas differs, they are ignored. The balancer keeps no reference to the argument.
func (b *Balancer) ApplySettings(live LiveSettings) {
	b.MaxAttempts = live.MaxAttempts
	b.MaxRetryAfter = live.MaxRetryAfter
	b.PollInterval = pollInterval(live.PollInterval)
	b.SlowStartFraction = live.SlowStartFraction
	b.SlowStartTime = live.SlowStartTime
	b.OverloadMultiple = live.OverloadMultiple
	b.OverloadWindow = live.OverloadWindow
	b.applyObjectives(live.Objectives)
	if len(live.Quotas) == len(b.Quotas) {
		b.Quotas = slices.Clone(live.Quotas)
	}
	b.updateQuotaPerServer()
}

func (b *Balancer) applyObjectives(objectives []Objectives) {
	b.ServiceTypes = slices.Clone(b.ServiceTypes) // the slice passed to New belongs to the caller
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

// SetSize replaces the size of a server until the next endpoint list that contains the server.
func (b *Balancer) SetSize(server int, size float64) {
	b.server(server).Size = size
}

// overQuota reports whether a tenant has more open connections at this node than the node's part of its quota.
func (b *Balancer) overQuota(tenant int) bool {
	return tenant < len(b.Quotas) && float64(b.openByTenant[tenant]*b.Nodes) > b.Quotas[tenant]
}

// updateQuotaPerServer divides the quotas by the length of the longest list so far, because a shorter list does not
// increase the capacity of the servers on it. Until a list has had a server, it allows no connections, as without quotas.
func (b *Balancer) updateQuotaPerServer() {
	b.quotaPerServer = 0
	if b.longestListLength == 0 {
		return
	}
	for _, quota := range b.Quotas {
		b.quotaPerServer += quota / b.longestListLength / float64(b.Nodes)
	}
}

// shortestMessageObjective returns the shortest message objective in seconds, or infinity if no type has one.
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
