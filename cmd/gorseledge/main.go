// Command gorseledge is one real node: it places long-lived connections of clients on hosts.
package main

import (
	"context"
	"errors"
	"fmt"
	"math"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"github.com/rs/zerolog"
	"github.com/spf13/cobra"

	"gorseledge/internal/logwriter"
	"gorseledge/internal/settings"
	"gorseledge/internal/sockets"
)

func main() {
	if len(os.Args) == 1 { // as a platform starts it
		os.Exit(run(os.Getenv("LB_CONFIG")))
	}
	code := 0
	if err := root(&code).Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "gorseledge:", err)
		os.Exit(2)
	}
	os.Exit(code)
}

// root is the command line: how a node is started by hand, and how its files are checked.
func root(code *int) *cobra.Command {
	var path string
	version := sockets.Version()
	if version == "" {
		version = "unknown"
	}
	top := &cobra.Command{Use: "gorseledge", Short: "One node of a balancer for long-lived connections", Args: cobra.NoArgs,
		Long: "Starts one node by its config, a JSON file named by --config or LB_CONFIG. To see a whole fleet at work on this\n" +
			"machine, from a checkout: go run ./cmd/gorseledge-lab fleet docs/scenarios/processes-calm.toml",
		Version: version, SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, args []string) error {
			if path == "" {
				return fmt.Errorf("no config: name one with --config or LB_CONFIG")
			}
			*code = run(path)
			return nil
		}}
	top.Flags().StringVar(&path, "config", os.Getenv("LB_CONFIG"), "the node's config")
	top.AddCommand(&cobra.Command{Use: "check FILE", Short: "Check a config and the fleet file that it names, and start nothing",
		Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
			if err := sockets.Check(args[0]); err != nil {
				*code = exitOf(err)
				fmt.Fprintln(cmd.ErrOrStderr(), "gorseledge:", err)
				return nil
			}
			fmt.Fprintln(cmd.OutOrStdout(), "good")
			return nil
		}})
	return top
}

// exitOf gives the exit code of a program that could not start or go on: 2 for settings that cannot be taken.
func exitOf(err error) int {
	if wrong := (*settings.KeyError)(nil); errors.As(err, &wrong) {
		return 2
	}
	return 1
}

func run(path string) int {
	// Before all else: a signal that nothing waits for ends the program.
	leave, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(leave, syscall.SIGTERM, os.Interrupt)
	signal.Notify(reload, syscall.SIGHUP)
	// Guards against a slow reader of the log holding the node up: lines are dropped first.
	out := logwriter.New(os.Stderr)
	defer out.Close()
	log := zerolog.New(out).With().Timestamp().Logger()
	config, err := sockets.ReadConfig(path)
	if err != nil {
		log.Error().Err(err).Msg("not started")
		return 1
	}
	log = log.With().Str("node", config.Name).Logger()
	runtime.GOMAXPROCS(max(int(math.Ceil(config.Limits.Cores)), 1))
	asked := sockets.Signals{Shutdown: leave, Reload: reload}
	if err := sockets.Run(context.Background(), config, log, asked); err != nil {
		log.Error().Err(err).Msg("failed")
		return exitOf(err)
	}
	log.Info().Msg("left")
	return 0
}
