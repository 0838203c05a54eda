package serving

import "gorseledge/internal/figures"

// dimension is the table's name of the quantity that a measurement varies.
type dimension string

// phase is the table's name of the activity during a measurement.
type phase string

// unit is the table's name of a unit of values.
type unit string

const (
	byConnections dimension = "connections"
	byFlows       dimension = "flows"
	byRate        dimension = "lines_per_second"
	byListeners   dimension = "listeners"

	idlePhase        phase = "held"
	flowsPhase       phase = "flows"
	deliveryPhase    phase = "deliver"
	burstPhase       phase = "burst"
	loadedBurstPhase phase = "burst_with_load"

	count                 unit = "1"
	bytes                 unit = "B"
	seconds               unit = "s"
	microseconds          unit = "us"
	microsecondsPerSecond unit = "us/s"
	perSecond             unit = "1/s"
)

// measurement identifies the rows that one measurement adds to the table.
type measurement struct {
	repeat    int
	dimension dimension
	size      int // value of the dimension
	phase     phase
}

// record adds a value of a measurement to the table as one row.
func (r *run) record(m measurement, cost string, in unit, value float64) {
	r.table.Add(figures.Row{
		Run:       m.repeat,
		Source:    figures.Real,
		Dimension: string(m.dimension),
		Size:      float64(m.size),
		Phase:     string(m.phase),
		Cost:      cost,
		Unit:      string(in),
		Value:     value,
	})
}
