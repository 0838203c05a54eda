package configfeed

// Revision is one entry of the history: a change with its time, author and note.
type Revision struct {
	Delta    Delta   `json:"delta"`
	At       float64 `json:"at_s"` // Unix seconds on the writer's clock
	Author   string  `json:"author"`
	Note     string  `json:"note,omitempty"`
	Proposal string  `json:"proposal,omitempty"` // the proposal's ID; empty for a revision that begins an epoch
}

// Proposal asks the writer for a new revision, whose entries replace all entries of the newest state.
type Proposal struct {
	// ID is the idempotency key: a retry repeats it, and the proposal is applied only once.
	ID string `json:"id"`
	// IfVersion must be the writer's newest version; otherwise the outcome is Conflict.
	IfVersion Version `json:"if_version"`
	// Entries are all entries of the new state, in any order.
	Entries []Entry `json:"entries"`
	Author  string  `json:"author"`
	Note    string  `json:"note,omitempty"`
}

// OutcomeKind is the kind of an Outcome.
type OutcomeKind string

// The outcomes of a proposal.
const (
	// Accepted means that the proposal is saved on the writer's disk, as Outcome.Version.
	Accepted OutcomeKind = "accepted"
	// Conflict means that the writer's newest version is Outcome.Version and differs from Proposal.IfVersion.
	Conflict OutcomeKind = "conflict"
	// NoChange means that the newest version has the same entries.
	NoChange OutcomeKind = "no_change"
	// NotWriter means that this server does not accept proposals; the server named Outcome.Writer does.
	NotWriter OutcomeKind = "not_writer"
	// NotReady means that the writer cannot accept proposals at present; Outcome.Detail has the reason. See
	// Server.Propose.
	NotReady OutcomeKind = "not_ready"
	// TooLarge means that MaxStateBytes or MaxChangeBytes is exceeded.
	TooLarge OutcomeKind = "too_large"
	// Invalid means that the entries or the epoch are not valid; Outcome.Detail has the reason.
	Invalid OutcomeKind = "invalid"
	// Failed means that the write to the disk returned an error. It is unknown whether the proposal is stored.
	Failed OutcomeKind = "failed"
)

// Outcome answers a Proposal.
type Outcome struct {
	Kind OutcomeKind `json:"kind"`
	// Version is the proposal's version if Kind is Accepted, and otherwise the newest version that the server has.
	Version Version `json:"version"`
	// Writer is the name of the writer, if Kind is NotWriter.
	Writer string `json:"writer,omitempty"`
	// Detail is the reason in one line, for operators.
	Detail string `json:"detail,omitempty"`
}
