package node

// Reason is the code for the end of a client's connection in the log; docs/oncall.md lists the codes.
type Reason string

// Every client's connection ends with one of these.
const (
	Served              Reason = "served"        // the host has served the flow to its end
	MigratedByHost      Reason = "sent-away"     // the host asked the client to connect again
	HostEnded           Reason = "host-ended"    // the host ended the connection without announcing it
	HostReset           Reason = "host-reset"    // the host broke the connection
	HostSilent          Reason = "host-silent"   // the host did not answer
	HostProtocolError   Reason = "host-odd"      // a line of the host was too long
	ClientEnded         Reason = "client-ended"  // the client ended an established connection
	ClientReset         Reason = "client-reset"  // the client broke the connection
	ClientLeft          Reason = "client-left"   // the client disconnected before its answer
	ClientProtocolError Reason = "client-odd"    // a line of the client was too long, or the client sent too much before its answer
	Migrated            Reason = "moved"         // the balancer migrated the flow
	MigratedAtShutdown  Reason = "moved-leaving" // the node migrated the flow at its shutdown
	Rejected            Reason = "rejected"      // the balancer rejected the flow; a new request is harmless
	Aborted             Reason = "aborted"       // the balancer aborted the flow; it may have run
	BadLine             Reason = "bad-line"      // the first line is not a valid opening line
	NoTimeout           Reason = "no-timeout"    // the opening line has no connect timeout
	DuplicateFlowID     Reason = "same-id"       // the flow id is that of another client's flow
	UnknownType         Reason = "unknown-type"  // the settings do not have the service type
	UnknownHost         Reason = "unknown-host"  // the flow was said to be open at a host that is unknown or has no address
	NotRestored         Reason = "not-carried"   // the flow was said to be open at a host that did not resume it
	NoDescriptors       Reason = "no-sockets"    // too few descriptors are left
	NoLine              Reason = "no-line"       // the client sent no opening line in time
	ReadinessChecked    Reason = "checked"       // the client only asked whether the node is ready
	HandedOver          Reason = "handed-over"   // the connection was transferred to the successor
	ShuttingDown        Reason = "leaving"       // the client arrived during a shutdown, or had no answer at its end
)
