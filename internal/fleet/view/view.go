// Package view holds the interface between a node and its part in a fleet: what the node calls, and what it shows of the
// fleet at its second address. It owns the JSON forms of those pages. It is apart from package fleet, so that a program
// built for nodes on their own links nothing of a fleet; it must not import that package.
package view

import (
	"context"

	"gorseledge/internal/node/live"
	"gorseledge/internal/peers"
)

// Part is a node's part in a fleet. Its methods may be called from several goroutines.
type Part interface {
	// Run is a member of the fleet until the context ends or the node has left the fleet.
	Run(ctx context.Context) error
	// SetReady announces whether the node accepts clients.
	SetReady(ready bool)
	// SetHandedOver hands the membership over to another process of the node, or takes it back.
	SetHandedOver(handedOver bool)
	// Leave announces that the node leaves, unless another process of it is the member.
	Leave()
	// SendGossip sends loads of hosts to every other live member.
	SendGossip(loads []peers.HostLoad)
	// Follow follows the control servers from now on: no predecessor of this process does any more.
	Follow()
	// SetInForce records that a revision of the live settings is in force at the node.
	SetInForce(r live.Revision)
	// View returns what the node knows about the fleet now.
	View() View
}

// View is what a node knows about its fleet.
type View struct {
	Fleet       string         `json:"fleet"`             // id of the fleet
	Self        string         `json:"self"`              // name of the node
	LiveCount   int            `json:"living"`            // members that are alive or suspect, including the node
	HealthScore int            `json:"doubt"`             // local health score (Lifeguard); 0 is healthy
	Nodes       int            `json:"nodes"`             // that share the hosts' budgets; 0 before the first count
	Members     []Member       `json:"members"`           // in the order of their names, including the node and members that are gone
	Traffic     []Traffic      `json:"traffic,omitempty"` // by kind of message; kinds that did not occur are absent
	Rejected    map[string]int `json:"refused,omitempty"` // number of datagrams by the reason of their rejection
	Config      *Config        `json:"-"`                 // nil where the fleet file names no control servers
}

// Member is one member as the second address shows it.
type Member struct {
	Name        string   `json:"name"`
	State       string   `json:"state"`               // alive, suspect, dead or left
	Since       float64  `json:"since_s"`             // when it got this state at the node, Unix time in seconds
	Start       uint64   `json:"start_us"`            // of its process, Unix time in microseconds
	Incarnation uint32   `json:"incarnation"`         // raised by the member itself
	Address     string   `json:"address"`             // for messages among members
	Zone        string   `json:"zone"`                // as it announces it
	Build       string   `json:"build,omitempty"`     // revision of its program
	Ready       bool     `json:"ready"`               // it accepts clients
	BadLinks    []string `json:"bad_links,omitempty"` // names of members that it reaches only through others
}

// Traffic counts the datagrams of one kind since the start of the process. Bytes are those of the datagrams, without the
// headers of UDP and IP. Received are only datagrams that were accepted: View.Rejected counts the others.
type Traffic struct {
	Kind             string `json:"kind"`
	SentMessages     int    `json:"sent_messages"`
	SentBytes        int    `json:"sent_bytes"`
	ReceivedMessages int    `json:"received_messages"`
	ReceivedBytes    int    `json:"received_bytes"`
}
