package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"gorseledge/internal/configfeed/feedhttp"
)

// The commands must change the configuration only from the revision that the operator names, and report every refusal as
// one line with the right exit code. The cases depend on each other and run in order.
func TestApplyRevertAndNewEpochChangeRevisions(t *testing.T) {
	servers := newServers(t, 3)
	for _, s := range servers {
		s.start()
	}
	s := servers[1] // commands call the writer, even with another server's control file
	s.untilReady()
	s.apply("0", 1)
	s.apply("1", 2)
	for _, c := range []struct {
		arguments      []string
		code           int
		out, errorText string
	}{
		{[]string{"apply", document(t, "nodes = 3\n"), "--if-revision", "1"}, exitRefused, "",
			"conflict: the newest revision is 2 of epoch 1"},
		{[]string{"apply", document(t, "nodes = 3\n"), "--if-revision", "7.2"}, exitRefused, "", "conflict"},
		{[]string{"apply", document(t, "nodes = 2\n"), "--if-revision", "2"}, 0, "no change", ""},
		{[]string{"revert", "1", "--note", "the second was wrong"}, 0, "revision 3 of epoch 1", ""},
		{[]string{"revert", "9"}, exitRefused, "", "does not reach revision 9"},
		{[]string{"revert", "0"}, exitRefused, "", "does not reach revision 0"},
		{[]string{"revert", "one"}, exitBadInput, "", `invalid revision "one": "one" must be a whole number`},
		{[]string{"new-epoch"}, 0, "revision 1 of epoch 2", ""},
		{[]string{"revert", "2"}, exitRefused, "", "does not reach revision 2 of epoch 2"},
	} {
		t.Run(strings.Join(c.arguments, " "), func(t *testing.T) {
			r := s.command(c.arguments...)
			succeeded := r.code == 0 && strings.Contains(r.out, c.out)
			if c.code == 0 && !succeeded {
				t.Errorf("%v: %+v", c.arguments, r)
			}
			if c.code != 0 && !r.isErrorLine(c.code, c.errorText) {
				t.Errorf("%v: %+v", c.arguments, r)
			}
		})
	}
	r := s.command("history", "--json")
	var history feedhttp.HistoryAnswer
	if err := json.Unmarshal([]byte(r.out), &history); err != nil || len(history.Revisions) != 4 {
		t.Fatalf("%v, %+v", err, r)
	}
	reverted := history.Revisions[2]
	if reverted.Note != "the second was wrong" || len(reverted.Delta.Set) != 1 || reverted.Delta.Set[0].Value != "1" {
		t.Errorf("%+v", reverted)
	}
	r = s.command("history", "--values")
	if r.code != 0 || !strings.Contains(r.out, "nodes = 2") || !strings.Contains(r.out, "the second was wrong") {
		t.Errorf("%+v", r)
	}
}

// If a server does not answer, status must show that, still show the other servers, and end with exit code 1.
func TestStatusShowsUnresponsiveServer(t *testing.T) {
	servers := newServers(t, 3)
	for _, s := range servers {
		s.start()
	}
	servers[0].untilReady()
	r := servers[0].command("status")
	if r.code != 0 || strings.Count(r.out, "follows") != 2 {
		t.Errorf("%+v", r)
	}
	servers[2].end(syscall.SIGTERM)
	r = servers[0].command("status")
	if !r.isErrorLine(exitRefused, "1 of 3 servers") || !strings.Contains(r.out, "no answer") {
		t.Errorf("%+v", r)
	}
}

// Scripts rely on exit code 2 for invalid input, and operators on one line that names the file, line or argument. Invalid
// input must be detected before any server is called.
func TestBadInputIsOneLineAndExitCode2(t *testing.T) {
	s := newServers(t, 1)[0] // is not started: no command may call it
	invalid := filepath.Join(t.TempDir(), "control.toml")
	if err := os.WriteFile(invalid, []byte("fleet = \"lima\"\nname = 3\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	live := document(t, "nodes = 1\n")
	for _, c := range []struct {
		arguments []string
		errorText string
	}{
		{[]string{"check", invalid}, invalid + ":2:"},
		{[]string{"serve", invalid}, invalid + ":2:"},
		{[]string{"status", "--control", invalid}, invalid + ":2:"},
		{[]string{"status", "--control", ""}, "no control file"},
		{[]string{"check", invalid + ".none"}, invalid + ".none"},
		{[]string{"apply", live, "--control", s.file}, "if-revision"},
		{[]string{"apply", live, "--if-revision", "x", "--control", s.file}, `invalid revision "x": "x" must be a whole number`},
		{[]string{"apply", live + ".none", "--if-revision", "1", "--control", s.file}, live + ".none"},
		{[]string{"apply", document(t, "\nnodes = -1\n"), "--if-revision", "1", "--control", s.file}, ":2:"},
		{[]string{"apply", document(t, "listen = \"127.0.0.1:1\"\n"), "--if-revision", "1", "--control", s.file}, "needs a restart"},
		{[]string{"frobnicate"}, "frobnicate"},
	} {
		t.Run(strings.Join(c.arguments, " "), func(t *testing.T) {
			if r := run(t, c.arguments...); !r.isErrorLine(exitBadInput, c.errorText) {
				t.Errorf("%v: %+v", c.arguments, r)
			}
		})
	}
	if r := run(t, "check", s.file); r.code != 0 || r.out != "good\n" {
		t.Errorf("%+v", r)
	}
	if r := s.command("history"); !r.isErrorLine(exitRefused, "server c1") {
		t.Errorf("history from a server that is not running: %+v", r)
	}
}
