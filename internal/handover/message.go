// Package handover connects the process that serves the clients of a node, the predecessor, with the process that
// replaces it in an upgrade, the successor.
//
// The two processes communicate over a Unix socket that only their own user may open. It transfers the listening socket,
// open connections, and messages of one JSON object per line. The package defines the socket and the format of the
// messages; package node and its owner decide what the messages contain and how to handle them.
package handover

import (
	"errors"

	"gorseledge/internal/node"
)

const (
	protocolVersion = 1
	maxMessageBytes = 8 << 20 // bytes of one line, including its newline
)

// ErrVersion is returned for a message of another version of the protocol.
var ErrVersion = errors.New("unsupported handover protocol version")

// Request is what a successor asks the predecessor for.
type Request string

// The requests.
const (
	RequestState   Request = "claim" // asks for the state and the listening socket
	RequestClients Request = "take"  // asks the predecessor to stop accepting clients, and for its current state
)

// Refusal is the reason why a predecessor refuses a request.
type Refusal string

// RefusalBusy says that the predecessor is already handing over to another process, or does not serve clients itself yet.
const RefusalBusy Refusal = "busy"

// Message is one line of the protocol. Exactly one field is set besides Version, which Send sets. The JSON names are part
// of the handover protocol between versions.
type Message struct {
	Version  int                      `json:"version"`
	Request  Request                  `json:"ask,omitempty"`
	Refusal  Refusal                  `json:"no,omitempty"`
	State    *node.HandoverState      `json:"legacy,omitempty"`
	Update   *node.HandoverUpdate     `json:"news,omitempty"`
	Transfer *node.ConnectionTransfer `json:"parcel,omitempty"` // follows two sockets, the client's first
}
