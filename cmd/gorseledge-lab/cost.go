package main

import (
	"errors"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"gorseledge/internal/rig"
)

// costCommand returns the command that measures and compares the CPU time of node programs.
func costCommand() *cobra.Command {
	var rounds int
	var load rig.Load
	c := &cobra.Command{Use: "cost NODE...", Args: cobra.MinimumNArgs(1),
		Short: "Measure the CPU time of node programs for a start, a flow, a line and an idle second",
		RunE: func(cmd *cobra.Command, programs []string) error {
			if rounds < 1 || load.Flows < 1 || load.Lines < 1 || load.Idle < time.Second {
				return errors.New("--rounds, --flows and --lines must be at least 1, and --idle at least 1s")
			}
			costs, err := rig.MeasureCosts(cmd.Context(), programs, rounds, load)
			if err != nil {
				return err
			}
			t := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(t, "CPU time, us\tstart\tratio to first\tflow\tratio to first\tline\tratio to first\t"+
				"idle second")
			for i, c := range costs {
				first := costs[0]
				fmt.Fprintf(t, "%s\t%.0f\t%.2f\t%.1f\t%.2f\t%.2f\t%.2f\t%.0f\n", programs[i],
					c.Start, c.Start/first.Start, c.Flow, c.Flow/first.Flow, c.Line, c.Line/first.Line, c.Idle)
			}
			return t.Flush()
		}}
	c.Flags().IntVar(&rounds, "rounds", 5, "rounds for each program, which take turns; the medians are printed")
	c.Flags().IntVar(&load.Flows, "flows", 500, "flows per round")
	c.Flags().IntVar(&load.Lines, "lines", 5000, "lines per round, each to the host and back")
	c.Flags().DurationVar(&load.Idle, "idle", 2*time.Second, "duration without clients per round")
	return c
}
