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

// runScale measures every chosen size and writes the results. It returns brokenRules if a bound was broken.
func runScale(cmd *cobra.Command, path string, f scaleFlags) error {
	script, err := scale.ReadFile(path)
	if err != nil {
		return err
	}
	sizes, err := chosenSizes(script, f.only)
	if err != nil {
		return err
	}
	scratch, err := os.MkdirTemp("", "gorseledge-lab")
	if err != nil {
		return err
	}
	defer os.RemoveAll(scratch)
	options, err := scaleOptions(cmd, script, f, scratch)
	if err != nil {
		return err
	}
	run := scaleRun{script: script, options: options, out: f.out, provenance: provenance(script, f)}
	for _, size := range sizes {
		if err := run.measure(cmd, size); err != nil {
			return err
		}
	}
	return run.report(cmd)
}

// scaleOptions returns the options of a run and builds the programs that the flags do not name.
func scaleOptions(cmd *cobra.Command, script *scale.Script, f scaleFlags, scratch string) (scale.Options, error) {
	program := f.program
	var err error
	if program == "" {
		program, err = build(cmd, scratch, "gorseledge")
		if err != nil {
			return scale.Options{}, err
		}
	}
	self, err := os.Executable()
	if err != nil {
		return scale.Options{}, err
	}
	control := f.control
	if control == "" && len(script.ControlServers) > 0 {
		control, err = build(cmd, scratch, "gorseledge-config")
		if err != nil {
			return scale.Options{}, err
		}
	}
	options := scale.Options{Program: program, Control: control, Hollow: []string{self, "hollow"}, Seed: f.seed, Dir: scratch}
	if !f.quiet {
		options.Progress = func(line string) { fmt.Fprintln(cmd.ErrOrStderr(), line) }
	}
	if f.out != "" {
		if err := os.MkdirAll(f.out, 0o755); err != nil {
			return scale.Options{}, err
		}
		options.Dir = filepath.Join(f.out, "nodes")
	}
	return options, nil
}

// scaleRun accumulates the results of a run over its sizes.
type scaleRun struct {
	script     *scale.Script
	options    scale.Options
	out        string // directory of the table and the charts; empty if they are not kept
	provenance figures.Provenance
	rows       []scale.Row
	last       scale.Result // the result of the latest size
	broken     int          // bounds that were broken
	events     int
}

// measure runs one size and writes the table so far, also if the size was left unfinished.
func (r *scaleRun) measure(cmd *cobra.Command, size int) error {
	result, err := scale.Run(cmd.Context(), r.script, size, r.options)
	if result == nil {
		return err
	}
	r.last = *result
	r.rows = append(r.rows, result.Rows...)
	r.events += result.Events
	r.broken += len(result.Violations)
	header := comments(r.provenance)
	if err != nil {
		header = append(header, fmt.Sprintf("unfinished: %d nodes: %v", size, err))
	}
	if err := errors.Join(err, keepScale(r.out, header, r.rows)); err != nil {
		return err
	}
	for _, broken := range result.Violations {
		fmt.Fprintf(cmd.OutOrStdout(), "broken: %d nodes: %s\n", result.Size, broken)
	}
	return nil
}

// report prints the table and the summary. It returns brokenRules if a bound was broken.
func (r *scaleRun) report(cmd *cobra.Command) error {
	if err := scale.WriteTable(cmd.OutOrStdout(), r.rows); err != nil {
		return err
	}
	fmt.Fprintf(cmd.OutOrStdout(), "SCALE: %d nodes (%d real, %d hollow), %d events, broken %d\n", r.last.Size, r.last.Real,
		r.last.Size-r.last.Real, r.events, r.broken)
	if r.broken > 0 {
		return brokenRules(r.broken)
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
	series := scale.GroupSeries(rows)
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
