package main

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"runtime"
	"text/tabwriter"

	"github.com/spf13/cobra"
	"golang.org/x/sync/errgroup"

	"gorseledge/internal/emulator/members"
	"gorseledge/internal/figures"
	"gorseledge/internal/lab"
)

// Limits of the number of nodes in a fleet.
const (
	minMembers = 3
	maxMembers = 2000
)

// idleSeconds is the virtual time, in seconds, for which a fleet without faults is measured.
const idleSeconds = 60

// membersOptions are the flags of the members command.
type membersOptions struct {
	nodes   []int // sizes of the fleets
	seeds   int   // number of fleets of each size, with the seeds from 1
	fleet   members.Options
	stalls  members.Stalls
	seconds float64 // virtual time for which fleets with stalls are measured
	settle  float64 // periods between the start of a fleet and its measurement; 0 for members.SettlePeriods
	idle    bool    // whether to measure fleets without faults instead
	charts  string  // directory for charts; empty to draw none
	table   tableFile
}

// membersCommand returns the command that measures fleets of the membership core on the virtual clock.
func membersCommand() *cobra.Command {
	var o membersOptions
	c := &cobra.Command{Use: "members", Short: "Measure failure detection, false deaths and load of the membership core (simulated)",
		Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, args []string) error { return runMembers(cmd, o) }}
	c.Flags().IntSliceVar(&o.nodes, "nodes", []int{30, 300}, "sizes of the fleets")
	c.Flags().StringVar(&o.charts, "charts", "", "directory for a chart of each size")
	c.Flags().BoolVar(&o.idle, "rest", false, "measure fleets without faults instead: CPU, memory and messages, one row per seed")
	o.table.addFlags(c)
	c.Flags().IntVar(&o.seeds, "seeds", 20, "number of fleets of each size")
	c.Flags().Float64Var(&o.fleet.Loss, "loss", 0, "fraction of the messages that are lost")
	c.Flags().Float64Var(&o.stalls.Fraction, "stalls", 0.1, "fraction of the nodes that stall")
	c.Flags().Float64Var(&o.stalls.Duration, "for", 2, "duration of a stall in seconds; the protocol period is 1 s")
	c.Flags().Float64Var(&o.stalls.Interval, "every", 15, "time between the starts of two stalls of a node, in seconds")
	c.Flags().Float64Var(&o.settle, "settle", 0, "periods between start and measurement; 0 for about 30 per power of ten of nodes")
	c.Flags().Float64Var(&o.seconds, "seconds", 120, "virtual time for which fleets with stalls are measured, in seconds")
	return c
}

// check returns an error if a flag is out of its range.
func (o membersOptions) check() error {
	s := o.stalls
	if o.seeds < 1 || o.fleet.Loss < 0 || o.fleet.Loss >= 1 || s.Fraction < 0 || s.Fraction > 1 || o.seconds <= 0 || o.settle < 0 ||
		s.Duration <= 0 || s.Interval <= s.Duration {
		return fmt.Errorf("--seeds must be at least 1, --loss at least 0 and below 1, --stalls between 0 and 1, --settle at least 0, "+
			"--seconds and --for above 0 and --every above --for; got %d, %g, %g, %g, %g, %g and %g",
			o.seeds, o.fleet.Loss, s.Fraction, o.settle, o.seconds, s.Duration, s.Interval)
	}
	for _, n := range o.nodes {
		if n < minMembers || n > maxMembers {
			return fmt.Errorf("--nodes must be between %d and %d, got %d", minMembers, maxMembers, n)
		}
	}
	return nil
}

// runMembers measures fleets of each size, with and without the Lifeguard extensions, and prints a table. With o.idle, it
// measures fleets without faults instead.
func runMembers(cmd *cobra.Command, o membersOptions) error {
	if err := o.check(); err != nil {
		return err
	}
	t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	defer t.Flush()
	table := o.table.newTable(o.seeds)
	if o.idle {
		if err := measureIdle(cmd.Context(), t, table, o); err != nil {
			return err
		}
		return o.table.write(table)
	}
	fmt.Fprintln(t, "core\tnodes\tseeds\tfirst suspicion, median\t99th\tdeath known to the first, median\tto the last, median\t"+
		"99th\tknown by\tfalse suspicions an hour\tfalse deaths an hour\tbytes a member and second")
	for _, size := range o.nodes {
		o.fleet.Nodes = size
		if err := measureSize(cmd.Context(), t, table, o); err != nil {
			return err
		}
	}
	return o.table.write(table)
}

