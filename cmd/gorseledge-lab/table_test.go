package main

import (
	"slices"
	"testing"
)

// The command that a table names can be given again anywhere: where its figures went, and where the checkout lay, is not
// part of it.
func TestCommandOfATableNamesNoPlace(t *testing.T) {
	for _, c := range []struct{ given, want []string }{
		{[]string{"members", "--rest", "--csv", "/tmp/a.csv", "--nodes", "50"}, []string{"members", "--rest", "--nodes", "50"}},
		{[]string{"members", "--csv=/tmp/a.csv", "--machine=busy", "--seeds=2"}, []string{"members", "--seeds=2"}},
		{[]string{"serving", "--out", "/tmp/x", "--node", "/opt/bin/gorseledge"}, []string{"serving", "--node", "gorseledge"}},
		{[]string{"serving", "--out"}, []string{"serving"}},
	} {
		if got := withoutPlace(c.given); !slices.Equal(got, c.want) {
			t.Errorf("%v: %v, want %v", c.given, got, c.want)
		}
	}
}
