package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/configfeed/feedhttp"
)

// A server that ends on SIGTERM with an error, or without a line in the log, would look like a crash to operators.
func TestServerStopsCleanlyOnSIGTERM(t *testing.T) {
	s := newServers(t, 1)[0]
	s.start()
	code := s.end(syscall.SIGTERM)
	if code != 0 || !strings.Contains(s.log.String(), `"message":"control server stopped"`) {
		t.Errorf("exit code %d, log: %s", code, s.log)
	}
}

// A revision that was accepted before it was on disk would be lost if the server was killed right after its answer.
func TestAcceptedRevisionSurvivesKill(t *testing.T) {
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

// copyDirectory replaces the directory to with a copy of the directory from.
func copyDirectory(t *testing.T, from, to string) {
	t.Helper()
	if err := os.RemoveAll(to); err != nil {
		t.Fatal(err)
	}
	if err := os.CopyFS(to, os.DirFS(from)); err != nil {
		t.Fatal(err)
	}
}

// A writer that was restored from a backup lacks the revisions made since then. If it accepted a proposal at once, it would
// use a revision number a second time. It must first hear from a majority and fetch the revisions that it lacks.
func TestWriterWithRestoredBackupCatchesUpBeforeItAcceptsProposals(t *testing.T) {
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

	// While the writer runs alone, it does not know whether the other servers have newer revisions.
	writer.start()
	r := writer.command("apply", document(t, "nodes = 9\n"), "--if-revision", "1")
	if !r.isErrorLine(exitRefused, "not ready") {
		t.Fatalf("%+v", r)
	}
	servers[1].start()
	servers[2].start()
	writer.untilReady()
	if status := writer.status(); status.Newest != (configfeed.Version{Epoch: 1, Revision: 3}) {
		t.Fatalf("%+v", status)
	}
	if r := writer.command("apply", document(t, "nodes = 9\n"), "--if-revision", "1"); !r.isErrorLine(exitRefused, "conflict") {
		t.Errorf("%+v", r)
	}
	writer.apply("3", 4)
	eventually(t, "all servers have the fourth revision", func() bool { return allAt(writer.status(), 4) })
}

// A server whose disk was lost must get the configuration back from the other servers. This also holds for the writer.
func TestServerWithLostDirectoryCatchesUpFromOthers(t *testing.T) {
	servers := newServers(t, 3)
	for _, s := range servers {
		s.start()
	}
	servers[0].untilReady()
	servers[0].apply("0", 1)
	eventually(t, "all servers have the revision", func() bool { return allAt(servers[0].status(), 1) })
	for _, lost := range servers[:2] { // the writer, then another server
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

// allAt reports whether the version of every server is a revision of the first epoch.
func allAt(status fleetStatus, revision uint64) bool {
	for _, s := range status.Servers {
		if s.Version != (configfeed.Version{Epoch: 1, Revision: revision}) {
			return false
		}
	}
	return true
}

// Two servers that write to the same log would damage it.
func TestSecondServerOfOneDirectoryDoesNotStart(t *testing.T) {
	s := newServers(t, 1)[0]
	s.start()
	if r := run(t, "serve", s.file); !r.isErrorLine(exitRefused, "another process has it open") {
		t.Errorf("%+v", r)
	}
}
