// Package fleetkey decodes the keys of a fleet from the settings key and old_key. Nodes authenticate messages with these
// keys; while the key of a fleet is being changed, they also accept the old one. The package neither reads files nor
// authenticates messages.
package fleetkey

import (
	"encoding/hex"
	"fmt"
)

// MinBytes is the length of the shortest key that is accepted, in bytes.
const MinBytes = 16

// Error is the error for a setting that does not contain a valid key.
type Error struct {
	Setting string // name of the setting in the file
}

// Error returns the name of the setting and the requirements for a key. It does not contain the value, which is a secret.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: must be at least %d bytes in hexadecimal", e.Setting, MinBytes)
}

// Decode decodes the hexadecimal values of the settings key and old_key. The first key that it returns is the one that
// signs messages. The old key may be empty.
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

// decodeKey decodes the key in a setting.
func decodeKey(setting, text string) ([]byte, *Error) {
	key, err := hex.DecodeString(text)
	if err != nil || len(key) < MinBytes {
		return nil, &Error{Setting: setting}
	}
	return key, nil
}
