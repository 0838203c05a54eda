package main

import (
	"github.com/spf13/cobra"

	"gorseledge/internal/scale"
)

// hollowCommand hosts hollow nodes for a scale run.
func hollowCommand() *cobra.Command {
	return &cobra.Command{Use: "hollow", Args: cobra.NoArgs, Hidden: true,
		Short: "Host hollow nodes for a scale run, which starts it: requests on standard input, replies on standard output",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return scale.ServeHollow(cmd.Context(), cmd.InOrStdin(), cmd.OutOrStdout())
		}}
}
