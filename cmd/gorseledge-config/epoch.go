package main

import (
	"github.com/spf13/cobra"

	"gorseledge/internal/configfeed/feedhttp"
)

// newEpochCommand returns the command that begins an epoch.
func newEpochCommand(s *session) *cobra.Command {
	var note string
	c := &cobra.Command{
		Use:   "new-epoch",
		Short: "Begin a new epoch, after a backup of the writer was restored",
		Args:  cobra.NoArgs,
		Long: "Use it only after the writer's directory was lost or an older copy of it was put back, and where the writer says\n" +
			"that it is not ready because others know of newer revisions that it cannot get from them. The configuration that\n" +
			"the writer has then becomes the newest one at every node: all later changes are lost, and have to be applied again.\n" +
			"Revisions of an older epoch are never newer than those of a later one, so no node goes back by itself.\n" +
			"See docs/control.md.",
		RunE: s.run(func(cmd *cobra.Command, _ []string) error { return s.beginEpoch(cmd, note) }),
	}
	c.Flags().StringVar(&note, "note", "", "why, for the history")
	return c
}

// beginEpoch asks the writer for the epoch after the highest that was reported.
func (s *session) beginEpoch(cmd *cobra.Command, note string) error {
	newest, err := s.newest(cmd)
	if err != nil {
		return err
	}
	request := feedhttp.EpochRequest{IfVersion: newest, Author: author(), Note: note}
	outcome, err := s.client.BeginEpoch(cmd.Context(), s.writer().Address, request)
	if err != nil {
		return callError(s.writer().Name, err)
	}
	return report(cmd, outcome)
}
