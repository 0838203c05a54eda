package fleetkey

import (
	"bytes"
	"encoding/hex"
	"os"
	"strings"
	"testing"
)

// Each line of the golden file has three parts: the text of the setting "key", the text of the setting "old_key", and the
// signing keys to which version 5fa7498 decodes the two texts. A "-" stands for an absent setting. If a text is invalid,
// the third part is "error" and the name of the setting. The file must never be regenerated.
const goldenFile = "testdata/golden/keys.txt"

// Guards against a node that decodes the two settings to other signing keys than nodes of older versions do, so that the
// others reject its messages.
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
		keyText, oldKeyText := fields[0], fields[1]
		got.WriteString(keyText + " " + oldKeyText + " " + decoded(keyText, oldKeyText) + "\n")
	}
	if !bytes.Equal(got.Bytes(), golden) {
		t.Errorf("got:\n%s\nwant:\n%s", &got, golden)
	}
}

// decoded returns the signing keys for the texts of the two settings in hexadecimal, the current one first. If a text is
// invalid, it returns "error" and the name of the setting.
func decoded(keyText, oldKeyText string) string {
	setting := func(text string) string { return strings.TrimPrefix(text, "-") }
	keys, err := Decode(setting(keyText), setting(oldKeyText))
	if err != nil {
		return "error " + err.Setting
	}
	var texts []string
	for _, key := range keys {
		texts = append(texts, hex.EncodeToString(key))
	}
	return strings.Join(texts, " ")
}
