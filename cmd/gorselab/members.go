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

// membersCommand measures fleets of the membership core on the virtual clock.
func membersCommand() *cobra.Command {
	var nodes []int
	var seeds int
	var o members.Options
	var s members.Stalls
	var seconds float64
	var rest bool
	var charts string
	var keep tableFile
	c := &cobra.Command{Use: "members", Short: "Measure detection, false deaths and load of the membership core (simulated)",
		Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, args []string) error {
			if seeds < 1 || o.Loss < 0 || o.Loss >= 1 || s.Part < 0 || s.Part > 1 || seconds <= 0 || s.For <= 0 || s.Every <= s.For {
				return fmt.Errorf("--seeds from 1 on, --loss and --stalls under 1, --for shorter than --every")
			}
			for _, n := range nodes {
				if n < 3 || n > 2000 {
					return fmt.Errorf("--nodes is %d, and goes from 3 to 2000", n)
				}
			}
			t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			defer t.Flush()
			table := keep.begin(seeds)
			if rest {
				if err := idle(cmd.Context(), t, table, nodes, o, seeds); err != nil {
					return err
				}
				return keep.end(table)
			}
			fmt.Fprintln(t, "core\tnodes\tseeds\tfirst suspects, median\t99th\tfirst knows\tlast knows\t99th\tknown by\tfalse suspicions an hour\t"+
				"false deaths an hour\tbytes a member and second")
			for _, o.Nodes = range nodes {
				var cores []members.Core
				for _, o.Plain = range []bool{false, true} {
					if o.Plain && keep.path != "" {
						continue // a table is of the core as built
					}
					found, err := measure(cmd.Context(), o, s, seconds, seeds)
					if err != nil {
						return err
					}
					row(t, o, found)
					for _, m := range found {
						table.Rows = append(table.Rows, m.Figures(o.Nodes)...)
					}
					cores = append(cores, members.Core{Name: name(o), Measures: found})
				}
				if charts == "" {
					continue
				}
				text, err := members.Chart(o.Nodes, cores...)
				if err != nil {
					return err
				}
				if err := lab.Keep(filepath.Join(charts, fmt.Sprintf("members-%d.svg", o.Nodes)), text); err != nil {
					return err
				}
			}
			return keep.end(table)
		}}
	keep.flags(c)
	c.Flags().IntSliceVar(&nodes, "nodes", []int{30, 300}, "sizes of the fleets")
	c.Flags().StringVar(&charts, "charts", "", "draw a chart of each size into this directory")
	c.Flags().BoolVar(&rest, "rest", false, "measure fleets at rest instead: CPU, memory, messages; one row a seed")
	c.Flags().IntVar(&seeds, "seeds", 20, "fleets of each size")
	c.Flags().Float64Var(&o.Loss, "loss", 0, "part of the messages that is lost")
	c.Flags().Float64Var(&s.Part, "stalls", 0.1, "part of the nodes that stalls")
	c.Flags().Float64Var(&s.For, "for", 2, "for so many seconds; the period is one")
	c.Flags().Float64Var(&s.Every, "every", 15, "so often, in seconds")
	c.Flags().Float64Var(&seconds, "seconds", 120, "so long")
	return c
}

// idle measures fleets at rest, one after the other.
func idle(ctx context.Context, w io.Writer, table *figures.Table, nodes []int, o members.Options, seeds int) error {
	fmt.Fprintln(w, "members\tCPU a member and second, us\tmemory a member, kB\tmessages a second\tbytes a second")
	for _, o.Nodes = range nodes {
		for seed := 1; seed <= seeds; seed++ {
			if err := ctx.Err(); err != nil {
				return err
			}
			o.Seed = uint64(seed)
			r := members.Idle(o, 60)
			fmt.Fprintf(w, "%d\t%.0f\t%.0f\t%.2f\t%.0f\n", o.Nodes, 1e6*r.CPU, r.Memory/1e3, r.Messages, r.Bytes)
			table.Rows = append(table.Rows, r.Figures(seed, o.Nodes)...)
		}
	}
	return nil
}

// measure measures a fleet of each seed, in parallel. An interrupt ends it after those that are under way.
func measure(ctx context.Context, o members.Options, s members.Stalls, seconds float64, seeds int) ([]members.Measure, error) {
	found := make([]members.Measure, seeds)
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(runtime.NumCPU())
	for i := range found {
		group.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}
			one := o
			one.Seed = uint64(i + 1)
			found[i] = members.Take(one, s, seconds)
			return nil
		})
	}
	return found, group.Wait()
}

func name(o members.Options) string {
	if o.Plain {
		return "plain SWIM"
	}
	return "as built"
}

// row writes what a size and core showed.
func row(w io.Writer, o members.Options, found []members.Measure) {
	of := func(get func(members.Measure) float64) (out []float64) {
		for _, m := range found {
			out = append(out, get(m))
		}
		return out
	}
	mean := func(get func(members.Measure) float64) (sum float64) {
		for _, x := range of(get) {
			sum += x / float64(len(found))
		}
		return sum
	}
	suspected := of(func(m members.Measure) float64 { return m.Suspected })
	first := of(func(m members.Measure) float64 { return m.First })
	last := of(func(m members.Measure) float64 { return m.Last })
	fmt.Fprintf(w, "%s\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.3f\t%.0f\t%.0f\t%.0f\n", name(o), o.Nodes, len(found),
		members.Quantile(suspected, 0.5), members.Quantile(suspected, 0.99), members.Quantile(first, 0.5),
		members.Quantile(last, 0.5), members.Quantile(last, 0.99),
		mean(func(m members.Measure) float64 { return m.Known }),
		mean(func(m members.Measure) float64 { return m.FalseSuspicions }),
		mean(func(m members.Measure) float64 { return m.FalseDeaths }),
		mean(func(m members.Measure) float64 { return m.Bytes }))
}
