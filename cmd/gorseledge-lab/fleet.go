package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"gorseledge/internal/emulator/members"
	"gorseledge/internal/lab"
	"gorseledge/internal/rig"
)

// maxFleetSeeds is the upper limit of --seeds, because each run lasts tens of seconds.
const maxFleetSeeds = 10000

// fleetOptions are the flags of the fleet command.
type fleetOptions struct {
	firstSeed uint64
	seeds     uint64 // number of seeds
	out       string // directory for results; empty to store none
	program   string // path of the node program; if empty, it is built from this checkout
	control   string // path of the control server program; if empty, it is built from this checkout
	quiet     bool   // print no progress
}

// fleetCommand returns the command that runs a script with processes of the built program.
func fleetCommand() *cobra.Command {
	var o fleetOptions
	c := &cobra.Command{Use: "fleet SCRIPT", Args: cobra.ExactArgs(1),
		Short: "Run a script of faults on several nodes with stand-ins for hosts, discovery and clients",
		Long: "Starts node processes on separate loopback addresses, with stand-ins for hosts, discovery and clients, injects the\n" +
			"faults of the script and checks the observed events against its rules. Exits with 0 if all rules held, 1 if a\n" +
			"rule was violated, and 2 if the run failed because of the script or the machine.",
		RunE: func(cmd *cobra.Command, args []string) error { return runFleets(cmd, args[0], o) }}
	c.Flags().Uint64Var(&o.firstSeed, "seed", 1, "seed of all random choices of the rig")
	c.Flags().Uint64Var(&o.seeds, "seeds", 1, "number of consecutive seeds, beginning with --seed")
	c.Flags().StringVar(&o.out, "out", "", "directory for the histories, results, timelines and the nodes' directories")
	c.Flags().StringVar(&o.program, "node", "", "path of the node program; built from this checkout by default")
	c.Flags().StringVar(&o.control, "control", "", "path of the control server program; built from this checkout by default")
	c.Flags().BoolVar(&o.quiet, "quiet", false, "print only the results, no progress")
	return c
}

// runFleets runs a script with each seed and prints the results. It returns a violationCount if rules were violated.
func runFleets(cmd *cobra.Command, path string, o fleetOptions) error {
	script, err := rig.ReadFile(path)
	if err != nil {
		return err
	}
	if o.seeds < 1 || o.seeds > maxFleetSeeds {
		return fmt.Errorf("--seeds must be between 1 and %d, got %d", maxFleetSeeds, o.seeds)
	}
	scratch, err := os.MkdirTemp("", "gorseledge-lab")
	if err != nil {
		return err
	}
	defer os.RemoveAll(scratch)
	if o.program == "" {
		if o.program, err = build(cmd, scratch, "gorseledge"); err != nil {
			return err
		}
	}
	if o.control == "" && script.ControlServers > 0 {
		if o.control, err = build(cmd, scratch, "gorseledge-config"); err != nil {
			return err
		}
	}
	violations := 0
	var results []*rig.Result
	for seed := o.firstSeed; seed < o.firstSeed+o.seeds; seed++ {
		result, err := runFleet(cmd, script, seed, scratch, o)
		if err != nil {
			return err
		}
		writeReport(cmd.OutOrStdout(), result, o.seeds == 1)
		violations += len(result.Violations)
		result.Events = nil // the events of many seeds would use too much memory
		results = append(results, result)
	}
	if o.seeds > 1 {
		writeSummary(cmd.OutOrStdout(), results)
	}
	if violations > 0 {
		return violationCount(violations)
	}
	return nil
}

// runFleet runs a script with one seed and stores the result if the options name a directory.
func runFleet(cmd *cobra.Command, script *rig.Script, seed uint64, scratch string, o fleetOptions) (*rig.Result, error) {
	temporary := filepath.Join(scratch, fmt.Sprint(seed))
	defer os.RemoveAll(temporary)
	options := rig.Options{Program: o.program, Control: o.control, Seed: seed, Dir: temporary}
	if !o.quiet {
		options.Progress = func(line string) { fmt.Fprintln(cmd.ErrOrStderr(), line) }
	}
	if o.out != "" {
		if err := os.MkdirAll(o.out, 0o755); err != nil {
			return nil, err
		}
		options.Dir = filepath.Join(o.out, fmt.Sprintf("nodes-%d", seed))
		options.History = filepath.Join(o.out, fmt.Sprintf("history-%d.jsonl", seed))
	}
	result, err := rig.Run(cmd.Context(), script, options)
	if err != nil {
		return nil, err
	}
	return result, storeResult(o.out, result)
}

