package configfeed

import (
	"cmp"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Errors of states and deltas.
var (
	ErrTooLarge = errors.New("too large")
	ErrMismatch = errors.New("does not fit")
)

// NewState returns a state of entries in any order, or an error where a key is empty or occurs twice, or where the
// entries take more than MaxStateBytes.
func NewState(v Version, entries []Entry) (State, error) {
	sorted := slices.SortedFunc(slices.Values(entries), compareEntries)
	if err := checkEntries(sorted); err != nil {
		return State{}, err
	}
	return State{Version: v, Entries: sorted, Digest: digest(sorted)}, nil
}

// Verify reports whether the state's entries are sorted, within the limits and of its digest. The zero state is valid.
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

// Apply returns the state after a delta. It fails where the delta starts from another version or leads to an older one,
// or where the digest of the result is another one than the delta's.
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

// merge returns the entries with some set and others deleted. All are sorted.
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

// difference returns what leads from one list of entries to another one, both sorted.
func difference(before, after []Entry) (set []Entry, deleted []string) {
	for len(before) > 0 || len(after) > 0 {
		switch {
		case len(after) == 0 || len(before) > 0 && before[0].Key < after[0].Key:
			deleted = append(deleted, before[0].Key)
			before = before[1:]
		case len(before) == 0 || after[0].Key < before[0].Key:
			set = append(set, after[0])
			after = after[1:]
		default:
			if before[0].Value != after[0].Value {
				set = append(set, after[0])
			}
			before, after = before[1:], after[1:]
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

// bytes is the size of the state's entries.
func (s State) bytes() int { return entryBytes(s.Entries) }

// bytes is the size of what the delta sets and deletes.
func (d Delta) bytes() int {
	sum := entryBytes(d.Set)
	for _, key := range d.Delete {
		sum += len(key)
	}
	return sum
}

func entryBytes(entries []Entry) (sum int) {
	for _, e := range entries {
		sum += len(e.Key) + len(e.Value)
	}
	return sum
}

func compareEntries(a, b Entry) int { return strings.Compare(a.Key, b.Key) }

// checkEntries reports whether entries are sorted by distinct keys and within MaxStateBytes.
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

// digest hashes sorted entries, each string with its length before it.
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
