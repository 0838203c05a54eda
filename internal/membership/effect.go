package membership

import "gorseledge/internal/membership/wire"

// Effect is something that the caller of Members has to carry out: Send, Changed or Replaced. Effects are carried out in
// the order in which they are returned.
type Effect interface{ effect() }

// Send asks the caller to send a message to an address. The message may be lost.
type Send struct {
	To      string
	Message *wire.Message
}

// Changed reports that a member is new or has changed its state.
type Changed struct {
	Member         // as it is now
	New      bool  // the member was not known before
	Previous State // its state before; Alive for a new member
	// SuspectedBy is meant for the name of the member that reported a suspicion. It is always empty so far: the change
	// is reported before the reporter is recorded.
	SuspectedBy string
}

// Replaced reports that a later process has this node's name at another address. This node sends nothing more, and its
// process has to leave the fleet.
type Replaced struct {
	Successor Member // Name, Start, Address and Zone of the later process
}

func (Send) effect()     {}
func (Changed) effect()  {}
func (Replaced) effect() {}
