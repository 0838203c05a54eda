// Command gorseledge-config runs a control server, which distributes the configuration of a fleet, and holds the commands by
// which operators change and watch it.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"gorseledge/internal/configfeed/controlfile"
	"gorseledge/internal/configfeed/feedhttp"
)

// Exit codes.
const (
	exitRefused  = 1 // a server refused, was not reached, or the newest revision is another one
	exitBadInput = 2 // the command line or a file is wrong
)

const errorPrefix = "gorseledge-config: "

// commandTimeout bounds what a command waits for.
const commandTimeout = 20 * time.Second

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := rootCommand().ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, errorPrefix+err.Error())
		os.Exit(exitCode(err))
	}
}

// refusedError is what a fleet did not do although it was asked rightly.
type refusedError struct{ cause error }

func (e *refusedError) Error() string { return e.cause.Error() }
func (e *refusedError) Unwrap() error { return e.cause }

func refused(format string, values ...any) error {
	return &refusedError{cause: fmt.Errorf(format, values...)}
}

// callError returns the error of a call to a server, by what it says of the input.
func callError(server string, err error) error {
	status := (*feedhttp.StatusError)(nil)
	if errors.As(err, &status) && status.Code == http.StatusBadRequest {
		return errors.New(status.Text)
	}
	return refused("server %s: %w", server, err)
}

func exitCode(err error) int {
	if answer := (*refusedError)(nil); errors.As(err, &answer) {
		return exitRefused
	}
	return exitBadInput
}

const controlFileVariable = "GORSECONTROL_FILE"

// session is what the commands have in common: the control file, and calls to its servers.
type session struct {
	path   string // of the control file
	config controlfile.Config
	client *feedhttp.Client
}

// open reads the control file.
func (s *session) open() error {
	if s.path == "" {
		return fmt.Errorf("no control file: name one with --control or %s", controlFileVariable)
	}
	config, err := controlfile.Read(s.path)
	if err != nil {
		return err
	}
	s.config, s.client = config, feedhttp.NewClient(config.Fleet, config.Keys, config.Via)
	return nil
}

// writer returns the server that takes proposals.
func (s *session) writer() controlfile.Server {
	server, _ := s.config.Server(s.config.Writer) // checked when the file was read
	return server
}

// run returns a command's function: it opens the session first and bounds the command's time.
func (s *session) run(do func(cmd *cobra.Command, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		if err := s.open(); err != nil {
			return err
		}
		defer s.client.Close()
		ctx, cancel := context.WithTimeout(cmd.Context(), commandTimeout)
		defer cancel()
		cmd.SetContext(ctx)
		return do(cmd, args)
	}
}

func rootCommand() *cobra.Command {
	s := &session{}
	top := &cobra.Command{Use: "gorseledge-config", Short: "Distributes the configuration of a fleet to its nodes",
		Long: "Runs a control server, and changes and watches the configuration that the control servers distribute.\n" +
			"Ends with 0, with 1 where a server refused or the newest revision is another one, with 2 for bad input.",
		SilenceUsage: true, SilenceErrors: true}
	top.PersistentFlags().StringVar(&s.path, "control", os.Getenv(controlFileVariable),
		"the control file, of any server ("+controlFileVariable+")")
	top.AddCommand(serveCommand(), checkCommand(), checkLogCommand(), checkLogHereCommand(),
		applyCommand(s), revertCommand(s), newEpochCommand(s), statusCommand(s),
		historyCommand(s))
	return top
}

func checkCommand() *cobra.Command {
	return &cobra.Command{Use: "check FILE", Short: "Check a control file, and start nothing", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := controlfile.Read(args[0]); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "good")
			return nil
		}}
}
