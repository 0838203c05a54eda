package fleetkey

import (
	"bytes"
	"encoding/hex"
	"os"
	"strings"
	"testing"
)

// Each line of the golden file has the settings key and old_key, and the keys to which version 5fa7498 decodes them. A "-"
// stands for an absent setting; an error is given by the name of the invalid setting. The file must never be regenerated.
const goldenFile = "testdata/golden/keys.txt"

// Guards against a node that decodes a key differently from nodes of older versions, so that the others reject its
// messages.
func TestKeysMatchGoldenFile(t *testing.T) {
	golden, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	var got bytes.Buffer
	for line := range strings.Lines(string(golden)) {
		fields := strings.Fields(line)
		if len(fields) < 3 {
			t.Fatalf("line %q must have at least 3 fields, got %d", line, len(fields))
		}
		key, oldKey := fields[0], fields[1]
		got.WriteString(key + " " + oldKey + " " + decoded(key, oldKey) + "\n")
	}
	if !bytes.Equal(got.Bytes(), golden) {
		t.Errorf("got:\n%s\nwant:\n%s", &got, golden)
	}
}

// decoded returns the decoded keys in hexadecimal, the signing key first, or an error with the name of the invalid setting.
func decoded(key, oldKey string) string {
	setting := func(text string) string { return strings.TrimPrefix(text, "-") }
	keys, err := Decode(setting(key), setting(oldKey))
	if err != nil {
		return "error " + err.Setting
	}
	var texts []string
	for _, key := range keys {
		texts = append(texts, hex.EncodeToString(key))
	}
	return strings.Join(texts, " ")
}
