package rig

import "gorseledge/internal/configfeed"

// The values of Event.Kind that concern control servers and the configuration.
const (
	eventServerStart       = "server start"  // a control server was started
	eventServerExit        = "server exit"   // the rig ended a control server
	eventServerDied        = "server died"   // a control server ended by itself
	eventControlFaultStart = "control fault" // a fault of control servers began
	eventControlFaultEnd   = "control over"  // a fault of control servers ended
	eventProposal          = "apply"         // a proposal was answered, or its answer was lost
	eventConfig            = "config"        // a node was seen with a version in force that it did not have before
	eventEpoch             = "epoch"         // the rig, as an operator, started a new epoch
	eventAwaitInForce      = "await"         // the rig began to wait until the writer's version is in force at all nodes
	eventInForce           = "in force"      // the writer's version is in force at all nodes
	eventNotInForce        = "late"          // the writer's version was not in force within the stated time
	eventHeldProposals     = "marks"         // the proposals that the writer holds at the end
)

// outcomeUnknown is the outcome of a proposal whose answer was lost; the others are those of configfeed.
const outcomeUnknown = "answer lost"

// ControlEvent is the part of an event that concerns control servers and the configuration.
type ControlEvent struct {
	Server      int                `json:"server,omitempty"`
	Fault       *ControlFault      `json:"fault,omitempty"`
	ID          string             `json:"id,omitempty"`      // of a proposal
	Outcome     string             `json:"outcome,omitempty"` // of a proposal
	Version     configfeed.Version `json:"version,omitzero"`
	Digest      string             `json:"digest,omitempty"` // of the entries
	ProposalIDs []string           `json:"marks,omitempty"`  // IDs of the proposals that the writer's entries identify
}
