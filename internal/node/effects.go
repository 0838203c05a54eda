package node

import "gorseledge/internal/peers"

// Effect is one thing that the node asks its owner to do.
type Effect interface{ effect() }

// Effects on connections. A connection has at most one Read and one Write under way; the node does not touch their
// buffers until the result is in.
type (
	// Dial opens a connection within Timeout seconds, answered by Dialed. For is the client's connection that it is for,
	// 0 for none: where that client is seen to have gone, nothing is dialed, and ClientGone says so.
	Dial struct {
		Conn    ConnID
		Address string
		Timeout float64
		For     ConnID
	}
	// Read fills some of Into, answered by ReadDone.
	Read struct {
		Conn ConnID
		Into []byte
	}
	// StopReading ends the Read under way with what it has, if anything; ReadDone answers it.
	StopReading struct{ Conn ConnID }
	// Write sends all of Data, answered by WriteDone.
	Write struct {
		Conn ConnID
		Data []byte
	}
	// CloseWrite ends the sending on a connection.
	CloseWrite struct{ Conn ConnID }
	// Close closes a connection, answered by Closed; Reset breaks it off.
	Close struct {
		Conn  ConnID
		Reset bool
	}
)

// Effects on discovery.
type (
	// Watch asks discovery for the changes after Index, and for those that follow, and replaces any earlier watch. With
	// KeepPrevious, the oldest call that still waits for its answer is kept until one of the two calls is answered.
	Watch struct {
		Index        int64
		KeepPrevious bool
	}
	// StopWatch ends the watch.
	StopWatch struct{}
	// MoveDiscovery says that discovery is at another address by the live settings; the empty one stands for the
	// start's. A Watch follows.
	MoveDiscovery struct{ Address string }
)

// Effects on the process and its fleet.
type (
	// SetTimer asks for a TimerFired at a time, in place of any before.
	SetTimer struct{ At float64 }
	// WriteLog is a line of the log.
	WriteLog struct{ Line string }
	// LogConnection is the log line of a client's connection that ended.
	LogConnection struct{ Record ConnectionRecord }
	// OpenListener says, once, that clients can be served if the listener is opened.
	OpenListener struct{}
	// CloseListener ends the accepting of clients, once those that wait are accepted.
	CloseListener struct{}
	// Exit says that nothing is left to do.
	Exit struct{}
	// SendGossip is the node's load reports for all other nodes.
	SendGossip struct{ Loads []peers.HostLoad }
	// Reply answers a Query. OK is false for a node that is not ready, or a host that is not known.
	Reply struct {
		OK            bool
		StillDisabled bool           // to EnableHost: the live settings disable the host
		Statistics    Statistics     // to GetStatistics
		Handover      *HandoverState // to ClaimHandover and TakeOver
	}
	// SettingsApplied answers SettingsReceived: the revision is in force, or Err says why nothing of it is. Ignored
	// lists its keys that have no effect here, sorted.
	SettingsApplied struct {
		Ignored []string
		Err     error
	}
)

// Effects on the other process of an upgrade.
type (
	// UpdatePeerProcess notifies the node's other process, if there is one.
	UpdatePeerProcess struct{ Update HandoverUpdate }
	// SendConnection sends a client's connection and its host's to the successor, answered by ConnectionSent.
	SendConnection struct {
		Conn, Host ConnID
		Transfer   *ConnectionTransfer
	}
	// BindHostConnection gives the host's connection that was received with a client's its number.
	BindHostConnection struct{ Conn, Client ConnID }
)

func (Dial) effect()               {}
func (Read) effect()               {}
func (Write) effect()              {}
func (CloseWrite) effect()         {}
func (Close) effect()              {}
func (Watch) effect()              {}
func (StopWatch) effect()          {}
func (SetTimer) effect()           {}
func (WriteLog) effect()           {}
func (LogConnection) effect()      {}
func (Exit) effect()               {}
func (StopReading) effect()        {}
func (SendConnection) effect()     {}
func (BindHostConnection) effect() {}
func (OpenListener) effect()       {}
func (UpdatePeerProcess) effect()  {}
func (SendGossip) effect()         {}
func (CloseListener) effect()      {}
func (Reply) effect()              {}
func (SettingsApplied) effect()    {}
func (MoveDiscovery) effect()      {}

// ConnectionRecord is what the log line of a client connection contains.
type ConnectionRecord struct {
	Reason          Reason
	Type            string  // service type; empty without a flow
	Host            string  // of the last attempt; empty for none
	Attempts        int     // that were started
	Duration        float64 // seconds since it was accepted
	Setup           float64 // seconds since it was accepted until the flow was established, 0 if it never was
	BytesFromClient uint64  // forwarded to the host
	BytesToClient   uint64  // written to the client
}
