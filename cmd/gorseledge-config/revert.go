package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"gorseledge/internal/configfeed"
)

// revertCommand returns the command that proposes the entries of an earlier revision.
func revertCommand(s *session) *cobra.Command {
	var note string
	c := &cobra.Command{
		Use:   "revert R",
		Short: "Put the configuration of revision R in force again",
		Args:  cobra.ExactArgs(1),
		Long:  "Proposes the entries of revision R of the current epoch as a new revision.",
		RunE:  s.run(func(cmd *cobra.Command, args []string) error { return s.revert(cmd, args[0], note) }),
	}
	c.Flags().StringVar(&note, "note", "", "reason for the change, shown in the history")
	return c
}

// revert proposes the entries of a revision of the current epoch.
func (s *session) revert(cmd *cobra.Command, revisionText, note string) error {
	revision, err := parseNumber(revisionText, revisionText)
	if err != nil {
		return err
	}
	newest, err := s.newestVersion(cmd)
	if err != nil {
		return err
	}
	state, err := s.client.State(cmd.Context(), s.writer().Address, revision)
	if err != nil {
		return callError(s.writer().Name, err)
	}
	if note == "" {
		note = fmt.Sprintf("revert to revision %d", revision)
	}
	return s.propose(cmd, configfeed.Proposal{IfVersion: newest, Entries: state.Entries, Note: note})
}
