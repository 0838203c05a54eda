package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"gorseledge/internal/figures"
	"gorseledge/internal/lab"
	"gorseledge/internal/scale"
)

// scaleFlags are those of a scale run.
type scaleFlags struct {
	seed    uint64
	out     string
	program string
	control string
	beside  string
	only    []int
	quiet   bool
}

// scaleCommand measures what the control side of a fleet costs at several sizes.
func scaleCommand() *cobra.Command {
	var f scaleFlags
	c := &cobra.Command{Use: "scale SCRIPT", Args: cobra.ExactArgs(1),
		Short: "Measure what a fleet's control side costs, with hollow nodes beside real ones",
		Long: "Starts, for each size of the script, processes of the built program and hollow nodes beside them, measures both\n" +
			"at rest and while the script's events go on, and compares them. Ends with 0 where all held, 1 where a bound\n" +
			"broke, 2 where the script or the machine is at fault. docs/scale.md tells how to read it.",
		RunE: func(cmd *cobra.Command, args []string) error { return runScale(cmd, args[0], f) }}
	c.Flags().Uint64Var(&f.seed, "seed", 1, "all chance of the run comes from it")
	c.Flags().StringVar(&f.out, "out", "", "keep the table (CSV), charts (SVG) and the real nodes' directories here")
	c.Flags().StringVar(&f.program, "node", "", "the built node; built from this checkout where it is missing")
	c.Flags().StringVar(&f.control, "control", "", "the built control server; built from this checkout where it is missing")
	c.Flags().IntSliceVar(&f.only, "only", nil, "of the script's sizes, only these")
	c.Flags().StringVar(&f.beside, "beside", "", "what else ran on the machine, for the table's provenance")
	c.Flags().BoolVar(&f.quiet, "quiet", false, "say only how it ended")
	c.AddCommand(scaleCharts())
	return c
}

