package node

import (
	"gorseledge/internal/discovery/roster"
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
		Conn Conn
		Err  error
		Own  bool // the node's own lack of something, which says nothing of the host
	}
	// Got is the result of a Read: N bytes stand in its buffer, and what came after them.
	Got struct {
		Conn Conn
		N    int
		End  End
	}
	// Wrote is the result of a Write: N bytes are with the system.
	Wrote struct {
		Conn   Conn
		N      int
		Failed bool
	}
	// Departed says that a client has ended its sending, or broke its connection, behind what is read of it so far.
	Departed struct{ Conn Conn }
	// Closed says that a connection's descriptor is free again.
	Closed struct{ Conn Conn }
	// Listed is what discovery told.
	Listed struct{ List roster.List }
	// Spoke is a sign of life of the watch: its answer has begun, or some of it came, if only an empty line; Within a
	// line, if that has not ended yet.
	Spoke struct{ Within bool }
	// Unlisted says that the watch has failed or ended.
	Unlisted struct{ Why string }
	// Relocated says that discovery is at another address now, and the old one about to go.
	Relocated struct{}
	// Tick comes when a Timer is due; it may come at any time.
	Tick struct{}
	// Leave asks the node to go.
	Leave struct{}
	// Opened says that the door is open.
	Opened struct{}
	// Inherited is what the elder leaves when it gives the clients over.
	Inherited struct{ Legacy *Legacy }
	// Told is news of the node's other process.
	Told struct{ News News }
	// Siblings is how many nodes share the hosts now, this one included.
	Siblings struct{ Nodes int }
	// Reconfigured is a revision of the live settings, answered by Configured in the same Apply.
	Reconfigured struct{ Revision live.Revision }
	// Heard is what another node said.
	Heard struct{ Words []peers.Word }
	// Adopted is an open connection of the elder's, under the number of a client's; its host's is asked for by Own.
	Adopted struct {
		Conn   Conn
		Parcel *Parcel
	}
	// Passed is the result of a Pass.
	Passed struct {
		Conn Conn
		OK   bool
	}
	// HeirGone and ElderGone say that it is no more.
	HeirGone  struct{}
	ElderGone struct{}
	// Asked is a question of the second address or of an heir, answered by Answer in the same Apply.
	Asked struct {
		What Question
		Host string // by name, where one is meant
	}
)

func (Accepted) input()     {}
func (Dialed) input()       {}
func (Got) input()          {}
func (Wrote) input()        {}
func (Closed) input()       {}
func (Departed) input()     {}
func (Listed) input()       {}
func (Spoke) input()        {}
func (Unlisted) input()     {}
func (Relocated) input()    {}
func (Tick) input()         {}
func (Leave) input()        {}
func (Asked) input()        {}
func (Opened) input()       {}
func (Inherited) input()    {}
func (Told) input()         {}
func (Heard) input()        {}
func (Siblings) input()     {}
func (Reconfigured) input() {}
func (Adopted) input()      {}
func (Passed) input()       {}
func (HeirGone) input()     {}
func (ElderGone) input()    {}

// Question is what the second address or an heir may ask.
type Question uint8

// The questions.
const (
	IsReady Question = iota // may clients be sent here?
	HowMany                 // the figures
	TakeOut                 // the host takes nothing new from now on
	PutBack                 // it does again, if list and module allow it
	Claim                   // what goes over to an heir; it is told what changes from then on
	Take                    // the same again: the heir takes the clients from now on
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
		Within  float64
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
	// Shut ends the sending on a connection.
	Shut struct{ Conn Conn }
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
	// Unwatch ends the watch.
	Unwatch struct{}
	// Timer asks for a Tick at a time.
	Timer struct{ At float64 }
	// Note is a line of the log.
	Note struct{ Line string }
	// Done is the log line of a client's connection that ended.
	Done struct{ Record Record }
	// Exit says that nothing is left to do.
	Exit struct{}
	// Answer is the answer to what was Asked: no for a node that is not ready or a host that is not known.
	Answer struct {
		Yes      bool
		StillOut bool    // of PutBack: the live settings disable the host
		Figures  Figures // of HowMany
		Legacy   *Legacy // of Claim and Take
	}
	// Halt ends the read under way with what it has, if anything.
	Halt struct{ Conn Conn }
	// Pass sends a client's connection and its host's to the heir, answered by Passed.
	Pass struct {
		Conn, Host Conn
		Parcel     *Parcel
	}
	// Own gives the host's connection that was adopted with a client's its number.
	Own struct{ Conn, With Conn }
	// Ready says, once, that clients could be served if the door were open.
	Ready struct{}
	// Tell is news for the node's other process, if there is one.
	Tell struct{ News News }
	// Say is for all other nodes.
	Say struct{ Words []peers.Word }
	// Configured answers Reconfigured: the revision is in force, or Err says why none of it is. What it says of Ignored
	// keys has no effect here.
	Configured struct {
		Ignored []string
		Err     error
	}
	// Relocate says that discovery is at another address, by the live settings; the empty one stands for the start's.
	// A Watch follows.
	Relocate struct{ Address string }
	// Shutter ends the accepting of clients, once those who wait are let in.
	Shutter struct{}
)

func (Dial) effect()       {}
func (Read) effect()       {}
func (Write) effect()      {}
func (Shut) effect()       {}
func (Close) effect()      {}
func (Watch) effect()      {}
func (Unwatch) effect()    {}
func (Timer) effect()      {}
func (Note) effect()       {}
func (Done) effect()       {}
func (Exit) effect()       {}
func (Halt) effect()       {}
func (Pass) effect()       {}
func (Own) effect()        {}
func (Ready) effect()      {}
func (Tell) effect()       {}
func (Say) effect()        {}
func (Shutter) effect()    {}
func (Answer) effect()     {}
func (Configured) effect() {}
func (Relocate) effect()   {}

// Record is what the log keeps of a client's connection.
type Record struct {
	Reason   Reason
	Type     string
	Host     string
	Connects int
	Lasted   float64 // seconds since it was accepted
	Setup    float64 // seconds from the first line until it was established, 0 if it never was
	Up, Down uint64  // bytes from the client and to it
}
