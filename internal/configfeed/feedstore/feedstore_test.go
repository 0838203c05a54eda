package feedstore

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"gorseledge/internal/configfeed"
)

// writer creates consecutive revisions, each of which sets the same key.
type writer struct {
	t     *testing.T
	state configfeed.State
}

// next returns the next revision and the state after it.
func (w *writer) next() (configfeed.State, configfeed.Revision) {
	w.t.Helper()
	to := w.state.Version
	to.Epoch, to.Revision = max(to.Epoch, 1), to.Revision+1
	entries := []configfeed.Entry{{Key: "key", Value: fmt.Sprint(to.Revision)}}
	state, err := configfeed.NewState(to, entries)
	if err != nil {
		w.t.Fatal(err)
	}
	r := configfeed.Revision{Delta: configfeed.Delta{From: w.state.Version, To: to, Set: entries, Digest: state.Digest},
		At: float64(to.Revision), Author: "test", Note: "a note", Proposal: fmt.Sprint("p", to.Revision)}
	w.state = state
	return state, r
}

// openStore opens a log and closes it at the end of the test.
func openStore(t *testing.T, directory string) (*Store, configfeed.StoredLog) {
	t.Helper()
	store, stored, err := Open(directory)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { store.Close() })
	return store, stored
}

// save saves the given number of revisions, one per call of Save.
func (w *writer) save(store *Store, count int) {
	w.t.Helper()
	for range count {
		state, r := w.next()
		if err := store.Save(state, []configfeed.Revision{r}); err != nil {
			w.t.Fatal(err)
		}
	}
}

// A server that does not load all saved revisions after a restart would lose accepted proposals.
func TestSavedStateAndHistoryAreLoadedAfterReopening(t *testing.T) {
	directory := t.TempDir()
	store, stored := openStore(t, directory)
	if stored.State.Version != (configfeed.Version{}) || len(stored.History) != 0 {
		t.Fatalf("a new log holds %+v", stored)
	}
	w := &writer{t: t}
	w.save(store, 3)
	_, r2 := w.next()
	third, r3 := w.next()
	if err := store.Save(third, []configfeed.Revision{r2, r3}); err != nil {
		t.Fatal(err)
	}
	store.Close()
	_, stored = openStore(t, directory)
	if !reflect.DeepEqual(stored.State, third) || len(stored.History) != 5 || !reflect.DeepEqual(stored.History[4], r3) {
		t.Fatalf("loaded %+v, want %+v and 5 revisions", stored, third)
	}
}

// A log with a gap between revisions cannot be replayed.
func TestSaveRejectsRevisionsWithGap(t *testing.T) {
	store, _ := openStore(t, t.TempDir())
	w := &writer{t: t}
	w.save(store, 2)
	w.next()
	state, r := w.next() // the revision before this one is not saved
	if err := store.Save(state, []configfeed.Revision{r}); err == nil {
		t.Error("a revision was saved without the revision before it")
	}
}

// An operator who returns to an earlier revision must get exactly its state, or an error if the log no longer reaches back to
// it.
func TestEarlierStatesAreReplayedBackToBase(t *testing.T) {
	directory := t.TempDir()
	store, _ := openStore(t, directory)
	w := &writer{t: t}
	w.save(store, 4)
	at := func(revision uint64) (configfeed.State, error) {
		return store.At(configfeed.Version{Epoch: 1, Revision: revision})
	}
	for revision := uint64(1); revision <= 4; revision++ {
		state, err := at(revision)
		if err != nil || state.Entries[0].Value != fmt.Sprint(revision) {
			t.Errorf("revision %d: %+v, %v", revision, state, err)
		}
	}
	if _, err := at(5); !errors.Is(err, configfeed.ErrRevisionNotFound) {
		t.Errorf("a revision that does not exist yet: %v, want %v", err, configfeed.ErrRevisionNotFound)
	}
	// A snapshot replaces the base, so earlier states can no longer be replayed.
	for range 6 {
		w.next()
	}
	if err := store.Save(w.state, nil); err != nil {
		t.Fatal(err)
	}
	w.save(store, 1)
	for revision, available := range map[uint64]bool{4: false, 9: false, 10: true, 11: true} {
		if _, err := at(revision); errors.Is(err, configfeed.ErrRevisionNotFound) == available {
			t.Errorf("revision %d after a snapshot: %v", revision, err)
		}
	}
	store.Close()
	_, stored := openStore(t, directory)
	if !reflect.DeepEqual(stored.State, w.state) || len(stored.History) != 5 {
		t.Errorf("loaded %+v, want %+v and 5 revisions", stored, w.state)
	}
}

