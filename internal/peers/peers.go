// Package peers sends and receives datagrams between nodes, and defines the encoding of load gossip, with which a node
// shares what it learned about the loads of hosts. The package does not decide what is sent, and authenticates senders
// only by their addresses.
//
// A message of load gossip is a version byte followed by up to MaxLoads loads of five bytes each. A node ignores messages
// with another version byte than its own.
package peers

import (
	"encoding/binary"
	"math"
)

const (
	messageVersion = 1        // first byte of a message
	loadBytes      = 5        // encoded size of one load: 4 bytes for the host's id, 1 byte for its load in steps
	loadStep       = 1.0 / 64 // unit of an encoded load, as a fraction of the host's capacity
	maxLoadSteps   = 255      // largest load that fits into its byte

	// MaxLoads is the maximum number of loads in a message.
	MaxLoads = 51
	// MaxMessageBytes is the length of a message with MaxLoads loads.
	MaxMessageBytes = 1 + MaxLoads*loadBytes
)

// HostLoad is the load of one host.
type HostLoad struct {
	Host uint32  // id of the host
	Load float64 // ratio of the work that is requested of the host to its capacity, 0 or more
}

// Append appends a message with the loads to a slice and returns it. Loads after the first MaxLoads are omitted. A load is
// encoded as a multiple of 1/64 from 0 to 255/64. It is rounded up, so that a small load is not encoded as 0, and limited
// to that range.
func Append(to []byte, loads []HostLoad) []byte {
	to = append(to, messageVersion)
	for _, l := range loads[:min(len(loads), MaxLoads)] {
		steps := min(max(l.Load, 0)/loadStep, maxLoadSteps)
		to = binary.BigEndian.AppendUint32(to, l.Host)
		to = append(to, byte(math.Ceil(steps)))
	}
	return to
}

// Parse returns the loads in a message. It returns nil if the message has another version or an invalid length.
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
