// Package capacity computes the cost of each role of a fleet at the planned size: it fits a line to measured figures and
// compares the line's value at that size with a budget. It generates the tables of docs/CAPACITY.md and their charts, and
// detects differences between these files and the figures. docs/capacity/plan.toml configures it. The package does not
// measure anything.
package capacity

import (
	"errors"
	"fmt"
	"os"
	"slices"

	"gorseledge/internal/strict"
)

// Plan is the decoded form of docs/capacity/plan.toml.
type Plan struct {
	Size    Size         `toml:"size"`
	Assumed []Assumption `toml:"assumed"`
	Rows    []Row        `toml:"row"`
	Compare []Comparison `toml:"compare"`
}

// Comparison selects a cost of one table for the comparison of real and hollow nodes.
type Comparison struct {
	Table string `toml:"table"`
	Phase string `toml:"phase"`
	Cost  string `toml:"cost"`
}

// Size is the planned size of the fleet. Every field must be greater than zero. Times are in seconds, memory is in bytes.
type Size struct {
	Nodes           float64 `toml:"nodes"`
	Connections     float64 `toml:"connections"`
	Shards          float64 `toml:"shards"`
	LargestTopic    float64 `toml:"largest_topic_listeners"`
	Deliveries      float64 `toml:"deliveries_per_s"`
	DeliveryWithin  float64 `toml:"delivery_within_s"`
	DeliveryPart    float64 `toml:"delivery_part"` // fraction of the deliveries that must arrive within DeliveryWithin
	Regions         float64 `toml:"regions"`
	Zones           float64 `toml:"zones"`
	ChangesPerDay   float64 `toml:"changes_a_day"`
	ChangeWithin    float64 `toml:"change_in_force_within_s"`
	ControlCore     float64 `toml:"control_part_of_a_core"`
	ControlMemory   float64 `toml:"control_memory_bytes"`
	ControlBytes    float64 `toml:"control_bytes_per_s"`
	ControlMachines float64 `toml:"control_machines"`
	FailuresPerDay  float64 `toml:"machine_failures_a_day"`
	RestartsPerDay  float64 `toml:"restarts_a_day"`
	RegionCutFor    float64 `toml:"region_cut_s"`
}

// Assumption is a quantity that the plan does not state. Name and Why are required.
type Assumption struct {
	Name  string  `toml:"name"`
	Value float64 `toml:"value"`
	Unit  string  `toml:"unit"`
	Why   string  `toml:"why"`
}

// Row is one cost of one role. At most one of From and AssumedSlope may be set; without both, the row has no value.
type Row struct {
	Group        string          `toml:"group"` // the table of the page that contains the row
	Name         string          `toml:"name"`
	Mechanism    string          `toml:"mechanism"` // begins with "none yet" if there is no mechanism
	Size         string          `toml:"size"`      // name of the quantity whose value is the planned size
	Per          string          `toml:"per"`       // one unit of the size in words, for example "a node"
	SlopeUnit    string          `toml:"slope_unit"`
	From         *FigureSelector `toml:"from"`
	AssumedSlope *AssumedSlope   `toml:"reckoned"`
	Budget       string          `toml:"budget"` // name of the quantity whose value is the budget; empty if there is none
	Note         string          `toml:"note"`
}

// FigureSelector selects the figures from which the cost of a row is computed.
type FigureSelector struct {
	Table     string `toml:"table"`
	Source    string `toml:"source"`
	Dimension string `toml:"dimension"`
	Phase     string `toml:"phase"`
	Cost      string `toml:"cost"`
	// MeasuredAtSize makes the row use the median of the figures at the planned size instead of a fitted line.
	MeasuredAtSize bool `toml:"measured_at_size"`
	// SlopeOnly leaves out the intercept: the cost is the slope times the size. It is for costs that add to another cost.
	SlopeOnly bool `toml:"slope_only"`
}

// AssumedSlope is an assumed, not measured, cost per unit of the size.
type AssumedSlope struct {
	Slope float64 `toml:"slope"`
	Unit  string  `toml:"unit"`
	Basis string  `toml:"basis"` // the reason for the assumption
}

// noMechanism begins the Mechanism text of a row whose mechanism does not exist yet.
const noMechanism = "none yet"

// ReadPlan reads and validates a plan. Validation errors state the file and line.
func ReadPlan(path string) (*Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the capacity plan: %w", err)
	}
	return parsePlan(path, text)
}

// parsePlan decodes and validates a plan. It uses the path for error messages only.
func parsePlan(path string, text []byte) (*Plan, error) {
	plan := &Plan{}
	if err := strict.Decode(path, text, plan); err != nil {
		return nil, err
	}
	if key := plan.Size.missing(); key != "" {
		place := strict.Place{Table: "size", Key: key}
		return nil, place.Wrap(path, text, fmt.Errorf("%s is missing or not greater than 0", key))
	}
	for i, assumption := range plan.Assumed {
		if assumption.Name == "" || assumption.Why == "" {
			place := strict.Place{Table: "assumed", Index: i, Key: "name"}
			return nil, place.Wrap(path, text, errors.New("an assumption needs a name and a reason (why)"))
		}
	}
	quantities := plan.quantities()
	for i, row := range plan.Rows {
		if key, err := row.check(quantities); err != nil {
			place := strict.Place{Table: "row", Index: i, Key: key}
			return nil, place.Wrap(path, text, fmt.Errorf("%s: %w", row.Name, err))
		}
	}
	return plan, nil
}

// missing returns the key of the first figure that is not greater than zero, or "" if there is none.
func (s Size) missing() string {
	for _, figure := range s.figures() {
		if figure.value <= 0 {
			return figure.key
		}
	}
	return ""
}

// check returns an error for the first invalid key of a row, with the name of that key.
func (r Row) check(quantities map[string]quantity) (key string, err error) {
	_, sizeKnown := quantities[r.Size]
	_, budgetKnown := quantities[r.Budget]
	switch {
	case !slices.Contains(groups, r.Group):
		return "group", fmt.Errorf("unknown group %q", r.Group)
	case r.Name == "":
		return "name", errors.New("the row has no name")
	case r.Mechanism == "":
		return "mechanism", errors.New("the row has no mechanism; write " + noMechanism + " if none exists")
	case r.From != nil && r.AssumedSlope != nil:
		return "reckoned", errors.New("from and reckoned are mutually exclusive")
	case (r.From != nil || r.AssumedSlope != nil) && !sizeKnown:
		return "size", fmt.Errorf("unknown quantity %q for the size", r.Size)
	case r.Budget != "" && !budgetKnown:
		return "budget", fmt.Errorf("unknown quantity %q for the budget", r.Budget)
	}
	return "", nil
}
