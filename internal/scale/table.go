package scale

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// column is one cost as a column of the table.
type column struct {
	title string
	cost  string
	unit  float64 // divisor of the value
}

var nodeColumns = []column{{"CPU, % of a core", "cpu", 0.01}, {"memory, MB", "memory", 1e6}, {"messages sent /s", "sent_messages.all", 1},
	{"bytes sent /s", "sent_bytes.all", 1}, {"bytes received /s", "received_bytes.all", 1}}

var fleetColumns = []column{{"gone: first, s", "gone_first", 1}, {"99th", "gone_99th", 1}, {"last", "gone_last", 1},
	{"known by, %", "gone_known_by", 0.01}, {"back: first, s", "back_first", 1}, {"99th", "back_99th", 1}, {"last", "back_last", 1},
	{"known by, %", "back_known_by", 0.01}, {"all agree, s", "all_agree", 1},
	{"in force: 50th, s", "in_force_50th", 1}, {"99th", "in_force_99th", 1}, {"last", "in_force_last", 1}, {"in force by, %", "in_force_by", 0.01}}

// WriteTable writes a table of the costs of a node, member or control server in each phase, and a table of the fleet's
// detection, convergence and in-force times. A value without a row is written as a dash.
func WriteTable(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	writeColumns(t, rows, nodeColumns, func(k Kind) bool { return k != Fleet })
	fmt.Fprintln(t)
	writeColumns(t, rows, fleetColumns, func(k Kind) bool { return k == Fleet })
	return t.Flush()
}

// rowKey identifies a line of the table.
type rowKey struct {
	nodes int
	kind  Kind
	phase string
}

// writeColumns writes a header and one line for each size, kind and phase of the rows whose kind is included.
func writeColumns(w io.Writer, rows []Row, columns []column, included func(Kind) bool) {
	fmt.Fprint(w, "nodes\tkind\tphase")
	for _, c := range columns {
		fmt.Fprint(w, "\t", c.title)
	}
	fmt.Fprintln(w)
	written := map[rowKey]bool{}
	for _, r := range rows {
		key := rowKey{r.Nodes, r.Kind, r.Phase}
		if !included(r.Kind) || written[key] {
			continue
		}
		written[key] = true
		fmt.Fprintf(w, "%d\t%s\t%s", r.Nodes, r.Kind, r.Phase)
		for _, c := range columns {
			if x, found := findValue(rows, r.Nodes, r.Kind, r.Phase, c.cost); found {
				fmt.Fprintf(w, "\t%.4g", x/c.unit)
			} else {
				fmt.Fprint(w, "\t-")
			}
		}
		fmt.Fprintln(w)
	}
}
