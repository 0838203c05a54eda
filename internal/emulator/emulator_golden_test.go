package emulator

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// The files under testdata were written by the deployed version (revision 5fa7498). Scripts of operators have these keys, so the
// files are never regenerated: a test that fails here means that a key, a default value or the form of a script has changed.

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

// checkNoZero checks that no exported field of a value is zero, at any depth. A field that is no longer read from a golden
// file is zero, and would otherwise go unnoticed.
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

// goldenScenario returns a scenario with a value other than the default for each key.
func goldenScenario() Scenario {
	traffic := Traffic{Name: "upload", Idempotency: "referenced", MemorySpan: 1.5, Rate: 2.5,
		MeanLifetime: 3.5, Load: 0.125, SetupObjective: 0.25, ConnectTimeout: 4.5,
		MessageObjective: 0.75, PriorityWeight: 5, GroupSize: 6, Retries: 7, Backoff: 0.5, RetryAfterShare: 0.375}
	s := Scenario{Name: "golden", Duration: 100, Settle: 10, GeneratedFaults: 3, GeneratedFleet: true,
		Fleet: Fleet{Nodes: 4, Hosts: 5, Zones: 6, Capacity: 7.5, CapacitySpread: 0.5, SlowStartFrom: 0.25, SlowStartTime: 9, ListDelay: 1.5, ListCallRate: 15, StoreCallLimit: 150,
			InputTime: 0.125, MaxDescriptors: 64},
		Network: Network{DelayWithinZone: 0.125, DelayBetweenZones: 0.25, Jitter: 0.5, Bandwidth: 1000, SplitChance: 0.75},
		Rules: Rules{DrainGrace: 1.5, AnswerSlack: 0.25, FallMultiple: 5, FallTime: 2, MaxAttempts: 3, RetryAfter: 4, PollWithin: 20, DialTimeout: 0.5,
			Pushed: true},
		Traffic: []Traffic{traffic}}
	for _, idempotency := range []string{"repeatable", "once-only"} {
		traffic.Name, traffic.Idempotency = idempotency, Idempotency(idempotency)
		s.Traffic = append(s.Traffic, traffic)
	}
	for i, kind := range FaultKinds() {
		s.Faults = append(s.Faults, Fault{At: float64(1 + i), Kind: kind, Host: 1, Node: 2, Zone: 3, Count: 4, Duration: 5.5, Amount: 0.75})
	}
	return s
}

// Guards against a key of scripts that is renamed, lost or no longer read: a scenario with every key has to have the text of
// the golden file, and has to be the same after it is read from it.
func TestGoldenScenario(t *testing.T) {
	want := goldenScenario()
	written, err := toml.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	checkGolden(t, "scenario.toml", written)
	got, err := ReadFile(filepath.Join("testdata", "scenario.toml"))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("read\n%+v\nwant\n%+v", got, want)
	}
	checkNoZero(t, "Scenario", reflect.ValueOf(got))
	if written, err = toml.Marshal(got); err != nil {
		t.Fatal(err)
	}
	checkGolden(t, "scenario.toml", written)
}

// Guards against changed defaults, which would change the meaning of existing scripts: an empty script has to have the values
// in the golden file.
func TestGoldenScenarioDefaults(t *testing.T) {
	s, err := Read("scenario.toml", nil)
	if err != nil {
		t.Fatal(err)
	}
	written, err := toml.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	checkGolden(t, "scenario-defaults.toml", written)
}

// Guards against a kind of fault that is renamed, so that scripts with it are rejected. A kind that is added or removed also
// changes the faults that a seed generates.
func TestGoldenFaultKinds(t *testing.T) {
	want := []FaultKind{"crash", "dial_late", "drain", "drop", "errs", "grow", "hand", "leave", "node_kill", "node_restart", "release",
		"roster_down", "roster_late", "roster_move", "roster_reset", "roster_silent", "roster_slow", "shrink", "slow", "stall", "store_slow",
		"upgrade", "vanish", "zone_loss"}
	if got := FaultKinds(); !slices.Equal(got, want) {
		t.Errorf("%v, want %v", got, want)
	}
}

// Guards against changes that make the committed scripts in docs/scenarios invalid or change the values read from them.
func TestGoldenScenariosInDocs(t *testing.T) {
	for _, name := range []string{"drawn", "lists", "overlap"} {
		t.Run(name, func(t *testing.T) {
			s, err := ReadFile(filepath.Join("../../docs/scenarios", name+".toml"))
			if err != nil {
				t.Fatal(err)
			}
			written, err := toml.Marshal(s)
			if err != nil {
				t.Fatal(err)
			}
			checkGolden(t, "docs-"+name+".toml", written)
		})
	}
}

// Guards against changes of the settings document that the emulator passes to its nodes, with which the simulated nodes would
// run with other settings than before.
func TestGoldenNodeSettings(t *testing.T) {
	s := &simulation{script: goldenScenario()}
	checkGolden(t, "settings.json", s.nodeSettings())
}
