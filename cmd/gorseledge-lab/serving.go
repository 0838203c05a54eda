package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"gorseledge/internal/serving"
)

// servingCommand measures the serving side of one real node.
func servingCommand() *cobra.Command {
	var o serving.Options
	var out, machine string
	c := &cobra.Command{Use: "serving", Args: cobra.NoArgs,
		Short: "Measure what one real node spends on connections, flows, deliveries and bursts, step by step (on loopback)",
		Long: "Starts the built program with stand-ins for clients and hosts on loopback addresses, measures its process alone and\n" +
			"writes serving.csv (docs/capacity/README.md). Takes some five minutes and up to 8 GB.",
		RunE: func(cmd *cobra.Command, args []string) error {
			if out == "" {
				return errors.New("--out is missing: the directory for serving.csv")
			}
			if err := o.Validate(); err != nil {
				return err
			}
			scratch, err := os.MkdirTemp("", "gorseledge-lab")
			if err != nil {
				return err
			}
			defer os.RemoveAll(scratch)
			o.Dir = scratch
			if o.Program == "" {
				if o.Program, err = build(cmd, scratch, "gorseledge"); err != nil {
					return err
				}
			}
			if err := os.MkdirAll(out, 0o755); err != nil {
				return err
			}
			keep := tableFile{path: filepath.Join(out, "serving.csv"), machine: machine}
			table, began := keep.begin(o.Repeats), time.Now()
			o.Progress = func(line string) {
				fmt.Fprintf(cmd.ErrOrStderr(), "%5.0f s  %s\n", time.Since(began).Seconds(), line)
			}
			if err := serving.Measure(cmd.Context(), o, table); err != nil {
				return err
			}
			return keep.end(table)
		}}
	f := c.Flags()
	f.StringVar(&out, "out", "", "directory for serving.csv")
	f.StringVar(&machine, "machine", "what else ran on it was not noted", "what the table says of the machine")
	f.StringVar(&o.Program, "node", "", "the built node; built from this checkout where it is missing")
	f.IntVar(&o.Cores, "cores", 1, "processors that the node may use at once")
	f.IntVar(&o.Repeats, "repeats", 3, "of all steps, each at nodes of its own")
	f.DurationVar(&o.Window, "window", 5*time.Second, "of a measure at rest or at a rate")
	f.DurationVar(&o.Stall, "stall", 500*time.Millisecond, "of the machine; a measure with a longer one is taken again")
	f.IntVar(&o.LineBytes, "line", 100, "bytes of a delivered line, with its end")
	f.IntSliceVar(&o.Connections, "connections", []int{1000, 2000, 4000, 8000, 16000}, "connections held; what does not fit is as many as fit")
	f.IntSliceVar(&o.Flows, "flows", []int{250, 500, 1000, 2000}, "flows that come and go")
	f.IntVar(&o.Carriers, "carriers", 1000, "connections that the deliveries go to in turn")
	f.IntSliceVar(&o.Rates, "rates", []int{1000, 3000, 6000, 12000}, "deliveries a second")
	f.IntSliceVar(&o.Listeners, "listeners", []int{60, 120, 240, 477, 954}, "clients of a burst")
	f.IntVar(&o.Bursts, "bursts", 200, "of each number of listeners")
	f.IntVar(&o.Loaded, "loaded", 477, "clients of the bursts that come beside other deliveries")
	f.IntVar(&o.Load, "load", 11400, "deliveries a second beside them")
	return c
}
