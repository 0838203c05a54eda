package main

import (
	"errors"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"gorseledge/internal/rig"
)

// costCommand returns the command that measures the CPU time of node processes.
func costCommand() *cobra.Command {
	var rounds int
	var load rig.Load
	c := &cobra.Command{Use: "cost NODE...", Args: cobra.MinimumNArgs(1),
		Short: "Measure the CPU time of built nodes, in turn: a start, a flow, a line, an idle second",
		RunE: func(cmd *cobra.Command, programs []string) error {
			if rounds < 1 || load.Flows < 1 || load.Lines < 1 || load.Idle < time.Second {
				return errors.New("--rounds, --flows and --lines from 1 on, --idle from 1s on")
			}
			costs, err := rig.MeasureCosts(cmd.Context(), programs, rounds, load)
			if err != nil {
				return err
			}
			t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(t, "CPU time, us\ta start\tof the first\ta flow\tof the first\ta line\tof the first\t"+
				"an idle second")
			for i, c := range costs {
				first := costs[0]
				fmt.Fprintf(t, "%s\t%.0f\t%.2f\t%.1f\t%.2f\t%.2f\t%.2f\t%.0f\n", programs[i],
					c.Start, c.Start/first.Start, c.Flow, c.Flow/first.Flow, c.Line, c.Line/first.Line, c.Idle)
			}
			return t.Flush()
		}}
	c.Flags().IntVar(&rounds, "rounds", 5, "of each node, in turn; the median counts")
	c.Flags().IntVar(&load.Flows, "flows", 500, "flows of a round")
	c.Flags().IntVar(&load.Lines, "lines", 5000, "lines of a round, there and back")
	c.Flags().DurationVar(&load.Idle, "idle", 2*time.Second, "time without clients")
	return c
}
