package node

import (
	"gorseledge/internal/node/live"
	"gorseledge/internal/peers"
)

// Effect is an action that the node asks its owner to carry out.
type Effect interface{ effect() }

// Effects on connections. A connection has at most one Read and one Write under way, and the node does not touch their
// buffers until it has received the result.
type (
	// Dial opens a connection within Timeout seconds, answered by Dialed. Client is the client's connection that the dial
	// serves, 0 for none. If the owner finds that this client has disconnected, it does not dial but reports
	// ClientDisconnected.
	Dial struct {
		Conn    ConnID
		Address string
		Timeout float64
		Client  ConnID
	}
	// Read reads up to len(Into) bytes into Into, answered by ReadDone. LowPriority says that the result may wait for inputs
	// that clients or the node itself wait for, as it belongs to an established flow or to a client that has sent input before.
	Read struct {
		Conn        ConnID
		Into        []byte
		LowPriority bool
	}
	// StopReading ends the Read under way. ReadDone answers that Read with the bytes read so far, possibly none.
	StopReading struct{ Conn ConnID }
	// Write sends all of Data, answered by WriteDone. LowPriority is as for a Read.
	Write struct {
		Conn        ConnID
		Data        []byte
		LowPriority bool
	}
	// CloseWrite ends the sending direction of a connection.
	CloseWrite struct{ Conn ConnID }
	// Close closes a connection, answered by Closed. With Reset, the far side gets a reset instead of an orderly end.
	Close struct {
		Conn  ConnID
		Reset bool
	}
)

// MaxWaitingCalls is how many calls to discovery may wait for their answers at a time.
const MaxWaitingCalls = 4

// Effects on discovery.
type (
	// Watch asks discovery for the changes of the endpoint list after Index, as they come, and replaces any earlier watch.
	// With KeepPrevious, calls that still wait for their answer are kept until one of the calls is answered: the oldest one,
	// and the newest ones up to MaxWaitingCalls in all.
	Watch struct {
		Index        int64
		KeepPrevious bool
	}
	// StopWatch ends the watch.
	StopWatch struct{}
	// MoveDiscovery changes the address of discovery to that of the live settings. An empty Address stands for the address
	// given at the start. A Watch follows.
	MoveDiscovery struct{ Address string }
)

// Effects on the process and its fleet.
type (
	// SetTimer asks for a TimerFired at the time At, in place of any earlier timer.
	SetTimer struct{ At float64 }
	// WriteLog writes a line to the log.
	WriteLog struct{ Line string }
	// LogConnection logs a client's connection that has ended.
	LogConnection struct{ Record ConnectionRecord }
	// OpenListener asks, once, for the listener to be opened that was kept closed at the start.
	OpenListener struct{}
	// CloseListener asks, once, for the connections in the listener's queue to be accepted and the listener to be closed.
	// Its result is ListenerClosed.
	CloseListener struct{}
	// Exit asks the owner to end the process, as nothing is left to do or the time for a shutdown is over.
	Exit struct{}
	// SendGossip sends the node's load reports to all other nodes.
	SendGossip struct{ Loads []peers.HostLoad }
	// Reply answers a Query. OK is false if the node is not ready, or if the host is unknown.
	Reply struct {
		OK            bool
		StillDisabled bool           // for EnableHost: the live settings still disable the host
		Statistics    Statistics     // for GetStatistics
		Handover      *HandoverState // for ClaimHandover and TakeOver
	}
	// RevisionInForce says that a revision of the live settings is in force from now on, whether it came with SettingsReceived
	// or from the other process of an upgrade. Ignored lists its keys that have no effect on this node, sorted.
	RevisionInForce struct {
		Revision live.Revision
		Ignored  []string
	}
	// SettingsApplied answers SettingsReceived. Either the whole revision is in force, or Err is the reason why none of it
	// is. Ignored lists the keys of the revision that have no effect on this node, sorted.
	SettingsApplied struct {
		Ignored []string
		Err     error
	}
)

// Effects on the other process of an upgrade.
type (
	// UpdatePeerProcess notifies another process of an upgrade, if there is one.
	UpdatePeerProcess struct {
		Update HandoverUpdate
		To     Peer
	}
	// SendConnection sends the client's and the host's connection of a flow to the successor, answered by ConnectionSent.
	SendConnection struct {
		Conn, Host ConnID
		Transfer   *ConnectionTransfer
	}
	// BindHostConnection assigns the id Conn to the host's connection that was received together with connection Client.
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
func (RevisionInForce) effect()    {}
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
	Host            string  // host of the last attempt; empty if there was none
	Attempts        int     // attempts that were started
	Duration        float64 // seconds since it was accepted
	Setup           float64 // seconds since it was accepted until the flow was established, 0 if it never was
	BytesFromClient uint64  // forwarded to the host
	BytesToClient   uint64  // written to the client
}
