package main

import (
	"context"
	"errors"
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

// Bounds of the sizes of fleets.
const (
	leastMembers = 3
	mostMembers  = 2000
)

// idleSeconds is the virtual time for which a fleet without faults is measured.
const idleSeconds = 60

// membersOptions are the flags of the members command.
type membersOptions struct {
	nodes   []int // sizes of the fleets
	seeds   int   // fleets of each size
	fleet   members.Options
	stalls  members.Stalls
	seconds float64 // virtual duration of each measurement
	settle  float64 // periods between the start of a fleet and its measurement; members.SettlePeriods where it is 0
	idle    bool    // measure fleets without faults
	charts  string  // directory for charts; none where empty
	table   tableFile
}

// membersCommand returns the command that measures fleets of the membership core on the virtual clock.
func membersCommand() *cobra.Command {
	var o membersOptions
	c := &cobra.Command{Use: "members", Short: "Measure detection, false deaths and load of the membership core (simulated)",
		Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, args []string) error { return runMembers(cmd, o) }}
	c.Flags().IntSliceVar(&o.nodes, "nodes", []int{30, 300}, "sizes of the fleets")
	c.Flags().StringVar(&o.charts, "charts", "", "draw a chart of each size into this directory")
	c.Flags().BoolVar(&o.idle, "rest", false, "measure fleets at rest instead: CPU, memory, messages; one row a seed")
	o.table.flags(c)
	c.Flags().IntVar(&o.seeds, "seeds", 20, "fleets of each size")
	c.Flags().Float64Var(&o.fleet.Loss, "loss", 0, "part of the messages that is lost")
	c.Flags().Float64Var(&o.stalls.Fraction, "stalls", 0.1, "part of the nodes that stalls")
	c.Flags().Float64Var(&o.stalls.Duration, "for", 2, "for so many seconds; the period is one")
	c.Flags().Float64Var(&o.stalls.Interval, "every", 15, "so often, in seconds")
	c.Flags().Float64Var(&o.settle, "settle", 0, "periods from the start to the measures; by default some 30 for each power of ten of nodes")
	c.Flags().Float64Var(&o.seconds, "seconds", 120, "so long")
	return c
}

// check returns an error where a flag is out of its range.
func (o membersOptions) check() error {
	s := o.stalls
	if o.seeds < 1 || o.fleet.Loss < 0 || o.fleet.Loss >= 1 || s.Fraction < 0 || s.Fraction > 1 || o.seconds <= 0 || o.settle < 0 ||
		s.Duration <= 0 || s.Interval <= s.Duration {
		return errors.New("--seeds from 1 on, --loss and --stalls under 1, --settle from 0 on, --for shorter than --every")
	}
	for _, n := range o.nodes {
		if n < leastMembers || n > mostMembers {
			return fmt.Errorf("--nodes is %d, and goes from %d to %d", n, leastMembers, mostMembers)
		}
	}
	return nil
}

// runMembers measures fleets of each size, with Lifeguard's parts and without, and writes a table of them.
func runMembers(cmd *cobra.Command, o membersOptions) error {
	if err := o.check(); err != nil {
		return err
	}
	t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	defer t.Flush()
	table := o.table.begin(o.seeds)
	if o.idle {
		if err := measureIdle(cmd.Context(), t, table, o); err != nil {
			return err
		}
		return o.table.end(table)
	}
	fmt.Fprintln(t, "core\tnodes\tseeds\tfirst suspects, median\t99th\tfirst knows\tlast knows\t99th\tknown by\t"+
		"false suspicions an hour\tfalse deaths an hour\tbytes a member and second")
	for _, size := range o.nodes {
		o.fleet.Nodes = size
		if err := measureSize(cmd.Context(), t, table, o); err != nil {
			return err
		}
	}
	return o.table.end(table)
}

// measureSize measures fleets of one size, writes a row for each core and draws a chart where the options ask for it. The
// table takes the core as built; where it is to be kept, the other core is not measured.
func measureSize(ctx context.Context, w io.Writer, table *figures.Table, o membersOptions) error {
	var cores []members.Variant
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
		cores = append(cores, members.Variant{Name: coreName(o.fleet), Measurements: found})
	}
	if o.charts == "" {
		return nil
	}
	text, err := members.Chart(o.fleet.Nodes, cores...)
	if err != nil {
		return err
	}
	return lab.WriteFile(filepath.Join(o.charts, fmt.Sprintf("members-%d.svg", o.fleet.Nodes)), text)
}

// measureIdle measures fleets without faults, one after the other, and writes a row for each.
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

// measure measures a fleet for each seed, in parallel. When the context ends, it finishes the fleets in progress only.
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

// coreName names the core that the options measure.
func coreName(o members.Options) string {
	if o.WithoutLifeguard {
		return "plain SWIM"
	}
	return "as built"
}

// writeRow writes the medians and means of the fleets of one size and core.
func writeRow(w io.Writer, o members.Options, found []members.Measurement) {
	of := func(get func(members.Measurement) float64) (out []float64) {
		for _, m := range found {
			out = append(out, get(m))
		}
		return out
	}
	mean := func(get func(members.Measurement) float64) (sum float64) {
		for _, x := range of(get) {
			sum += x / float64(len(found))
		}
		return sum
	}
	suspected := of(func(m members.Measurement) float64 { return m.FirstSuspicion })
	first := of(func(m members.Measurement) float64 { return m.FirstDeath })
	last := of(func(m members.Measurement) float64 { return m.LastDeath })
	fmt.Fprintf(w, "%s\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.3f\t%.0f\t%.0f\t%.0f\n", coreName(o), o.Nodes, len(found),
		members.Quantile(suspected, 0.5), members.Quantile(suspected, 0.99), members.Quantile(first, 0.5),
		members.Quantile(last, 0.5), members.Quantile(last, 0.99),
		mean(func(m members.Measurement) float64 { return m.KnownFraction }),
		mean(func(m members.Measurement) float64 { return m.FalseSuspicions }),
		mean(func(m members.Measurement) float64 { return m.FalseDeaths }),
		mean(func(m members.Measurement) float64 { return m.IdleBytes }))
}
