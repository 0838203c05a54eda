package main

import (
	"slices"
	"testing"
)

// A command line in a table's provenance must be repeatable on another machine, so it must not contain local paths.
func TestCommandInProvenanceHasNoPaths(t *testing.T) {
	for _, c := range []struct{ arguments, want []string }{
		{[]string{"members", "--rest", "--csv", "/tmp/a.csv", "--nodes", "50"}, []string{"members", "--rest", "--nodes", "50"}},
		{[]string{"members", "--csv=/tmp/a.csv", "--machine=busy", "--seeds=2"}, []string{"members", "--seeds=2"}},
		{[]string{"serving", "--out", "/tmp/x", "--node", "/opt/bin/gorseledge"}, []string{"serving", "--node", "gorseledge"}},
		{[]string{"serving", "--out"}, []string{"serving"}},
	} {
		if got := reproducibleArgs(c.arguments); !slices.Equal(got, c.want) {
			t.Errorf("reproducibleArgs(%v) returned %v, want %v", c.arguments, got, c.want)
		}
	}
}
