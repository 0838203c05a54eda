// Package configfeed distributes the configuration of a fleet: a few control servers keep its revisions in one order,
// and every node follows one of them. The package does no I/O and reads no clock. Callers pass the time in seconds with
// every call and carry out the effects that they get back; all chance comes from a seed.
//
// One server, the writer, gives out revisions. The other servers follow it, and each other where it cannot be reached.
// A follower holds one request open at a server of its region; the server answers when it has something newer than what
// the follower has, or after the requested wait. Followers never replace a version by an older one.
package configfeed

import (
	"cmp"
	"fmt"
)

// Limits of what is distributed. A change has to reach every node within seconds on a small budget of bytes, so both
// the whole state and one change are bounded.
const (
	MaxStateBytes  = 1 << 20 // of all keys and values of a state
	MaxChangeBytes = 64 << 10
	MaxNameBytes   = 64  // of a server's or follower's name
	MaxReasonBytes = 512 // of a refusal
	MaxEpoch       = 1 << 53
)

// Version orders states. An epoch is begun by an operator after a restored backup or a lost disk; within an epoch
// the writer counts revisions up from 1. The zero version is older than any other and stands for "nothing yet".
type Version struct {
	Epoch    uint64 `json:"epoch"`
	Revision uint64 `json:"revision"`
}

// Compare returns -1, 0 or 1 as v is older than, equal to or newer than other.
func (v Version) Compare(other Version) int {
	return cmp.Or(cmp.Compare(v.Epoch, other.Epoch), cmp.Compare(v.Revision, other.Revision))
}

// String returns the form in which operators see a version: epoch.revision.
func (v Version) String() string { return fmt.Sprintf("%d.%d", v.Epoch, v.Revision) }

// newest returns the newer of two versions. Epochs beyond MaxEpoch are nobody's and count as nothing, so that a broken
// follower can't use the epochs up.
func newest(a, b Version) Version {
	if b.Epoch > MaxEpoch || b.Compare(a) <= 0 {
		return a
	}
	return b
}

// Digest is a hash of a state's entries, the same at every holder of the same entries.
type Digest uint64

// Entry is one setting: a dotted key and its value as compact JSON.
type Entry struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// State is a whole configuration under its version. Entries are sorted by key, and no key occurs twice.
type State struct {
	Version Version `json:"version"`
	Entries []Entry `json:"entries"`
	Digest  Digest  `json:"digest,string"`
}

// Delta leads from one version to the next one that the sender has. Digest is of the entries after it.
type Delta struct {
	From   Version  `json:"from"`
	To     Version  `json:"to"`
	Set    []Entry  `json:"set,omitempty"`
	Delete []string `json:"delete,omitempty"`
	Digest Digest   `json:"digest,string"`
}

// Refusal says that a follower could not put a version in force, and why. It stays with the version that it has.
type Refusal struct {
	Version Version `json:"version"`
	Reason  string  `json:"reason"`
}

// Poll is a follower's request: what it is, what it has, and how long the server may hold the answer back.
type Poll struct {
	Follower      string   `json:"follower"`
	Server        bool     `json:"server,omitempty"` // the follower is a control server itself
	Region        string   `json:"region,omitempty"`
	Have          Version  `json:"have"`
	Digest        Digest   `json:"digest,string"`
	Refused       *Refusal `json:"refused,omitempty"`
	NeedsSnapshot bool     `json:"whole,omitempty"` // a delta did not fit: a snapshot is wanted
	Newest        Version  `json:"newest,omitzero"` // of all that the follower was told or shown
	Wait          float64  `json:"wait_s"`
}

// UpdateKind says what an Update carries.
type UpdateKind string

// The kinds of an Update.
const (
	Unchanged UpdateKind = "unchanged" // the server has the follower's version
	Changes   UpdateKind = "changes"   // deltas, in order, from the follower's version on
	Snapshot  UpdateKind = "snapshot"  // the whole state
	Behind    UpdateKind = "behind"    // the server has an older version than the follower
	Diverged  UpdateKind = "diverged"  // the same version with another digest: one of the two was restored
)

// Update answers a Poll. Version is the newest one that the server has. A follower that is a server gets Revisions in
// place of Deltas, so that it can tell the history too.
type Update struct {
	Kind      UpdateKind `json:"kind"`
	Server    string     `json:"server"`
	Version   Version    `json:"version"`
	Isolated  bool       `json:"isolated,omitempty"` // the server does not reach a majority of the servers
	Deltas    []Delta    `json:"deltas,omitempty"`
	Revisions []Revision `json:"revisions,omitempty"`
	State     *State     `json:"state,omitempty"`
}

// Revision is one entry of the history: what a change did, when and at whose request.
type Revision struct {
	Delta    Delta   `json:"delta"`
	At       float64 `json:"at_s"` // Unix time at the writer
	Author   string  `json:"author"`
	Note     string  `json:"note,omitempty"`
	Proposal string  `json:"proposal,omitempty"` // ID of the proposal
}

// Proposal asks the writer for a new revision with these entries in place of all those before. It is taken only while
// the writer's newest version is IfVersion. ID repeats with a retry of the same proposal: it is applied once.
type Proposal struct {
	ID        string  `json:"id"`
	IfVersion Version `json:"if_version"`
	Entries   []Entry `json:"entries"`
	Author    string  `json:"author"`
	Note      string  `json:"note,omitempty"`
}

// OutcomeKind says what became of a proposal.
type OutcomeKind string

// The outcomes of a proposal.
const (
	Accepted  OutcomeKind = "accepted"   // it is on the writer's disk under Outcome.Version
	Conflict  OutcomeKind = "conflict"   // the newest version is another one: Outcome.Version
	NoChange  OutcomeKind = "no_change"  // the entries are those of the newest version
	NotWriter OutcomeKind = "not_writer" // Outcome.Writer takes proposals
	NotReady  OutcomeKind = "not_ready"  // Outcome.Detail says why: see Server.Propose
	TooLarge  OutcomeKind = "too_large"  // MaxStateBytes or MaxChangeBytes is passed
	Invalid   OutcomeKind = "invalid"    // Outcome.Detail says why
	Failed    OutcomeKind = "failed"     // the disk did not take it; whether it is kept is not known
)

// Outcome answers a Proposal.
type Outcome struct {
	Kind    OutcomeKind `json:"kind"`
	Version Version     `json:"version"`
	Writer  string      `json:"writer,omitempty"`
	Detail  string      `json:"detail,omitempty"`
}

// FollowerStatus is what a server knows of one follower that polls it, or that another server reported.
type FollowerStatus struct {
	Name      string   `json:"name"`
	Server    bool     `json:"server,omitempty"`
	Region    string   `json:"region,omitempty"`
	Have      Version  `json:"have"`
	HaveSince float64  `json:"since_s"` // Unix time since which it has that version
	LastHeard float64  `json:"heard_s"` // Unix time of its last poll
	Refused   *Refusal `json:"refused,omitempty"`
}
