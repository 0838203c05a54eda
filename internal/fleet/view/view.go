// Package view is what others of a node see of its part in a fleet. It is apart from that part, so that a
// program built for nodes on their own links nothing of it.
package view

import (
	"context"

	"gorseledge/internal/node/live"
	"gorseledge/internal/peers"
)

// Part is a node's part in a fleet.
type Part interface {
	Run(ctx context.Context) error     // until the context ends, or the node has left the fleet
	Ready(ready bool)                  // the node takes clients
	SetHandedOver(held bool)           // another process of the node has the part, or this one has it back
	Leave()                            // the node goes
	SendGossip(words []peers.HostLoad) // to every other member that lives
	Follow()                           // the configuration from here on: no predecessor does it any more
	InForce(r live.Revision)           // a revision of the live settings is in force
	View() View
}

// View is what this node knows of its fleet.
type View struct {
	Fleet       string         `json:"fleet"`
	Self        string         `json:"self"`
	Living      int            `json:"living"`
	HealthScore int            `json:"doubt"`
	Nodes       int            `json:"nodes"`
	Members     []Member       `json:"members"`
	Traffic     []Traffic      `json:"traffic,omitempty"`
	Rejected    map[string]int `json:"refused,omitempty"`
	Config      *Config        `json:"-"` // nil where the fleet file names no control servers
}

// Member is one member as the second address shows it.
type Member struct {
	Name        string   `json:"name"`
	State       string   `json:"state"`
	Since       float64  `json:"since_s"` // Unix time
	Start       uint64   `json:"start_us"`
	Incarnation uint32   `json:"incarnation"`
	Address     string   `json:"address"`
	Zone        string   `json:"zone"`
	Build       string   `json:"build,omitempty"`
	Ready       bool     `json:"ready"`
	BadLinks    []string `json:"bad_links,omitempty"`
}

// Traffic counts the datagrams of one kind since the process's start. Bytes are those of the datagrams, without the
// headers of UDP and IP. Received are only those that were taken: Refused counts the others.
type Traffic struct {
	Kind             string `json:"kind"`
	SentMessages     int    `json:"sent_messages"`
	SentBytes        int    `json:"sent_bytes"`
	ReceivedMessages int    `json:"received_messages"`
	ReceivedBytes    int    `json:"received_bytes"`
}
