// Package capacity computes what each role of a fleet costs at the planned size: it fits a line to measured figures and
// compares the line's value at that size with a budget. It owns the tables of docs/CAPACITY.md and their charts, and finds
// where they differ from the figures. docs/capacity/plan.toml configures it. The package measures nothing.
package capacity

import (
	"errors"
	"fmt"
	"os"
	"slices"

	"gorseledge/internal/strict"
)

// Plan is the content of docs/capacity/plan.toml.
type Plan struct {
	Size    Size         `toml:"size"`
	Assumed []Assumption `toml:"assumed"`
	Rows    []Row        `toml:"row"`
	Compare []Comparison `toml:"compare"`
}

// Comparison selects a cost by which real and hollow nodes of one table are compared.
type Comparison struct {
	Table string `toml:"table"`
	Phase string `toml:"phase"`
	Cost  string `toml:"cost"`
}

// Size is the planned size of the fleet. Every field has to be greater than zero; times are in seconds, memory in bytes.
type Size struct {
	Nodes           float64 `toml:"nodes"`
	Connections     float64 `toml:"connections"`
	Shards          float64 `toml:"shards"`
	LargestTopic    float64 `toml:"largest_topic_listeners"`
	Deliveries      float64 `toml:"deliveries_per_s"`
	DeliveryWithin  float64 `toml:"delivery_within_s"`
	DeliveryPart    float64 `toml:"delivery_part"` // part of the deliveries that DeliveryWithin holds for
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

// Row is one cost of one role. At most one of From and AssumedSlope is set; with neither, the row has no value.
type Row struct {
	Group        string          `toml:"group"` // the table of the page that has the row
	Name         string          `toml:"name"`
	Mechanism    string          `toml:"mechanism"` // begins with "none yet" if there is no mechanism
	Size         string          `toml:"size"`      // name of the quantity that is the planned size
	Per          string          `toml:"per"`       // what one unit of the size is, for example "a node"
	SlopeUnit    string          `toml:"slope_unit"`
	From         *FigureSelector `toml:"from"`
	AssumedSlope *AssumedSlope   `toml:"reckoned"`
	Budget       string          `toml:"budget"` // name of the quantity that is the budget, or empty
	Note         string          `toml:"note"`
}

// FigureSelector selects the figures that a row is evaluated by.
type FigureSelector struct {
	Table     string `toml:"table"`
	Source    string `toml:"source"`
	Dimension string `toml:"dimension"`
	Phase     string `toml:"phase"`
	Cost      string `toml:"cost"`
	// MeasuredAtSize uses the median of the figures at the planned size instead of a line.
	MeasuredAtSize bool `toml:"measured_at_size"`
	// SlopeOnly multiplies the slope by the size and leaves out the intercept, for a cost that adds to another.
	SlopeOnly bool `toml:"slope_only"`
}

// AssumedSlope is a cost for each unit of the size that was not measured.
type AssumedSlope struct {
	Slope float64 `toml:"slope"`
	Unit  string  `toml:"unit"`
	Basis string  `toml:"basis"` // the reason for the assumption
}

// noMechanism begins the mechanism of a row that has none yet.
const noMechanism = "none yet"

// ReadPlan reads and validates a plan. Errors state the file and line.
func ReadPlan(path string) (*Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("reading the capacity plan: %w", err)
	}
	return parsePlan(path, text)
}

// parsePlan decodes and validates a plan; path is for error messages.
func parsePlan(path string, text []byte) (*Plan, error) {
	plan := &Plan{}
	if err := strict.Decode(path, text, plan); err != nil {
		return nil, err
	}
	if key := plan.Size.missing(); key != "" {
		place := strict.Place{Table: "size", Key: key}
		return nil, place.Wrap(path, text, fmt.Errorf("%s is missing or not over nothing", key))
	}
	for i, assumption := range plan.Assumed {
		if assumption.Name == "" || assumption.Why == "" {
			place := strict.Place{Table: "assumed", Index: i, Key: "name"}
			return nil, place.Wrap(path, text, errors.New("an assumption has a name, and why it is made"))
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

// missing returns the key of the first figure that is not greater than zero, or "".
func (s Size) missing() string {
	for _, figure := range s.figures() {
		if figure.value <= 0 {
			return figure.key
		}
	}
	return ""
}

// check returns the first fault of a row and the key that has it.
func (r Row) check(quantities map[string]quantity) (key string, err error) {
	_, sizeKnown := quantities[r.Size]
	_, budgetKnown := quantities[r.Budget]
	switch {
	case !slices.Contains(groups, r.Group):
		return "group", fmt.Errorf("no table %q", r.Group)
	case r.Name == "":
		return "name", errors.New("a row has a name")
	case r.Mechanism == "":
		return "mechanism", errors.New("a row names what carries it, or says " + noMechanism)
	case r.From != nil && r.AssumedSlope != nil:
		return "reckoned", errors.New("a row is either fitted or reckoned")
	case (r.From != nil || r.AssumedSlope != nil) && !sizeKnown:
		return "size", fmt.Errorf("no quantity %q", r.Size)
	case r.Budget != "" && !budgetKnown:
		return "budget", fmt.Errorf("no quantity %q", r.Budget)
	}
	return "", nil
}
