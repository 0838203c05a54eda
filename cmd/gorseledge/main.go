// Command gorseledge is one node of the load balancer: it places long-lived connections of clients on hosts. It reads
// its config file and runs package sockets until the graceful shutdown is complete. Its command check checks a config
// without starting a node.
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
	exitFailed  = 1 // the node could not start, or stopped with an error
	exitRefused = 2 // the settings or the command line are invalid
)

// configVariable is the environment variable that names the config file if no flag does.
const configVariable = "LB_CONFIG"

const longHelp = `Starts one node. Its config is the JSON file that --config or LB_CONFIG names. To run a whole fleet on this
machine, from a checkout: go run ./cmd/gorseledge-lab fleet docs/scenarios/processes-calm.toml`

func main() {
	if len(os.Args) == 1 { // platforms start a node without arguments
		os.Exit(run(os.Getenv(configVariable)))
	}
	code := exitGood
	if err := rootCommand(&code).Execute(); err != nil {
		fmt.Fprintln(os.Stderr, "gorseledge:", err)
		os.Exit(exitRefused)
	}
	os.Exit(code)
}

// rootCommand returns the command that starts a node, with its subcommand check. Running it sets code to the program's
// exit code; an error of the command means that the command line is invalid.
func rootCommand(code *int) *cobra.Command {
	var path string
	version := sockets.Version()
	if version == "" {
		version = "unknown"
	}
	root := &cobra.Command{
		Use:           "gorseledge",
		Short:         "One node of a load balancer for long-lived connections",
		Long:          longHelp,
		Args:          cobra.NoArgs,
		Version:       version,
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(*cobra.Command, []string) error {
			if path == "" {
				return errors.New("no config file: set --config or LB_CONFIG")
			}
			*code = run(path)
			return nil
		},
	}
	root.Flags().StringVar(&path, "config", os.Getenv(configVariable), "path of the node's config file")
	root.AddCommand(checkCommand(code))
	return root
}

// checkCommand returns the command that checks a node's files. If they are invalid, it sets code to the exit code that a
// start with them would have.
func checkCommand(code *int) *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a config and the fleet file that it names without starting a node",
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

// exitCode returns the program's exit code after an error of the start or of a running node.
func exitCode(err error) int {
	var refused *settings.KeyError
	if errors.As(err, &refused) {
		return exitRefused
	}
	return exitFailed
}

// run runs a node until it ends and returns the program's exit code.
func run(path string) int {
	// The signals are registered first: until then SIGTERM or SIGHUP would end the program at once.
	shutdown, reload := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(shutdown, syscall.SIGTERM, os.Interrupt)
	signal.Notify(reload, syscall.SIGHUP)
	out := logwriter.New(os.Stderr)
	defer out.Close()
	log := zerolog.New(out).With().Timestamp().Logger()
	config, err := sockets.ReadConfig(path)
	if err != nil {
		log.Error().Err(err).Msg("reading the config failed")
		return exitFailed
	}
	log = log.With().Str("node", config.Name).Logger()
	runtime.GOMAXPROCS(max(int(math.Ceil(config.Limits.Cores)), 1))
	signals := sockets.Signals{Shutdown: shutdown, Reload: reload}
	if err := sockets.Run(context.Background(), config, log, signals); err != nil {
		log.Error().Err(err).Msg("node stopped with an error")
		return exitCode(err)
	}
	log.Info().Msg("shutdown complete")
	return exitGood
}
