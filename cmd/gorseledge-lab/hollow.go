package main

import (
	"github.com/spf13/cobra"

	"gorseledge/internal/scale"
)

// hollowCommand returns the hidden command that a scale run starts to host hollow nodes in a separate process.
func hollowCommand() *cobra.Command {
	return &cobra.Command{Use: "hollow", Args: cobra.NoArgs, Hidden: true,
		Short: "Host hollow nodes for the scale command: read requests from standard input, write replies to standard output",
		RunE: func(cmd *cobra.Command, _ []string) error {
			return scale.ServeHollow(cmd.Context(), cmd.InOrStdin(), cmd.OutOrStdout())
		}}
}
