// Command gorseledge-config runs a control server, which distributes the configuration of a fleet to its nodes. It also has
// the commands with which operators change the configuration and see which nodes have it.
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
	exitRefused  = 1 // a server refused or was not reached, or the newest revision is not the expected one
	exitBadInput = 2 // the command line or a file is invalid
)

// errorPrefix precedes each error on standard error.
const errorPrefix = "gorseledge-config: "

// commandTimeout bounds the duration of a command that calls servers.
const commandTimeout = 20 * time.Second

// controlFileVariable is the environment variable that names the control file if the flag control is not set.
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

// refusedError is the error of a command whose input is valid, but which a server refused or did not answer. Its exit code
// is exitRefused.
type refusedError struct{ cause error }

// Error returns the text of the cause.
func (e *refusedError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *refusedError) Unwrap() error { return e.cause }

// refused returns a refusedError with a formatted cause.
func refused(format string, values ...any) error {
	return &refusedError{cause: fmt.Errorf(format, values...)}
}

// callError returns the error of a failed call to a server. Its exit code is exitBadInput if the server found the input
// invalid, otherwise exitRefused.
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

// session holds what the operators' commands share: the control file, and a client of the servers in it.
type session struct {
	path   string // path of the control file
	config controlfile.Config
	client *feedhttp.Client
}

// open reads the control file and creates the client.
func (s *session) open() error {
	if s.path == "" {
		return fmt.Errorf("no control file given: set --control or the environment variable %s", controlFileVariable)
	}
	config, err := controlfile.Read(s.path)
	if err != nil {
		return err
	}
	s.config = config
	s.client = feedhttp.NewClient(config.Fleet, config.Keys, config.Via)
	return nil
}

// writer returns the control file's entry of the server that accepts proposals.
func (s *session) writer() controlfile.Server {
	server, _ := s.config.Server(s.config.Writer) // controlfile.Read has checked that the entry exists
	return server
}

// run wraps a command: the returned function opens the session first, and ends the command's calls after commandTimeout.
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

// rootCommand returns the root command with all subcommands.
func rootCommand() *cobra.Command {
	s := &session{}
	top := &cobra.Command{
		Use:   "gorseledge-config",
		Short: "Distributes the configuration of a fleet to its nodes",
		Long: "Runs a control server, and changes and shows the configuration that the control servers distribute.\n" +
			"The exit code is 0 on success, 1 if a server refused, did not answer, or has another newest revision than\n" +
			"expected, and 2 if the command line or a file is invalid.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	top.PersistentFlags().StringVar(&s.path, "control", os.Getenv(controlFileVariable),
		"path of any server's control file; overrides the environment variable "+controlFileVariable)
	top.AddCommand(serveCommand(), checkCommand(), checkLogCommand(), checkLogHereCommand())
	top.AddCommand(applyCommand(s), revertCommand(s), newEpochCommand(s), statusCommand(s), historyCommand(s))
	return top
}

// checkCommand returns the command that validates a control file.
func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Validate a control file without starting a server",
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
