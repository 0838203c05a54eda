// Package fleetkey decodes the keys of a fleet, with which its messages are authenticated. While a key is being changed,
// the old one is accepted as well. The package neither reads files nor authenticates anything.
package fleetkey

import (
	"encoding/hex"
	"fmt"
)

// MinBytes is the length of the shortest key that is accepted, in bytes.
const MinBytes = 16

// Error is the error of a setting that is not a key.
type Error struct {
	Setting string // its name in the file
}

// Error returns the name of the setting and what a key has to be. It does not contain the setting's value.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: wanted %d hexadecimal bytes or more", e.Setting, MinBytes)
}

// Decode returns the keys of the settings key and old_key, which are hexadecimal; the one to sign with comes first. The
// old key may be empty.
func Decode(key, oldKey string) ([][]byte, *Error) {
	current, err := decodeKey("key", key)
	if err != nil {
		return nil, err
	}
	if oldKey == "" {
		return [][]byte{current}, nil
	}
	old, err := decodeKey("old_key", oldKey)
	if err != nil {
		return nil, err
	}
	return [][]byte{current, old}, nil
}

// decodeKey returns the key in a setting.
func decodeKey(setting, text string) ([]byte, *Error) {
	key, err := hex.DecodeString(text)
	if err != nil || len(key) < MinBytes {
		return nil, &Error{Setting: setting}
	}
	return key, nil
}
