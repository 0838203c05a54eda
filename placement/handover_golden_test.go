package placement

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"
)

// A renamed or lost field would drop state silently when a process hands over to one of another version.
// testdata/handover.json is the state that a balancer of revision 5fa7498 hands over. The file must never change, and no
// flag rewrites it. A balancer that has restored this state must hand over each value under the same name.
func TestRestoredStateIsHandedOverUnchanged(t *testing.T) {
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
				t.Errorf("testdata/handover.json: server %d has no value for %s", i, reflect.TypeFor[ServerState]().Field(field).Name)
			}
		}
	}
	b := New(Settings{Seed: 1, Nodes: 2, ServiceTypes: make([]ServiceType, 2)})
	b.Restore(state)
	got, err := json.Marshal(b.HandoverState())
	if err != nil || !bytes.Equal(got, want) {
		t.Errorf("error %v, handed over:\n%s\nwant:\n%s", err, got, want)
	}
}

// JSON has no infinity, so encoding an infinite limit would fail. A new balancer hands over a server without a load
// threshold, and itself without a concurrency limit, as 0.
func TestNewBalancerHandsOverItsInitialState(t *testing.T) {
	b := New(Settings{Seed: 1, Nodes: 2, ServiceTypes: make([]ServiceType, 2)})
	b.UpdateEndpoints(1, ListFull, []Endpoint{{Server: 0, ID: 101, State: Ready}})
	text, err := json.Marshal(b.HandoverState())
	const want = `{"Servers":[{"Ceiling":0,"CutAt":-99,"ToldAt":-99,"DrainAt":0,"Load":0,"JamAt":-99,"FullAt":-99,"Bad":0,` +
		`"Good":0,"Hold":1,"ProbeAt":0,"Least":0,"Aside":false,"ByHand":false,"HandAt":0,"Wanted":0,"Answers":0,"Round":0}],` +
		`"Typical":[0,0],"Loads":{},"Gate":0,"GateAt":-99,"Least":0,"Strain":0.5}`
	if err != nil || string(text) != want {
		t.Errorf("error %v, handed over:\n%s\nwant:\n%s", err, text, want)
	}
}
