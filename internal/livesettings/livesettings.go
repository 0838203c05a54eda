// Package livesettings reads the live configuration: the part of a node's configuration that can change without a restart,
// while flows are open. Operators write it as a TOML document, in which unknown keys are errors. It is distributed as sorted
// entries of one key and value each, and passed to nodes as typed settings.
//
// The package defines the keys of the document with their units and ranges. It does no I/O, and it does not decide what a
// node does with the settings. Its functions are safe for concurrent use.
package livesettings

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"unicode"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/node/live"
	"gorseledge/internal/strict"
)

// MaxDocumentBytes is the maximum size of a document, including its comments, in bytes.
const MaxDocumentBytes = 4 << 20

// Settings holds the typed values of a document. A setting that the document does not have is nil or absent.
type Settings = live.Settings

// KeyError is returned for a key that is rejected, or whose value is rejected.
type KeyError struct {
	Key    string // dotted key
	Reason string
}

// Error returns the key and the reason in one line. It quotes a key that contains control characters.
func (e *KeyError) Error() string {
	if strings.ContainsFunc(e.Key, unicode.IsControl) {
		return strconv.Quote(e.Key) + ": " + e.Reason
	}
	return e.Key + ": " + e.Reason
}

// Parse reads a document and returns its entries, sorted by key. The error is one line with the path, the line number, the
// key and the reason of the first mistake. It wraps a *KeyError if a key or its value is rejected.
func Parse(path string, text []byte) ([]configfeed.Entry, error) {
	if len(text) > MaxDocumentBytes {
		return nil, fmt.Errorf("%s:1: the document must be at most %d bytes, got %d", path, MaxDocumentBytes, len(text))
	}
	leaves, err := strict.Leaves(path, text)
	if err != nil {
		return nil, err
	}
	entries, err := parseLeaves(path, leaves)
	if err != nil {
		return nil, err
	}
	slices.SortFunc(entries, func(a, b configfeed.Entry) int { return strings.Compare(a.Key, b.Key) })
	if size := entryBytes(entries); size > configfeed.MaxStateBytes {
		return nil, fmt.Errorf("%s:1: %w", path, tooLargeError(size))
	}
	return entries, nil
}

// parseLeaves returns the entries of a document's values, in the order of their lines. It rejects a dotted key that occurs
// twice: TOML distinguishes a quoted key that contains dots from a dotted one, but entries do not.
func parseLeaves(path string, leaves []strict.Leaf) ([]configfeed.Entry, error) {
	entries := make([]configfeed.Entry, 0, len(leaves))
	lines := map[string]int{} // by key
	for _, leaf := range leaves {
		entry, err := entryOf(leaf)
		if err == nil && lines[entry.Key] > 0 {
			err = &KeyError{Key: entry.Key, Reason: fmt.Sprintf("is already set in line %d", lines[entry.Key])}
		}
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, leaf.Line, err)
		}
		lines[entry.Key] = leaf.Line
		entries = append(entries, entry)
	}
	return entries, nil
}

// entryOf returns the entry of a value of the document, or an error if its key or value is not valid.
func entryOf(leaf strict.Leaf) (configfeed.Entry, error) {
	key := strings.Join(leaf.Key, ".")
	if table, ok := leaf.Value.(map[string]any); ok && len(table) == 0 {
		return configfeed.Entry{}, emptyTableError(leaf.Key)
	}
	value, err := json.Marshal(leaf.Value)
	if err != nil {
		value = []byte("null") // JSON cannot represent nan and inf; null is rejected with an error that names the valid type
	}
	entry := configfeed.Entry{Key: key, Value: string(value)}
	return entry, setEntry(&Settings{}, entry)
}

// emptyTableError returns the error for a table without keys.
func emptyTableError(key []string) *KeyError {
	dotted := strings.Join(key, ".")
	if isLiveTable(key) {
		return &KeyError{Key: dotted, Reason: "the table is empty"}
	}
	return &KeyError{Key: dotted, Reason: rejectionReason(dotted)}
}

// isLiveTable reports whether a table may contain live keys.
func isLiveTable(key []string) bool {
	for _, k := range keys {
		pattern := strings.Split(k.pattern, ".")
		if len(key) < len(pattern) && pattern[0] == key[0] {
			return true
		}
	}
	return false
}

// Check returns an error unless a node could apply the entries: they have to be sorted, each key has to be known and set
// once, each value has to have its key's type and be in its range, and all together must not exceed
// configfeed.MaxStateBytes. The error is a *KeyError for the first rejected entry, but not if the size is exceeded.
func Check(entries []configfeed.Entry) error {
	_, err := Decode(entries)
	return err
}

// Decode converts entries to settings. It returns the same errors as Check.
func Decode(entries []configfeed.Entry) (Settings, error) {
	if size := entryBytes(entries); size > configfeed.MaxStateBytes {
		return Settings{}, tooLargeError(size)
	}
	var s Settings
	for i, entry := range entries {
		if i > 0 && entry.Key <= entries[i-1].Key {
			return Settings{}, &KeyError{Key: entry.Key, Reason: "is out of order or occurs twice"}
		}
		if err := setEntry(&s, entry); err != nil {
			return Settings{}, err
		}
	}
	return s, nil
}

// entryBytes returns the total size of the entries' keys and values, in bytes.
func entryBytes(entries []configfeed.Entry) int {
	size := 0
	for _, entry := range entries {
		size += len(entry.Key) + len(entry.Value)
	}
	return size
}

// tooLargeError returns the error for entries that exceed configfeed.MaxStateBytes.
func tooLargeError(size int) error {
	return fmt.Errorf("keys and values must be at most %d bytes, got %d", configfeed.MaxStateBytes, size)
}

// setEntry stores the value of an entry in the settings. The error is a *KeyError.
func setEntry(s *Settings, entry configfeed.Entry) error {
	for _, k := range keys {
		name, matches := k.match(entry.Key)
		if !matches {
			continue
		}
		if err := k.set(s, name, entry.Value); err != nil {
			return &KeyError{Key: entry.Key, Reason: err.Error()}
		}
		return nil
	}
	return &KeyError{Key: entry.Key, Reason: rejectionReason(entry.Key)}
}
