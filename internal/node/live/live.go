// Package live holds the settings that a node takes while flows go on. It is apart from the package that reads their
// document, so that a program built for nodes on their own links nothing of the distribution of configuration.
package live

import "encoding/json"

// Settings replace figures of a node's start. What is nil or missing stands as the start has it. Times are seconds.
type Settings struct {
	MaxRetryAfter  *float64               `json:"retry_advice_s,omitempty"` // longest retry time that a client is told
	PollInterval   *float64               `json:"ask_within_s,omitempty"`   // the host list is asked for within this time
	Nodes          *int                   `json:"nodes,omitempty"`          // nodes that share the hosts
	Discovery      *string                `json:"discovery,omitempty"`      // address of discovery
	MaxAttempts    *int                   `json:"max_connects,omitempty"`   // connects for one flow
	MaxDescriptors *int                   `json:"sockets,omitempty"`        // descriptors of the node
	SlowStart      SlowStart              `json:"slow_start,omitzero"`
	Tenants        map[string]Tenant      `json:"tenants,omitempty"`       // by name
	Types          map[string]ServiceType `json:"service_types,omitempty"` // by name
	Hosts          map[string]Host        `json:"hosts,omitempty"`         // by id
}

// SlowStart says how much a host bears that has just started.
type SlowStart struct {
	Share            *float64 `json:"from,omitempty"`          // share of its capacity at its start
	Duration         *float64 `json:"for_s,omitempty"`         // it bears all after this time
	OverloadMultiple *float64 `json:"fall_multiple,omitempty"` // it falls over at this multiple of what it bears
	OverloadWindow   *float64 `json:"fall_for_s,omitempty"`    // for this time
}

// Tenant is one tenant's share.
type Tenant struct {
	Connections *int `json:"connections,omitempty"` // open connections over all nodes
}

// ServiceType holds the targets of one service type.
type ServiceType struct {
	SetupObjective   *float64 `json:"setup_target_s,omitempty"`
	MessageObjective *float64 `json:"message_target_s,omitempty"`
}

// Host overrides what discovery lists of one host.
type Host struct {
	DisabledUntil *float64 `json:"disabled_until_s,omitempty"` // Unix time until which it gets nothing new
	Weight        *float64 `json:"weight,omitempty"`           // in place of the listed one
}

// Revision is a configuration under its version. The zero Revision is that of a node that has had none.
type Revision struct {
	Epoch    uint64          `json:"epoch"`
	Number   uint64          `json:"revision"`
	Settings Settings        `json:"settings"`
	State    json.RawMessage `json:"state,omitempty"` // as it was distributed, for the process that takes over
}

// IsZero tells whether r stands for no revision.
func (r Revision) IsZero() bool { return r.Epoch == 0 && r.Number == 0 }

// NewerThan tells whether r replaces other.
func (r Revision) NewerThan(other Revision) bool {
	return r.Epoch > other.Epoch || r.Epoch == other.Epoch && r.Number > other.Number
}
