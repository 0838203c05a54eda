package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/configfeed/feedhttp"
	"gorseledge/internal/configfeed/feedstore"
	"gorseledge/internal/livesettings"
)

// The files in testdata/golden were written by the build of revision 5fa7498, which is in production. Operators' scripts
// read the output and the exit codes of the commands, so the files must never change. There is deliberately no option to
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

// goldenStatus returns a status with every field set.
func goldenStatus() fleetStatus {
	return fleetStatus{
		Newest: configfeed.Version{Epoch: 2, Revision: 17},
		Writer: "c1",
		Servers: []serverReport{{Name: "c1", Region: "east", Error: "connection refused",
			Version: configfeed.Version{Epoch: 2, Revision: 16}, NotReady: "version 2.17 was seen", Isolated: true,
			Diverged: []string{"c2", "c3"}, Nodes: 42}},
		Nodes:   43,
		Current: 41,
		Oldest:  configfeed.Version{Epoch: 1, Revision: 3},
		Lagging: []laggingNode{{
			FollowerStatus: configfeed.FollowerStatus{Name: "node-17", Server: true, Region: "west",
				Have: configfeed.Version{Epoch: 1, Revision: 3}, HaveSince: 1764650000.25, LastHeard: 1764650060.5,
				Refused: &configfeed.Refusal{Version: configfeed.Version{Epoch: 2, Revision: 17},
					Reason: "limits.sockets: 64 needed"}},
			Lag: 12.5, AtLeast: true, Server: "c2", HeardAgo: 1.25}},
	}
}

// A renamed JSON key of the status would break operators' scripts.
func TestStatusAsJSONMatchesGoldenFile(t *testing.T) {
	status := goldenStatus()
	requireEveryFieldSet(t, "status", reflect.ValueOf(status))
	requireGolden(t, "status.json", encodeLine(t, status))

	var decoded fleetStatus
	decoder := json.NewDecoder(bytes.NewReader(readGolden(t, "status.json")))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&decoded); err != nil {
		t.Fatal(err)
	}
	want := goldenStatus()
	want.Lagging[0].FollowerStatus.Server = false // the key "server" holds the reporting server's name instead
	if !reflect.DeepEqual(decoded, want) {
		t.Errorf("got %+v, want %+v", decoded, want)
	}
	requireGolden(t, "status.json", encodeLine(t, decoded))
}

func encodeLine(t *testing.T, value any) []byte {
	t.Helper()
	var text bytes.Buffer
	if err := json.NewEncoder(&text).Encode(value); err != nil {
		t.Fatal(err)
	}
	return text.Bytes()
}

// A changed column or state in the status table would break operators' scripts.
func TestStatusTableMatchesGoldenFile(t *testing.T) {
	status := goldenStatus()
	unresponsive := status.Servers[0]
	writer := unresponsive
	writer.Error = ""
	follower := serverReport{Name: "c2", Region: "west", Version: configfeed.Version{Epoch: 2, Revision: 17}, Nodes: 1}
	ready := serverReport{Name: "c1", Region: "east", Version: configfeed.Version{Epoch: 2, Revision: 17}, Nodes: 2}
	status.Servers = []serverReport{unresponsive, writer, follower, ready}
	lagging := status.Lagging[0]
	lagging.AtLeast, lagging.Refused = false, nil
	status.Lagging = append(status.Lagging, lagging)
	for i := range 45 {
		lagging.Name = fmt.Sprintf("node-%02d", i+20)
		status.Lagging = append(status.Lagging, lagging)
	}
	var text bytes.Buffer
	if err := writeStatus(&text, status); err != nil {
		t.Fatal(err)
	}
	requireGolden(t, "status.txt", text.Bytes())
}

// startGoldenServer starts a server in this process with a copy of the golden log of feedstore's tests, and returns the path
// of its control file.
func startGoldenServer(t *testing.T) (controlFile string) {
	t.Helper()
	servers := newServers(t, 1)
	directory := servers[0].config.Directory
	log, err := os.ReadFile("../../internal/configfeed/feedstore/testdata/golden/log/configuration.db")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.MkdirAll(directory, 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(directory, "configuration.db"), log, 0o600); err != nil {
		t.Fatal(err)
	}
	store, stored, err := feedstore.Open(directory)
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", servers[0].address())
	if err != nil {
		t.Fatal(err)
	}
	config := servers[0].config
	server := feedhttp.NewServer(feedhttp.ServerOptions{Fleet: config.Fleet, Keys: config.Keys, Log: zerolog.Nop(),
		Config: serverConfig(config), Store: store, Stored: stored, Check: livesettings.Check})
	done := make(chan error, 1)
	go func() { done <- server.Serve(t.Context(), listener) }()
	t.Cleanup(func() { // t.Context is canceled before cleanup functions run
		if err := <-done; err != nil {
			t.Error(err)
		}
		store.Close()
	})
	return servers[0].file
}

