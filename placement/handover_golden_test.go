package placement

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"
)

// testdata/handover.json is what a balancer of revision 5fa7498 leaves to its successor, as it crosses to a process of
// another version. It is fixed for good: there is no flag that rewrites it. Each figure has to come back under its own
// name from a balancer that has taken it.
func TestInheritedStateIsHandedOnUnchanged(t *testing.T) {
	text, err := os.ReadFile("testdata/handover.json")
	if err != nil {
		t.Fatal(err)
	}
	want := bytes.TrimSuffix(text, []byte("\n"))
	decoder := json.NewDecoder(bytes.NewReader(want))
	decoder.DisallowUnknownFields()
	var state HandoverState
	if err := decoder.Decode(&state); err != nil {
		t.Fatal(err)
	}
	for i, server := range state.Servers {
		for field := range reflect.TypeFor[ServerState]().NumField() {
			if reflect.ValueOf(server).Field(field).IsZero() {
				t.Errorf("server %d has no %s", i, reflect.TypeFor[ServerState]().Field(field).Name)
			}
		}
	}
	b := New(Settings{Seed: 1, Nodes: 2, ServiceTypes: make([]ServiceType, 2)})
	b.Restore(state)
	got, err := json.Marshal(b.HandoverState())
	if err != nil || !bytes.Equal(got, want) {
		t.Errorf("%v, handed on:\n%s\nwant:\n%s", err, got, want)
	}
}

// A balancer that knows nothing hands on a fresh server as one without a ceiling, which is written as 0.
func TestFreshStateKeepsItsForm(t *testing.T) {
	b := New(Settings{Seed: 1, Nodes: 2, ServiceTypes: make([]ServiceType, 2)})
	b.UpdateEndpoints(1, ListFull, []Endpoint{{Server: 0, ID: 101, State: Ready}})
	text, err := json.Marshal(b.HandoverState())
	const want = `{"Servers":[{"Ceiling":0,"CutAt":-99,"ToldAt":-99,"DrainAt":0,"Load":0,"JamAt":-99,"FullAt":-99,"Bad":0,` +
		`"Good":0,"Hold":1,"ProbeAt":0,"Least":0,"Aside":false,"ByHand":false,"HandAt":0,"Wanted":0,"Answers":0,"Round":0}],` +
		`"Typical":[0,0],"Loads":{},"Gate":0,"GateAt":-99,"Least":0,"Strain":0.5}`
	if err != nil || string(text) != want {
		t.Errorf("%v, %s\nwant %s", err, text, want)
	}
}
