package main

import (
	"github.com/spf13/cobra"

	"gorseledge/internal/configfeed/feedhttp"
)

// newEpochCommand returns the command that begins a new epoch.
func newEpochCommand(s *session) *cobra.Command {
	var note string
	c := &cobra.Command{
		Use:   "new-epoch",
		Short: "Begin a new epoch after the writer's log was lost or restored from a backup",
		Args:  cobra.NoArgs,
		Long: "Use this only after the writer's directory was lost or an older copy of it was restored, and only if the writer\n" +
			"reports that it is not ready because other servers or nodes know of newer revisions that it cannot get from them.\n" +
			"The writer's configuration becomes the newest one at every node. All later changes are lost and have to be applied\n" +
			"again. A revision of an earlier epoch is never newer than one of a later epoch, so no node returns to the earlier\n" +
			"epoch by itself.\n" +
			"See docs/control.md.",
		RunE: s.run(func(cmd *cobra.Command, _ []string) error { return s.beginEpoch(cmd, note) }),
	}
	c.Flags().StringVar(&note, "note", "", "reason for the change, shown in the history")
	return c
}

// beginEpoch asks the writer to begin the epoch after the highest one that was reported to it.
func (s *session) beginEpoch(cmd *cobra.Command, note string) error {
	newest, err := s.newestVersion(cmd)
	if err != nil {
		return err
	}
	request := feedhttp.EpochRequest{IfVersion: newest, Author: author(), Note: note}
	outcome, err := s.client.BeginEpoch(cmd.Context(), s.writer().Address, request)
	if err != nil {
		return callError(s.writer().Name, err)
	}
	return printOutcome(cmd, outcome)
}
