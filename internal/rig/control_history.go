package rig

import "gorseledge/internal/configfeed"

// The values of Event.Kind for control servers and the configuration.
const (
	eventServerStart       = "server start"  // a control server was started
	eventServerExit        = "server exit"   // the rig ended a control server
	eventServerDied        = "server died"   // a control server ended by itself
	eventControlFaultStart = "control fault" // a fault of control servers began
	eventControlFaultEnd   = "control over"  // a fault of control servers ended
	eventProposal          = "apply"         // the rig received the outcome of a proposal, or the request failed
	eventConfig            = "config"        // the rig observed a change of the configuration that a node has in force
	eventEpoch             = "epoch"         // the rig started a new epoch in the role of an operator
	eventAwaitInForce      = "await"         // the rig started to wait until the writer's version is in force at all nodes
	eventInForce           = "in force"      // the writer's version was in force at all nodes in time
	eventNotInForce        = "late"          // the writer's version was not in force at all nodes in time
	eventHeldProposals     = "marks"         // the proposals that the writer holds at the end of the run were read
)

// outcomeUnknown is the outcome of a proposal whose request failed, so that the writer may or may not have accepted it. The
// other outcomes are those of configfeed.
const outcomeUnknown = "answer lost"

// ControlEvent is the part of an event that concerns control servers and the configuration.
type ControlEvent struct {
	Server      int                `json:"server,omitempty"` // index of the server
	Fault       *ControlFault      `json:"fault,omitempty"`
	ID          string             `json:"id,omitempty"`      // ID of a proposal
	Outcome     string             `json:"outcome,omitempty"` // outcome of a proposal or of a new epoch
	Version     configfeed.Version `json:"version,omitzero"`
	Digest      string             `json:"digest,omitempty"` // digest of the entries
	ProposalIDs []string           `json:"marks,omitempty"`  // IDs of the proposals whose identifying entries the writer holds
}
