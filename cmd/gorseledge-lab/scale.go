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

// scaleFlags are the flags of the scale command.
type scaleFlags struct {
	seed      uint64
	out       string
	program   string
	control   string
	otherLoad string // what else ran on the machine
	only      []int
	quiet     bool
}

// scaleCommand returns the command that measures the cost of a fleet's control side at several sizes.
func scaleCommand() *cobra.Command {
	var f scaleFlags
	c := &cobra.Command{Use: "scale SCRIPT", Args: cobra.ExactArgs(1),
		Short: "Measure the cost of a fleet's control side with real and hollow nodes",
		Long: "For each size of the script, starts a fleet of real node processes and hollow nodes, and measures and compares both\n" +
			"at rest and during the events of the script. Exits with 0 if all bounds held, 1 if a bound was exceeded, and 2 if\n" +
			"the run failed because of the script or the machine. docs/scale.md explains the results.",
		RunE: func(cmd *cobra.Command, args []string) error { return runScale(cmd, args[0], f) }}
	c.Flags().Uint64Var(&f.seed, "seed", 1, "seed of all random choices of the run")
	c.Flags().StringVar(&f.out, "out", "", "directory for the table (CSV), charts (SVG) and the real nodes' directories")
	c.Flags().StringVar(&f.program, "node", "", "path of the node program; built from this checkout by default")
	c.Flags().StringVar(&f.control, "control", "", "path of the control server program; built from this checkout by default")
	c.Flags().IntSliceVar(&f.only, "only", nil, "sizes of the script to measure; all by default")
	c.Flags().StringVar(&f.otherLoad, "beside", "", "other load on the machine, for the provenance in the table")
	c.Flags().BoolVar(&f.quiet, "quiet", false, "print only the results, no progress")
	c.AddCommand(scaleCharts())
	return c
}

// runScale measures each selected size and writes the results. It returns a violationCount if a bound was exceeded.
func runScale(cmd *cobra.Command, path string, f scaleFlags) error {
	script, err := scale.ReadFile(path)
	if err != nil {
		return err
	}
	sizes, err := selectSizes(script, f.only)
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

// scaleOptions returns the options of a run. It builds the programs for which the flags have no path.
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
	out        string // directory for the table and the charts; empty to store none
	provenance figures.Provenance
	rows       []scale.Row
	last       scale.Result // result of the size that was measured last
	violations int          // number of exceeded bounds
	events     int          // number of events of the script
}

// measure runs one size and writes the table with all rows so far. If the size fails, it still writes the rows that it
// returned, with a comment that states the error.
func (r *scaleRun) measure(cmd *cobra.Command, size int) error {
	result, err := scale.Run(cmd.Context(), r.script, size, r.options)
	if result == nil {
		return err
	}
	r.last = *result
	r.rows = append(r.rows, result.Rows...)
	r.events += result.Events
	r.violations += len(result.Violations)
	header := provenanceLines(r.provenance)
	if err != nil {
		header = append(header, fmt.Sprintf("unfinished: %d nodes: %v", size, err))
	}
	if err := errors.Join(err, storeTable(r.out, header, r.rows)); err != nil {
		return err
	}
	for _, violation := range result.Violations {
		fmt.Fprintf(cmd.OutOrStdout(), "broken: %d nodes: %s\n", result.Size, violation)
	}
	return nil
}

// report prints the table and the summary line. It returns a violationCount if a bound was exceeded.
func (r *scaleRun) report(cmd *cobra.Command) error {
	if err := scale.WriteTable(cmd.OutOrStdout(), r.rows); err != nil {
		return err
	}
	fmt.Fprintf(cmd.OutOrStdout(), "SCALE: %d nodes (%d real, %d hollow), %d events, broken %d\n", r.last.Size, r.last.Real,
		r.last.Size-r.last.Real, r.events, r.violations)
	if r.violations > 0 {
		return violationCount(r.violations)
	}
	return nil
}

// selectSizes returns the script's sizes that are listed in only, or all if only is empty.
func selectSizes(s *scale.Script, only []int) ([]int, error) {
	if len(only) == 0 {
		return s.Sizes, nil
	}
	for _, size := range only {
		if !slices.Contains(s.Sizes, size) {
			return nil, fmt.Errorf("--only must be a size of the script, got %d", size)
		}
	}
	return only, nil
}

// provenance returns the provenance of a run that starts now in the current checkout.
func provenance(s *scale.Script, f scaleFlags) figures.Provenance {
	command := fmt.Sprintf("gorseledge-lab scale %s --seed %d, with %d real nodes and a period of %g s", s.Name, f.seed, s.Real, s.Period)
	otherLoad := f.otherLoad
	if otherLoad == "" {
		otherLoad = "not noted"
	}
	return figures.NewProvenance(command, fmt.Sprintf("%s; beside it: %s", runtime.Version(), otherLoad), 1)
}

// provenanceLines returns the comment lines of a table, with one key per line as in other tables of figures.
func provenanceLines(p figures.Provenance) []string {
	load, _ := os.ReadFile("/proc/loadavg")
	machine := fmt.Sprintf("%s; load at the end %s", p.Machine, strings.TrimSpace(string(load)))
	return []string{"command: " + p.Command, "revision: " + p.Revision, "date: " + p.Date, fmt.Sprint("cores: ", p.Cores),
		"machine: " + machine, fmt.Sprint("repeats: ", p.Repeats)}
}

// storeTable writes the table with its provenance lines to the directory out, and charts of the costs that were measured at
// several sizes. It does nothing if out is empty.
func storeTable(out string, provenance []string, rows []scale.Row) error {
	if out == "" {
		return nil
	}
	if err := lab.WriteFile(filepath.Join(out, "scale.csv"), scale.CSV(provenance, rows)); err != nil {
		return err
	}
	return writeCharts(out, rows)
}

// writeCharts writes a chart of each main cost of each phase that was measured at several sizes.
func writeCharts(out string, rows []scale.Row) error {
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

// chartedCost reports whether a cost has a chart. Costs of single kinds of messages are in the table only.
func chartedCost(cost string) bool {
	_, kind, byKind := strings.Cut(cost, ".")
	return !byKind || kind == "all"
}

// scaleCharts returns the command that merges the tables of several runs.
func scaleCharts() *cobra.Command {
	var out string
	c := &cobra.Command{Use: "charts CSV...", Args: cobra.MinimumNArgs(1),
		Short: "Merge tables of several scale runs and draw their charts",
		RunE: func(cmd *cobra.Command, paths []string) error {
			var provenance []string
			var rows []scale.Row
			for _, path := range paths {
				in, err := os.Open(path)
				if err != nil {
					return err
				}
				lines, more, err := scale.ReadCSV(in)
				in.Close()
				if err != nil {
					return fmt.Errorf("%s: %w", path, err)
				}
				provenance, rows = append(provenance, lines...), append(rows, more...)
			}
			if err := os.MkdirAll(out, 0o755); err != nil {
				return err
			}
			if err := storeTable(out, provenance, rows); err != nil {
				return err
			}
			return scale.WriteTable(cmd.OutOrStdout(), rows)
		}}
	c.Flags().StringVar(&out, "out", ".", "directory for the table and the charts")
	return c
}
