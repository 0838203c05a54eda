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

// maxFleetSeeds bounds --seeds: each run takes tens of seconds.
const maxFleetSeeds = 10000

// fleetOptions are the flags of the fleet command.
type fleetOptions struct {
	from, seeds uint64
	out         string // directory for what is kept; none where empty
	program     string // path of the built node; built from this checkout where empty
	control     string // the same of the control server
	quiet       bool
}

// fleetCommand returns the command that runs a script with processes of the built program.
func fleetCommand() *cobra.Command {
	var o fleetOptions
	c := &cobra.Command{Use: "fleet SCRIPT", Args: cobra.ExactArgs(1),
		Short: "Start several nodes with stand-ins for hosts, discovery and clients, and break what lies between them",
		Long: "Starts processes of the built program on loopback addresses of their own, with stand-ins for hosts, discovery\n" +
			"and clients, brings the script's faults about and judges what was seen. Ends with 0 where all held, 1 where\n" +
			"something broke, 2 where the script or the machine is at fault.",
		RunE: func(cmd *cobra.Command, args []string) error { return runFleets(cmd, args[0], o) }}
	c.Flags().Uint64Var(&o.from, "seed", 1, "all chance of the rig comes from it")
	c.Flags().Uint64Var(&o.seeds, "seeds", 1, "how many seeds, from that one on")
	c.Flags().StringVar(&o.out, "out", "", "keep history, result, timeline and the nodes' directories here")
	c.Flags().StringVar(&o.program, "node", "", "the built node; built from this checkout where it is missing")
	c.Flags().StringVar(&o.control, "control", "", "the built control server; built from this checkout where it is missing")
	c.Flags().BoolVar(&o.quiet, "quiet", false, "say only how it ended")
	return c
}

// runFleets runs a script with each seed and reports the results. It returns brokenRules where a rule was broken.
func runFleets(cmd *cobra.Command, path string, o fleetOptions) error {
	script, err := rig.ReadFile(path)
	if err != nil {
		return err
	}
	if o.seeds < 1 || o.seeds > maxFleetSeeds {
		return fmt.Errorf("--seeds is %d, and goes from 1 to %d", o.seeds, maxFleetSeeds)
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
	broken := 0
	var results []*rig.Result
	for seed := o.from; seed < o.from+o.seeds; seed++ {
		result, err := runFleet(cmd, script, seed, scratch, o)
		if err != nil {
			return err
		}
		report(cmd.OutOrStdout(), result, o.seeds == 1)
		broken += len(result.Violations)
		result.Events = nil // of many seeds they would fill the memory
		results = append(results, result)
	}
	if o.seeds > 1 {
		summary(cmd.OutOrStdout(), results)
	}
	if broken > 0 {
		return brokenRules(broken)
	}
	return nil
}

// runFleet runs a script with one seed and keeps what the options ask for.
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
	return result, keep(o.out, result)
}

// build builds a program of this checkout into a directory and returns its path.
func build(cmd *cobra.Command, dir, name string) (string, error) {
	mod, err := exec.Command("go", "env", "GOMOD").Output()
	root := filepath.Dir(strings.TrimSpace(string(mod)))
	if err != nil || root == "." || root == "/dev" {
		return "", errors.New("no checkout to build the programs from: name them with --node and --control")
	}
	program := filepath.Join(dir, name)
	b := exec.CommandContext(cmd.Context(), "go", "build", "-o", program, "./cmd/"+name)
	b.Dir, b.Stderr = root, cmd.ErrOrStderr()
	if err := b.Run(); err != nil {
		return "", fmt.Errorf("%s does not build: %w", name, err)
	}
	return program, nil
}

// keep writes the result and the timeline of a run into a directory; an empty name keeps nothing.
func keep(out string, r *rig.Result) error {
	if out == "" {
		return nil
	}
	short := *r
	short.Events = nil
	text, err := json.MarshalIndent(short, "", "  ")
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

// quantity is a row of the summary: what was measured, and the values of all runs in seconds.
type quantity struct {
	name   string
	values []float64
}

// summary prints a table over the runs of several seeds: counts, and the median and 99th percentile of times.
func summary(w io.Writer, played []*rig.Result) {
	var calls, faults, broken int
	changes := map[string]int{}
	var met, agreed, first, last, inForce []float64
	for _, r := range played {
		calls, faults, broken = calls+r.Requests, faults+r.FaultCount(), broken+len(r.Violations)
		for outcome, count := range r.Changes {
			changes[outcome] += count
		}
		met, inForce = append(met, r.JoinTime), append(inForce, r.InForceTimes...)
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
	fmt.Fprintf(t, "seeds\t%d\ncalls\t%d\nfaults\t%d\nbroken\t%d\n", len(played), calls, faults, broken)
	writeCounts(t, "changes answered", changes)
	for _, q := range []quantity{
		{"met", met},
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

// report prints the violations of a run and its last line, with a table before them where whole is true.
func report(w io.Writer, r *rig.Result, whole bool) {
	if whole {
		reportTable(w, r)
	}
	for _, b := range r.Violations {
		fmt.Fprintln(w, "broken:", b)
	}
	fmt.Fprintln(w, r.Summary())
}

// writeCounts prints a row for each answer with its count.
func writeCounts(w io.Writer, title string, counts map[string]int) {
	for _, answer := range slices.Sorted(maps.Keys(counts)) {
		fmt.Fprintf(w, "%s %s\t%d\n", title, answer, counts[answer])
	}
}

// reportTable prints the table of a run.
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
