package node

import (
	"gorseledge/internal/discovery/endpoint"
	"gorseledge/internal/node/live"
	"gorseledge/internal/peers"
)

// ConnID identifies a connection. The owner of the node assigns odd ids to accepted connections, and the node assigns even
// ids to the connections that it dials. Zero stands for no connection.
type ConnID uint64

// StreamState is the state of the direction of a connection in which the far side sends.
type StreamState uint8

// The stream states.
const (
	StreamOpen   StreamState = iota // the far side may send more
	StreamEnded                     // the far side has ended its sending in order (EOF)
	StreamBroken                    // a reset or another failure ended the connection
)

// Input is an event outside the node.
type Input interface{ input() }

// Inputs about connections. ReadDone, WriteDone and Dialed for a connection that the node has closed are ignored.
type (
	// Accepted is a client's new connection.
	Accepted struct{ Conn ConnID }
	// Dialed is the result of a Dial. LocalFailure says that the dial failed because this machine lacked a resource, which
	// does not count against the host.
	Dialed struct {
		Conn         ConnID
		Err          error
		LocalFailure bool
	}
	// ReadDone is the result of a Read: Count bytes are in its buffer, and State is the state of the stream after them.
	ReadDone struct {
		Conn  ConnID
		Count int
		State StreamState
	}
	// WriteDone is the result of a Write: the system accepted Count bytes.
	WriteDone struct {
		Conn   ConnID
		Count  int
		Failed bool
	}
	// ClientDisconnected says that a client has ended its sending or broken its connection, while input that it sent before
	// may still be unread.
	ClientDisconnected struct{ Conn ConnID }
	// Closed confirms a Close: the connection's descriptor is free again.
	Closed struct{ Conn ConnID }
)

// Inputs from discovery.
type (
	// ListReceived is an endpoint list, which is complete or contains changes.
	ListReceived struct{ List endpoint.List }
	// WatchAlive shows that the watch is alive: its answer has begun, or more of the answer was received, even if only an
	// empty line. MidLine says that a line is incomplete.
	WatchAlive struct{ MidLine bool }
	// WatchFailed says that the watch, or the call that asks for one, has failed or ended.
	WatchFailed struct{ Reason string }
	// DiscoveryMoved says that discovery has moved to another address and the old one is about to close.
	DiscoveryMoved struct{}
)

// Inputs from the process and its fleet.
type (
	// TimerFired says that the timer of the last SetTimer has fired. Extra ones at other times are harmless.
	TimerFired struct{}
	// Shutdown asks for a graceful shutdown.
	Shutdown struct{}
	// ListenerOpened says that the listener is open. Replaces says that another process accepted the clients until now, and
	// that new clients reach this process alone.
	ListenerOpened struct{ Replaces bool }
	// ListenerClosed says that the listener is closed, and that Accepted was reported for every client in its queue.
	ListenerClosed struct{}
	// NodesChanged says how many nodes share the hosts now, including this one.
	NodesChanged struct{ Nodes int }
	// SettingsReceived is a revision of the live settings, answered by SettingsApplied in the same Apply.
	SettingsReceived struct{ Revision live.Revision }
	// GossipReceived contains the load reports of another node.
	GossipReceived struct{ Loads []peers.HostLoad }
	// Query is a request from the admin address or a successor, answered by Reply in the same Apply. Host is the name of
	// the host for DisableHost and EnableHost, and empty otherwise.
	Query struct {
		Question Question
		Host     string
	}
)

// Inputs from the other process of an upgrade.
type (
	// HandoverReceived contains the state that the predecessor hands over.
	HandoverReceived struct{ State *HandoverState }
	// PeerProcessChanged contains an update from another process.
	PeerProcessChanged struct {
		Update HandoverUpdate
		From   Peer
	}
	// ConnectionReceived is an open connection of the predecessor. Conn is the client's connection, with the id of an
	// accepted one; BindHostConnection assigns the id of the host's connection.
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
func (ClientDisconnected) input() {}
func (ListReceived) input()       {}
func (WatchAlive) input()         {}
func (WatchFailed) input()        {}
func (DiscoveryMoved) input()     {}
func (TimerFired) input()         {}
func (Shutdown) input()           {}
func (Query) input()              {}
func (ListenerOpened) input()     {}
func (ListenerClosed) input()     {}
func (HandoverReceived) input()   {}
func (PeerProcessChanged) input() {}
func (GossipReceived) input()     {}
func (NodesChanged) input()       {}
func (SettingsReceived) input()   {}
func (ConnectionReceived) input() {}
func (ConnectionSent) input()     {}
func (SuccessorGone) input()      {}
func (PredecessorGone) input()    {}

// Peer says which other process of the node is meant. A process may have a predecessor and a successor at once.
type Peer uint8

// The peers.
const (
	AnyPeer Peer = iota // the predecessor and the successor, or whichever there is
	Predecessor
	Successor
)

// opposite returns the other one of the two peers.
func (p Peer) opposite() Peer {
	switch p {
	case Predecessor:
		return Successor
	case Successor:
		return Predecessor
	}
	return AnyPeer
}

// Question is the kind of a Query.
type Question uint8

// The questions.
const (
	IsReady       Question = iota // reports whether clients may be sent to this node
	GetStatistics                 // returns the statistics of the node
	DisableHost                   // sends no new flows to a host from now on
	EnableHost                    // ends DisableHost; the list, the balancer or the live settings may still exclude the host
	ClaimHandover                 // returns the state to a successor, which is notified of changes from now on
	TakeOver                      // returns the current state to a successor, which accepts the clients from now on
)
