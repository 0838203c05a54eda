package main

import (
	"encoding/json"
	"fmt"
	"io"
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

// fleet plays a script with processes of the built program.
func fleet() *cobra.Command {
	var from, seeds uint64
	var out, program string
	var quiet bool
	c := &cobra.Command{Use: "fleet SCRIPT", Args: cobra.ExactArgs(1),
		Short: "Start several nodes with stand-ins for hosts, discovery and clients, and break what lies between them",
		Long: "Starts processes of the built program on loopback addresses of their own, with stand-ins for hosts, discovery\n" +
			"and clients, brings the script's faults about and judges what was seen. Ends with 0 where all held, 1 where\n" +
			"something broke, 2 where the script or the machine is at fault.",
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := rig.ReadFile(args[0])
			if err != nil {
				return err
			}
			if seeds < 1 || seeds > 10000 {
				return fmt.Errorf("--seeds is %d, and goes from 1 to 10000", seeds)
			}
			scratch, err := os.MkdirTemp("", "gorselab")
			if err != nil {
				return err
			}
			defer os.RemoveAll(scratch)
			if program == "" {
				if program, err = build(cmd, scratch); err != nil {
					return err
				}
			}
			say := func(line string) { fmt.Fprintln(cmd.ErrOrStderr(), line) }
			if quiet {
				say = nil
			}
			broken := 0
			var played []*rig.Result
			for seed := from; seed < from+seeds; seed++ {
				o := rig.Options{Program: program, Seed: seed, Dir: filepath.Join(scratch, fmt.Sprint(seed)), Progress: say}
				if out != "" {
					if err := os.MkdirAll(out, 0o755); err != nil {
						return err
					}
					o.Dir = filepath.Join(out, fmt.Sprintf("nodes-%d", seed))
					o.History = filepath.Join(out, fmt.Sprintf("history-%d.jsonl", seed))
				}
				r, err := rig.Play(cmd.Context(), s, o)
				if err != nil {
					return err
				}
				if err := keep(out, r); err != nil {
					return err
				}
				report(cmd, r, seeds == 1)
				broken += len(r.Breaks)
				r.Events = nil
				played = append(played, r)
				os.RemoveAll(filepath.Join(scratch, fmt.Sprint(seed)))
			}
			if seeds > 1 {
				summary(cmd.OutOrStdout(), played)
			}
			if broken > 0 {
				return brokenRules(broken)
			}
			return nil
		}}
	c.Flags().Uint64Var(&from, "seed", 1, "all chance of the rig comes from it")
	c.Flags().Uint64Var(&seeds, "seeds", 1, "how many seeds, from that one on")
	c.Flags().StringVar(&out, "out", "", "keep history, result, timeline and the nodes' directories here")
	c.Flags().StringVar(&program, "node", "", "the built node; built from this checkout where it is missing")
	c.Flags().BoolVar(&quiet, "quiet", false, "say only how it ended")
	return c
}

// build builds the node of this checkout.
func build(cmd *cobra.Command, dir string) (string, error) {
	return buildProgram(cmd, dir, "gorseledge")
}

// buildProgram builds a program of this checkout.
func buildProgram(cmd *cobra.Command, dir, name string) (string, error) {
	mod, err := exec.Command("go", "env", "GOMOD").Output()
	root := filepath.Dir(strings.TrimSpace(string(mod)))
	if err != nil || root == "." || root == "/dev" {
		return "", fmt.Errorf("no checkout to build %s from", name)
	}
	program := filepath.Join(dir, name)
	b := exec.CommandContext(cmd.Context(), "go", "build", "-o", program, "./cmd/"+name)
	b.Dir, b.Stderr = root, cmd.ErrOrStderr()
	if err := b.Run(); err != nil {
		return "", fmt.Errorf("%s does not build: %w", name, err)
	}
	return program, nil
}

// keep writes what came of a run.
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
	if err := lab.Keep(filepath.Join(out, fmt.Sprintf("result-%d.json", r.Seed)), append(text, '\n')); err != nil {
		return err
	}
	if text, err = rig.Timeline(r); err != nil {
		return err
	}
	return lab.Keep(filepath.Join(out, fmt.Sprintf("timeline-%d.svg", r.Seed)), text)
}

// summary prints what several seeds showed, as a row of a table.
func summary(w io.Writer, played []*rig.Result) {
	var calls, faults, broken int
	var met, agreed, first, last []float64
	for _, r := range played {
		calls, faults, broken = calls+r.Calls, faults+len(r.Faults), broken+len(r.Breaks)
		met = append(met, r.Met)
		if r.Agreed >= 0 {
			agreed = append(agreed, r.Agreed)
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
	for _, row := range []struct {
		what string
		of   []float64
	}{{"met", met}, {"agreed after the last fault", agreed}, {"death known to the first", first}, {"death known to the last", last}} {
		if len(row.of) > 0 {
			fmt.Fprintf(t, "%s, median and 99th\t%.2f s\t%.2f s\t(%d)\n", row.what, members.Quantile(row.of, 0.5),
				members.Quantile(row.of, 0.99), len(row.of))
		}
	}
}

// report prints the run's table and its last line.
func report(cmd *cobra.Command, r *rig.Result, whole bool) {
	w := cmd.OutOrStdout()
	if whole {
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintf(t, "nodes\t%d\nmet after\t%.1f s\n", r.Nodes, r.Met)
		if r.Agreed >= 0 {
			fmt.Fprintf(t, "agreed after the last fault\t%.1f s\n", r.Agreed)
		}
		var answers []string
		for a := range r.Answers {
			answers = append(answers, a)
		}
		slices.Sort(answers)
		for _, a := range answers {
			fmt.Fprintf(t, "flows answered %s\t%d\n", a, r.Answers[a])
		}
		states := map[string]int{}
		for _, e := range r.Events {
			if e.What == "member" {
				states[e.State]++
			}
		}
		for _, s := range []string{"suspect", "dead", "left"} {
			fmt.Fprintf(t, "times held for %s\t%d\n", s, states[s])
		}
		t.Flush()
	}
	for _, b := range r.Breaks {
		fmt.Fprintln(w, "broken:", b)
	}
	fmt.Fprintln(w, r.Summary())
}
