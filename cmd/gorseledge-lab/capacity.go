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

// differs says which files are not what the figures give.
type differs []string

func (d differs) Error() string {
	return fmt.Sprintf("not as the figures give it: %s (gorseledge-lab capacity writes it)", strings.Join(d, ", "))
}

// capacityCommand writes the tables of the capacity page.
func capacityCommand() *cobra.Command {
	var docs string
	var check bool
	c := &cobra.Command{Use: "capacity", Args: cobra.NoArgs,
		Short: "Write the tables of docs/CAPACITY.md and their charts from the committed figures, or check them",
		Long: "Fits lines to the figures of docs/capacity/*.csv as docs/capacity/plan.toml says and writes what each role costs at\n" +
			"the planned size. With --check nothing is written, and the exit is 1 where page or charts differ.",
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
					return differs(different)
				}
				return nil
			}
			for _, name := range different {
				fmt.Fprintln(cmd.OutOrStdout(), name)
				if err := replace(filepath.Join(docs, name), files[name]); err != nil {
					return err
				}
			}
			return nil
		}}
	c.Flags().StringVar(&docs, "docs", "docs", "the directory of the page")
	c.Flags().BoolVar(&check, "check", false, "write nothing, and end with 1 where page or charts differ from the figures")
	return c
}

// replace writes a file, or takes it away where nothing is to stand in it.
func replace(path string, text []byte) error {
	if text == nil {
		return os.Remove(path)
	}
	return lab.WriteFile(path, text)
}
