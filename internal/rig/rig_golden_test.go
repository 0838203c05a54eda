package rig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"

	"github.com/pelletier/go-toml/v2"

	"gorseledge/internal/configfeed"
)

// The files under testdata were written by a released version (5fa7498) and must not be changed: operators' scripts have these
// keys, and stored histories and results have these fields. A failure of a golden test means that a name or a format has
// changed.

func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	text, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func checkGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	if want := readGolden(t, name); !bytes.Equal(got, want) {
		t.Errorf("%s: got\n%s\nwant\n%s", name, got, want)
	}
}

// checkNoZero checks that no exported field of a value is zero, at any depth. A zero field was not read from the golden file.
func checkNoZero(t *testing.T, path string, value reflect.Value) {
	t.Helper()
	if value.IsZero() || value.Kind() == reflect.Slice && value.Len() == 0 || value.Kind() == reflect.Map && value.Len() == 0 {
		t.Errorf("%s is zero", path)
		return
	}
	switch value.Kind() {
	case reflect.Pointer:
		checkNoZero(t, path, value.Elem())
	case reflect.Slice:
		for i := range value.Len() {
			checkNoZero(t, fmt.Sprintf("%s[%d]", path, i), value.Index(i))
		}
	case reflect.Map:
		for _, key := range value.MapKeys() {
			checkNoZero(t, fmt.Sprintf("%s[%v]", path, key), value.MapIndex(key))
		}
	case reflect.Struct:
		for i := range value.NumField() {
			if field := value.Type().Field(i); field.IsExported() && field.Tag.Get("json") != "-" {
				checkNoZero(t, path+"."+field.Name, value.Field(i))
			}
		}
	}
}

// goldenScript returns a script that sets every key to a value other than the default.
func goldenScript() *Script {
	s := &Script{Name: "golden", Duration: 100, SettleTimeout: 30, Nodes: 6, Zones: 3, ProbePeriod: 0.5, Hosts: 7,
		FlowRate: 8.5, GeneratedFaults: 9, DetectionTimeout: 15,
		GeneratedKinds: []string{"stop", "kill"}, ControlServers: 5, ChangeRate: 0.75, InForceTimeout: 4, GeneratedControlFaults: 2}
	for i, kind := range goldenFaultKinds {
		f := Fault{At: float64(1 + i), Kind: kind, Nodes: []int{1, 2}, To: []int{}, Duration: 2.5, Amount: 0.25}
		if faultKinds[kind].onLink {
			f.To, f.BothWays = []int{3}, true
		}
		s.Faults = append(s.Faults, f)
	}
	for i, kind := range goldenControlKinds {
		s.ControlFaults = append(s.ControlFaults, ControlFault{At: float64(1 + i), Kind: kind, Servers: []int{1, 2}, To: []int{3},
			Nodes: []int{4}, Region: "west", Duration: 3.5})
	}
	return s
}

var (
	goldenFaultKinds = []string{"cut", "delay", "garbage", "kill", "loss", "repeat", "replay", "restart", "rollback", "slow",
		"stop", "tear",
		"upgrade", "wipe"}
	goldenControlKinds = []string{"cut", "cut_nodes", "kill", "region", "restart", "rollback", "stop", "wipe"}
)

func sortedKinds[T any](kinds map[string]T) (names []string) {
	for name := range kinds {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Operators' scripts name kinds of faults, so no kind may be renamed or removed.
func TestGoldenFaultKinds(t *testing.T) {
	if got := sortedKinds(faultKinds); !slices.Equal(got, goldenFaultKinds) {
		t.Errorf("%v, want %v", got, goldenFaultKinds)
	}
	if got := sortedKinds(controlKinds); !slices.Equal(got, goldenControlKinds) {
		t.Errorf("%v, want %v", got, goldenControlKinds)
	}
}

// Operators' scripts must be read as before after a field of Script is renamed or its type is changed.
func TestGoldenScript(t *testing.T) {
	want := goldenScript()
	written, err := toml.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	checkGolden(t, "script.toml", written)
	got, err := ReadFile(filepath.Join("testdata", "script.toml"))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read\n%+v\nwant\n%+v", got, want)
	}
	got.Faults = got.Faults[:1] // the first is a link fault; only link faults use all keys
	checkNoZero(t, "Script", reflect.ValueOf(got))
}

// A changed default would change the runs of all scripts that do not set the key.
func TestGoldenScriptDefaults(t *testing.T) {
	s, err := Read("script.toml", nil)
	if err != nil {
		t.Fatal(err)
	}
	written, err := toml.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	checkGolden(t, "script-defaults.toml", written)
}

// The scripts in docs/scenarios for this package must be read as before.
func TestGoldenScriptsOfDocs(t *testing.T) {
	var paths []string
	for _, pattern := range []string{"processes-*.toml", "control-*.toml"} {
		found, err := filepath.Glob(filepath.Join("../../docs/scenarios", pattern))
		if err != nil {
			t.Fatal(err)
		}
		paths = append(paths, found...)
	}
	if len(paths) != 10 {
		t.Errorf("%d scripts, want 10", len(paths))
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			s, err := ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			written, err := toml.Marshal(s)
			if err != nil {
				t.Fatal(err)
			}
			checkGolden(t, "docs-"+filepath.Base(path), written)
		})
	}
}

