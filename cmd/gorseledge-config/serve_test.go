package main

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"syscall"
	"testing"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/configfeed/feedhttp"
	"gorseledge/internal/configfeed/feedstore"
)

func TestATermSignalEndsAServerCleanly(t *testing.T) {
	s := newServers(t, 1)[0]
	s.start()
	if code := s.end(syscall.SIGTERM); code != 0 || !strings.Contains(s.log.String(), `"message":"stopped"`) {
		t.Errorf("exit %d: %s", code, s.log)
	}
}

func TestWhatWasAcceptedOutlivesAKillRightAfterIt(t *testing.T) {
	s := newServers(t, 1)[0]
	client := s.client()
	for i := range 4 {
		s.start()
		s.untilReady()
		expected := configfeed.Version{Epoch: uint64(min(i, 1)), Revision: uint64(i)}
		outcome, err := client.Apply(t.Context(), s.address(), configfeed.Proposal{ID: feedhttp.NewProposalID(), IfVersion: expected,
			Entries: []configfeed.Entry{{Key: "nodes", Value: fmt.Sprint(10 + i)}}, Author: "test"})
		s.end(syscall.SIGKILL)
		if err != nil || outcome.Kind != configfeed.Accepted {
			t.Fatalf("revision %d: %+v, %v", i+1, outcome, err)
		}
	}
	s.start()
	state, err := client.State(t.Context(), s.address(), 4)
	if err != nil || state.Version.Revision != 4 || state.Entries[0].Value != "13" {
		t.Errorf("%+v, %v", state, err)
	}
}

// copyDirectory copies a log.
func copyDirectory(t *testing.T, from, to string) {
	t.Helper()
	if err := os.RemoveAll(to); err != nil {
		t.Fatal(err)
	}
	if err := os.CopyFS(to, os.DirFS(from)); err != nil {
		t.Fatal(err)
	}
}

func TestAWriterWhoseOlderDirectoryIsPutBackCatchesUpBeforeItTakesProposals(t *testing.T) {
	servers := newServers(t, 3)
	writer := servers[0]
	for _, s := range servers {
		s.start()
	}
	writer.untilReady()
	writer.apply("0", 1)
	writer.end(syscall.SIGTERM)
	backup := filepath.Join(t.TempDir(), "backup")
	copyDirectory(t, writer.config.Directory, backup)
	writer.start()
	writer.untilReady()
	writer.apply("1", 2)
	writer.apply("1.2", 3)
	eventually(t, "all servers have the third revision", func() bool { return allAt(writer.status(), 3) })
	for _, s := range servers {
		s.end(syscall.SIGKILL)
	}
	copyDirectory(t, backup, writer.config.Directory)

	// Alone it cannot tell whether others know of more.
	writer.start()
	r := writer.command("apply", document(t, "nodes = 9\n"), "--if-revision", "1")
	if !r.oneLine(exitRefused, "not ready") {
		t.Fatalf("%+v", r)
	}
	servers[1].start()
	servers[2].start()
	writer.untilReady()
	if status := writer.status(); status.Newest != (configfeed.Version{Epoch: 1, Revision: 3}) {
		t.Fatalf("%+v", status)
	}
	if r := writer.command("apply", document(t, "nodes = 9\n"), "--if-revision", "1"); !r.oneLine(exitRefused, "conflict") {
		t.Errorf("%+v", r)
	}
	writer.apply("3", 4)
	eventually(t, "all servers have the fourth revision", func() bool { return allAt(writer.status(), 4) })
}

func TestAServerWhoseDirectoryIsLostCatchesUpFromTheOthers(t *testing.T) {
	servers := newServers(t, 3)
	for _, s := range servers {
		s.start()
	}
	servers[0].untilReady()
	servers[0].apply("0", 1)
	eventually(t, "all servers have the revision", func() bool { return allAt(servers[0].status(), 1) })
	for _, lost := range servers[:2] { // the writer, and then another one
		lost.end(syscall.SIGKILL)
		if err := os.RemoveAll(lost.config.Directory); err != nil {
			t.Fatal(err)
		}
		lost.start()
		eventually(t, lost.name+" has the revision again", func() bool { return allAt(servers[0].status(), 1) })
	}
	servers[0].untilReady()
	servers[0].apply("1.1", 2)
}

// allAt tells whether every server has a revision of the first epoch.
func allAt(status fleetStatus, revision uint64) bool {
	for _, s := range status.Servers {
		if s.Version != (configfeed.Version{Epoch: 1, Revision: revision}) {
			return false
		}
	}
	return true
}

