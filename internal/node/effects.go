package node

import (
	"gorseledge/internal/discovery/endpoint"
	"gorseledge/internal/node/live"
	"gorseledge/internal/peers"
)

// Conn names a connection. The door numbers those it accepts with odd numbers, the core those it dials with
// even ones.
type Conn uint64

// End says what the far side of a connection did to its sending.
type End uint8

// The ways in which a connection's sending stands or stops.
const (
	Open   End = iota
	Ended      // in good order
	Broken     // by a reset or any other failure
)

// Input is one thing that happened outside.
type Input interface{ input() }

// What can happen outside.
type (
	// Accepted is a client's new connection.
	Accepted struct{ Conn Conn }
	// Dialed is the result of a Dial.
	Dialed struct {
		Conn         Conn
		Err          error
		LocalFailure bool // the node's own lack of something, which says nothing of the host
	}
	// ReadDone is the result of a Read: N bytes stand in its buffer, and what came after them.
	ReadDone struct {
		Conn Conn
		N    int
		End  End
	}
	// WriteDone is the result of a Write: N bytes are with the system.
	WriteDone struct {
		Conn   Conn
		N      int
		Failed bool
	}
	// ClientGone says that a client has ended its sending, or broke its connection, behind what is read of it so far.
	ClientGone struct{ Conn Conn }
	// Closed says that a connection's descriptor is free again.
	Closed struct{ Conn Conn }
	// ListReceived is what discovery told.
	ListReceived struct{ List endpoint.List }
	// WatchAlive is a sign of life of the watch: its answer has begun, or some of it came, if only an empty line; Within a
	// line, if that has not ended yet.
	WatchAlive struct{ MidLine bool }
	// WatchFailed says that the watch has failed or ended.
	WatchFailed struct{ Reason string }
	// DiscoveryMoved says that discovery is at another address now, and the old one about to go.
	DiscoveryMoved struct{}
	// TimerFired comes when a Timer is due; it may come at any time.
	TimerFired struct{}
	// Shutdown asks the node to go.
	Shutdown struct{}
	// ListenerOpened says that the door is open.
	ListenerOpened struct{}
	// HandoverReceived is what the predecessor leaves when it gives the clients over.
	HandoverReceived struct{ State *HandoverState }
	// PeerProcessChanged is news of the node's other process.
	PeerProcessChanged struct{ Update HandoverUpdate }
	// NodesChanged is how many nodes share the hosts now, this one included.
	NodesChanged struct{ Nodes int }
	// SettingsReceived is a revision of the live settings, answered by Configured in the same Apply.
	SettingsReceived struct{ Revision live.Revision }
	// GossipReceived is what another node said.
	GossipReceived struct{ Loads []peers.HostLoad }
	// ConnectionReceived is an open connection of the predecessor's, under the number of a client's; its host's is asked for by Own.
	ConnectionReceived struct {
		Conn     Conn
		Transfer *ConnectionTransfer
	}
	// ConnectionSent is the result of a Pass.
	ConnectionSent struct {
		Conn Conn
		OK   bool
	}
	// SuccessorGone and PredecessorGone say that it is no more.
	SuccessorGone   struct{}
	PredecessorGone struct{}
	// Query is a question of the second address or of a successor, answered by Answer in the same Apply.
	Query struct {
		Question Question
		Host     string // by name, where one is meant
	}
)

func (Accepted) input()           {}
func (Dialed) input()             {}
func (ReadDone) input()           {}
func (WriteDone) input()          {}
func (Closed) input()             {}
func (ClientGone) input()         {}
func (ListReceived) input()       {}
func (WatchAlive) input()         {}
func (WatchFailed) input()        {}
func (DiscoveryMoved) input()     {}
func (TimerFired) input()         {}
func (Shutdown) input()           {}
func (Query) input()              {}
func (ListenerOpened) input()     {}
func (HandoverReceived) input()   {}
func (PeerProcessChanged) input() {}
func (GossipReceived) input()     {}
func (NodesChanged) input()       {}
func (SettingsReceived) input()   {}
func (ConnectionReceived) input() {}
func (ConnectionSent) input()     {}
func (SuccessorGone) input()      {}
func (PredecessorGone) input()    {}

