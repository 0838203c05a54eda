package fleetkey

import (
	"strings"
	"testing"
)

const (
	validKey   = "00112233445566778899aabbccddeeff"
	anotherKey = "ffeeddccbbaa99887766554433221100"
)

// Guards against a node that signs messages with the old key, which the other nodes may no longer accept.
func TestDecodeReturnsSigningKeyFirst(t *testing.T) {
	keys, err := Decode(validKey, anotherKey)
	if err != nil || len(keys) != 2 || keys[0][0] != 0 || keys[1][0] != 0xff {
		t.Fatalf("%x, %v", keys, err)
	}
	if keys, err := Decode(validKey, ""); err != nil || len(keys) != 1 {
		t.Fatalf("%x, %v", keys, err)
	}
}

// Guards against keys that are too short or not hexadecimal, and against errors that name the wrong setting.
func TestDecodeNamesInvalidSetting(t *testing.T) {
	for _, c := range []struct{ name, key, oldKey, setting string }{
		{"no key", "", "", "key"},
		{"short key", validKey[2:], "", "key"},
		{"key that is not hexadecimal", "zz" + validKey, "", "key"},
		{"short old key", validKey, "00", "old_key"},
		{"old key that is not hexadecimal", validKey, "zz" + validKey, "old_key"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Decode(c.key, c.oldKey)
			if err == nil || err.Setting != c.setting || !strings.Contains(err.Error(), c.setting+": ") {
				t.Errorf("%q, %q: error %v, want one that names %s", c.key, c.oldKey, err, c.setting)
			}
		})
	}
}
