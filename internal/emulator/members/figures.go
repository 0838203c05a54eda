package members

import (
	"math"

	"gorseledge/internal/figures"
)

// figure is the name of a cost, its unit and its value.
type figure struct {
	cost  string
	unit  string
	value float64
}

// Figures returns the cost of a member at rest as table rows.
func (c IdleCost) Figures(run, nodes int) []figures.Row {
	return rows(run, nodes, "rest", []figure{
		{"node.membership_cpu", "us/s", 1e6 * c.CPU},
		{"node.membership_memory", "B", c.Memory},
		{"node.membership_messages_sent", "1/s", c.Messages},
		{"node.membership_bytes_sent", "B/s", c.Bytes},
	})
}

// Figures returns the figures of the detection of a death as table rows, with times in periods after the death. An event that
// did not happen during the measurement has no row.
func (m Measurement) Figures(nodes int) []figures.Row {
	all := []figure{{"death.known_part", "1", m.KnownFraction}}
	if !math.IsInf(m.FirstSuspicion, 0) {
		all = append(all, figure{"death.suspected_by_first", "periods", m.FirstSuspicion})
	}
	if !math.IsInf(m.FirstDeath, 0) {
		all = append(all, figure{"death.known_by_first", "periods", m.FirstDeath})
	}
	if m.KnownFraction == 1 {
		all = append(all, figure{"death.known_by_last", "periods", m.LastDeath})
	}
	return rows(int(m.Seed), nodes, "death", all)
}

// rows converts figures to table rows.
func rows(run, nodes int, phase string, all []figure) []figures.Row {
	var out []figures.Row
	for _, f := range all {
		out = append(out, figures.Row{
			Run:       run,
			Source:    figures.Virtual,
			Dimension: "nodes",
			Size:      float64(nodes),
			Phase:     phase,
			Cost:      f.cost,
			Unit:      f.unit,
			Value:     f.value,
		})
	}
	return out
}
