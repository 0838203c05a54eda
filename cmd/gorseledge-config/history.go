package main

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"gorseledge/internal/configfeed"
)

const defaultHistoryLength = 20 // revisions that are shown

func historyCommand(s *session) *cobra.Command {
	var limit uint64
	var asJSON, values bool
	c := &cobra.Command{Use: "history", Short: "Show the newest revisions: when, by whom, what and why", Args: cobra.NoArgs,
		RunE: s.run(func(cmd *cobra.Command, args []string) error {
			history, err := s.client.History(cmd.Context(), s.writer().Address, limit)
			if err != nil {
				return callError(s.writer().Name, err)
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(history)
			}
			table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
			fmt.Fprintln(table, "REVISION\tAT\tAUTHOR\tSET\tDELETED\tNOTE")
			for _, r := range history.Revisions {
				writeRevision(table, r, values)
			}
			return table.Flush()
		})}
	c.Flags().Uint64Var(&limit, "limit", defaultHistoryLength, "how many")
	c.Flags().BoolVar(&asJSON, "json", false, "as JSON")
	c.Flags().BoolVar(&values, "values", false, "show the keys and values too")
	return c
}

func writeRevision(table *tabwriter.Writer, r configfeed.Revision, values bool) {
	fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%s\n", r.Delta.To, timeText(r.At), r.Author, len(r.Delta.Set),
		len(r.Delta.Delete), r.Note)
	if !values {
		return
	}
	for _, entry := range r.Delta.Set {
		fmt.Fprintf(table, "  %s = %s\n", entry.Key, entry.Value)
	}
	for _, key := range r.Delta.Delete {
		fmt.Fprintf(table, "  %s deleted\n", key)
	}
}

func timeText(unix float64) string {
	return time.UnixMilli(int64(unix * 1e3)).UTC().Format(time.RFC3339)
}
