package configfeed

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Digest is a hash of a state's entries: equal entries have the same digest at every server and node.
type Digest uint64

// Entry is one setting: a dotted key and its value as compact JSON.
type Entry struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// State is a complete configuration with its version. Entries are sorted by key, and no key occurs twice. The zero state
// stands for "nothing yet" and is valid. States share their entries: they must not be changed.
type State struct {
	Version Version `json:"version"`
	Entries []Entry `json:"entries"`
	Digest  Digest  `json:"digest,string"` // of Entries
}

// Delta leads from one version to a newer one. Set and Delete are sorted by key.
type Delta struct {
	From   Version  `json:"from"`
	To     Version  `json:"to"`
	Set    []Entry  `json:"set,omitempty"`
	Delete []string `json:"delete,omitempty"` // keys
	Digest Digest   `json:"digest,string"`    // of the entries after the delta
}

// NewState returns a state of entries that come in any order. The error is ErrMismatch where a key is empty or occurs
// twice, and ErrTooLarge where the entries take more than MaxStateBytes.
func NewState(v Version, entries []Entry) (State, error) {
	sorted := slices.SortedFunc(slices.Values(entries), compareEntries)
	if err := checkEntries(sorted); err != nil {
		return State{}, err
	}
	return State{Version: v, Entries: sorted, Digest: digest(sorted)}, nil
}

// Verify returns an error unless the state's entries are sorted, within MaxStateBytes and have its digest. The error is
// ErrMismatch or ErrTooLarge. The zero state is valid.
func (s State) Verify() error {
	if s.Version == (Version{}) && len(s.Entries) == 0 {
		return nil
	}
	if err := checkEntries(s.Entries); err != nil {
		return err
	}
	if got := digest(s.Entries); got != s.Digest {
		return fmt.Errorf("version %s: digest %016x, want %016x: %w", s.Version, got, s.Digest, ErrMismatch)
	}
	return nil
}

// Apply returns the state after a delta. The error is ErrMismatch where the delta starts from another version, does not
// lead to a newer one, or leads to entries without the delta's digest, and ErrTooLarge where these are too large.
func (s State) Apply(d Delta) (State, error) {
	next, err := s.apply(d)
	if err != nil {
		return State{}, err
	}
	return next, next.Verify()
}

// apply is Apply without the check of the digest.
func (s State) apply(d Delta) (State, error) {
	if d.From != s.Version || d.To.Compare(d.From) <= 0 {
		return State{}, fmt.Errorf("delta from %s to %s at version %s: %w", d.From, d.To, s.Version, ErrMismatch)
	}
	entries, err := merge(s.Entries, d.Set, d.Delete)
	if err != nil {
		return State{}, err
	}
	return State{Version: d.To, Entries: entries, Digest: d.Digest}, nil
}

// merge returns the entries with some set and others deleted. All lists are sorted by key.
func merge(entries, set []Entry, deleted []string) ([]Entry, error) {
	merged := make([]Entry, 0, len(entries)+len(set))
	for _, e := range entries {
		for len(set) > 0 && set[0].Key < e.Key {
			merged = append(merged, set[0])
			set = set[1:]
		}
		switch {
		case len(deleted) > 0 && deleted[0] == e.Key:
			deleted = deleted[1:]
		case len(set) > 0 && set[0].Key == e.Key:
			merged = append(merged, set[0])
			set = set[1:]
		default:
			merged = append(merged, e)
		}
	}
	if len(deleted) > 0 {
		return nil, fmt.Errorf("delta deletes %q: %w", deleted[0], ErrMismatch)
	}
	return append(merged, set...), nil
}

// difference returns what leads from one list of entries to another one, both sorted by key.
func difference(before, after []Entry) (set []Entry, deleted []string) {
	for len(before) > 0 || len(after) > 0 {
		switch {
		case len(after) == 0, len(before) > 0 && before[0].Key < after[0].Key:
			deleted = append(deleted, before[0].Key)
			before = before[1:]
		case len(before) == 0, after[0].Key < before[0].Key:
			set = append(set, after[0])
			after = after[1:]
		default:
			if before[0].Value != after[0].Value {
				set = append(set, after[0])
			}
			before = before[1:]
			after = after[1:]
		}
	}
	return set, deleted
}

// changedKeys returns the keys that differ between two lists of entries, sorted.
func changedKeys(before, after []Entry) []string {
	set, keys := difference(before, after)
	for _, e := range set {
		keys = append(keys, e.Key)
	}
	slices.Sort(keys)
	return keys
}

// bytes returns the size of the state's keys and values.
func (s State) bytes() int { return entryBytes(s.Entries) }

// bytes returns the size of the keys and values that the delta sets, and of the keys that it deletes.
func (d Delta) bytes() int {
	sum := entryBytes(d.Set)
	for _, key := range d.Delete {
		sum += len(key)
	}
	return sum
}

// entryBytes returns the size of the keys and values of entries.
func entryBytes(entries []Entry) int {
	sum := 0
	for _, e := range entries {
		sum += len(e.Key) + len(e.Value)
	}
	return sum
}

// compareEntries orders entries by key.
func compareEntries(a, b Entry) int { return strings.Compare(a.Key, b.Key) }

// checkEntries returns an error unless entries are sorted by distinct keys and within MaxStateBytes.
func checkEntries(entries []Entry) error {
	for i, e := range entries {
		if e.Key == "" {
			return fmt.Errorf("empty key: %w", ErrMismatch)
		}
		if i > 0 && cmp.Compare(entries[i-1].Key, e.Key) >= 0 {
			return fmt.Errorf("key %q occurs twice or out of order: %w", e.Key, ErrMismatch)
		}
	}
	if size := entryBytes(entries); size > MaxStateBytes {
		return fmt.Errorf("state of %d bytes, at most %d: %w", size, MaxStateBytes, ErrTooLarge)
	}
	return nil
}

// digest hashes sorted entries. The length of each string precedes it, so that no two lists hash the same bytes.
func digest(entries []Entry) Digest {
	hash := xxhash.New()
	var length [8]byte
	write := func(text string) {
		binary.LittleEndian.PutUint64(length[:], uint64(len(text)))
		hash.Write(length[:])
		hash.WriteString(text)
	}
	for _, e := range entries {
		write(e.Key)
		write(e.Value)
	}
	return Digest(hash.Sum64())
}
