package node

// Reason is the code with which a client's connection ends in the log; docs/oncall.md has the table.
type Reason string

// Every client's connection ends with one of these.
const (
	Served              Reason = "served"        // the host has served the flow to its end
	MigratedByHost      Reason = "sent-away"     // the host asked the client to connect again
	HostEnded           Reason = "host-ended"    // the host ended the connection without announcing it
	HostReset           Reason = "host-reset"    // the host broke the connection
	HostSilent          Reason = "host-silent"   // no answer came back from the host
	HostProtocolError   Reason = "host-odd"      // a line of the host was too long
	ClientEnded         Reason = "client-ended"  // the client ended an established connection
	ClientReset         Reason = "client-reset"  // the client broke the connection
	ClientLeft          Reason = "client-left"   // the client did not wait for an answer
	ClientProtocolError Reason = "client-odd"    // a line of the client was too long, or it sent too much too early
	Migrated            Reason = "moved"         // the balancer migrated the flow
	MigratedAtShutdown  Reason = "moved-leaving" // the node shuts down
	Rejected            Reason = "rejected"      // the balancer gave the flow up, a new request is harmless
	Aborted             Reason = "aborted"       // the balancer gave the flow up, it may have run
	BadLine             Reason = "bad-line"      // the first line is no opening line
	NoTimeout           Reason = "no-timeout"    // the opening line has no connect timeout
	DuplicateFlowID     Reason = "same-id"       // the flow id is that of another client's flow
	UnknownType         Reason = "unknown-type"  // the settings do not have the service type
	UnknownHost         Reason = "unknown-host"  // the flow is said to be open at a host that is not on the list
	NotRestored         Reason = "not-carried"   // the flow is said to be open at a host that did not take it up
	NoDescriptors       Reason = "no-sockets"    // too few descriptors are left
	NoLine              Reason = "no-line"       // no line came in time
	ReadinessChecked    Reason = "checked"       // the client only asked whether the node is ready
	HandedOver          Reason = "handed-over"   // the connection goes on at the successor
	ShuttingDown        Reason = "leaving"       // the client came, or was still there, at the end of a shutdown
)