// Question is what the second address or a successor may ask.
type Question uint8

// The questions.
const (
	IsReady       Question = iota // may clients be sent here?
	GetFigures                    // the figures
	DisableHost                   // the host takes nothing new from now on
	EnableHost                    // it does again, if list and module allow it
	ClaimHandover                 // what goes over to a successor; it is told what changes from then on
	TakeOver                      // the same again: the successor takes the clients from now on
)

// Effect is one thing that the core asks for.
type Effect interface{ effect() }

// What the core asks for. A connection has at most one Read and one Write under way; their buffers are not
// touched by the core until the result is in.
type (
	// Dial opens a connection, answered by Dialed. It is for the client's connection For, 0 for none: where that client
	// is seen to have gone, nothing is dialed, and Departed says so.
	Dial struct {
		Conn    Conn
		Address string
		Timeout float64
		For     Conn
	}
	// Read fills some of Into, answered by Got.
	Read struct {
		Conn Conn
		Into []byte
	}
	// Write sends all of Data, answered by Wrote.
	Write struct {
		Conn Conn
		Data []byte
	}
	// CloseWrite ends the sending on a connection.
	CloseWrite struct{ Conn Conn }
	// Close ends a connection, answered by Closed; Reset breaks it off.
	Close struct {
		Conn  Conn
		Reset bool
	}
	// Watch asks discovery for what changed after Index, and on from there, in place of any watch before. Beside keeps
	// the oldest call that waits for its answer, until one of the two is answered.
	Watch struct {
		Index  int64
		Beside bool
	}
	// StopWatch ends the watch.
	StopWatch struct{}
	// SetTimer asks for a Tick at a time.
	SetTimer struct{ At float64 }
	// WriteLog is a line of the log.
	WriteLog struct{ Line string }
	// LogConnection is the log line of a client's connection that ended.
	LogConnection struct{ Record Record }
	// Exit says that nothing is left to do.
	Exit struct{}
	// Reply is the answer to what was Asked: no for a node that is not ready or a host that is not known.
	Reply struct {
		OK            bool
		StillDisabled bool           // of PutBack: the live settings disable the host
		Figures       Figures        // of HowMany
		Handover      *HandoverState // of Claim and Take
	}
	// StopReading ends the read under way with what it has, if anything.
	StopReading struct{ Conn Conn }
	// SendConnection sends a client's connection and its host's to the successor, answered by Passed.
	SendConnection struct {
		Conn, Host Conn
		Transfer   *ConnectionTransfer
	}
	// BindHostConnection gives the host's connection that was adopted with a client's its number.
	BindHostConnection struct{ Conn, Client Conn }
	// OpenListener says, once, that clients could be served if the door were open.
	OpenListener struct{}
	// UpdatePeerProcess is news for the node's other process, if there is one.
	UpdatePeerProcess struct{ Update HandoverUpdate }
	// SendGossip is for all other nodes.
	SendGossip struct{ Loads []peers.HostLoad }
	// SettingsApplied answers Reconfigured: the revision is in force, or Err says why none of it is. What it says of Ignored
	// keys has no effect here.
	SettingsApplied struct {
		Ignored []string
		Err     error
	}
	// MoveDiscovery says that discovery is at another address, by the live settings; the empty one stands for the start's.
	// A Watch follows.
	MoveDiscovery struct{ Address string }
	// CloseListener ends the accepting of clients, once those who wait are let in.
	CloseListener struct{}
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

// Record is what the log keeps of a client's connection.
type Record struct {
	Reason                         Reason
	Type                           string
	Host                           string
	Attempts                       int
	Duration                       float64 // seconds since it was accepted
	Setup                          float64 // seconds from the first line until it was established, 0 if it never was
	BytesFromClient, BytesToClient uint64  // bytes from the client and to it
}
