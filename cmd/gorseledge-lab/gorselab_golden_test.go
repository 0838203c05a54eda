package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"github.com/spf13/pflag"

	"gorseledge/internal/emulator/members"
	"gorseledge/internal/rig"
)

// The files under testdata were written by the deployed version 5fa7498. They are never regenerated, because operators' scripts
// call the commands and parse the tables: a golden test that fails means that a name or the format of the output has changed.

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

// A renamed subcommand or flag, or a flag of another type, would break operators' scripts. The golden file lists all of them,
// without the name of the program.
func TestGoldenCommands(t *testing.T) {
	var out bytes.Buffer
	var write func(c *cobra.Command, names []string)
	write = func(c *cobra.Command, names []string) {
		for _, sub := range c.Commands() {
			path := append(names, sub.Name())
			fmt.Fprintln(&out, strings.Join(path, " "))
			sub.LocalNonPersistentFlags().VisitAll(func(f *pflag.Flag) {
				fmt.Fprintf(&out, "\t--%s %s\n", f.Name, f.Value.Type())
			})
			write(sub, path)
		}
	}
	write(rootCommand(), nil)
	checkGolden(t, "commands.txt", out.Bytes())
}

// Operators' scripts distinguish rule violations from runs that failed by the exit code.
func TestGoldenExitCodes(t *testing.T) {
	if exitViolations != 1 || exitError != 2 {
		t.Errorf("exit codes are %d and %d, want 1 and 2", exitViolations, exitError)
	}
}

func goldenResult(seed uint64) *rig.Result {
	times := float64(seed)
	return &rig.Result{Seed: seed, Nodes: 9, Faults: []rig.Fault{{Kind: "stop"}}, ControlFaults: []rig.ControlFault{{Kind: "cut"}},
		Events: []rig.Event{{Kind: "member", State: "suspect"}, {Kind: "member", State: "dead"}, {Kind: "member", State: "left"},
			{Kind: "flow", State: "dead"}},
		Violations: []rig.Violation{{Rule: "a rule", At: 1.5, Text: "was broken"}}, Requests: 20, Answers: map[string]int{"up": 18, "busy": 2},
		JoinTime: 2.5 * times, AgreementTime: 3.5 * times, Changes: map[string]int{"accepted": 4, "answer lost": 1}, InForceTimes: []float64{0.25, 0.5 * times},
		Deaths: []rig.Death{{Node: 1, First: 4.5, Last: 5.5 * times, Known: 8}}}
}

// Operators' scripts parse the output of the fleet command for one run and for several.
func TestGoldenReports(t *testing.T) {
	var one, several bytes.Buffer
	writeReport(&one, goldenResult(1), true)
	checkGolden(t, "fleet.txt", one.Bytes())
	writeSummary(&several, []*rig.Result{goldenResult(1), goldenResult(2), goldenResult(3)})
	checkGolden(t, "fleets.txt", several.Bytes())
}

// Operators' scripts parse the rows of the members command.
func TestGoldenMembersRow(t *testing.T) {
	found := []members.Measurement{{Seed: 1, FirstSuspicion: 1.5, FirstDeath: 2.5, LastDeath: 3.5, KnownFraction: 0.5, FalseSuspicions: 8, FalseDeaths: 9, IdleBytes: 100},
		{Seed: 2, FirstSuspicion: 2.5, FirstDeath: 3.5, LastDeath: 4.5, KnownFraction: 1, FalseSuspicions: 10, FalseDeaths: 11, IdleBytes: 200}}
	var out bytes.Buffer
	for _, plain := range []bool{false, true} {
		writeRow(&out, members.Options{Nodes: 50, WithoutLifeguard: plain}, found)
	}
	checkGolden(t, "members.txt", out.Bytes())
}
