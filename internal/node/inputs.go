package node

import (
	"gorseledge/internal/discovery/endpoint"
	"gorseledge/internal/node/live"
	"gorseledge/internal/peers"
)

// ConnID identifies a connection. The owner of the core numbers accepted connections with odd numbers, and the core numbers
// the connections that it dials with even ones. Zero stands for no connection.
type ConnID uint64

// StreamState is the state of the direction of a connection in which the far side sends.
type StreamState uint8

// The states of that direction.
const (
	StreamOpen   StreamState = iota // the far side may send more
	StreamEnded                     // the far side ended it without an error (EOF)
	StreamBroken                    // a reset or another failure ended it
)

// Input is one thing that happened outside the node.
type Input interface{ input() }

// Inputs about connections. ReadDone, WriteDone and Dialed for a connection that the node has closed are ignored.
type (
	// Accepted is a client's new connection.
	Accepted struct{ Conn ConnID }
	// Dialed is the result of a Dial. LocalFailure says that the node itself lacked something, which is no sign against
	// the host.
	Dialed struct {
		Conn         ConnID
		Err          error
		LocalFailure bool
	}
	// ReadDone is the result of a Read: Count bytes are in its buffer. State is the state of the stream after them.
	ReadDone struct {
		Conn  ConnID
		Count int
		State StreamState
	}
	// WriteDone is the result of a Write: Count bytes were taken by the system.
	WriteDone struct {
		Conn   ConnID
		Count  int
		Failed bool
	}
	// ClientGone says that a client has ended its sending, or broke its connection, behind what is read of it so far.
	ClientGone struct{ Conn ConnID }
	// Closed confirms a Close: the connection's descriptor is free again.
	Closed struct{ Conn ConnID }
)

// Inputs from discovery.
type (
	// ListReceived is an endpoint list, complete or of changes.
	ListReceived struct{ List endpoint.List }
	// WatchAlive is a sign of life of the watch: its answer has begun, or some of it came, if only an empty line.
	// MidLine says that a line has begun and not ended yet.
	WatchAlive struct{ MidLine bool }
	// WatchFailed says that the watch, or the call for one, has failed or ended.
	WatchFailed struct{ Reason string }
	// DiscoveryMoved says that discovery is at another address now, and the old one about to go.
	DiscoveryMoved struct{}
)

// Inputs from the process and its fleet.
type (
	// TimerFired comes when a SetTimer is due; it may come at any time.
	TimerFired struct{}
	// Shutdown asks for a graceful shutdown.
	Shutdown struct{}
	// ListenerOpened says that the listener is open.
	ListenerOpened struct{}
	// NodesChanged is how many nodes share the hosts now, this one included.
	NodesChanged struct{ Nodes int }
	// SettingsReceived is a revision of the live settings, answered by SettingsApplied in the same Apply.
	SettingsReceived struct{ Revision live.Revision }
	// GossipReceived is the load reports of another node.
	GossipReceived struct{ Loads []peers.HostLoad }
	// Query is a question of the second address or of a successor, answered by Reply in the same Apply. Host is a name
	// for DisableHost and EnableHost, and empty otherwise.
	Query struct {
		Question Question
		Host     string
	}
)

// Inputs from the other process of an upgrade.
type (
	// HandoverReceived is the state that the predecessor hands over.
	HandoverReceived struct{ State *HandoverState }
	// PeerProcessChanged is what the other process notifies this one of.
	PeerProcessChanged struct{ Update HandoverUpdate }
	// ConnectionReceived is an open connection of the predecessor's, under the number of an accepted one. The number of
	// its host's connection follows by BindHostConnection.
	ConnectionReceived struct {
		Conn     ConnID
		Transfer *ConnectionTransfer
	}
	// ConnectionSent is the result of a SendConnection.
	ConnectionSent struct {
		Conn ConnID
		OK   bool
	}
	// SuccessorGone says that the successor has ended.
	SuccessorGone struct{}
	// PredecessorGone says that the predecessor has ended.
	PredecessorGone struct{}
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
	GetStatistics                 // the statistics of the node
	DisableHost                   // the host takes no new flows from now on
	EnableHost                    // it takes them again, if the list and the balancer allow it
	ClaimHandover                 // the state for a successor, which is notified of changes from then on
	TakeOver                      // the state once more: the successor takes the clients from now on
)
