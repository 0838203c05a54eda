// Package view defines the interface between a node and its fleet membership: the methods that the node calls, and the
// data that the node shows about its fleet, with the JSON forms of those pages at the admin address. It is separate from
// package fleet and must not import it, so that a program built for single nodes (build tag alone) does not link the fleet
// code.
package view

import (
	"context"

	"gorseledge/internal/node/live"
	"gorseledge/internal/peers"
)

// Membership is the fleet membership of a node. Its methods may be called from several goroutines.
type Membership interface {
	// Run runs the membership protocol until the context ends or the node has left the fleet.
	Run(ctx context.Context) error
	// SetReady announces whether the node accepts clients.
	SetReady(ready bool)
	// SetHandedOver records that another process of the node is the member now, or that this process is again.
	SetHandedOver(handedOver bool)
	// Leave announces that the node leaves the fleet, unless another process of the node is the member.
	Leave()
	// SendGossip sends loads of hosts to every other live member.
	SendGossip(loads []peers.HostLoad)
	// Follow allows this process to follow the control servers. It is called when its predecessor no longer does.
	Follow()
	// SetInForce records that a revision of the live settings is in force at the node, and which of its keys have no effect
	// there.
	SetInForce(r live.Revision, ignored []string)
	// View returns the node's current view of its fleet.
	View() View
}

// View is a node's view of its fleet. Its JSON form is a page of the node's admin address.
type View struct {
	Fleet       string         `json:"fleet"`             // id of the fleet
	Self        string         `json:"self"`              // name of the node
	LiveCount   int            `json:"living"`            // number of members that are alive or suspect, including the node
	HealthScore int            `json:"doubt"`             // local health score (Lifeguard); 0 is healthy
	Nodes       int            `json:"nodes"`             // number of nodes that share the hosts' budgets; 0 before the first count
	Members     []Member       `json:"members"`           // all known members sorted by name, including the node and dead members
	Traffic     []Traffic      `json:"traffic,omitempty"` // traffic by kind of message; kinds that did not occur are absent
	Rejected    map[string]int `json:"refused,omitempty"` // number of rejected datagrams by reason
	Config      *Config        `json:"-"`                 // nil if the node follows no control servers
}

// Member is one member on the members page of the admin address.
type Member struct {
	Name        string   `json:"name"`
	State       string   `json:"state"`               // alive, suspect, dead or left
	Since       float64  `json:"since_s"`             // time at which the node set the state, Unix time in seconds
	Start       uint64   `json:"start_us"`            // start of the member's process, Unix time in microseconds
	Incarnation uint32   `json:"incarnation"`         // incarnation, raised by the member itself
	Address     string   `json:"address"`             // address for messages between members
	Zone        string   `json:"zone"`                // zone that the member announces
	Build       string   `json:"build,omitempty"`     // revision of the member's program
	Ready       bool     `json:"ready"`               // whether the member accepts clients
	BadLinks    []string `json:"bad_links,omitempty"` // names of members that it reaches only through others
}

// Traffic counts the datagrams of one kind since the start of the process. Bytes are counted without the headers of UDP and
// IP. Rejected datagrams are not counted as received, but in View.Rejected.
type Traffic struct {
	Kind             string `json:"kind"`
	SentMessages     int    `json:"sent_messages"`
	SentBytes        int    `json:"sent_bytes"`
	ReceivedMessages int    `json:"received_messages"`
	ReceivedBytes    int    `json:"received_bytes"`
}
