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
	checkLogStack    = 64 << 20 // bytes; on a damaged file the library may recurse without end
)

// checkLogCommand returns the command that checks a log in a process of its own.
func checkLogCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check-log DIRECTORY",
		Short: "Check the log of a server that does not run, or a copy of it",
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

// checkLogHereCommand returns the hidden command that checks a log in this process. checkLog runs it.
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

// checkLog checks a log in a process of its own, since the check of a damaged file may crash or not end. The error is one
// line.
func checkLog(parent context.Context, directory string) error {
	program, err := os.Executable()
	if err != nil {
		return fmt.Errorf("finding the program that checks the log: %w", err)
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
		return fmt.Errorf("%s: the file is damaged: it was not checked within %v", directory, checkLogTimeout)
	}
	return checkProcessError(directory, err, stderr.String())
}

// checkProcessError returns the error of a check's process that failed: the one that it printed, or that it crashed.
func checkProcessError(directory string, err error, stderr string) error {
	var exit *exec.ExitError
	if errors.As(err, &exit) && exit.ExitCode() == exitRefused {
		return errors.New(strings.TrimPrefix(strings.TrimSpace(stderr), errorPrefix))
	}
	firstLine, _, _ := strings.Cut(stderr, "\n")
	return fmt.Errorf("%s: the file is damaged: %w: %s", directory, err, firstLine)
}
