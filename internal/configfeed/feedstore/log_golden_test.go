package feedstore

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"go.etcd.io/bbolt"

	"gorseledge/internal/configfeed"
)

// The files in testdata/golden were written by the build of revision 5fa7498, which is in service: the log directory of a
// server, and the content of the log in text form. They must not change, because later versions open logs that this
// version wrote, and after a rollback it opens theirs. The tests deliberately have no option to rewrite the files.
const (
	goldenDirectory = "testdata/golden"
	goldenLog       = "log" // the log directory of a server
)

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

// copyGoldenLog copies the golden log to a temporary directory.
func copyGoldenLog(t *testing.T) (directory string) {
	t.Helper()
	directory = t.TempDir()
	text := readGolden(t, filepath.Join(goldenLog, "configuration.db"))
	if err := os.WriteFile(filepath.Join(directory, "configuration.db"), text, 0o600); err != nil {
		t.Fatal(err)
	}
	return directory
}

// save is one call of Store.Save.
type save struct {
	state     configfeed.State
	revisions []configfeed.Revision
}

// logWriter collects the saves of which the golden log consists.
type logWriter struct {
	t     *testing.T
	state configfeed.State
	saves []save
}

// revise adds a revision that leads to a version with some entries set and others deleted.
func (w *logWriter) revise(to configfeed.Version, set []configfeed.Entry, deleted []string, revision configfeed.Revision) {
	w.t.Helper()
	values := map[string]string{}
	for _, entry := range w.state.Entries {
		values[entry.Key] = entry.Value
	}
	for _, key := range deleted {
		delete(values, key)
	}
	for _, entry := range set {
		values[entry.Key] = entry.Value
	}
	var entries []configfeed.Entry
	for key, value := range values {
		entries = append(entries, configfeed.Entry{Key: key, Value: value})
	}
	next, err := configfeed.NewState(to, entries)
	if err != nil {
		w.t.Fatal(err)
	}
	revision.Delta = configfeed.Delta{From: w.state.Version, To: to, Set: set, Delete: deleted, Digest: next.Digest}
	w.state = next
	w.saves = append(w.saves, save{state: next, revisions: []configfeed.Revision{revision}})
}

// replace adds a save of a snapshot, which replaces the base.
func (w *logWriter) replace(version configfeed.Version, entries ...configfeed.Entry) {
	w.t.Helper()
	next, err := configfeed.NewState(version, entries)
	if err != nil {
		w.t.Fatal(err)
	}
	w.state = next
	w.saves = append(w.saves, save{state: next})
}

func at(epoch, revision uint64) configfeed.Version {
	return configfeed.Version{Epoch: epoch, Revision: revision}
}

// goldenSaves returns the saves of the golden log: two revisions, a snapshot, another revision, and two more epochs with
// their revisions.
func goldenSaves(t *testing.T) []save {
	t.Helper()
	w := &logWriter{t: t}
	discovery := configfeed.Entry{Key: "discovery", Value: `"127.0.0.1:8500"`}
	nodes := func(count int) configfeed.Entry { return configfeed.Entry{Key: "nodes", Value: fmt.Sprint(count)} }
	weight := configfeed.Entry{Key: `hosts.a<b>&c "d" ñ.weight`, Value: "0.5"}
	w.revise(at(1, 1), []configfeed.Entry{discovery, nodes(858)}, nil,
		configfeed.Revision{At: 1764650000.25, Author: "ana@control-1", Note: "first settings", Proposal: "proposal-1"})
	w.revise(at(1, 2), []configfeed.Entry{weight, nodes(859)}, []string{"discovery"},
		configfeed.Revision{At: 1764650060.5, Author: "luis@control-1", Note: "weights & nodes", Proposal: "proposal-2"})
	w.replace(at(1, 5), nodes(860), weight, configfeed.Entry{Key: "limits.sockets", Value: "4096"})
	w.revise(at(1, 6), []configfeed.Entry{discovery}, []string{"limits.sockets"},
		configfeed.Revision{At: 1764650120.75, Author: "ana@control-1", Note: "one & two", Proposal: "proposal-6"})
	w.revise(at(2, 1), nil, nil, configfeed.Revision{At: 1764650180, Author: "ana@control-1", Note: "the disk was restored"})
	w.revise(at(2, 2), []configfeed.Entry{nodes(861)}, nil,
		configfeed.Revision{At: 1764650240.125, Author: "luis@control-1", Proposal: "proposal-8"})
	w.revise(at(7, 1), nil, nil, configfeed.Revision{At: 1764650300.5, Author: "ana@control-1", Note: "a backup"})
	w.revise(at(7, 2), nil, []string{weight.Key},
		configfeed.Revision{At: 1764650360, Author: "luis@control-1", Note: "no weights", Proposal: "proposal-10"})
	return w.saves
}

