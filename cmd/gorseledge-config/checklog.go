package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"runtime/debug"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"gorseledge/internal/configfeed/feedstore"
)

const (
	checkLogHereName = "check-log-here"
	checkLogTimeout  = 30 * time.Second
	checkLogStack    = 64 << 20 // maximum stack in bytes: on a damaged file, bbolt may recurse endlessly
)

// checkLogCommand returns the command that checks a log in a separate process.
func checkLogCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check-log DIRECTORY",
		Short: "Check the log of a stopped server, or a copy of a log",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := checkLog(cmd.Context(), args[0]); err != nil {
				return &refusedError{cause: err}
			}
			fmt.Fprintln(cmd.OutOrStdout(), "good")
			return nil
		},
	}
}

// checkLogHereCommand returns the hidden command that checks a log in its own process. checkLog starts a process with it.
func checkLogHereCommand() *cobra.Command {
	return &cobra.Command{
		Use:    checkLogHereName + " DIRECTORY",
		Hidden: true,
		Args:   cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			debug.SetMaxStack(checkLogStack)
			if err := feedstore.Check(args[0]); err != nil {
				return &refusedError{cause: err}
			}
			return nil
		},
	}
}

// checkLog checks a log in a separate process, since the check of a damaged file may crash or never end. Its error is one
// line.
func checkLog(parent context.Context, directory string) error {
	program, err := os.Executable()
	if err != nil {
		return fmt.Errorf("finding the path of this program, which checks the log in another process: %w", err)
	}
	ctx, cancel := context.WithTimeout(parent, checkLogTimeout)
	defer cancel()
	check := exec.CommandContext(ctx, program, checkLogHereName, directory)
	var stderr bytes.Buffer
	check.Stderr = &stderr
	err = check.Run()
	switch {
	case err == nil:
		return nil
	case parent.Err() != nil:
		return parent.Err()
	case ctx.Err() != nil:
		return fmt.Errorf("%s: the file is damaged: its check did not finish within %v", directory, checkLogTimeout)
	}
	return checkProcessError(directory, err, stderr.String())
}

// checkProcessError returns the error of a check whose process failed: the one that the process printed, or, if it
// crashed, its exit status with the first line of its output.
func checkProcessError(directory string, err error, stderr string) error {
	var exit *exec.ExitError
	if errors.As(err, &exit) && exit.ExitCode() == exitRefused {
		return errors.New(strings.TrimPrefix(strings.TrimSpace(stderr), errorPrefix))
	}
	firstLine, _, _ := strings.Cut(stderr, "\n")
	return fmt.Errorf("%s: the file is damaged: %w: %s", directory, err, firstLine)
}