// transcript runs a command in this process and returns its exit code and what it writes to standard output. It does not
// include the text of an error, which scripts do not rely on.
func transcript(arguments ...string) string {
	command := rootCommand()
	var out bytes.Buffer
	command.SetOut(&out)
	command.SetArgs(arguments)
	code := codeOf(command.Execute())
	return fmt.Sprintf("exit code %d\n%s", code, &out)
}

// codeOf returns the exit code of a command that returned an error, or 0 for nil.
func codeOf(err error) int {
	if err == nil {
		return 0
	}
	return exitCode(err)
}

// A change of a command's output or exit code would break operators' scripts. Each command runs with its own server, so that
// it does not see the changes of another command.
func TestCommandOutputMatchesGoldenFile(t *testing.T) {
	golden := func(name string) string { return filepath.Join(goldenDirectory, name) }
	for name, arguments := range map[string][]string{
		"status":          {"status"},
		"status_json":     {"status", "--json"},
		"history":         {"history"},
		"history_json":    {"history", "--json"},
		"history_values":  {"history", "--values"},
		"history_limited": {"history", "--limit", "2"},
		"apply":           {"apply", golden("live.toml"), "--if-revision", "2", "--note", "for the evening"},
		"apply_in_epoch":  {"apply", golden("live.toml"), "--if-revision", "7.2"},
		"apply_conflict":  {"apply", golden("live.toml"), "--if-revision", "7.1"},
		"apply_no_change": {"apply", golden("same.toml"), "--if-revision", "2"},
		"apply_broken":    {"apply", golden("broken.toml"), "--if-revision", "2"},
		"apply_revision":  {"apply", golden("live.toml"), "--if-revision", "two"},
		"revert":          {"revert", "1", "--note", "the weights are wanted"},
		"revert_to_none":  {"revert", "9"},
		"revert_to_text":  {"revert", "one"},
		"new_epoch":       {"new-epoch", "--note", "a backup was restored"},
	} {
		t.Run(name, func(t *testing.T) {
			file := startGoldenServer(t)
			got := transcript(append(arguments, "--control", file)...)
			requireGolden(t, filepath.Join("commands", name+".txt"), []byte(got))
		})
	}
}

// Scripts distinguish the outcomes of a proposal by the exit code: 0 for success, 1 if the fleet refused it, 2 for invalid
// input.
func TestReportOfEachOutcomeMatchesGoldenFile(t *testing.T) {
	var text bytes.Buffer
	for _, kind := range []configfeed.OutcomeKind{"accepted", "conflict", "no_change", "not_writer", "not_ready",
		"too_large", "invalid", "failed", "other"} {
		command := rootCommand()
		var out bytes.Buffer
		command.SetOut(&out)
		err := printOutcome(command, configfeed.Outcome{Kind: kind, Version: configfeed.Version{Epoch: 2, Revision: 17},
			Writer: "c1", Detail: "a detail"})
		fmt.Fprintf(&text, "%s: exit code %d, output %q\n", kind, codeOf(err), &out)
	}
	requireGolden(t, "outcomes.txt", text.Bytes())
}

// The tests above run commands in this process. This one runs the program, to check the exit codes of the process and the
// environment variable that names the control file.
func TestExitCodesOfProgram(t *testing.T) {
	file := startGoldenServer(t)
	t.Setenv("GORSECONTROL_FILE", file)
	if r := run(t, "status"); r.code != 0 || r.errors != "" || r.out != commandOutput(t, "status") {
		t.Errorf("%+v", r)
	}
	if r := run(t, "apply", filepath.Join(goldenDirectory, "live.toml"), "--if-revision", "1"); r.code != 1 || r.out != "" {
		t.Errorf("%+v", r)
	}
	if r := run(t, "history", "--none"); r.code != 2 || r.out != "" {
		t.Errorf("%+v", r)
	}
	if r := run(t, "check", file); r.code != 0 || r.out != "good\n" {
		t.Errorf("%+v", r)
	}
	log := t.TempDir()
	copyDirectory(t, "../../internal/configfeed/feedstore/testdata/golden/log", log)
	if r := run(t, "check-log", log); r.code != 0 || r.out != "good\n" {
		t.Errorf("%+v", r)
	}
	if err := os.WriteFile(filepath.Join(log, "configuration.db"), []byte("damaged"), 0o600); err != nil {
		t.Fatal(err)
	}
	if r := run(t, "check-log", log); r.code != 1 || r.out != "" {
		t.Errorf("%+v", r)
	}
}

// commandOutput returns the output in a command's golden file, which follows the line with the exit code.
func commandOutput(t *testing.T, name string) string {
	t.Helper()
	_, output, _ := strings.Cut(string(readGolden(t, filepath.Join("commands", name+".txt"))), "\n")
	return output
}
