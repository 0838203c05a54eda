// Package livesettings reads what of a node's configuration can change while flows go on: a TOML document that is
// checked strictly, kept as sorted entries of one key and value each, and given to nodes as typed settings. The package
// does no I/O.
package livesettings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/node/live"
	"gorseledge/internal/strict"
)

// MaxDocumentBytes bounds a document, with its comments.
const MaxDocumentBytes = 4 << 20

// Settings are the document's figures with their types.
type Settings = live.Settings

// KeyError says which key of a document is refused, and why.
type KeyError struct{ Key, Reason string }

func (e *KeyError) Error() string {
	if strings.ContainsFunc(e.Key, unicode.IsControl) { // an error stays on one line
		return strconv.Quote(e.Key) + ": " + e.Reason
	}
	return e.Key + ": " + e.Reason
}

// Parse reads a document to entries, sorted by key. What is refused is an error of one line with the path, the line, the
// key and the reason: that of the first line at fault.
func Parse(path string, text []byte) ([]configfeed.Entry, error) {
	if len(text) > MaxDocumentBytes {
		return nil, fmt.Errorf("%s:1: %d bytes, and %d do", path, len(text), MaxDocumentBytes)
	}
	leaves, err := strict.Leaves(path, text)
	if err != nil {
		return nil, err
	}
	entries := make([]configfeed.Entry, 0, len(leaves))
	lines := map[string]int{}
	for _, leaf := range leaves {
		entry, err := entryOf(leaf)
		if err == nil && lines[entry.Key] > 0 {
			err = &KeyError{entry.Key, fmt.Sprintf("stands in line %d already", lines[entry.Key])}
		}
		if err != nil {
			return nil, fmt.Errorf("%s:%d: %w", path, leaf.Line, err)
		}
		lines[entry.Key] = leaf.Line
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b configfeed.Entry) int { return strings.Compare(a.Key, b.Key) })
	if size := entryBytes(entries); size > configfeed.MaxStateBytes {
		return nil, fmt.Errorf("%s:1: %w", path, tooLargeError(size))
	}
	return entries, nil
}

// entryOf turns a value of the document into an entry that passes the check.
func entryOf(leaf strict.Leaf) (configfeed.Entry, error) {
	key := strings.Join(leaf.Key, ".")
	if table, ok := leaf.Value.(map[string]any); ok && len(table) == 0 {
		if isLiveTable(leaf.Key) {
			return configfeed.Entry{}, &KeyError{key, "nothing stands in this table"}
		}
		return configfeed.Entry{}, &KeyError{key, rejectionReason(key)}
	}
	value, err := json.Marshal(leaf.Value)
	if err != nil { // such as nan and inf, which JSON has no word for
		value = []byte("null")
	}
	entry := configfeed.Entry{Key: key, Value: string(value)}
	return entry, setEntry(&Settings{}, entry)
}

// isLiveTable reports whether live keys may stand in a table.
func isLiveTable(key []string) bool {
	for _, k := range keys {
		pattern := strings.Split(k.pattern, ".")
		if len(key) < len(pattern) && pattern[0] == key[0] {
			return true
		}
	}
	return false
}

// Check reports whether a node could take the entries: sorted, each key once and known, each value of its type and in its
// range. An error names the first key at fault.
func Check(entries []configfeed.Entry) error {
	_, err := Decode(entries)
	return err
}

// Decode turns entries into settings. An error names the first key at fault.
func Decode(entries []configfeed.Entry) (Settings, error) {
	var s Settings
	if size := entryBytes(entries); size > configfeed.MaxStateBytes {
		return Settings{}, tooLargeError(size)
	}
	for i, entry := range entries {
		if i > 0 && entry.Key <= entries[i-1].Key {
			return Settings{}, &KeyError{entry.Key, "is not sorted, or stands there twice"}
		}
		if err := setEntry(&s, entry); err != nil {
			return Settings{}, err
		}
	}
	return s, nil
}

func entryBytes(entries []configfeed.Entry) (bytes int) {
	for _, entry := range entries {
		bytes += len(entry.Key) + len(entry.Value)
	}
	return bytes
}

func tooLargeError(size int) error {
	return fmt.Errorf("%d bytes of keys and values, and %d do", size, configfeed.MaxStateBytes)
}

// setEntry puts one entry into the settings.
func setEntry(s *Settings, entry configfeed.Entry) error {
	for _, k := range keys {
		name, ok := k.match(entry.Key)
		if !ok {
			continue
		}
		err := checkName(name)
		if err == nil {
			err = k.set(s, name, entry.Value)
		}
		if err != nil {
			return &KeyError{entry.Key, err.Error()}
		}
		return nil
	}
	return &KeyError{entry.Key, rejectionReason(entry.Key)}
}

// checkName reports whether a name can be one of a tenant, service type or host; a key without a name has the empty one.
func checkName(name string) error {
	switch {
	case len(name) > MaxNameBytes:
		return fmt.Errorf("a name of %d bytes, and %d do", len(name), MaxNameBytes)
	case !utf8.ValidString(name) || strings.ContainsFunc(name, unicode.IsControl):
		return errors.New("a name with control characters")
	}
	return nil
}

// set puts a value, as compact JSON, into the settings.
func (k key) set(s *Settings, name, value string) error {
	var compact bytes.Buffer
	if json.Compact(&compact, []byte(value)) != nil || compact.String() != value {
		return errors.New("the value is no compact JSON")
	}
	if k.setText != nil {
		var text string
		if json.Unmarshal([]byte(value), &text) != nil || value == "null" {
			return errors.New("wanted an address in quotes")
		}
		if err := checkAddress(text); err != nil {
			return err
		}
		k.setText(s, text)
		return nil
	}
	x, err := k.number(value)
	if err == nil {
		k.setNumber(s, name, x)
	}
	return err
}

// number reads a number of the key's kind and range.
func (k key) number(value string) (float64, error) {
	var x float64
	if json.Unmarshal([]byte(value), &x) != nil || value == "null" {
		return 0, fmt.Errorf("wanted %s", k.kind())
	}
	if k.integer && (x != math.Trunc(x) || strings.ContainsAny(value, ".eE")) {
		return 0, fmt.Errorf("wanted %s", k.kind())
	}
	if x < k.min || x > k.max {
		return 0, fmt.Errorf("%s is not between %s and %s %s", value, formatNumber(k.min), formatNumber(k.max), k.unit)
	}
	return x, nil
}

func (k key) kind() string {
	if k.integer {
		return "a whole number"
	}
	return "a number"
}

func formatNumber(x float64) string { return strconv.FormatFloat(x, 'f', -1, 64) }

// checkAddress reports whether a text is a host and a port.
func checkAddress(text string) error {
	host, port, err := net.SplitHostPort(text)
	number, notNumber := strconv.Atoi(port)
	if err != nil || host == "" || notNumber != nil || number < 1 || number > MaxPort || len(text) > MaxAddressBytes ||
		strings.ContainsFunc(text, func(r rune) bool { return unicode.IsSpace(r) || unicode.IsControl(r) }) {
		return fmt.Errorf("wanted HOST:PORT with a port from 1 to %d", MaxPort)
	}
	return nil
}
