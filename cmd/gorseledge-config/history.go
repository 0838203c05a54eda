package main

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"gorseledge/internal/configfeed"
)

// defaultHistoryLength is the number of revisions that are shown by default.
const defaultHistoryLength = 20

// historyOptions holds the flags of history.
type historyOptions struct {
	limit  uint64
	asJSON bool
	values bool
}

// historyCommand returns the command that shows the newest revisions.
func historyCommand(s *session) *cobra.Command {
	var options historyOptions
	c := &cobra.Command{
		Use:   "history",
		Short: "Show the newest revisions with their time, author, changes and note",
		Args:  cobra.NoArgs,
		RunE:  s.run(func(cmd *cobra.Command, _ []string) error { return s.showHistory(cmd, options) }),
	}
	c.Flags().Uint64Var(&options.limit, "limit", defaultHistoryLength, "maximum number of revisions")
	c.Flags().BoolVar(&options.asJSON, "json", false, "print JSON")
	c.Flags().BoolVar(&options.values, "values", false, "also show the changed keys and their values")
	return c
}

// showHistory prints the newest revisions that the writer has.
func (s *session) showHistory(cmd *cobra.Command, options historyOptions) error {
	history, err := s.client.History(cmd.Context(), s.writer().Address, options.limit)
	if err != nil {
		return callError(s.writer().Name, err)
	}
	if options.asJSON {
		return json.NewEncoder(cmd.OutOrStdout()).Encode(history)
	}
	table := tabwriter.NewWriter(cmd.OutOrStdout(), 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "REVISION\tAT\tAUTHOR\tSET\tDELETED\tNOTE")
	for _, r := range history.Revisions {
		writeRevision(table, r, options.values)
	}
	return table.Flush()
}

// writeRevision writes the table row of a revision, followed by the keys that it changed if values is set.
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

// timeText returns a Unix time in seconds as RFC 3339 in UTC.
func timeText(unix float64) string {
	return time.UnixMilli(int64(unix * 1e3)).UTC().Format(time.RFC3339)
}
