package sockets

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/rs/zerolog"

	"gorseledge/internal/node"
)

// The files under testdata hold the output of commit 5fa7498, apart from the words of the log message. No flag rewrites
// them.

func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// A changed log line for the end of a client's connection would differ from what operators look for. Its fields and their
// order must stay as docs/oncall.md lists them.
func TestLogLinesKeepTheirForm(t *testing.T) {
	want := strings.SplitAfter(strings.TrimSuffix(string(readGolden(t, "log.jsonl")), "\n"), "\n")
	cases := []struct {
		name   string
		effect node.Effect
	}{
		{"ended", node.LogConnection{Record: node.ConnectionRecord{Reason: node.Served, Type: "chat", Host: "s-5be2a07c", Attempts: 2,
			Duration: 61.25, Setup: 0.125, BytesFromClient: 4097, BytesToClient: 18446744073709551615}}},
		{"ended, times rounded to milliseconds", node.LogConnection{Record: node.ConnectionRecord{Reason: node.ClientReset,
			Type: "feed", Host: "s-77d10e42", Attempts: 1, Duration: 7.0006, Setup: 0.0625, BytesFromClient: 1, BytesToClient: 2}}},
		{"ended before its opening line", node.LogConnection{Record: node.ConnectionRecord{Reason: node.NoLine, Duration: 2}}},
		{"plain line", node.WriteLog{Line: "base list of 6 servers, was 0"}},
	}
	if len(want) != len(cases) {
		t.Fatalf("%d golden lines for %d cases", len(want), len(cases))
	}
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var written bytes.Buffer
			s := &server{log: zerolog.New(&written)}
			if !s.perform(c.effect) {
				t.Error("perform reported the last effect")
			}
			if got := strings.TrimSuffix(written.String(), "\n"); got != strings.TrimSuffix(want[i], "\n") {
				t.Errorf("logged %s, want %s", got, want[i])
			}
		})
	}
}

// Renaming a config key would make a node ignore that key in the deployment's files. Every key keeps the name that those
// files use.
func TestConfigKeysAreFixed(t *testing.T) {
	for _, name := range []string{"LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_ADMIN_ADDR", "LB_FLEET"} {
		t.Setenv(name, "127.0.0.9:9")
	}
	path := filepath.Join("testdata", "config.json")
	got, err := ReadConfig(path)
	if err != nil {
		t.Fatal(err)
	}
	want := Config{Name: "n7", Listen: "127.0.0.1:5000", Discovery: "127.0.0.1:8500", AdminAddress: "127.0.0.1:5001",
		PeerAddress: "127.0.0.1:5002", Peers: []string{"127.0.0.1:5002", "127.0.0.1:5003"}, Seed: "ab12",
		FleetFile: "/etc/gorseledge/fleet.toml", path: path,
		CachedList: json.RawMessage(`{"index":41,"snapshot":true,"endpoints":[{"name":"s-1"}]}`),
		Settings:   json.RawMessage(`{"siblings":3,"zones":["a"]}`)}
	want.Limits.Cores, want.Limits.MemoryMB, want.Limits.Sockets = 1.5, 256, 640
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v, want %+v", got, want)
	}
	for i := range reflect.TypeFor[Config]().NumField() {
		if reflect.ValueOf(got).Field(i).IsZero() {
			t.Errorf("the golden config does not set %s", reflect.TypeFor[Config]().Field(i).Name)
		}
	}
	decoder := json.NewDecoder(bytes.NewReader(readGolden(t, "config.json")))
	decoder.DisallowUnknownFields()
	var strict Config
	if err := decoder.Decode(&strict); err != nil {
		t.Error(err)
	}
	again, err := json.Marshal(strict)
	if err != nil || string(again)+"\n" != string(readGolden(t, "config.json")) {
		t.Errorf("encoding the golden config again: error %v, got\n%s", err, again)
	}
}

// Deployments set environment variables in place of config keys. Renaming a variable would leave such a node without an
// address or name.
func TestConfigVariablesAreFixed(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte("{}"), 0o600); err != nil {
		t.Fatal(err)
	}
	t.Setenv("LB_NAME", "n7")
	t.Setenv("LB_LISTEN", "127.0.0.1:5000")
	t.Setenv("LB_DISCOVERY", "127.0.0.1:8500")
	t.Setenv("LB_ADMIN_ADDR", "127.0.0.1:5001")
	t.Setenv("LB_FLEET", "/etc/gorseledge/fleet.toml")
	got, err := ReadConfig(path)
	if err != nil {
		t.Fatal(err)
	}
	want := Config{Name: "n7", Listen: "127.0.0.1:5000", Discovery: "127.0.0.1:8500", AdminAddress: "127.0.0.1:5001",
		FleetFile: "/etc/gorseledge/fleet.toml", path: path}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read %+v, want %+v", got, want)
	}
}
