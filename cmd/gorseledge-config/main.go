// Command gorseledge-config runs a control server, which distributes the configuration of a fleet, and has the commands
// by which operators change and watch the configuration.
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

// errorPrefix precedes an error on standard error.
const errorPrefix = "gorseledge-config: "

// commandTimeout bounds the time of a command that calls servers.
const commandTimeout = 20 * time.Second

// controlFileVariable is the environment variable that names the control file where there is no flag.
const controlFileVariable = "GORSECONTROL_FILE"

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	err := rootCommand().ExecuteContext(ctx)
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, errorPrefix+err.Error())
		os.Exit(exitCode(err))
	}
}

// refusedError is the error of valid input that a server refused, or that did not reach it. The exit code is exitRefused.
type refusedError struct{ cause error }

// Error returns the text of the cause.
func (e *refusedError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *refusedError) Unwrap() error { return e.cause }

// refused returns a refusedError with a formatted cause.
func refused(format string, values ...any) error {
	return &refusedError{cause: fmt.Errorf(format, values...)}
}

// callError returns the error of a call to a server. One that the server blames on the input has exitBadInput.
func callError(server string, err error) error {
	var status *feedhttp.StatusError
	if errors.As(err, &status) && status.Code == http.StatusBadRequest {
		return errors.New(status.Text)
	}
	return refused("server %s: %w", server, err)
}

// exitCode returns the exit code of an error.
func exitCode(err error) int {
	var refusal *refusedError
	if errors.As(err, &refusal) {
		return exitRefused
	}
	return exitBadInput
}

// session is what the commands of operators share: the control file, and a client of its servers.
type session struct {
	path   string // of the control file
	config controlfile.Config
	client *feedhttp.Client
}

// open reads the control file and makes a client.
func (s *session) open() error {
	if s.path == "" {
		return fmt.Errorf("no control file: name one with --control or %s", controlFileVariable)
	}
	config, err := controlfile.Read(s.path)
	if err != nil {
		return err
	}
	s.config = config
	s.client = feedhttp.NewClient(config.Fleet, config.Keys, config.Via)
	return nil
}

// writer returns the server that accepts proposals.
func (s *session) writer() controlfile.Server {
	server, _ := s.config.Server(s.config.Writer) // controlfile.Read has checked that it is there
	return server
}

// run returns the function of a command that opens the session first and has a bounded time.
func (s *session) run(command func(cmd *cobra.Command, args []string) error) func(*cobra.Command, []string) error {
	return func(cmd *cobra.Command, args []string) error {
		if err := s.open(); err != nil {
			return err
		}
		defer s.client.Close()
		ctx, cancel := context.WithTimeout(cmd.Context(), commandTimeout)
		defer cancel()
		cmd.SetContext(ctx)
		return command(cmd, args)
	}
}

// rootCommand returns the program's command with all others below it.
func rootCommand() *cobra.Command {
	s := &session{}
	top := &cobra.Command{
		Use:   "gorseledge-config",
		Short: "Distributes the configuration of a fleet to its nodes",
		Long: "Runs a control server, and changes and watches the configuration that the control servers distribute.\n" +
			"Ends with 0, with 1 where a server refused or the newest revision is another one, with 2 for bad input.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	top.PersistentFlags().StringVar(&s.path, "control", os.Getenv(controlFileVariable),
		"the control file, of any server ("+controlFileVariable+")")
	top.AddCommand(serveCommand(), checkCommand(), checkLogCommand(), checkLogHereCommand())
	top.AddCommand(applyCommand(s), revertCommand(s), newEpochCommand(s), statusCommand(s), historyCommand(s))
	return top
}

// checkCommand returns the command that checks a control file.
func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a control file, and start nothing",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if _, err := controlfile.Read(args[0]); err != nil {
				return err
			}
			fmt.Fprintln(cmd.OutOrStdout(), "good")
			return nil
		},
	}
}
