package membership

import "gorseledge/internal/membership/wire"

// Effect is an action or event that the caller of Members has to handle: Send, Changed or Replaced. Effects must be
// handled in the order in which they are returned.
type Effect interface{ effect() }

// Send asks the caller to send a message to an address. The message may be lost.
type Send struct {
	To      string
	Message *wire.Message
}

// Changed reports that a member is new or has changed its state.
type Changed struct {
	Member         // the member after the change
	New      bool  // whether the member was not known before
	Previous State // state before the change; Alive for a new member
	// SuspectedBy is the name of the member whose report began the suspicion, this node's own if it suspects the member
	// itself. It is empty for a change to another state.
	SuspectedBy string
}

// Replaced reports that a process with a later start uses this node's name at another address. This node sends no more
// messages, and its process must leave the fleet.
type Replaced struct {
	Successor Member // Name, Start, Address and Zone of the later process
}

func (Send) effect()     {}
func (Changed) effect()  {}
func (Replaced) effect() {}
