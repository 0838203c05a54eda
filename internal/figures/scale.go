package figures

import (
	"fmt"
	"strconv"
)

const (
	// scaleRun is the run number of each figure, because "gorseledge-lab scale" measures each size once.
	scaleRun = 1
	// scaleDimension is the dimension of each figure: "gorseledge-lab scale" varies only the number of nodes.
	scaleDimension = "nodes"
)

// scaleHeader names the columns of tables of "gorseledge-lab scale".
var scaleHeader = []string{"nodes", "kind", "nodes_of_kind", "phase", "cost", "unit", "value"}

// unitConversion is a target unit and the factor by which values are multiplied to convert them to it.
type unitConversion struct {
	unit   string
	factor float64
}

// scaleUnits maps units of "gorseledge-lab scale" to those of this package. Units that are not listed need no conversion.
var scaleUnits = map[string]unitConversion{
	"cores": {unit: "us/s", factor: 1e6},
	"part":  {unit: "1", factor: 1},
}

// parseScaleRow parses a row with the columns of scaleHeader.
func parseScaleRow(record []string) (Row, error) {
	size, err := strconv.ParseFloat(record[0], 64)
	if err != nil {
		return Row{}, fmt.Errorf("reading nodes: %w", err)
	}
	value, err := strconv.ParseFloat(record[6], 64)
	if err != nil {
		return Row{}, fmt.Errorf("reading value: %w", err)
	}
	unit := record[5]
	if conversion, found := scaleUnits[unit]; found {
		unit = conversion.unit
		value *= conversion.factor
	}
	return Row{
		Run:       scaleRun,
		Source:    Source(record[1]),
		Dimension: scaleDimension,
		Size:      size,
		Phase:     record[3],
		Cost:      record[4],
		Unit:      unit,
		Value:     value,
	}, nil
}
