package configfeed

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The files in testdata/golden were written by the build of revision 5fa7498, which is in service. They must not change,
// because servers and nodes of that version compare digests with later ones. The tests deliberately have no option to
// rewrite them.
const goldenDirectory = "testdata/golden"

// requireGolden fails unless got is byte for byte the content of a golden file.
func requireGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	want := readGolden(t, name)
	if !bytes.Equal(got, want) {
		t.Errorf("%s differs.\ngot:\n%s\nwant:\n%s", name, got, want)
	}
}

func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(goldenDirectory, name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func digestCases() [][]Entry {
	var many []Entry
	for i := range 300 {
		many = append(many, Entry{Key: fmt.Sprintf("tenants.t%03d.connections", i), Value: fmt.Sprint(i * i)})
	}
	return [][]Entry{
		{},
		{{Key: "nodes", Value: "860"}},
		{{Key: "nodes", Value: "861"}},
		{{Key: "nodes8", Value: "60"}},
		{{Key: "nodes", Value: ""}},
		{{Key: "a", Value: "1"}, {Key: "b", Value: "2"}},
		{{Key: "a", Value: "1b"}, {Key: "c", Value: "2"}},
		{{Key: `hosts.a<b>&c "d" ñ.weight`, Value: "0.5"}, {Key: "discovery", Value: `"127.0.0.1:8500"`}},
		{{Key: "long", Value: strings.Repeat("x", 1000)}},
		many,
	}
}

// A change to the digest or to the JSON form of a state would make servers and nodes of different versions reject each
// other's states. Both have to match the golden file.
func TestDigestsMatchGoldenFile(t *testing.T) {
	var text bytes.Buffer
	for i, entries := range digestCases() {
		state, err := NewState(Version{Epoch: 2, Revision: uint64(i)}, entries)
		if err != nil {
			t.Fatal(err)
		}
		encoded, err := json.Marshal(state)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&text, "%016x %s\n", uint64(state.Digest), encoded)
	}
	requireGolden(t, "digests.txt", text.Bytes())
}

// A state that was encoded by the version in service has to pass verification and keep its JSON form when it is decoded and
// encoded again.
func TestGoldenStatesAreVerified(t *testing.T) {
	for line := range strings.Lines(string(readGolden(t, "digests.txt"))) {
		digest, encoded, _ := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		var state State
		if err := json.Unmarshal([]byte(encoded), &state); err != nil {
			t.Fatal(err)
		}
		if err := state.Verify(); err != nil {
			t.Error(err)
		}
		if got := fmt.Sprintf("%016x", uint64(state.Digest)); got != digest {
			t.Errorf("digest %s, want %s", got, digest)
		}
		if again, err := json.Marshal(state); err != nil || string(again) != encoded {
			t.Errorf("%s, want %s, %v", again, encoded, err)
		}
	}
}

// A server with lower limits would reject what a server of another version accepted, so the limits are fixed.
func TestLimitsAreFixed(t *testing.T) {
	for name, limit := range map[string]struct{ got, want int }{
		"MaxStateBytes":    {MaxStateBytes, 1048576},
		"MaxChangeBytes":   {MaxChangeBytes, 65536},
		"MaxNameBytes":     {MaxNameBytes, 64},
		"MaxReasonBytes":   {MaxReasonBytes, 512},
		"MaxEpoch":         {MaxEpoch, 9007199254740992},
		"HistoryRevisions": {HistoryRevisions, 2048},
	} {
		if limit.got != limit.want {
			t.Errorf("%s is %d, want %d", name, limit.got, limit.want)
		}
	}
	if got := (Version{Epoch: 2, Revision: 17}).String(); got != "2.17" {
		t.Errorf("version %s, want 2.17", got)
	}
}
