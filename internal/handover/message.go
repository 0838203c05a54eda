// Package handover connects the process of a node that serves, the predecessor, with the process that takes its place,
// the successor.
//
// The two speak over a Unix socket, open to one user alone, that carries the listening socket, open connections and
// messages of one JSON object a line. The package owns the socket and the form of the messages; what is in them, and
// what comes of it, is decided by package node and its owner.
package handover

import (
	"errors"

	"gorseledge/internal/node"
)

const (
	protocolVersion = 1
	maxMessageBytes = 8 << 20 // of one line, with its end
)

// ErrVersion says that the other process speaks another version of the protocol.
var ErrVersion = errors.New("another version of the handover")

// Request is what a successor asks the predecessor for.
type Request string

// The requests.
const (
	RequestState   Request = "claim" // the state and the listening socket
	RequestClients Request = "take"  // the clients, and the state as it is by now
)

// Refusal says why a predecessor refuses a request.
type Refusal string

// RefusalBusy refuses a request as the predecessor hands over to another process already, or has no clients to give yet.
const RefusalBusy Refusal = "busy"

// Message is one line. Besides Version, which Send sets, one field is set. The JSON names are those of the handover
// between versions.
type Message struct {
	Version  int                      `json:"version"`
	Request  Request                  `json:"ask,omitempty"`
	Refusal  Refusal                  `json:"no,omitempty"`
	State    *node.HandoverState      `json:"legacy,omitempty"`
	Update   *node.HandoverUpdate     `json:"news,omitempty"`
	Transfer *node.ConnectionTransfer `json:"parcel,omitempty"` // comes with two sockets, the client's first
}