// build compiles a program of the current checkout into a directory and returns the program's path.
func build(cmd *cobra.Command, dir, name string) (string, error) {
	mod, err := exec.Command("go", "env", "GOMOD").Output()
	root := filepath.Dir(strings.TrimSpace(string(mod)))
	if err != nil || root == "." || root == "/dev" {
		return "", errors.New("building the programs: not in a checkout; pass their paths with --node and --control")
	}
	program := filepath.Join(dir, name)
	b := exec.CommandContext(cmd.Context(), "go", "build", "-o", program, "./cmd/"+name)
	b.Dir, b.Stderr = root, cmd.ErrOrStderr()
	if err := b.Run(); err != nil {
		return "", fmt.Errorf("building %s: %w", name, err)
	}
	return program, nil
}

// storeResult writes the result and the timeline of a run into the directory out. It does nothing if out is empty.
func storeResult(out string, r *rig.Result) error {
	if out == "" {
		return nil
	}
	withoutEvents := *r
	withoutEvents.Events = nil
	text, err := json.MarshalIndent(withoutEvents, "", "  ")
	if err != nil {
		return err
	}
	if err := lab.WriteFile(filepath.Join(out, fmt.Sprintf("result-%d.json", r.Seed)), append(text, '\n')); err != nil {
		return err
	}
	if text, err = rig.Timeline(r); err != nil {
		return err
	}
	return lab.WriteFile(filepath.Join(out, fmt.Sprintf("timeline-%d.svg", r.Seed)), text)
}

// distribution is a row of the summary: a measured time and its values in all runs, in seconds.
type distribution struct {
	name   string
	values []float64
}

// writeSummary prints a table for the runs of several seeds: counts, and the median and 99th percentile of times.
func writeSummary(w io.Writer, results []*rig.Result) {
	var calls, faults, violations int
	changes := map[string]int{}
	var joined, agreed, first, last, inForce []float64
	for _, r := range results {
		calls, faults, violations = calls+r.Requests, faults+r.FaultCount(), violations+len(r.Violations)
		for outcome, count := range r.Changes {
			changes[outcome] += count
		}
		joined, inForce = append(joined, r.JoinTime), append(inForce, r.InForceTimes...)
		if r.AgreementTime >= 0 {
			agreed = append(agreed, r.AgreementTime)
		}
		for _, d := range r.Deaths {
			if d.Known > 0 {
				first, last = append(first, d.First), append(last, d.Last)
			}
		}
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	defer t.Flush()
	fmt.Fprintf(t, "seeds\t%d\ncalls\t%d\nfaults\t%d\nbroken\t%d\n", len(results), calls, faults, violations)
	writeCounts(t, "changes answered", changes)
	for _, q := range []distribution{
		{"met", joined},
		{"agreed after the last fault", agreed},
		{"death known to the first", first},
		{"death known to the last", last},
		{"a change in force at the last node", inForce},
	} {
		if len(q.values) > 0 {
			fmt.Fprintf(t, "%s, median and 99th\t%.2f s\t%.2f s\t(%d)\n", q.name, members.Quantile(q.values, 0.5),
				members.Quantile(q.values, 0.99), len(q.values))
		}
	}
}

// writeReport prints the violations and the summary line of a run. If withTable is true, it prints the run's table first.
func writeReport(w io.Writer, r *rig.Result, withTable bool) {
	if withTable {
		reportTable(w, r)
	}
	for _, violation := range r.Violations {
		fmt.Fprintln(w, "broken:", violation)
	}
	fmt.Fprintln(w, r.Summary())
}

// writeCounts prints a row for each answer, in alphabetical order, with its count.
func writeCounts(w io.Writer, title string, counts map[string]int) {
	for _, answer := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(w, "%s %s\t%d\n", title, answer, counts[answer])
	}
}

// reportTable prints the table of one run.
func reportTable(w io.Writer, r *rig.Result) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "nodes\t%d\nmet after\t%.1f s\n", r.Nodes, r.JoinTime)
	if r.AgreementTime >= 0 {
		fmt.Fprintf(t, "agreed after the last fault\t%.1f s\n", r.AgreementTime)
	}
	if len(r.InForceTimes) > 0 {
		fmt.Fprintf(t, "a change in force at the last node, median and longest\t%.2f s\t%.2f s\t(%d)\n",
			members.Quantile(r.InForceTimes, 0.5), slices.Max(r.InForceTimes), len(r.InForceTimes))
	}
	writeCounts(t, "changes answered", r.Changes)
	writeCounts(t, "flows answered", r.Answers)
	states := map[string]int{}
	for _, e := range r.Events {
		if e.Kind == "member" {
			states[e.State]++
		}
	}
	for _, s := range []string{"suspect", "dead", "left"} {
		fmt.Fprintf(t, "times held for %s\t%d\n", s, states[s])
	}
	t.Flush()
}
