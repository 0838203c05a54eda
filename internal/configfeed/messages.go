package configfeed

// Refusal states that a follower could not put a version in force, and why. The follower stays with the version that it
// has.
type Refusal struct {
	Version Version `json:"version"`
	Reason  string  `json:"reason"` // at most MaxReasonBytes
}

// Poll is a follower's request for a newer version than the one that it has.
type Poll struct {
	// Follower is the name of the follower, 1 to MaxNameBytes long.
	Follower string `json:"follower"`
	// Server is set where the follower is a control server itself.
	Server bool `json:"server,omitempty"`
	// Region is where the follower runs. It is only shown to operators.
	Region string `json:"region,omitempty"`
	// Have is the version in force at the follower; zero for none.
	Have Version `json:"have"`
	// Digest is that of the entries of Have.
	Digest Digest `json:"digest,string"`
	// Refused is the refusal of a version newer than Have, or nil.
	Refused *Refusal `json:"refused,omitempty"`
	// NeedsSnapshot is set after a delta that did not lead on from Have: only a complete state will do.
	NeedsSnapshot bool `json:"whole,omitempty"`
	// Newest is the newest version that the follower has heard of.
	Newest Version `json:"newest,omitzero"`
	// Wait is how long the server may hold the poll while it has nothing newer, in seconds; zero asks for an answer at
	// once. Servers bound it.
	Wait float64 `json:"wait_s"`
}

// UpdateKind is the kind of an Update.
type UpdateKind string

// The kinds of an Update.
const (
	// Unchanged means that the server has the follower's version.
	Unchanged UpdateKind = "unchanged"
	// Changes means that deltas or revisions lead on from the follower's version, in order.
	Changes UpdateKind = "changes"
	// Snapshot means that the update carries the complete state.
	Snapshot UpdateKind = "snapshot"
	// Behind means that the server has an older version than the follower.
	Behind UpdateKind = "behind"
	// Diverged means that the server has the follower's version with other entries: a backup of one of the two was
	// restored.
	Diverged UpdateKind = "diverged"
)

// Update answers a Poll.
type Update struct {
	Kind UpdateKind `json:"kind"`
	// Server is the name of the server that answers.
	Server string `json:"server"`
	// Version is the newest one that the server has.
	Version Version `json:"version"`
	// Isolated is set where the server does not reach a majority of the servers.
	Isolated bool `json:"isolated,omitempty"`
	// Deltas lead on from the follower's version, if Kind is Changes and the follower is a node.
	Deltas []Delta `json:"deltas,omitempty"`
	// Revisions take the place of Deltas where the follower is a server, which needs the history as well.
	Revisions []Revision `json:"revisions,omitempty"`
	// State is the complete state, if Kind is Snapshot.
	State *State `json:"state,omitempty"`
}

// FollowerStatus is what a server knows of a follower that polls it.
type FollowerStatus struct {
	Name      string   `json:"name"`
	Server    bool     `json:"server,omitempty"` // it is a control server itself
	Region    string   `json:"region,omitempty"`
	Have      Version  `json:"have"`              // as of its last poll
	HaveSince float64  `json:"since_s"`           // Unix seconds at which it first polled with Have
	LastHeard float64  `json:"heard_s"`           // Unix seconds of its last poll
	Refused   *Refusal `json:"refused,omitempty"` // as of its last poll; nil for none
}
