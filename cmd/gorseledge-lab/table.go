package main

import (
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"

	"gorseledge/internal/figures"
	"gorseledge/internal/lab"
)

// tableFile is where a command keeps its figures, and what it says of the machine.
type tableFile struct{ path, machine string }

func (f *tableFile) flags(c *cobra.Command) {
	c.Flags().StringVar(&f.path, "csv", "", "keep the figures here (docs/capacity/README.md)")
	c.Flags().StringVar(&f.machine, "machine", "what else ran on it was not noted", "what the table says of the machine")
}

// begin gives a table with the provenance of this command.
func (f *tableFile) begin(repeats int) *figures.Table {
	command := strings.Join(append([]string{"gorseledge-lab"}, withoutPlace(os.Args[1:])...), " ")
	return &figures.Table{Provenance: figures.NewProvenance(command, f.machine, repeats)}
}

// end keeps the table, if it is to be kept.
func (f *tableFile) end(table *figures.Table) error {
	if f.path == "" {
		return nil
	}
	table.Machine += "; load at the end " + load()
	return lab.WriteFile(f.path, table.CSV())
}

// load is what the machine had to do of late: the mean number of processes that want a processor over a minute, five and
// fifteen.
func load() string {
	text, err := os.ReadFile("/proc/loadavg")
	if words := strings.Fields(string(text)); err == nil && len(words) > 3 {
		return strings.Join(words[:3], " ")
	}
	return "not known"
}

// withoutPlace leaves out of a command's arguments what says where its figures go and how the machine was: neither
// changes what is measured.
func withoutPlace(args []string) (out []string) {
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
