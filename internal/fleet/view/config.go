package view

// Config is the status of the distributed configuration at a node. Times are Unix time in seconds. Its JSON form is a page
// of the node's admin address.
type Config struct {
	Epoch    uint64  `json:"epoch"`    // epoch of the revision in force; 0 for none
	Revision uint64  `json:"revision"` // number of the revision in force; 0 for none
	Since    float64 `json:"since_s"`  // time at which the revision was put in force at this node; 0 for none
	Digest   string  `json:"digest"`   // digest of the revision's entries in hexadecimal

	Region  string   `json:"region"`  // region of the node
	Server  string   `json:"server"`  // name of the control server that the node follows now; empty for none
	Servers []string `json:"servers"` // names of the control servers in the fleet file
	Heard   float64  `json:"heard_s"` // time of the last answer of a control server; 0 for none
	Age     float64  `json:"age_s"`   // seconds since the last answer, or since the start of the process if there was none
	Follows bool     `json:"follows"` // whether this process follows; false while another process of the node does

	Newest  Version  `json:"newest"`            // newest version that a control server reported
	Refused *Refused `json:"refused,omitempty"` // last revision that the node could not put in force; nil for none
	Ignored []string `json:"ignored,omitempty"` // keys of the revision in force that have no effect at this node

	Requests      uint64 `json:"requests"`       // number of requests to control servers since the start of the process
	BytesSent     uint64 `json:"bytes_sent"`     // bytes sent to control servers since the start of the process
	BytesReceived uint64 `json:"bytes_received"` // bytes received from control servers since the start of the process
}

// Version identifies a revision by its epoch and its number within the epoch. The zero value means no revision.
type Version struct {
	Epoch    uint64 `json:"epoch"`
	Revision uint64 `json:"revision"`
}

// Refused is a revision that the node could not put in force.
type Refused struct {
	Version
	Reason string `json:"reason"` // error text for operators
}
