// Package capacity reckons what each role of a fleet costs at the planned size: a line is fitted to measured figures, and
// its value at that size stands beside its budget. It writes the tables of docs/CAPACITY.md and their charts, and tells
// where they differ from the figures. docs/capacity/plan.toml says what is reckoned.
package capacity

import (
	"errors"
	"fmt"
	"os"
	"slices"

	"gorseledge/internal/strict"
)

// Plan is what docs/capacity/plan.toml holds.
type Plan struct {
	Size    Size         `toml:"size"`
	Assumed []Assumption `toml:"assumed"`
	Rows    []Row        `toml:"row"`
	Compare []Comparison `toml:"compare"`
}

// Comparison is a cost by which real and hollow nodes of one table are set beside each other.
type Comparison struct {
	Table string `toml:"table"`
	Phase string `toml:"phase"`
	Cost  string `toml:"cost"`
}

// Size is the operators' plan, word for word in figures.
type Size struct {
	Nodes           float64 `toml:"nodes"`
	Connections     float64 `toml:"connections"`
	Shards          float64 `toml:"shards"`
	LargestTopic    float64 `toml:"largest_topic_listeners"`
	Deliveries      float64 `toml:"deliveries_per_s"`
	DeliveryWithin  float64 `toml:"delivery_within_s"`
	DeliveryPart    float64 `toml:"delivery_part"`
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

// Assumption is what the plan does not say and the page takes for granted.
type Assumption struct {
	Name  string  `toml:"name"`
	Value float64 `toml:"value"`
	Unit  string  `toml:"unit"`
	Why   string  `toml:"why"`
}

// Row is one cost of one role.
type Row struct {
	Group        string          `toml:"group"` // the table in which it stands
	Name         string          `toml:"name"`
	Mechanism    string          `toml:"mechanism"` // what carries it; "none yet" and what it would take, where nothing does
	Size         string          `toml:"size"`      // the quantity that it is reckoned at
	Per          string          `toml:"per"`       // one of what the slope is a cost of
	SlopeUnit    string          `toml:"slope_unit"`
	From         *FigureSelector `toml:"from"`
	AssumedSlope *AssumedSlope   `toml:"reckoned"`
	Budget       string          `toml:"budget"` // a quantity
	Note         string          `toml:"note"`
}

// FigureSelector names the figures that a row's line is fitted to.
type FigureSelector struct {
	Table          string `toml:"table"`
	Source         string `toml:"source"`
	Dimension      string `toml:"dimension"`
	Phase          string `toml:"phase"`
	Cost           string `toml:"cost"`
	MeasuredAtSize bool   `toml:"measured_at_size"` // the median of the figures at the size itself, without a line
	SlopeOnly      bool   `toml:"slope_only"`       // what is added to something that is there: slope times size, without the line's value at none
}

// AssumedSlope is a slope that no run of this page gave.
type AssumedSlope struct {
	Slope float64 `toml:"slope"`
	Unit  string  `toml:"unit"`
	Basis string  `toml:"basis"`
}

// noMechanism begins the mechanism of a row that nothing carries yet.
const noMechanism = "none yet"

// quantity is a figure of the plan, or what follows from it by division.
type quantity struct {
	value      float64
	unit       string
	derivation string // it follows, where it is not of the plan itself
}

// ReadPlan reads and checks a plan.
func ReadPlan(path string) (*Plan, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return parsePlan(path, text)
}

func parsePlan(path string, text []byte) (*Plan, error) {
	p := &Plan{}
	if err := strict.Decode(path, text, p); err != nil {
		return nil, err
	}
	if key := p.Size.missing(); key != "" {
		return nil, strict.Place{Table: "size", Key: key}.Wrap(path, text, fmt.Errorf("%s is missing or not over nothing", key))
	}
	quantities := p.quantities()
	for i, a := range p.Assumed {
		if a.Name == "" || a.Why == "" {
			return nil, strict.Place{Table: "assumed", Index: i, Key: "name"}.Wrap(path, text,
				errors.New("an assumption has a name, and why it is made"))
		}
	}
	for i, row := range p.Rows {
		if key, err := row.check(quantities); err != nil {
			return nil, strict.Place{Table: "row", Index: i, Key: key}.Wrap(path, text, fmt.Errorf("%s: %w", row.Name, err))
		}
	}
	return p, nil
}

// missing gives the key of the first figure of the plan that is not there.
func (s Size) missing() string {
	for _, f := range s.figures() {
		if f.value <= 0 {
			return f.key
		}
	}
	return ""
}

// check tells what is wrong with a row, and at which key.
func (r Row) check(quantities map[string]quantity) (key string, err error) {
	_, size := quantities[r.Size]
	_, budget := quantities[r.Budget]
	switch {
	case !slices.Contains(groups, r.Group):
		return "group", fmt.Errorf("no table %q", r.Group)
	case r.Name == "":
		return "name", errors.New("a row has a name")
	case r.Mechanism == "":
		return "mechanism", errors.New("a row names what carries it, or says " + noMechanism)
	case r.From != nil && r.AssumedSlope != nil:
		return "reckoned", errors.New("a row is either fitted or reckoned")
	case (r.From != nil || r.AssumedSlope != nil) && !size:
		return "size", fmt.Errorf("no quantity %q", r.Size)
	case r.Budget != "" && !budget:
		return "budget", fmt.Errorf("no quantity %q", r.Budget)
	}
	return "", nil
}
