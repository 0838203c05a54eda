package feedhttp

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"gorseledge/internal/configfeed"
)

// The files in testdata/golden were written by the build of revision 5fa7498, which is in production. Servers, nodes and
// commands of that version exchange these bytes with later ones, so the files must never change. There is deliberately no
// option to rewrite them. A test that fails because of them shows a change that breaks upgrades.
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

// requireEveryFieldSet fails for each field, element or map value that is zero, at any depth. Otherwise, a change of the
// JSON key of a field with omitempty could go unnoticed, because an empty field is not encoded.
func requireEveryFieldSet(t *testing.T, path string, v reflect.Value) {
	t.Helper()
	if v.IsZero() {
		t.Errorf("%s is zero", path)
		return
	}
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		requireEveryFieldSet(t, path, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			requireEveryFieldSet(t, path+"."+v.Type().Field(i).Name, v.Field(i))
		}
	case reflect.Slice, reflect.Array:
		if v.Len() == 0 {
			t.Errorf("%s is empty", path)
		}
		for i := range v.Len() {
			requireEveryFieldSet(t, fmt.Sprintf("%s[%d]", path, i), v.Index(i))
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			requireEveryFieldSet(t, fmt.Sprintf("%s[%v]", path, key), v.MapIndex(key))
		}
	}
}

// mustState returns a state with entries and their digest.
func mustState(version configfeed.Version, entries ...configfeed.Entry) configfeed.State {
	state, err := configfeed.NewState(version, entries)
	if err != nil {
		panic(err)
	}
	return state
}

func goldenVersion(epoch, revision uint64) configfeed.Version {
	return configfeed.Version{Epoch: epoch, Revision: revision}
}

// goldenHistory returns the revisions of a log with two epochs, and the state after the last one.
func goldenHistory() ([]configfeed.Revision, configfeed.State) {
	nodes := configfeed.Entry{Key: "nodes", Value: "860"}
	fewerNodes := configfeed.Entry{Key: "nodes", Value: "859"}
	discovery := configfeed.Entry{Key: "discovery", Value: `"127.0.0.1:8500"`}
	weight := configfeed.Entry{Key: `hosts.a<b>&c "d" ñ.weight`, Value: "0.5"}
	target := configfeed.Entry{Key: "service_types.chat.message_target_s", Value: "0.125"}

	first := mustState(goldenVersion(1, 1), discovery, fewerNodes)
	second := mustState(goldenVersion(1, 2), nodes, weight, target)
	third := mustState(goldenVersion(2, 1), second.Entries...)
	fourth := mustState(goldenVersion(2, 2), discovery, nodes, weight, target)
	return []configfeed.Revision{
		{
			Delta: configfeed.Delta{To: first.Version, Set: first.Entries, Digest: first.Digest},
			At:    1764650000.25, Author: "ana@control-1", Note: "first settings", Proposal: "proposal-1",
		},
		{
			Delta: configfeed.Delta{From: first.Version, To: second.Version, Set: second.Entries,
				Delete: []string{discovery.Key}, Digest: second.Digest},
			At: 1764650060.5, Author: "luis@control-1", Note: "weights & targets", Proposal: "proposal-2",
		},
		{
			Delta: configfeed.Delta{From: second.Version, To: third.Version, Digest: third.Digest},
			At:    1764650120.75, Author: "ana@control-1", Note: "the disk was restored",
		},
		{
			Delta: configfeed.Delta{From: third.Version, To: fourth.Version, Set: []configfeed.Entry{discovery},
				Digest: fourth.Digest},
			At: 1764650180, Author: "luis@control-1", Proposal: "proposal-4",
		},
	}, fourth
}

// completeRevision returns a revision with every field set.
func completeRevision() configfeed.Revision {
	history, _ := goldenHistory()
	return history[1]
}

func goldenRefusal() *configfeed.Refusal {
	return &configfeed.Refusal{Version: goldenVersion(2, 1), Reason: "limits.sockets: 64 <needed>, & 32 given"}
}

