package fleetkey

import (
	"bytes"
	"encoding/hex"
	"os"
	"strings"
	"testing"
)

// The file holds key settings, old key settings and the keys that the build of revision 5fa7498, which is in service,
// decodes them to: "-" stands for no setting, an error names the setting at fault. It is fixed for good: a node that
// decodes a key otherwise is shut out of its fleet. There is no way to rewrite it on purpose.
const goldenFile = "testdata/golden/keys.txt"

func TestKeysMatchGoldenFile(t *testing.T) {
	golden, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	var got bytes.Buffer
	for line := range strings.Lines(string(golden)) {
		fields := strings.Fields(line)
		if len(fields) < 3 {
			t.Fatalf("%q is no line of three fields", line)
		}
		key, oldKey := fields[0], fields[1]
		got.WriteString(key + " " + oldKey + " " + decoded(key, oldKey) + "\n")
	}
	if !bytes.Equal(got.Bytes(), golden) {
		t.Errorf("got:\n%s\nwant:\n%s", &got, golden)
	}
}

// decoded returns the keys as hexadecimal text, the signing key first, or the setting at fault.
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
