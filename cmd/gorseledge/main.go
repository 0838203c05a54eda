// Command gorseledge is one node of the load balancer: it places long-lived connections of clients on hosts. It reads
// its config file, runs package sockets until the graceful shutdown is complete, and can check a config without a start.
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

// The program's exit codes.
const (
	exitGood    = 0
	exitFailed  = 1 // the node could not start or go on
	exitRefused = 2 // the settings or the command line cannot be taken
)

// configVariable names the config file where no flag does.
const configVariable = "LB_CONFIG"

const longHelp = `Starts one node by its config, a JSON file named by --config or LB_CONFIG. To see a whole fleet at work on this
machine, from a checkout: go run ./cmd/gorseledge-lab fleet docs/scenarios/processes-calm.toml`

func main() {
	if len(os.Args) == 1 { // as a platform starts it
		os.Exit(run(os.Getenv(configVariable)))
	}
	code := exitGood
	if err := rootCommand(&code).Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "gorseledge:", err)
		os.Exit(exitRefused)
	}
	os.Exit(code)
}

// rootCommand is the command line: it starts a node, or checks its files. It sets code to the program's exit code; its
// error is a command line that cannot be taken.
func rootCommand(code *int) *cobra.Command {
	var path string
	version := sockets.Version()
	if version == "" {
		version = "unknown"
	}
	root := &cobra.Command{
		Use:           "gorseledge",
		Short:         "One node of a balancer for long-lived connections",
		Long:          longHelp,
		Args:          cobra.NoArgs,
		Version:       version,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			if path == "" {
				return errors.New("no config: name one with --config or LB_CONFIG")
			}
			*code = run(path)
			return nil
		},
	}
	root.Flags().StringVar(&path, "config", os.Getenv(configVariable), "the node's config")
	root.AddCommand(checkCommand(code))
	return root
}

// checkCommand checks a node's files. It sets code to the exit code of a start that fails.
func checkCommand(code *int) *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a config and the fleet file that it names, and start nothing",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := sockets.Check(args[0]); err != nil {
				*code = exitCode(err)
				fmt.Fprintln(cmd.ErrOrStderr(), "gorseledge:", err)
				return nil
			}
			fmt.Fprintln(cmd.OutOrStdout(), "good")
			return nil
		},
	}
}

// exitCode gives the program's exit code after an error at a start or later.
func exitCode(err error) int {
	var refused *settings.KeyError
	if errors.As(err, &refused) {
		return exitRefused
	}
	return exitFailed
}

// run runs a node and gives the program's exit code.
func run(path string) int {
	// Before all else: a signal that nothing waits for ends the program.
	shutdown, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(shutdown, syscall.SIGTERM, os.Interrupt)
	signal.Notify(reload, syscall.SIGHUP)
	out := logwriter.New(os.Stderr)
	defer out.Close()
	log := zerolog.New(out).With().Timestamp().Logger()
	config, err := sockets.ReadConfig(path)
	if err != nil {
		log.Error().Err(err).Msg("not started")
		return exitFailed
	}
	log = log.With().Str("node", config.Name).Logger()
	runtime.GOMAXPROCS(max(int(math.Ceil(config.Limits.Cores)), 1))
	signals := sockets.Signals{Shutdown: shutdown, Reload: reload}
	if err := sockets.Run(context.Background(), config, log, signals); err != nil {
		log.Error().Err(err).Msg("failed")
		return exitCode(err)
	}
	log.Info().Msg("shutdown complete")
	return exitGood
}