// logOf gives the log of a server after some revisions, and what it holds.
func logOf(t *testing.T, revisions int) ([]byte, configfeed.Stored) {
	t.Helper()
	directory := t.TempDir()
	store, stored, err := feedstore.Open(directory)
	if err != nil {
		t.Fatal(err)
	}
	state := stored.State
	for i := range revisions {
		to := configfeed.Version{Epoch: 1, Revision: uint64(i + 1)}
		entries := []configfeed.Entry{{Key: "nodes", Value: fmt.Sprint(i)}}
		next, err := configfeed.NewState(to, entries)
		if err != nil {
			t.Fatal(err)
		}
		r := configfeed.Revision{Delta: configfeed.Delta{From: state.Version, To: to, Set: entries, Digest: next.Digest}, Author: "test"}
		if err := store.Save(next, []configfeed.Revision{r}); err != nil {
			t.Fatal(err)
		}
		state = next
	}
	store.Close()
	text, err := os.ReadFile(filepath.Join(directory, "configuration.db"))
	if err != nil {
		t.Fatal(err)
	}
	_, stored, err = feedstore.Open(directory)
	if err != nil {
		t.Fatal(err)
	}
	return text, stored
}

// A byte that is not what it was is an error of one line, or makes no difference: it is in a page that is not in use.
// A damaged head makes the library take the one before it, which is the state one write earlier.
func TestAChangedByteOfTheLogIsNotBelieved(t *testing.T) {
	text, whole := logOf(t, 40)
	const step = 997    // a prime, so that all parts of a page come up
	const sweeps = 20   // where a page's parts lie differs from log to log: further bytes are tried until a server has been
	const between = 149 // bytes from one sweep to the next
	served := newServers(t, 1)[0]
	refused, servedRefused := 0, 0
	var places []int
	for sweep := range sweeps {
		for at := 5 + sweep*between%step; at < len(text); at += step {
			places = append(places, at)
		}
	}
	first := (len(text) - 5 + step - 1) / step // places of the first sweep, all of which are tried
	for i, at := range places {
		if i >= first && servedRefused > 0 {
			break
		}
		directory := t.TempDir()
		path := filepath.Join(directory, "configuration.db")
		changed := append([]byte(nil), text...)
		changed[at] ^= 0x55
		if err := os.WriteFile(path, changed, 0o600); err != nil {
			t.Fatal(err)
		}
		if r := run(t, "check-log", directory); r.code != 0 {
			refused++
			if !r.oneLine(exitRefused, directory) {
				t.Errorf("byte %d: %+v", at, r)
			}
			if strings.Contains(r.errors, "page ") && servedRefused < 3 { // it takes the library's own check to see it
				servedRefused++
				copyDirectory(t, directory, served.config.Directory)
				if r := run(t, "serve", served.file); !r.oneLine(exitRefused, "page ") {
					t.Errorf("byte %d, served: %+v", at, r)
				}
			}
			continue
		}
		store, stored, err := feedstore.Open(directory)
		if err != nil {
			t.Errorf("byte %d: it was good, and then %v", at, err)
			continue
		}
		store.Close()
		earlier := len(stored.History) == len(whole.History)-1 && reflect.DeepEqual(stored.History, whole.History[:len(stored.History)])
		if !earlier && !reflect.DeepEqual(stored, whole) {
			t.Errorf("byte %d: it was taken for %d revisions, version %v", at, len(stored.History), stored.State.Version)
		}
	}
	if refused == 0 || servedRefused == 0 {
		t.Errorf("%d changes were refused, and %d of them tried with a server", refused, servedRefused)
	}
}

func TestAServerDoesNotStartWithALogThatIsCutShort(t *testing.T) {
	text, _ := logOf(t, 40)
	s := newServers(t, 1)[0]
	if err := os.MkdirAll(s.config.Directory, 0o700); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(s.config.Directory, "configuration.db")
	// The last part of the file is room for what comes next: half of it is certainly too little.
	for _, size := range []int{1, 100, os.Getpagesize(), 2*os.Getpagesize() + 1, len(text) / 2} {
		if err := os.WriteFile(path, text[:size], 0o600); err != nil {
			t.Fatal(err)
		}
		if r := run(t, "serve", s.file); !r.oneLine(exitRefused, s.config.Directory) {
			t.Errorf("%d of %d bytes: %+v", size, len(text), r)
		}
	}
}

func TestASecondServerOfADirectoryDoesNotStart(t *testing.T) {
	s := newServers(t, 1)[0]
	s.start()
	if r := run(t, "serve", s.file); !r.oneLine(exitRefused, "another process has it open") {
		t.Errorf("%+v", r)
	}
}
