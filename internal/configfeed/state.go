package configfeed

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Digest is a hash of a state's entries. Equal entries have the same digest at every server and node.
type Digest uint64

// Entry is one setting: a dotted key and its value as compact JSON.
type Entry struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// State is a complete configuration with its version. Entries are sorted by key, and no key occurs twice. The zero state
// is valid and means that there is no configuration yet. States share their entries, so these must not be modified.
type State struct {
	Version Version `json:"version"`
	Entries []Entry `json:"entries"`
	Digest  Digest  `json:"digest,string"` // digest of Entries
}

// Delta is the difference between a version and a newer one. Set and Delete are sorted by key.
type Delta struct {
	From   Version  `json:"from"`
	To     Version  `json:"to"`
	Set    []Entry  `json:"set,omitempty"`
	Delete []string `json:"delete,omitempty"` // keys
	Digest Digest   `json:"digest,string"`    // digest of the entries after the delta is applied
}

// NewState returns a state with the given entries, which may be in any order. The error wraps ErrMismatch if a key is
// empty or occurs twice, and ErrTooLarge if the entries exceed MaxStateBytes.
func NewState(v Version, entries []Entry) (State, error) {
	sorted := slices.SortedFunc(slices.Values(entries), compareEntries)
	if err := checkEntries(sorted); err != nil {
		return State{}, err
	}
	return State{Version: v, Entries: sorted, Digest: digest(sorted)}, nil
}

// Verify returns an error unless the state's entries are sorted by distinct keys, within MaxStateBytes and match the
// digest. The error wraps ErrMismatch or ErrTooLarge. The zero state is valid.
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

// Apply returns the state after a delta. The error wraps ErrMismatch if the delta does not start from the state's version,
// does not lead to a newer one, or results in entries that do not match the delta's digest. It wraps ErrTooLarge if the
// resulting entries exceed MaxStateBytes.
func (s State) Apply(d Delta) (State, error) {
	next, err := s.apply(d)
	if err != nil {
		return State{}, err
	}
	return next, next.Verify()
}

// apply is Apply without the verification of the resulting state.
func (s State) apply(d Delta) (State, error) {
	if d.From != s.Version || d.To.Compare(d.From) <= 0 {
		return State{}, fmt.Errorf("delta from version %s to %s does not apply to version %s: %w", d.From, d.To, s.Version,
			ErrMismatch)
	}
	entries, err := merge(s.Entries, d.Set, d.Delete)
	if err != nil {
		return State{}, err
	}
	return State{Version: d.To, Entries: entries, Digest: d.Digest}, nil
}

// merge returns the entries after the entries in set are set and the keys in deleted are removed. All lists are sorted
// by key.
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
		return nil, fmt.Errorf("delta deletes key %q, which the state does not have: %w", deleted[0], ErrMismatch)
	}
	return append(merged, set...), nil
}

// difference returns the entries to set and the keys to delete that turn one list of entries into another. Both lists are
// sorted by key.
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

// changedKeys returns the keys that were set, changed or deleted between two lists of entries, sorted.
func changedKeys(before, after []Entry) []string {
	set, keys := difference(before, after)
	for _, e := range set {
		keys = append(keys, e.Key)
	}
	slices.Sort(keys)
	return keys
}

// bytes returns the total size of the state's keys and values, in bytes.
func (s State) bytes() int { return entryBytes(s.Entries) }

// bytes returns the total size of the keys and values that the delta sets and of the keys that it deletes, in bytes.
func (d Delta) bytes() int {
	sum := entryBytes(d.Set)
	for _, key := range d.Delete {
		sum += len(key)
	}
	return sum
}

// entryBytes returns the total size of the keys and values of entries, in bytes.
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
		return fmt.Errorf("state must be at most %d bytes, got %d: %w", MaxStateBytes, size, ErrTooLarge)
	}
	return nil
}

// digest hashes sorted entries. Each string is preceded by its length, so that different lists never hash the same bytes.
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
