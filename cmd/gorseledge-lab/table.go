package main

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"gorseledge/internal/figures"
	"gorseledge/internal/lab"
)

// tableFile is the CSV file to which a command writes its measurements.
type tableFile struct {
	path    string // empty for none
	machine string // description of the machine and its other load, which the table records
}

// addFlags adds the flags --csv and --machine to a command.
func (f *tableFile) addFlags(c *cobra.Command) {
	c.Flags().StringVar(&f.path, "csv", "",
		"write the measurements to this CSV file (format: docs/capacity/README.md); none is written by default")
	c.Flags().StringVar(&f.machine, "machine", "what else ran on it was not noted",
		"description of the machine and its other load during the run, recorded in the table")
}

// newTable returns an empty table whose provenance states the command line, the machine and the number of repeats.
func (f *tableFile) newTable(repeats int) *figures.Table {
	command := strings.Join(append([]string{"gorseledge-lab"}, reproducibleArgs(os.Args[1:])...), " ")
	return &figures.Table{Provenance: figures.NewProvenance(command, f.machine, repeats)}
}

// write adds the load average at the end of the run to the table and writes the table to the file. It does nothing if the file
// has no path, which is the case if --csv is not set.
func (f *tableFile) write(table *figures.Table) error {
	if f.path == "" {
		return nil
	}
	table.Machine += "; load at the end " + loadAverage()
	return lab.WriteFile(f.path, table.CSV())
}

// loadAverage returns the load averages of the machine over one, five and fifteen minutes, or "not known" if they cannot be read.
func loadAverage() string {
	text, err := os.ReadFile("/proc/loadavg")
	if words := strings.Fields(string(text)); err == nil && len(words) > 3 {
		return strings.Join(words[:3], " ")
	}
	return "not known"
}

// reproducibleArgs returns a command's arguments without local paths and without the description of the machine. They do not
// affect the measurement, and the command line in a table must be repeatable on another machine. The flags --csv, --machine and
// --out are removed with their values. The path after --node is shortened to its base name, but --node=PATH is removed.
func reproducibleArgs(args []string) (out []string) {
	for i := 0; i < len(args); i++ {
		name, _, hasValue := strings.Cut(args[i], "=")
		switch name {
		case "--csv", "--machine", "--out":
			if !hasValue {
				i++
			}
		case "--node":
			if !hasValue {
				i++
				out = append(out, "--node", filepath.Base(args[min(i, len(args)-1)]))
			}
		default:
			out = append(out, args[i])
		}
	}
	return out
}
