// Command gorseledge-lab runs experiments: fleets on the emulator's virtual clock, fleets of the membership core, and fleets of
// real processes under faults. Figures of the virtual clock are simulated.
//
// It exits with 0 where all held, 1 where a rule was broken, and 2 where it could not run.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"github.com/spf13/cobra"

	"gorseledge/internal/emulator"
	"gorseledge/internal/lab"
)

const (
	exitBroken = 1 // a rule was broken
	exitFailed = 2 // the command could not run
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := rootCommand().ExecuteContext(ctx)
	stop()
	var broken brokenRules
	var different differs
	switch {
	case errors.As(err, &broken), errors.As(err, &different):
		fmt.Fprintln(os.Stderr, "gorseledge-lab:", err)
		os.Exit(exitBroken)
	case err != nil:
		fmt.Fprintln(os.Stderr, "gorseledge-lab:", err)
		os.Exit(exitFailed)
	}
}

// brokenRules is the error of a run in which rules were broken; its value is the number of times.
type brokenRules int

func (b brokenRules) Error() string { return fmt.Sprintf("rules broken: %d times", int(b)) }

// rootCommand returns the command with all subcommands.
func rootCommand() *cobra.Command {
	top := &cobra.Command{Use: "gorseledge-lab", Short: "Plays fleets on a virtual clock and keeps what came of it (simulated)",
		SilenceUsage: true, SilenceErrors: true}
	top.AddCommand(emulateCommand(), sweepCommand(), compareCommand(), fleetCommand(), membersCommand(), costCommand(),
		servingCommand(), capacityCommand(), scaleCommand(), hollowCommand())
	return top
}

// emulateCommand returns the command that runs a script once on the emulator.
func emulateCommand() *cobra.Command {
	var seed uint64
	var permute, trace bool
	c := &cobra.Command{Use: "emulate SCRIPT", Short: "Play a script once and print its figures", Args: cobra.ExactArgs(1),
		Long: "Plays the script under one seed. The same seed gives the same trace, byte by byte. Ends with 1 if a rule was broken.",
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := emulator.ReadFile(args[0])
			if err != nil {
				return err
			}
			o := emulator.Options{Permute: permute}
			if trace {
				o.Trace = cmd.OutOrStdout()
			}
			r := emulator.Run(s, seed, o)
			fmt.Fprintf(cmd.OutOrStdout(), "%s\ntrace %016x\n", lab.CSV([]*emulator.Result{r}), r.TraceHash)
			return reportBroken(cmd, r)
		}}
	c.Flags().Uint64Var(&seed, "seed", 1, "all chance comes from it")
	c.Flags().BoolVar(&permute, "permute", false, "draw the order of events of one instant from the seed")
	c.Flags().BoolVar(&trace, "trace", false, "print the trace")
	return c
}

// reportBroken prints the first violation of each result with its seed and the steps before it. It returns brokenRules
// where there are any.
func reportBroken(cmd *cobra.Command, results ...*emulator.Result) error {
	n := 0
	for _, r := range results {
		for i, b := range r.Violations {
			if n++; i == 0 {
				fmt.Fprintf(cmd.ErrOrStderr(), "seed %d: %v\n", r.Seed, b)
				for _, line := range b.RecentTrace {
					fmt.Fprintln(cmd.ErrOrStderr(), "   ", line)
				}
			}
		}
	}
	if n > 0 {
		return brokenRules(n)
	}
	return nil
}

// sweepCommand returns the command that runs a script with many seeds on the emulator.
func sweepCommand() *cobra.Command {
	var from, count uint64
	var atOnce int
	var out string
	var permute bool
	c := &cobra.Command{Use: "sweep SCRIPT", Short: "Play a script under many seeds, in parallel", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := emulator.ReadFile(args[0])
			if err != nil {
				return err
			}
			if count < 1 || count > 1e6 {
				return fmt.Errorf("--seeds is %d, and goes from 1 to 1000000", count)
			}
			seeds := make([]uint64, count)
			for i := range seeds {
				seeds[i] = from + uint64(i)
			}
			results, err := lab.Sweep(cmd.Context(), s, seeds, atOnce, emulator.Options{Permute: permute})
			if err != nil {
				return err
			}
			if out != "" {
				if err := lab.WriteFile(out, lab.CSV(results)); err != nil {
					return err
				}
			}
			cmd.OutOrStdout().Write(lab.Markdown(results))
			return reportBroken(cmd, results...)
		}}
	c.Flags().Uint64Var(&from, "from", 1, "first seed")
	c.Flags().Uint64Var(&count, "seeds", 20, "how many seeds")
	c.Flags().IntVar(&atOnce, "at-once", runtime.NumCPU(), "plays side by side")
	c.Flags().StringVar(&out, "out", "", "keep a table of all plays here (CSV)")
	c.Flags().BoolVar(&permute, "permute", false, "draw the order of events of one instant from the seed")
	return c
}

// compareCommand returns the command that compares two tables of results.
func compareCommand() *cobra.Command {
	return &cobra.Command{Use: "compare BEFORE AFTER", Short: "Compare two tables of the same seeds", Args: cobra.ExactArgs(2),
		Long: "A difference is claimed only where it is over twice the error of the differences, seed by seed.",
		RunE: func(cmd *cobra.Command, args []string) error {
			before, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			after, err := os.ReadFile(args[1])
			if err != nil {
				return err
			}
			text, err := lab.Compare(before, after)
			if err == nil {
				fmt.Fprint(cmd.OutOrStdout(), text)
			}
			return err
		}}
}