// Without compaction the file would grow with every revision. The base, the newest revisions and the states between them have
// to survive it.
func TestHistoryIsBounded(t *testing.T) {
	directory := t.TempDir()
	store, _ := openStore(t, directory)
	w := &writer{t: t}
	w.save(store, 1)
	var added []configfeed.Revision
	for range configfeed.HistoryRevisions + 2*compactedRevisions {
		_, r := w.next()
		added = append(added, r)
		if len(added) == compactedRevisions {
			if err := store.Save(w.state, added); err != nil {
				t.Fatal(err)
			}
			added = nil
		}
	}
	store.Close()
	store, stored := openStore(t, directory)
	if len(stored.History) != configfeed.HistoryRevisions || !reflect.DeepEqual(stored.State, w.state) {
		t.Fatalf("%d revisions, %+v, want %d, %+v", len(stored.History), stored.State, configfeed.HistoryRevisions, w.state)
	}
	if last := stored.History[len(stored.History)-1]; last.Delta.To != w.state.Version {
		t.Errorf("the last revision is %+v, want %+v", last.Delta.To, w.state.Version)
	}
	if _, err := store.At(configfeed.Version{Epoch: 1, Revision: 1}); !errors.Is(err, configfeed.ErrRevisionNotFound) {
		t.Errorf("a compacted revision: %v", err)
	}
	if _, err := store.At(stored.History[0].Delta.To); err != nil {
		t.Errorf("the oldest kept revision: %v", err)
	}
}

// Two servers that write to the same log, as after a start by mistake, would corrupt it.
func TestSecondOpenOfLockedLogFails(t *testing.T) {
	directory := t.TempDir()
	openStore(t, directory)
	_, _, err := Open(directory)
	if err == nil || !strings.Contains(err.Error(), "another process") {
		t.Errorf("opening a locked log: %v", err)
	}
}

// fileOfRevisions returns the content of the file of a log with the given number of revisions.
func fileOfRevisions(t *testing.T, count int) []byte {
	t.Helper()
	directory := t.TempDir()
	store, _ := openStore(t, directory)
	(&writer{t: t}).save(store, count)
	store.Close()
	text, err := os.ReadFile(filepath.Join(directory, fileName))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// openBytes opens a log whose file has the given content. An error has to be one line that names the file.
func openBytes(t *testing.T, text []byte) (configfeed.StoredLog, error) {
	t.Helper()
	directory := t.TempDir()
	path := filepath.Join(directory, fileName)
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	store, stored, err := Open(directory)
	if err == nil {
		store.Close()
	} else if !strings.Contains(err.Error(), path) || strings.Contains(err.Error(), "\n") {
		t.Errorf("want an error of one line that names the file, got %v", err)
	}
	return stored, err
}

// A file that was truncated, as by a full disk or an incomplete copy, must not be loaded as a shorter history: a server would
// then lose accepted proposals without notice.
func TestTruncatedFileIsRejected(t *testing.T) {
	text := fileOfRevisions(t, 40)
	complete, err := openBytes(t, text)
	if err != nil || len(complete.History) != 40 {
		t.Fatalf("%d revisions, %v", len(complete.History), err)
	}
	page := os.Getpagesize()
	for size := 1; size < len(text); size += page / 2 {
		stored, err := openBytes(t, text[:size])
		if err == nil && !reflect.DeepEqual(stored, complete) {
			t.Errorf("a file truncated to %d of %d bytes was loaded with %d revisions", size, len(text), len(stored.History))
		}
	}
}
