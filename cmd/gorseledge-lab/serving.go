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

// servingCommand returns the command that measures the serving side of one real node.
func servingCommand() *cobra.Command {
	var o serving.Options
	var out, machine string
	c := &cobra.Command{Use: "serving", Args: cobra.NoArgs,
		Short: "Measure the resources that one real node uses for connections, flows, deliveries and bursts (on loopback)",
		Long: "Starts a node with stand-ins for clients and hosts on loopback addresses, measures only the node's process and\n" +
			"writes serving.csv (format: docs/capacity/README.md). Needs about five minutes and up to 8 GB of memory.",
		RunE: func(cmd *cobra.Command, args []string) error {
			if out == "" {
				return errors.New("--out is required: the directory for serving.csv")
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
			file := tableFile{path: filepath.Join(out, "serving.csv"), machine: machine}
			table, began := file.newTable(o.Repeats), time.Now()
			o.Progress = func(line string) {
				fmt.Fprintf(cmd.ErrOrStderr(), "%5.0f s  %s\n", time.Since(began).Seconds(), line)
			}
			if err := serving.Measure(cmd.Context(), o, table); err != nil {
				return err
			}
			return file.write(table)
		}}
	f := c.Flags()
	f.StringVar(&out, "out", "", "directory for serving.csv")
	f.StringVar(&machine, "machine", "what else ran on it was not noted",
		"description of the machine and its other load during the run, recorded in the table")
	f.StringVar(&o.Program, "node", "", "path of the node program; built from this checkout by default")
	f.IntVar(&o.Cores, "cores", 1, "number of CPU cores that the node may use at once")
	f.IntVar(&o.Repeats, "repeats", 3, "number of runs of all steps, each with new nodes")
	f.DurationVar(&o.Window, "window", 5*time.Second, "duration of a measurement at rest or at a rate")
	f.DurationVar(&o.Stall, "stall", 500*time.Millisecond, "repeat a measurement if the machine stalls for longer during it")
	f.IntVar(&o.LineBytes, "line", 100, "length of a delivered line in bytes, including its line end")
	f.IntSliceVar(&o.Connections, "connections", []int{1000, 2000, 4000, 8000, 16000},
		"numbers of idle connections, lowered to the descriptor limit")
	f.IntSliceVar(&o.Flows, "flows", []int{250, 500, 1000, 2000}, "numbers of flows that are opened and closed")
	f.IntVar(&o.Carriers, "carriers", 1000, "number of connections that receive the deliveries in turn")
	f.IntSliceVar(&o.Rates, "rates", []int{1000, 3000, 6000, 12000}, "rates in deliveries per second")
	f.IntSliceVar(&o.Listeners, "listeners", []int{60, 120, 240, 477, 954}, "numbers of clients that receive a burst")
	f.IntVar(&o.Bursts, "bursts", 200, "number of bursts for each number of listeners")
	f.IntVar(&o.Loaded, "loaded", 477, "number of clients that receive bursts during other deliveries")
	f.IntVar(&o.Load, "load", 11400, "deliveries per second during the bursts of --loaded")
	return c
}