// records returns the records of a log, one per line: key, checksum and JSON text. The log must not be open.
func records(t *testing.T, directory string) []byte {
	t.Helper()
	db, err := bbolt.Open(filepath.Join(directory, "configuration.db"), 0o600, &bbolt.Options{ReadOnly: true})
	if err != nil {
		t.Fatal(err)
	}
	defer db.Close()
	var text bytes.Buffer
	err = db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(name []byte, bucket *bbolt.Bucket) error {
			fmt.Fprintf(&text, "bucket %q, sequence %d\n", name, bucket.Sequence())
			return bucket.ForEach(func(key, value []byte) error {
				_, err := fmt.Fprintf(&text, "%q %x %s\n", key, value[:8], value[8:])
				return err
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	return text.Bytes()
}

// requireStored fails unless the content of a log has the encoded form in a golden file, and the file is the same after
// it is decoded and encoded again.
func requireStored(t *testing.T, name string, stored configfeed.StoredLog) {
	t.Helper()
	encode := func(stored configfeed.StoredLog) []byte {
		var text bytes.Buffer
		encoder := json.NewEncoder(&text)
		for _, value := range []any{stored.State, stored.History} {
			if err := encoder.Encode(value); err != nil {
				t.Fatal(err)
			}
		}
		return text.Bytes()
	}
	requireGolden(t, name, encode(stored))

	var decoded configfeed.StoredLog
	decoder := json.NewDecoder(bytes.NewReader(readGolden(t, name)))
	decoder.DisallowUnknownFields()
	for _, into := range []any{&decoded.State, &decoded.History} {
		if err := decoder.Decode(into); err != nil {
			t.Fatal(err)
		}
	}
	requireGolden(t, name, encode(decoded))
}

// After an upgrade a server that cannot read its log would lose the configuration. The log of the version in service has to
// be loaded completely.
func TestGoldenLogIsOpened(t *testing.T) {
	directory := copyGoldenLog(t)
	if err := Check(directory); err != nil {
		t.Fatal(err)
	}
	requireGolden(t, "records.txt", records(t, directory))
	store, stored := openStore(t, directory)
	requireStored(t, "stored.json", stored)
	if got, want := stored.State.Version, at(7, 2); got != want {
		t.Errorf("version %v, want %v", got, want)
	}
	if got, want := fmt.Sprintf("%016x", uint64(stored.State.Digest)), "836f6754ce77d81f"; got != want {
		t.Errorf("digest %s, want %s", got, want)
	}
	if err := stored.State.Verify(); err != nil {
		t.Error(err)
	}
	requireStates(t, store, "states.txt")
}

// requireStates compares the state at each version with a golden file. Versions that cannot be replayed are marked there as
// out of reach.
func requireStates(t *testing.T, store *Store, name string) {
	t.Helper()
	var text bytes.Buffer
	for _, version := range []configfeed.Version{at(1, 1), at(1, 2), at(1, 4), at(1, 5), at(1, 6), at(1, 7), at(2, 1),
		at(2, 2), at(2, 3), at(3, 1), at(7, 1), at(7, 2), at(7, 3)} {
		state, err := store.At(version)
		switch {
		case errors.Is(err, configfeed.ErrRevisionNotFound):
			fmt.Fprintf(&text, "%s out of reach\n", version)
		case err != nil:
			t.Errorf("%s: %v", version, err)
		default:
			encoded, err := json.Marshal(state)
			if err != nil {
				t.Fatal(err)
			}
			fmt.Fprintf(&text, "%s %s\n", version, encoded)
		}
	}
	requireGolden(t, name, text.Bytes())
}

// After an upgrade a server appends to the log of the version in service. After a rollback that version has to read the
// appended records, so these have to match the golden file too.
func TestGoldenLogIsAppendedTo(t *testing.T) {
	directory := copyGoldenLog(t)
	store, stored := openStore(t, directory)
	w := &logWriter{t: t, state: stored.State}
	w.revise(at(7, 3), []configfeed.Entry{{Key: "nodes", Value: "862"}}, []string{"discovery"},
		configfeed.Revision{At: 1764650420.25, Author: "ana@control-1", Note: "after the upgrade", Proposal: "proposal-11"})
	w.revise(at(8, 1), nil, nil, configfeed.Revision{At: 1764650480.5, Author: "ana@control-1", Note: "an epoch"})
	for _, save := range w.saves {
		if err := store.Save(save.state, save.revisions); err != nil {
			t.Fatal(err)
		}
	}
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
	if err := Check(directory); err != nil {
		t.Error(err)
	}
	requireGolden(t, "records_appended.txt", records(t, directory))
	_, stored = openStore(t, directory)
	requireStored(t, "stored_appended.json", stored)
}

// A log that a later version creates has to be readable by the version in service, so the same saves to a new directory have
// to result in the same records.
func TestNewLogHasGoldenRecords(t *testing.T) {
	directory := t.TempDir()
	writeGoldenLog(t, directory)
	if err := Check(directory); err != nil {
		t.Error(err)
	}
	requireGolden(t, "records.txt", records(t, directory))
	_, stored := openStore(t, directory)
	requireStored(t, "stored.json", stored)
}

func writeGoldenLog(t *testing.T, directory string) {
	t.Helper()
	store, _ := openStore(t, directory)
	for _, save := range goldenSaves(t) {
		if err := store.Save(save.state, save.revisions); err != nil {
			t.Fatal(err)
		}
	}
	if err := store.Close(); err != nil {
		t.Fatal(err)
	}
}
