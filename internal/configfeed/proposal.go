package configfeed

// Revision is one entry of the history: what a change did, when and at whose request.
type Revision struct {
	Delta    Delta   `json:"delta"`
	At       float64 `json:"at_s"` // Unix seconds at the writer
	Author   string  `json:"author"`
	Note     string  `json:"note,omitempty"`
	Proposal string  `json:"proposal,omitempty"` // the proposal's ID; empty for the beginning of an epoch
}

// Proposal asks the writer for a new revision, whose entries replace all those before.
type Proposal struct {
	// ID is the idempotency key: a retry repeats it, and the proposal is applied once.
	ID string `json:"id"`
	// IfVersion has to be the writer's newest version; otherwise the outcome is Conflict.
	IfVersion Version `json:"if_version"`
	// Entries are all entries of the new state, in any order.
	Entries []Entry `json:"entries"`
	Author  string  `json:"author"`
	Note    string  `json:"note,omitempty"`
}

// OutcomeKind states what became of a proposal.
type OutcomeKind string

// The outcomes of a proposal.
const (
	// Accepted means that the proposal is on the writer's disk, as Outcome.Version.
	Accepted OutcomeKind = "accepted"
	// Conflict means that the newest version is not Proposal.IfVersion but Outcome.Version.
	Conflict OutcomeKind = "conflict"
	// NoChange means that the newest version has the same entries.
	NoChange OutcomeKind = "no_change"
	// NotWriter means that Outcome.Writer accepts proposals, not this server.
	NotWriter OutcomeKind = "not_writer"
	// NotReady means that the writer cannot accept proposals now; Outcome.Detail has the reason. See Server.Propose.
	NotReady OutcomeKind = "not_ready"
	// TooLarge means that MaxStateBytes or MaxChangeBytes is exceeded.
	TooLarge OutcomeKind = "too_large"
	// Invalid means that the entries or the epoch are not valid; Outcome.Detail has the reason.
	Invalid OutcomeKind = "invalid"
	// Failed means that the disk reported an error. Whether the proposal is stored is not known.
	Failed OutcomeKind = "failed"
)

// Outcome answers a Proposal.
type Outcome struct {
	Kind OutcomeKind `json:"kind"`
	// Version is the new version if Kind is Accepted, otherwise the newest one that the server has.
	Version Version `json:"version"`
	// Writer is the name of the writer, if Kind is NotWriter.
	Writer string `json:"writer,omitempty"`
	// Detail is the reason in one line, for people.
	Detail string `json:"detail,omitempty"`
}