// measureSize measures fleets of one size, prints a row for each variant of the membership core and draws a chart if the
// options name a directory. The file of the table contains figures of the core as built only, so the other variant is not
// measured if there is such a file.
func measureSize(ctx context.Context, w io.Writer, table *figures.Table, o membersOptions) error {
	var variants []members.Variant
	for _, plain := range []bool{false, true} {
		if o.fleet.WithoutLifeguard = plain; plain && o.table.path != "" {
			continue
		}
		found, err := measure(ctx, o)
		if err != nil {
			return err
		}
		writeRow(w, o.fleet, found)
		for _, m := range found {
			table.Rows = append(table.Rows, m.Figures(o.fleet.Nodes)...)
		}
		variants = append(variants, members.Variant{Name: coreName(o.fleet), Measurements: found})
	}
	if o.charts == "" {
		return nil
	}
	text, err := members.Chart(o.fleet.Nodes, variants...)
	if err != nil {
		return err
	}
	return lab.WriteFile(filepath.Join(o.charts, fmt.Sprintf("members-%d.svg", o.fleet.Nodes)), text)
}

// measureIdle measures fleets without faults, one after the other, and prints a row for each.
func measureIdle(ctx context.Context, w io.Writer, table *figures.Table, o membersOptions) error {
	fmt.Fprintln(w, "members\tCPU a member and second, us\tmemory a member, kB\tmessages a second\tbytes a second")
	for _, size := range o.nodes {
		for seed := 1; seed <= o.seeds; seed++ {
			if err := ctx.Err(); err != nil {
				return err
			}
			o.fleet.Nodes, o.fleet.Seed = size, uint64(seed)
			r := members.MeasureIdle(o.fleet, idleSeconds)
			fmt.Fprintf(w, "%d\t%.0f\t%.0f\t%.2f\t%.0f\n", size, 1e6*r.CPU, r.Memory/1e3, r.Messages, r.Bytes)
			table.Rows = append(table.Rows, r.Figures(seed, size)...)
		}
	}
	return nil
}

// measure measures a fleet for each seed, in parallel. After the end of the context it finishes the fleets in progress, but
// starts no others.
func measure(ctx context.Context, o membersOptions) ([]members.Measurement, error) {
	settle := o.settle
	if settle == 0 {
		settle = members.SettlePeriods(o.fleet.Nodes)
	}
	found := make([]members.Measurement, o.seeds)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(runtime.NumCPU())
	for i := range found {
		group.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			one := o.fleet
			one.Seed = uint64(i + 1)
			found[i] = members.MeasureDetection(one, o.stalls, settle, o.seconds)
			return nil
		})
	}
	return found, group.Wait()
}

// coreName returns the name of the variant of the membership core that the options select.
func coreName(o members.Options) string {
	if o.WithoutLifeguard {
		return "plain SWIM"
	}
	return "as built"
}

// writeRow prints a row with the medians, percentiles and means of the fleets of one size and variant.
func writeRow(w io.Writer, o members.Options, found []members.Measurement) {
	collect := func(get func(members.Measurement) float64) (out []float64) {
		for _, m := range found {
			out = append(out, get(m))
		}
		return out
	}
	mean := func(get func(members.Measurement) float64) (sum float64) {
		for _, x := range collect(get) {
			sum += x / float64(len(found))
		}
		return sum
	}
	suspected := collect(func(m members.Measurement) float64 { return m.FirstSuspicion })
	first := collect(func(m members.Measurement) float64 { return m.FirstDeath })
	last := collect(func(m members.Measurement) float64 { return m.LastDeath })
	fmt.Fprintf(w, "%s\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.3f\t%.0f\t%.0f\t%.0f\n", coreName(o), o.Nodes, len(found),
		members.Quantile(suspected, 0.5), members.Quantile(suspected, 0.99), members.Quantile(first, 0.5),
		members.Quantile(last, 0.5), members.Quantile(last, 0.99),
		mean(func(m members.Measurement) float64 { return m.KnownFraction }),
		mean(func(m members.Measurement) float64 { return m.FalseSuspicions }),
		mean(func(m members.Measurement) float64 { return m.FalseDeaths }),
		mean(func(m members.Measurement) float64 { return m.IdleBytes }))
}