// completeBodies returns a value with every field set for each type of body, by the name of its golden file.
func completeBodies() map[string]any {
	revision := completeRevision()
	_, state := goldenHistory()
	return map[string]any{
		"poll": &configfeed.Poll{Follower: "node-17", Server: true, Region: "east", Have: goldenVersion(1, 2),
			Digest: revision.Delta.Digest, Refused: goldenRefusal(), NeedsSnapshot: true, Newest: goldenVersion(2, 2), Wait: 2.5},
		"update": &configfeed.Update{Kind: configfeed.Changes, Server: "c2", Version: goldenVersion(2, 2), Isolated: true,
			Deltas: []configfeed.Delta{revision.Delta}, Revisions: []configfeed.Revision{revision}, State: &state},
		"proposal": &configfeed.Proposal{ID: "proposal-5", IfVersion: goldenVersion(2, 2), Entries: state.Entries,
			Author: "ana@control-1", Note: "for the evening"},
		"outcome": &configfeed.Outcome{Kind: configfeed.NotWriter, Version: goldenVersion(2, 2), Writer: "c1",
			Detail: "a detail"},
		"epoch_request": &EpochRequest{IfVersion: goldenVersion(2, 2), Epoch: 7, Author: "ana@control-1",
			Note: "a backup was restored"},
		"history": &HistoryAnswer{Version: goldenVersion(2, 2), Revisions: []configfeed.Revision{revision}},
		"state":   &state,
		"status": &configfeed.ServerStatus{Name: "c1", Region: "east", Writer: "c1", Version: goldenVersion(2, 2),
			Digest: state.Digest, Newest: goldenVersion(3, 1), Isolated: true, NotReady: "version 3.1 was seen",
			Peers: []configfeed.PeerStatus{{Name: "c2", Region: "west", Have: goldenVersion(2, 1), LastHeard: 1764650200.25,
				Unresponsive: true, Diverged: true}},
			Followers: []configfeed.FollowerStatus{{Name: "node-17", Server: true, Region: "east",
				Have: goldenVersion(1, 2), HaveSince: 1764650100.5, LastHeard: 1764650201.75, Refused: goldenRefusal()}}},
		"traffic": &Traffic{Requests: 11, Answers: 10, BytesSent: 4096, BytesReceived: 8192},
	}
}

// A renamed JSON key, or a changed form of a value, would make a process of another version misread a message.
func TestBodyWithEveryFieldMatchesGoldenFile(t *testing.T) {
	for name, value := range completeBodies() {
		t.Run(name, func(t *testing.T) {
			requireEveryFieldSet(t, name, reflect.ValueOf(value))
			requireBody(t, filepath.Join("bodies", name+".json"), value)
		})
	}
}

// requireBody fails unless the JSON of a value is a golden file, and the file decodes to the value and encodes to the same
// bytes again.
func requireBody(t *testing.T, name string, value any) {
	t.Helper()
	encoded, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	requireGolden(t, name, encoded)

	decoded := reflect.New(reflect.TypeOf(value).Elem()).Interface()
	decoder := json.NewDecoder(bytes.NewReader(readGolden(t, name)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(decoded); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(decoded, value) {
		t.Errorf("%s decodes to %+v, want %+v", name, decoded, value)
	}
	again, err := json.Marshal(decoded)
	if err != nil {
		t.Fatal(err)
	}
	requireGolden(t, name, again)
}

// A renamed kind of update would be unknown to followers of another version.
func TestUpdateOfEachKindMatchesGoldenFile(t *testing.T) {
	history, state := goldenHistory()
	update := func(kind configfeed.UpdateKind) *configfeed.Update {
		return &configfeed.Update{Kind: kind, Server: "c1", Version: state.Version}
	}
	deltas := update(configfeed.Changes)
	for _, revision := range history {
		deltas.Deltas = append(deltas.Deltas, revision.Delta)
	}
	revisions := update(configfeed.Changes)
	revisions.Revisions = history
	snapshot := update(configfeed.Snapshot)
	snapshot.State = &state
	for name, value := range map[string]*configfeed.Update{
		"unchanged":         update(configfeed.Unchanged),
		"changes_deltas":    deltas,
		"changes_revisions": revisions,
		"snapshot":          snapshot,
		"behind":            update(configfeed.Behind),
		"diverged":          update(configfeed.Diverged),
	} {
		t.Run(name, func(t *testing.T) {
			requireBody(t, filepath.Join("bodies", "update_"+name+".json"), value)
		})
	}
}

// A renamed kind of outcome would be unknown to commands of another version.
func TestOutcomeOfEachKindMatchesGoldenFile(t *testing.T) {
	for _, kind := range []configfeed.OutcomeKind{configfeed.Accepted, configfeed.Conflict, configfeed.NoChange,
		configfeed.NotWriter, configfeed.NotReady, configfeed.TooLarge, configfeed.Invalid, configfeed.Failed} {
		t.Run(string(kind), func(t *testing.T) {
			outcome := &configfeed.Outcome{Kind: kind, Version: goldenVersion(2, 2)}
			requireBody(t, filepath.Join("bodies", "outcome_"+string(kind)+".json"), outcome)
		})
	}
}

// A key that is omitted when empty, or no longer omitted, changes the messages. Bodies without any optional field show
// which keys are always present.
func TestSparseBodyMatchesGoldenFile(t *testing.T) {
	for name, value := range map[string]any{
		"poll":          &configfeed.Poll{Follower: "node-17"},
		"proposal":      &configfeed.Proposal{ID: "proposal-5"},
		"epoch_request": &EpochRequest{},
		"history":       &HistoryAnswer{},
		"state":         &configfeed.State{},
		"status":        &configfeed.ServerStatus{},
		"update":        &configfeed.Update{Revisions: nil, Deltas: nil},
		"revision":      &configfeed.Revision{},
		"peer_status":   &configfeed.PeerStatus{},
		"follower":      &configfeed.FollowerStatus{},
	} {
		t.Run(name, func(t *testing.T) {
			requireBody(t, filepath.Join("bodies", "sparse_"+name+".json"), value)
		})
	}
}