// goldenEvent returns an event with all fields set, which does not occur in a run.
func goldenEvent() Event {
	return Event{At: 1.5, Kind: eventFlow, Node: 2, Fault: &Fault{At: 3.5, Kind: faultCut, Nodes: []int{4}, To: []int{5},
		BothWays: true, Duration: 6.5,
		Amount: 0.25}, Member: "n1", State: memberSuspect, Answer: "up", AnswerCount: 7, Ending: "cut", StartedAt: 8.5,
		BudgetShare: 0.125, Note: "a note",
		Control: &ControlEvent{Server: 9, ID: "p1", Outcome: "accepted", Version: configfeed.Version{Epoch: 2, Revision: 41},
			Digest: "00000000000000ff", ProposalIDs: []string{"p1", "p2"}, Fault: &ControlFault{At: 10.5, Kind: faultRegion,
				Servers: []int{1},
				To:      []int{2}, Nodes: []int{3}, Region: "west", Duration: 11.5}}}
}

// checkJSON checks that a value is encoded as in a golden file, that the file is decoded to the value, and that encoding the
// decoded value yields the file again.
func checkJSON[T any](t *testing.T, name string, value T) {
	t.Helper()
	written, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	checkGolden(t, name, append(written, '\n'))
	var got T
	decoder := json.NewDecoder(bytes.NewReader(readGolden(t, name)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&got); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, value) {
		t.Errorf("decoded\n%+v\nwant\n%+v", got, value)
	}
	checkNoZero(t, name, reflect.ValueOf(got))
	if written, err = json.MarshalIndent(got, "", "  "); err != nil {
		t.Fatal(err)
	}
	checkGolden(t, name, append(written, '\n'))
}

// Stored histories must stay readable: they have one JSON object per line with these fields.
func TestGoldenHistory(t *testing.T) {
	path := filepath.Join(t.TempDir(), "history.jsonl")
	h, err := newHistory(path)
	if err != nil {
		t.Fatal(err)
	}
	h.add(goldenEvent())
	h.add(Event{At: 0.5})
	if err := h.close(true); err != nil {
		t.Fatal(err)
	}
	written, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	checkGolden(t, "history.jsonl", written)
	checkJSON(t, "event.json", goldenEvent())
}

// Stored results must stay readable.
func TestGoldenResult(t *testing.T) {
	event := goldenEvent()
	checkJSON(t, "result.json", &Result{Seed: 1, Faults: []Fault{*event.Fault}, ControlFaults: []ControlFault{*event.Control.Fault},
		Events: []Event{event}, Violations: []Violation{{Rule: "no blameless member is held for dead", At: 1.5,
			Text: "n1 holds n2 for dead"}}, Requests: 2,
		Answers: map[string]int{"up": 3, "busy": 4}, JoinTime: 5.5, AgreementTime: 6.5, Changes: map[string]int{"accepted": 7},
		InForceTimes: []float64{8.5, 9.5},
		Deaths:       []Death{{Node: 1, First: 10.5, Last: 11.5, Known: 12}}, Nodes: 13})
}

// Stored histories contain these names of events, outcomes and states, so they must not change.
func TestGoldenWords(t *testing.T) {
	got := []string{eventProcessStart, eventProcessExit, eventFaultStart, eventFaultEnd, eventMember, eventFlow,
		eventAgreement, eventBudget,
		eventServerStart, eventServerExit, eventServerDied, eventControlFaultStart, eventControlFaultEnd, eventProposal,
		eventConfig, eventEpoch, eventAwaitInForce, eventInForce, eventNotInForce,
		eventHeldProposals, outcomeUnknown, proposalKeyPrefix, proposalKeySuffix, memberAlive, memberSuspect, memberDead, memberLeft}
	var out bytes.Buffer
	for _, word := range got {
		fmt.Fprintln(&out, word)
	}
	checkGolden(t, "words.txt", out.Bytes())
}

// A node of an earlier version must be able to read the config file that the rig writes for it.
func TestGoldenNodeConfig(t *testing.T) {
	n := &node{index: 3, clientAddress: "127.0.1.4:7001", adminAddress: "127.0.1.4:7002", fleetAddress: "127.0.1.4:7003"}
	written, err := json.Marshal(config(n, "127.0.0.1:7004", "fleet.toml", 0x0123456789abcdef, 5))
	if err != nil {
		t.Fatal(err)
	}
	checkGolden(t, "node-config.json", written)
}
