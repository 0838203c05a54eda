package main

import (
	"fmt"
	"runtime"
	"sync"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"gorseledge/internal/emulator/members"
)

// membersCommand measures fleets of the membership core on the virtual clock.
func membersCommand() *cobra.Command {
	var nodes []int
	var seeds int
	var o members.Options
	var s members.Stalls
	var seconds float64
	c := &cobra.Command{Use: "members", Short: "Measure detection, false deaths and load of the membership core (simulated)",
		Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, args []string) error {
			if seeds < 1 || o.Loss < 0 || o.Loss >= 1 || s.Part < 0 || s.Part > 1 || seconds <= 0 || s.For <= 0 || s.Every <= s.For {
				return fmt.Errorf("--seeds from 1 on, --loss and --stalls under 1, --for shorter than --every")
			}
			t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			defer t.Flush()
			fmt.Fprintln(t, "core\tnodes\tseeds\tfirst suspects, median\t99th\tfirst knows\tlast knows\t99th\tknown by\tfalse suspicions an hour\t"+
				"false deaths an hour\tbytes a member and second")
			for _, n := range nodes {
				if n < 3 || n > 2000 {
					return fmt.Errorf("--nodes is %d, and goes from 3 to 2000", n)
				}
				for _, plain := range []bool{false, true} {
					found := make([]members.Measure, seeds)
					var all sync.WaitGroup
					gate := make(chan bool, runtime.NumCPU())
					for i := range seeds {
						all.Go(func() {
							gate <- true
							defer func() { <-gate }()
							one := o
							one.Nodes, one.Seed, one.Plain = n, uint64(i+1), plain
							found[i] = members.Take(one, s, seconds)
						})
					}
					all.Wait()
					of := func(get func(members.Measure) float64) (out []float64) {
						for _, m := range found {
							out = append(out, get(m))
						}
						return out
					}
					mean := func(xs []float64) (sum float64) {
						for _, x := range xs {
							sum += x / float64(len(xs))
						}
						return sum
					}
					name := map[bool]string{false: "as built", true: "plain SWIM"}[plain]
					suspected := of(func(m members.Measure) float64 { return m.Suspected })
					last := of(func(m members.Measure) float64 { return m.Last })
					fmt.Fprintf(t, "%s\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.3f\t%.0f\t%.0f\t%.0f\n", name, n, seeds,
						members.Quantile(suspected, 0.5), members.Quantile(suspected, 0.99),
						members.Quantile(of(func(m members.Measure) float64 { return m.First }), 0.5), members.Quantile(last, 0.5),
						members.Quantile(last, 0.99), mean(of(func(m members.Measure) float64 { return m.Known })),
						mean(of(func(m members.Measure) float64 { return m.FalseSuspicions })),
						mean(of(func(m members.Measure) float64 { return m.FalseDeaths })),
						mean(of(func(m members.Measure) float64 { return m.Bytes })))
				}
			}
			return nil
		}}
	c.Flags().IntSliceVar(&nodes, "nodes", []int{30, 300}, "sizes of the fleets")
	c.Flags().IntVar(&seeds, "seeds", 20, "fleets of each size")
	c.Flags().Float64Var(&o.Loss, "loss", 0, "part of the messages that is lost")
	c.Flags().Float64Var(&s.Part, "stalls", 0.1, "part of the nodes that stalls")
	c.Flags().Float64Var(&s.For, "for", 2, "for so many seconds; the period is one")
	c.Flags().Float64Var(&s.Every, "every", 15, "so often, in seconds")
	c.Flags().Float64Var(&seconds, "seconds", 120, "so long")
	return c
}
