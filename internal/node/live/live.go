// Package live defines the settings that can change while a node is running, and the order of their revisions. It does
// not apply them.
//
// It is separate from the package that parses the settings document, so that a program built for standalone nodes does
// not link the distribution of configuration. The JSON names are those of the document.
package live

import "encoding/json"

// Settings override settings that a node was started with. A nil or missing entry keeps the value of the start. Times
// are in seconds.
type Settings struct {
	MaxRetryAfter  *float64               `json:"retry_advice_s,omitempty"` // the longest Retry-After sent to a client
	PollInterval   *float64               `json:"ask_within_s,omitempty"`   // longest time between list polls
	Nodes          *int                   `json:"nodes,omitempty"`          // number of nodes that share the hosts
	Discovery      *string                `json:"discovery,omitempty"`      // address of discovery
	MaxAttempts    *int                   `json:"max_connects,omitempty"`   // maximum number of attempts for one flow
	MaxDescriptors *int                   `json:"sockets,omitempty"`        // maximum number of descriptors of the process
	SlowStart      SlowStart              `json:"slow_start,omitzero"`
	Tenants        map[string]Tenant      `json:"tenants,omitempty"`       // by name
	Types          map[string]ServiceType `json:"service_types,omitempty"` // by name
	Hosts          map[string]Host        `json:"hosts,omitempty"`         // by name
}

// SlowStart limits the load of a host that has just started.
type SlowStart struct {
	Share            *float64 `json:"from,omitempty"`          // available share of its capacity at its start, from 0 to 1
	Duration         *float64 `json:"for_s,omitempty"`         // seconds until the whole capacity is available
	OverloadMultiple *float64 `json:"fall_multiple,omitempty"` // the host fails at this multiple of its capacity
	OverloadWindow   *float64 `json:"fall_for_s,omitempty"`    // if the overload lasts for this many seconds
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

// Host overrides what discovery lists for one host.
type Host struct {
	DisabledUntil *float64 `json:"disabled_until_s,omitempty"` // Unix time until which the host gets no new flows
	Weight        *float64 `json:"weight,omitempty"`           // replaces the listed weight
}

// Revision is a version of the settings. A node that has received no revision has the zero Revision.
type Revision struct {
	Epoch    uint64          `json:"epoch"`    // identifies the configuration log that numbers the revisions
	Number   uint64          `json:"revision"` // number of the revision within its epoch
	Settings Settings        `json:"settings"`
	State    json.RawMessage `json:"state,omitempty"` // the configuration as distributed, for a successor process
}

// IsZero reports whether r stands for no revision.
func (r Revision) IsZero() bool { return r.Epoch == 0 && r.Number == 0 }

// NewerThan reports whether r replaces other. A revision of a later epoch is newer, regardless of its number.
func (r Revision) NewerThan(other Revision) bool {
	if r.Epoch != other.Epoch {
		return r.Epoch > other.Epoch
	}
	return r.Number > other.Number
}
