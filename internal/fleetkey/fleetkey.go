// Package fleetkey reads the keys of a fleet from its files. With them messages are authenticated; while a key is being
// changed, the old one is accepted as well.
package fleetkey

import (
	"encoding/hex"
	"fmt"
)

// MinBytes is the length of the shortest key that is accepted.
const MinBytes = 16

// Error says which setting of a file is no key.
type Error struct{ Setting string }

func (e *Error) Error() string {
	return fmt.Sprintf("%s: wanted %d hexadecimal bytes or more", e.Setting, MinBytes)
}

// Decode returns the keys of a file's settings key and old_key, the one to sign with first. The old one may be empty.
func Decode(key, oldKey string) ([][]byte, *Error) {
	current, err := hex.DecodeString(key)
	if err != nil || len(current) < MinBytes {
		return nil, &Error{Setting: "key"}
	}
	if oldKey == "" {
		return [][]byte{current}, nil
	}
	old, err := hex.DecodeString(oldKey)
	if err != nil || len(old) < MinBytes {
		return nil, &Error{Setting: "old_key"}
	}
	return [][]byte{current, old}, nil
}