// runScale plays all sizes and keeps what they showed.
func runScale(cmd *cobra.Command, path string, f scaleFlags) error {
	s, err := scale.ReadFile(path)
	if err != nil {
		return err
	}
	sizes, err := chosenSizes(s, f.only)
	if err != nil {
		return err
	}
	scratch, err := os.MkdirTemp("", "gorseledge-lab")
	if err != nil {
		return err
	}
	defer os.RemoveAll(scratch)
	if f.program == "" {
		if f.program, err = build(cmd, scratch, "gorseledge"); err != nil {
			return err
		}
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	if f.control == "" && len(s.Control) > 0 {
		if f.control, err = build(cmd, scratch, "gorseledge-config"); err != nil {
			return err
		}
	}
	o := scale.Options{Program: f.program, Control: f.control, Hollow: []string{self, "hollow"}, Seed: f.seed, Dir: scratch}
	if !f.quiet {
		o.Progress = func(line string) { fmt.Fprintln(cmd.ErrOrStderr(), line) }
	}
	if f.out != "" {
		if err := os.MkdirAll(f.out, 0o755); err != nil {
			return err
		}
		o.Dir = filepath.Join(f.out, "nodes")
	}
	began := provenance(s, f)
	var rows []scale.Row
	var last scale.Result
	broken, events := 0, 0
	for _, size := range sizes {
		r, err := scale.Play(cmd.Context(), s, size, o)
		if r == nil {
			return err
		}
		last = *r
		rows, events, broken = append(rows, r.Rows...), events+r.Events, broken+len(r.Breaks)
		from := comments(began)
		if err != nil {
			from = append(from, fmt.Sprintf("unfinished: %d nodes: %v", size, err))
		}
		if err := errors.Join(err, keepScale(f.out, from, rows)); err != nil {
			return err
		}
		for _, b := range r.Breaks {
			fmt.Fprintf(cmd.OutOrStdout(), "broken: %d nodes: %s\n", r.Size, b)
		}
	}
	if err := scale.WriteTable(cmd.OutOrStdout(), rows); err != nil {
		return err
	}
	fmt.Fprintf(cmd.OutOrStdout(), "SCALE: %d nodes (%d real, %d hollow), %d events, broken %d\n", last.Size, last.Real,
		last.Size-last.Real, events, broken)
	if broken > 0 {
		return brokenRules(broken)
	}
	return nil
}

// chosenSizes gives the script's sizes that are asked for.
func chosenSizes(s *scale.Script, only []int) ([]int, error) {
	if len(only) == 0 {
		return s.Sizes, nil
	}
	for _, size := range only {
		if !slices.Contains(s.Sizes, size) {
			return nil, fmt.Errorf("--only is %d, which is no size of the script", size)
		}
	}
	return only, nil
}

// provenance is that of a run that begins now, in the checkout whose programs it builds.
func provenance(s *scale.Script, f scaleFlags) figures.Provenance {
	command := fmt.Sprintf("gorseledge-lab scale %s --seed %d, with %d real nodes and a period of %g s", s.Name, f.seed, s.Real, s.Period)
	beside := f.beside
	if beside == "" {
		beside = "not noted"
	}
	return figures.NewProvenance(command, fmt.Sprintf("%s; beside it: %s", runtime.Version(), beside), 1)
}

// comments are the lines before a table, one key a line as in other tables of figures.
func comments(p figures.Provenance) []string {
	load, _ := os.ReadFile("/proc/loadavg")
	machine := fmt.Sprintf("%s; load at the end %s", p.Machine, strings.TrimSpace(string(load)))
	return []string{"command: " + p.Command, "revision: " + p.Revision, "date: " + p.Date, fmt.Sprint("cores: ", p.Cores),
		"machine: " + machine, fmt.Sprint("repeats: ", p.Repeats)}
}

// keepScale writes the table, and a chart of each cost at which several sizes were measured.
func keepScale(out string, from []string, rows []scale.Row) error {
	if out == "" {
		return nil
	}
	if err := lab.WriteFile(filepath.Join(out, "scale.csv"), scale.CSV(from, rows)); err != nil {
		return err
	}
	return drawScale(out, rows)
}

// drawScale draws the main costs of each phase.
func drawScale(out string, rows []scale.Row) error {
	series := scale.SeriesOf(rows)
	drawn := map[string]bool{}
	for _, s := range series {
		name := fmt.Sprintf("scale-%s-%s.svg", s.Phase, strings.ReplaceAll(s.Cost, ".", "-"))
		if drawn[name] || len(s.Nodes) < 2 || !chartedCost(s.Cost) {
			continue
		}
		drawn[name] = true
		text, err := scale.Chart(s.Phase, s.Cost, series)
		if err != nil {
			return err
		}
		if err := lab.WriteFile(filepath.Join(out, name), text); err != nil {
			return err
		}
	}
	return nil
}

// chartedCost leaves out the costs by kind of message: they stand in the table.
func chartedCost(cost string) bool {
	_, kind, byKind := strings.Cut(cost, ".")
	return !byKind || kind == "all"
}

// scaleCharts puts tables of several runs together.
func scaleCharts() *cobra.Command {
	var out string
	c := &cobra.Command{Use: "charts CSV...", Args: cobra.MinimumNArgs(1), Short: "Put tables of scale runs together and draw their charts",
		RunE: func(cmd *cobra.Command, paths []string) error {
			var from []string
			var rows []scale.Row
			for _, path := range paths {
				in, err := os.Open(path)
				if err != nil {
					return err
				}
				of, more, err := scale.ReadCSV(in)
				in.Close()
				if err != nil {
					return fmt.Errorf("%s: %w", path, err)
				}
				from, rows = append(from, of...), append(rows, more...)
			}
			if err := os.MkdirAll(out, 0o755); err != nil {
				return err
			}
			if err := keepScale(out, from, rows); err != nil {
				return err
			}
			return scale.WriteTable(cmd.OutOrStdout(), rows)
		}}
	c.Flags().StringVar(&out, "out", ".", "where the table and the charts go")
	return c
}
