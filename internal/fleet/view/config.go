package view

// Config is what a node knows of the configuration that is distributed. Times are Unix time in seconds.
type Config struct {
	Epoch    uint64  `json:"epoch"`    // of the revision in force, 0 for none
	Revision uint64  `json:"revision"` // in force, 0 for none
	Since    float64 `json:"since_s"`  // when it was put in force here, 0 for none
	Digest   string  `json:"digest"`   // of its entries, hexadecimal

	Region  string   `json:"region"`  // of the node
	Server  string   `json:"server"`  // that is followed now
	Servers []string `json:"servers"` // named by the fleet file
	Heard   float64  `json:"heard_s"` // when a server answered last, 0 for never
	Age     float64  `json:"age_s"`   // seconds since then, or since the start of the process
	Follows bool     `json:"follows"` // false while another process of the node does

	Newest  Version  `json:"newest"`            // that any server told of
	Refused *Refused `json:"refused,omitempty"` // nil for none
	Ignored []string `json:"ignored,omitempty"` // keys in force that have no effect at this node

	Requests      uint64 `json:"requests"` // to servers, since the start of the process
	BytesSent     uint64 `json:"bytes_sent"`
	BytesReceived uint64 `json:"bytes_received"`
}

// Version is a revision's number within an epoch.
type Version struct {
	Epoch    uint64 `json:"epoch"`
	Revision uint64 `json:"revision"`
}

// Refused is a revision that the node could not put in force, and why.
type Refused struct {
	Version
	Reason string `json:"reason"`
}
