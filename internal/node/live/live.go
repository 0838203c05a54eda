// Package live holds the settings that a node takes while flows go on. It owns their form and the order of revisions,
// and applies nothing itself.
//
// It is apart from the package that reads their document, so that a program built for nodes on their own links nothing
// of the distribution of configuration. The JSON names are those of that document.
package live

import "encoding/json"

// Settings replace figures of a node's start. What is nil or missing stands as the start has it. Times are seconds.
type Settings struct {
	MaxRetryAfter  *float64               `json:"retry_advice_s,omitempty"` // the longest Retry-After that a client is given
	PollInterval   *float64               `json:"ask_within_s,omitempty"`   // the endpoint list is polled within this time
	Nodes          *int                   `json:"nodes,omitempty"`          // nodes that share the hosts
	Discovery      *string                `json:"discovery,omitempty"`      // address of discovery
	MaxAttempts    *int                   `json:"max_connects,omitempty"`   // attempts for one flow
	MaxDescriptors *int                   `json:"sockets,omitempty"`        // descriptors of the process
	SlowStart      SlowStart              `json:"slow_start,omitzero"`
	Tenants        map[string]Tenant      `json:"tenants,omitempty"`       // by name
	Types          map[string]ServiceType `json:"service_types,omitempty"` // by name
	Hosts          map[string]Host        `json:"hosts,omitempty"`         // by name
}

// SlowStart says how much load a host bears that has just started.
type SlowStart struct {
	Share            *float64 `json:"from,omitempty"`          // share of its capacity at its start, from 0 to 1
	Duration         *float64 `json:"for_s,omitempty"`         // seconds until it bears its whole capacity
	OverloadMultiple *float64 `json:"fall_multiple,omitempty"` // it fails at this multiple of what it bears
	OverloadWindow   *float64 `json:"fall_for_s,omitempty"`    // if that lasts for so many seconds
}

// Tenant is one tenant's quota.
type Tenant struct {
	Connections *int `json:"connections,omitempty"` // open connections over all nodes
}

// ServiceType holds the latency objectives of one service type.
type ServiceType struct {
	SetupObjective   *float64 `json:"setup_target_s,omitempty"`   // seconds until a flow is established
	MessageObjective *float64 `json:"message_target_s,omitempty"` // seconds until a message is answered
}

// Host overrides what discovery lists of one host.
type Host struct {
	DisabledUntil *float64 `json:"disabled_until_s,omitempty"` // Unix time until which it takes no new flows
	Weight        *float64 `json:"weight,omitempty"`           // in place of the listed one
}

// Revision is a configuration under its version. The zero Revision is that of a node that has had none.
type Revision struct {
	Epoch    uint64          `json:"epoch"`    // of the series of revisions that one log gives out
	Number   uint64          `json:"revision"` // within the epoch
	Settings Settings        `json:"settings"`
	State    json.RawMessage `json:"state,omitempty"` // the configuration as it was distributed, for a successor process
}

// IsZero reports whether r stands for no revision.
func (r Revision) IsZero() bool { return r.Epoch == 0 && r.Number == 0 }

// NewerThan reports whether r replaces other: a later epoch does, whatever the numbers.
func (r Revision) NewerThan(other Revision) bool {
	if r.Epoch != other.Epoch {
		return r.Epoch > other.Epoch
	}
	return r.Number > other.Number
}
