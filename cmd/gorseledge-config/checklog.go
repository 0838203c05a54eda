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
	checkLogStack    = 64 << 20 // bytes; a damaged file can send the library round in circles
)

func checkLogCommand() *cobra.Command {
	return &cobra.Command{Use: "check-log DIRECTORY", Short: "Check the log of a server that does not run, or a copy of it",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := checkLog(cmd.Context(), args[0]); err != nil {
				return &refusedError{cause: err}
			}
			fmt.Fprintln(cmd.OutOrStdout(), "good")
			return nil
		}}
}

// checkLogHereCommand checks a log in this process, for checkLog.
func checkLogHereCommand() *cobra.Command {
	return &cobra.Command{Use: checkLogHereName + " DIRECTORY", Hidden: true, Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			debug.SetMaxStack(checkLogStack)
			if err := feedstore.Check(args[0]); err != nil {
				return &refusedError{cause: err}
			}
			return nil
		}}
}

// checkLog checks a log in a process of its own, which may end badly where the file is damaged.
func checkLog(parent context.Context, directory string) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(parent, checkLogTimeout)
	defer cancel()
	check := exec.CommandContext(ctx, program, checkLogHereName, directory)
	var said bytes.Buffer
	check.Stderr = &said
	err = check.Run()
	exit := (*exec.ExitError)(nil)
	switch {
	case err == nil:
		return nil
	case parent.Err() != nil:
		return parent.Err()
	case ctx.Err() != nil:
		return fmt.Errorf("%s: the file is damaged: it was not checked within %v", directory, checkLogTimeout)
	case errors.As(err, &exit) && exit.ExitCode() == exitRefused:
		return errors.New(strings.TrimPrefix(strings.TrimSpace(said.String()), errorPrefix))
	}
	line, _, _ := strings.Cut(said.String(), "\n")
	return fmt.Errorf("%s: the file is damaged: %v: %s", directory, err, line)
}
