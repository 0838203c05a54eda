package node

// Reason is the code with which a client's connection ends; docs/oncall.md has the table.
type Reason string

// Every client's connection ends with one of these.
const (
	Served              Reason = "served"        // the host said so
	MigratedByHost      Reason = "sent-away"     // the host asked the client to move
	HostEnded           Reason = "host-ended"    // the host ended it without a word
	HostReset           Reason = "host-reset"    // the host broke it
	HostSilent          Reason = "host-silent"   // nothing came back from the host
	HostProtocolError   Reason = "host-odd"      // a line of the host was too long
	ClientEnded         Reason = "client-ended"  // the client ended an established connection
	ClientReset         Reason = "client-reset"  // the client broke it
	ClientLeft          Reason = "client-left"   // the client did not wait for an answer
	ClientProtocolError Reason = "client-odd"    // a line of the client was too long
	Migrated            Reason = "moved"         // the module moved it
	MigratedAtShutdown  Reason = "moved-leaving" // the node leaves
	Rejected            Reason = "rejected"      // the module gave it up, trying again is harmless
	Aborted             Reason = "aborted"       // the module gave it up
	BadLine             Reason = "bad-line"      // no opening line
	NoTimeout           Reason = "no-timeout"    // no connect timeout in it
	DuplicateFlowID     Reason = "same-id"       // the id of another client's flow that is open here
	UnknownType         Reason = "unknown-type"  // a service type that the settings do not have
	UnknownHost         Reason = "unknown-host"  // said to be open at a host that is not on the list
	NotRestored         Reason = "not-carried"   // said to be open at a host that did not take it up
	NoDescriptors       Reason = "no-sockets"    // too few descriptors are left
	NoLine              Reason = "no-line"       // no line came in time
	ReadinessChecked    Reason = "checked"       // a connection that only asked whether the node is ready
	HandedOver          Reason = "handed-over"   // an open connection goes on at the process that takes this one's place
	ShuttingDown        Reason = "leaving"       // came or was still there while the node leaves
)
