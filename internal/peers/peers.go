// Package peers carries datagrams among the nodes, and defines the form of load gossip: what a node learned about the
// loads of hosts. It owns UDP sockets and nothing else; it does not decide what is sent, and does not authenticate
// senders beyond their addresses.
//
// A message of load gossip is a version byte and up to MaxLoads loads of five bytes each. Nodes of two versions ignore
// each other's messages.
package peers

import (
	"encoding/binary"
	"math"
)

const (
	messageVersion = 1        // first byte of a message
	loadBytes      = 5        // a host's id, and its load in steps
	loadStep       = 1.0 / 64 // of a host's capacity; loads are rounded up to it, so that a small one is not sent as none
	maxLoadSteps   = 255

	// MaxLoads is the number of loads in a message at most.
	MaxLoads = 51
	// MaxMessageBytes is the length of the longest message.
	MaxMessageBytes = 1 + MaxLoads*loadBytes
)

// HostLoad is the load of one host.
type HostLoad struct {
	Host uint32  // id of the host
	Load float64 // work that is asked of the host over its capacity, 0 or more
}

// Append appends a message with the first MaxLoads of the loads. Loads are sent in steps of 1/64, rounded up, from 0 to
// just under 4; one beyond that range is sent as the nearest value in it.
func Append(to []byte, loads []HostLoad) []byte {
	to = append(to, messageVersion)
	for _, l := range loads[:min(len(loads), MaxLoads)] {
		steps := min(max(l.Load, 0)/loadStep, maxLoadSteps)
		to = binary.BigEndian.AppendUint32(to, l.Host)
		to = append(to, byte(math.Ceil(steps)))
	}
	return to
}

// Parse returns the loads in a message; nil for a message of another version or length.
func Parse(message []byte) []HostLoad {
	if len(message) < 1 || len(message) > MaxMessageBytes {
		return nil
	}
	if message[0] != messageVersion || len(message)%loadBytes != 1 {
		return nil
	}
	var loads []HostLoad
	for rest := message[1:]; len(rest) > 0; rest = rest[loadBytes:] {
		steps := rest[loadBytes-1]
		loads = append(loads, HostLoad{Host: binary.BigEndian.Uint32(rest), Load: float64(steps) * loadStep})
	}
	return loads
}
