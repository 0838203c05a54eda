package view

// Config is what a node knows about the distributed configuration. Times are Unix time in seconds. Its JSON form is that of
// a page at the second address.
type Config struct {
	Epoch    uint64  `json:"epoch"`    // of the revision in force, 0 for none
	Revision uint64  `json:"revision"` // in force, 0 for none
	Since    float64 `json:"since_s"`  // when it was put in force at this node, 0 for none
	Digest   string  `json:"digest"`   // of its entries, hexadecimal

	Region  string   `json:"region"`  // of the node
	Server  string   `json:"server"`  // that is followed now; empty for none
	Servers []string `json:"servers"` // named by the fleet file
	Heard   float64  `json:"heard_s"` // when a server answered last, 0 for never
	Age     float64  `json:"age_s"`   // seconds since then, or since the start of the process
	Follows bool     `json:"follows"` // false while another process of the node follows

	Newest  Version  `json:"newest"`            // the newest that any server reported
	Refused *Refused `json:"refused,omitempty"` // nil for none
	Ignored []string `json:"ignored,omitempty"` // keys in force that have no effect at this node

	Requests      uint64 `json:"requests"`       // to servers, since the start of the process
	BytesSent     uint64 `json:"bytes_sent"`     // to them
	BytesReceived uint64 `json:"bytes_received"` // from them
}

// Version is the number of a revision within an epoch. The zero value stands for none.
type Version struct {
	Epoch    uint64 `json:"epoch"`
	Revision uint64 `json:"revision"`
}

// Refused is a revision that the node could not put in force.
type Refused struct {
	Version
	Reason string `json:"reason"` // the error's text, for operators
}
