package main

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// maxTableRows bounds the lagging nodes in the table. With the flag json, all of them are printed.
const maxTableRows = 40

// writeStatus writes a status as human-readable tables.
func writeStatus(w io.Writer, status fleetStatus) error {
	fmt.Fprintf(w, "newest revision: %s (epoch.revision), writer: %s\n", status.Newest, status.Writer)
	fmt.Fprintf(w, "nodes: %d, with the newest revision: %d, oldest: %s\n\n", status.Nodes, status.Current,
		status.Oldest)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "SERVER\tREGION\tREVISION\tNODES\tSTATE")
	for _, server := range status.Servers {
		fmt.Fprintln(table, serverRow(server, status.Writer))
	}
	if len(status.Lagging) > 0 {
		fmt.Fprintln(table, "\nNODE\tREGION\tREVISION\tLAGS\tHEARD\tREFUSED")
	}
	for i, node := range status.Lagging {
		if i == maxTableRows {
			fmt.Fprintf(table, "and %d more: see --json\n", len(status.Lagging)-maxTableRows)
			break
		}
		fmt.Fprintln(table, nodeRow(node))
	}
	return table.Flush()
}

// serverRow returns the table row of a server.
func serverRow(server serverReport, writer string) string {
	if server.Error != "" {
		return fmt.Sprintf("%s\t%s\t-\t-\tno answer: %s", server.Name, server.Region, server.Error)
	}
	state := "follows"
	switch {
	case server.Name == writer && server.NotReady != "":
		state = "not ready: " + server.NotReady
	case server.Name == writer:
		state = "takes proposals"
	}
	if server.Isolated {
		state += ", isolated"
	}
	if len(server.Diverged) > 0 {
		state += ", differs from " + strings.Join(server.Diverged, " ")
	}
	return fmt.Sprintf("%s\t%s\t%s\t%d\t%s", server.Name, server.Region, server.Version, server.Nodes, state)
}

// nodeRow returns the table row of a lagging node.
func nodeRow(node laggingNode) string {
	bound := ""
	if node.AtLeast {
		bound = "over "
	}
	reason := ""
	if node.Refused != nil {
		reason = node.Refused.Version.String() + ": " + node.Refused.Reason
	}
	return fmt.Sprintf("%s\t%s\t%s\t%s%.0f s\t%.0f s ago\t%s", node.Name, node.Region, node.Have, bound, node.Lag,
		node.HeardAgo, reason)
}
