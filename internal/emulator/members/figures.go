package members

import (
	"math"

	"gorseledge/internal/figures"
)

// Figures gives a fleet's measure at rest as rows of a table.
func (r IdleCost) Figures(run, nodes int) []figures.Row {
	return rows(run, nodes, "rest", []figure{
		{"node.membership_cpu", "us/s", 1e6 * r.CPU}, {"node.membership_memory", "B", r.Memory},
		{"node.membership_messages_sent", "1/s", r.Messages}, {"node.membership_bytes_sent", "B/s", r.Bytes}})
}

// Figures gives what a seed showed of one death as rows of a table, in periods after it. What did not come while it was
// looked for has no row.
func (m Measurement) Figures(nodes int) []figures.Row {
	all := []figure{{"death.known_part", "1", m.Known}}
	if !math.IsInf(m.Suspected, 0) {
		all = append(all, figure{"death.suspected_by_first", "periods", m.Suspected})
	}
	if !math.IsInf(m.First, 0) {
		all = append(all, figure{"death.known_by_first", "periods", m.First})
	}
	if m.Known == 1 {
		all = append(all, figure{"death.known_by_last", "periods", m.Last})
	}
	return rows(int(m.Seed), nodes, "death", all)
}

// figure is a cost's name, unit and value.
type figure struct {
	cost, unit string
	value      float64
}

func rows(run, nodes int, phase string, all []figure) (out []figures.Row) {
	for _, f := range all {
		out = append(out, figures.Row{Run: run, Source: figures.Virtual, Dimension: "nodes", Size: float64(nodes), Phase: phase,
			Cost: f.cost, Unit: f.unit, Value: f.value})
	}
	return out
}
