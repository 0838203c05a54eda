package rig

import (
	"strings"
	"testing"
)

// A timeline without the changes of members' states would hide why a rule was violated.
func TestTimelineShowsStatesOfMembers(t *testing.T) {
	r := &Result{Nodes: 3, Events: []Event{{At: 1, Kind: "fault", Fault: &Fault{Kind: "stop", Nodes: []int{1}}},
		{At: 2, Kind: "over", Fault: &Fault{Kind: "stop", Nodes: []int{1}}},
		{At: 3, Kind: "member", Node: 0, Member: "n1", State: "suspect"}}}
	text, err := Timeline(r)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(text), "<svg") || !strings.Contains(string(text), "suspect") {
		t.Errorf("got a timeline that begins with %.200q, want an SVG chart that contains the state suspect", text)
	}
}
