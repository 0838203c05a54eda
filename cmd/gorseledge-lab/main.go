// Command gorseledge-lab runs experiments with fleets on the emulator's virtual clock, with fleets of the membership core, and
// with fleets of real processes in which it injects faults. Figures from the virtual clock are simulated.
//
// It exits with 0 if all rules held, 1 if a rule was violated or a checked file is outdated, and 2 if it could not run.
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
	exitViolations = 1 // a rule was violated or a checked file is outdated
	exitError      = 2 // the command could not run
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := rootCommand().ExecuteContext(ctx)
	stop()
	var violations violationCount
	var outdated outdatedFiles
	switch {
	case errors.As(err, &violations), errors.As(err, &outdated):
		fmt.Fprintln(os.Stderr, "gorseledge-lab:", err)
		os.Exit(exitViolations)
	case err != nil:
		fmt.Fprintln(os.Stderr, "gorseledge-lab:", err)
		os.Exit(exitError)
	}
}

// violationCount is the error of runs in which rules were violated; its value is the number of violations.
type violationCount int

func (v violationCount) Error() string { return fmt.Sprintf("%d rule violations", int(v)) }

// rootCommand returns the command with all subcommands.
func rootCommand() *cobra.Command {
	top := &cobra.Command{Use: "gorseledge-lab",
		Short:        "Run experiments with fleets, simulated on a virtual clock or as real processes",
		SilenceUsage: true, SilenceErrors: true}
	top.AddCommand(emulateCommand(), sweepCommand(), compareCommand(), fleetCommand(), membersCommand(), costCommand(),
		servingCommand(), capacityCommand(), scaleCommand(), hollowCommand())
	return top
}

// emulateCommand returns the command that runs a script once on the emulator.
func emulateCommand() *cobra.Command {
	var seed uint64
	var permute, trace bool
	c := &cobra.Command{Use: "emulate SCRIPT", Args: cobra.ExactArgs(1),
		Short: "Run a script once on a virtual clock and print its figures (simulated)",
		Long: "Runs the script with one seed. The same seed produces the same trace, byte for byte.\n" +
			"Exits with 1 if a rule was violated.",
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
			return reportViolations(cmd, r)
		}}
	c.Flags().Uint64Var(&seed, "seed", 1, "seed of all random choices")
	c.Flags().BoolVar(&permute, "permute", false, "process simultaneous events in an order chosen at random by the seed")
	c.Flags().BoolVar(&trace, "trace", false, "print the trace")
	return c
}

// reportViolations prints the first violation of each result with its seed and the trace lines before it. It returns a
// violationCount if there are violations.
func reportViolations(cmd *cobra.Command, results ...*emulator.Result) error {
	n := 0
	for _, r := range results {
		for i, violation := range r.Violations {
			if n++; i == 0 {
				fmt.Fprintf(cmd.ErrOrStderr(), "seed %d: %v\n", r.Seed, violation)
				for _, line := range violation.RecentTrace {
					fmt.Fprintln(cmd.ErrOrStderr(), "   ", line)
				}
			}
		}
	}
	if n > 0 {
		return violationCount(n)
	}
	return nil
}

// sweepCommand returns the command that runs a script with many seeds on the emulator.
func sweepCommand() *cobra.Command {
	var from, count uint64
	var atOnce int
	var out string
	var permute bool
	c := &cobra.Command{Use: "sweep SCRIPT", Args: cobra.ExactArgs(1),
		Short: "Run a script with many seeds in parallel on a virtual clock (simulated)",
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := emulator.ReadFile(args[0])
			if err != nil {
				return err
			}
			if count < 1 || count > 1e6 {
				return fmt.Errorf("--seeds must be between 1 and 1000000, got %d", count)
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
			return reportViolations(cmd, results...)
		}}
	c.Flags().Uint64Var(&from, "from", 1, "first seed")
	c.Flags().Uint64Var(&count, "seeds", 20, "number of consecutive seeds, beginning with --from")
	c.Flags().IntVar(&atOnce, "at-once", runtime.NumCPU(), "number of runs in parallel")
	c.Flags().StringVar(&out, "out", "", "file for a table of all runs (CSV)")
	c.Flags().BoolVar(&permute, "permute", false, "process simultaneous events in an order chosen at random by the seed")
	return c
}

// compareCommand returns the command that compares two tables of results.
func compareCommand() *cobra.Command {
	return &cobra.Command{Use: "compare BEFORE AFTER", Args: cobra.ExactArgs(2),
		Short: "Compare two tables of results with the same seeds",
		Long:  "Compares the results seed by seed. A difference counts only if it exceeds twice the standard error of the differences.",
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
