package main

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"gorseledge/internal/figures"
	"gorseledge/internal/lab"
)

// tableFile is the CSV file to which a command writes its figures, and the description of the machine in it.
type tableFile struct{ path, machine string }

// flags adds the flags of the file to a command.
func (f *tableFile) flags(c *cobra.Command) {
	c.Flags().StringVar(&f.path, "csv", "", "file for the figures (format: docs/capacity/README.md)")
	c.Flags().StringVar(&f.machine, "machine", "what else ran on it was not noted",
		"description of the machine and its other load, for the provenance in the table")
}

// newTable returns an empty table with the provenance of this command.
func (f *tableFile) newTable(repeats int) *figures.Table {
	command := strings.Join(append([]string{"gorseledge-lab"}, withoutPaths(os.Args[1:])...), " ")
	return &figures.Table{Provenance: figures.NewProvenance(command, f.machine, repeats)}
}

// write writes the table to the file. It does nothing if the file has no path.
func (f *tableFile) write(table *figures.Table) error {
	if f.path == "" {
		return nil
	}
	table.Machine += "; load at the end " + loadAverage()
	return lab.WriteFile(f.path, table.CSV())
}

// loadAverage returns the load averages of the machine over one, five and fifteen minutes.
func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	if words := strings.Fields(string(text)); err == nil && len(words) > 3 {
		return strings.Join(words[:3], " ")
	}
	return "not known"
}

// withoutPaths removes the output paths and the description of the machine from a command's arguments and shortens the path of
// the node program to its base name. None of these changes what is measured.
func withoutPaths(args []string) (out []string) {
	for i := 0; i < len(args); i++ {
		name, _, joined := strings.Cut(args[i], "=")
		switch name {
		case "--csv", "--machine", "--out":
			if !joined {
				i++
			}
		case "--node":
			if !joined {
				i++
				out = append(out, "--node", filepath.Base(args[min(i, len(args)-1)]))
			}
		default:
			out = append(out, args[i])
		}
	}
	return out
}
