package figures

import (
	"fmt"
	"strconv"
)

const (
	// scaleRun is the run of each figure: "gorseledge-lab scale" measures each size once.
	scaleRun = 1
	// scaleDimension is the only quantity that "gorseledge-lab scale" varies.
	scaleDimension = "nodes"
)

// scaleHeader names the columns of a table of "gorseledge-lab scale".
var scaleHeader = []string{"nodes", "kind", "nodes_of_kind", "phase", "cost", "unit", "value"}

// unitConversion converts a value to another unit by a factor.
type unitConversion struct {
	unit   string
	factor float64
}

// scaleUnits maps units of "gorseledge-lab scale" to those of this package. Other units are the same in both.
var scaleUnits = map[string]unitConversion{
	"cores": {unit: "us/s", factor: 1e6},
	"part":  {unit: "1", factor: 1},
}

// parseScaleRow reads one row whose columns are those of scaleHeader.
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
