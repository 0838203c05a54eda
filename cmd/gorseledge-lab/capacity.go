package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"gorseledge/internal/capacity"
	"gorseledge/internal/lab"
)

// outdatedFiles is the error of a check that found files which differ from the figures; its values are their paths.
type outdatedFiles []string

func (o outdatedFiles) Error() string {
	return fmt.Sprintf("files differ from the committed figures: %s (run gorseledge-lab capacity to update them)",
		strings.Join(o, ", "))
}

// capacityCommand returns the command that writes or checks the tables of the capacity page.
func capacityCommand() *cobra.Command {
	var docs string
	var check bool
	c := &cobra.Command{Use: "capacity", Args: cobra.NoArgs,
		Short: "Write the tables of docs/CAPACITY.md and their charts from the committed figures, or check them",
		Long: "Fits lines to the figures of docs/capacity/*.csv as docs/capacity/plan.toml specifies and writes the cost of each\n" +
			"role at the planned size. With --check it writes nothing and exits with 1 if the page or charts differ.",
		RunE: func(cmd *cobra.Command, args []string) error {
			files, err := capacity.Build(docs)
			if err != nil {
				return err
			}
			different, err := capacity.Differences(docs, files)
			if err != nil {
				return err
			}
			if check {
				if len(different) > 0 {
					return outdatedFiles(different)
				}
				return nil
			}
			for _, name := range different {
				fmt.Fprintln(cmd.OutOrStdout(), name)
				if err := updateFile(filepath.Join(docs, name), files[name]); err != nil {
					return err
				}
			}
			return nil
		}}
	c.Flags().StringVar(&docs, "docs", "docs", "directory that contains CAPACITY.md")
	c.Flags().BoolVar(&check, "check", false, "write nothing, exit with 1 if the page or charts differ from the figures")
	return c
}

// updateFile writes a file, or removes it if text is nil.
func updateFile(path string, text []byte) error {
	if text == nil {
		return os.Remove(path)
	}
	return lab.WriteFile(path, text)
}
