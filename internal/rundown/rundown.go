// Package rundown reads the settings object that an instance is given at its start, for the module and for
// what carries it.
package rundown

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"gorseledge/placement"
)

// Door is what the adapters need of the settings beside the module's rundown: names and limits of
// connections.
type Door struct {
	Fields      []string // of a load report, in their order
	Types       []string // service types
	Tenants     []string
	Zones       []string
	DialTimeout float64 // a connection that is not up by then never comes up
	Longest     float64 // the longest connect timeout
	TellsLoad   bool    // hosts tell a connection's load
	TellsDelay  bool    // hosts tell how long a message takes
	Pushed      bool    // lists come on their own, to an agent on the node's machine
	PassThrough bool    // packets pass through: connections outlive the node
}

// start is the settings object of a start; keys not named here are skipped.
type start struct {
	Family struct {
		MessageAim []float64 `json:"message_aim_us"`
		Mode       string    `json:"mode"`
		TellsDelay bool      `json:"tells_delay"`
		TellsLoad  bool      `json:"tells_load"`
		Quotas     []float64 `json:"tenant_quota_connections"`
	} `json:"family_info"`
	Tick       float64 `json:"granularity_us"`
	Invariants struct {
		AskWithin    float64 `json:"ask_within_us"`
		ColdFrom     float64 `json:"cold_from"`
		ColdFor      float64 `json:"cold_us"`
		FallMultiple float64 `json:"fall_multiple"`
		FallFor      float64 `json:"fall_us"`
	} `json:"invariants"`
	Limits struct {
		DialTimeout   float64 `json:"dial_timeout_us"`
		MaxConnects   float64 `json:"max_connects"`
		MaxRetryAfter float64 `json:"max_retry_after_us"`
		Peers         bool    `json:"peers"`
		Probes        bool    `json:"probes"`
		RetryAfter    bool    `json:"retry_after"`
	} `json:"limits"`
	Membership string `json:"membership_mode"`
	Parties    []struct {
		Name string `json:"name"`
	} `json:"parties"`
	Reporting struct {
		Fields []string `json:"fields"`
		Source string   `json:"source"`
	} `json:"reporting"`
	Types []struct {
		Name        string  `json:"name"`
		Effect      string  `json:"effect"`
		Group       string  `json:"group"`
		GiveUp      float64 `json:"give_up_us"`
		MemorySpan  float64 `json:"memory_span_us"`
		SetupTarget float64 `json:"setup_target_us"`
	} `json:"service_types"`
	Siblings float64  `json:"siblings"`
	Me       *float64 `json:"me"`
	Zones    []string `json:"zones"`
}

var effects = map[string]placement.Effect{"repeatable": placement.Repeatable, "by_key": placement.Referenced,
	"once": placement.OnceOnly}

var groups = map[string]placement.Group{"all": placement.GroupAll, "zone": placement.GroupZone,
	"cell": placement.GroupCell}

const micro = 1e-6

// Wrong tells what of the settings cannot be taken, by its key.
type Wrong struct{ Key, Why string }

func (w *Wrong) Error() string { return w.Key + ": " + w.Why }

// Read turns the settings of a start into the module's rundown and the door's; what cannot be taken is a *Wrong. A key
// that is not known or missing is none.
func Read(text []byte, seed uint64) (placement.Rundown, Door, error) {
	var s start
	if err := json.Unmarshal(text, &s); err != nil {
		key := "settings"
		if kind := (*json.UnmarshalTypeError)(nil); errors.As(err, &kind) && kind.Field != "" {
			key += "." + kind.Field
		}
		return placement.Rundown{}, Door{}, &Wrong{key, err.Error()}
	}
	if wrong := s.check(); wrong != nil {
		return placement.Rundown{}, Door{}, wrong
	}
	r := placement.Rundown{
		Seed: seed, Nodes: whole(s.Siblings), Tick: span(s.Tick),
		MaxConnects: whole(s.Limits.MaxConnects), Probes: s.Limits.Probes, Subscribe: s.Membership == "subscribe",
		AskWithin: span(s.Invariants.AskWithin),
		ColdFrom:  s.Invariants.ColdFrom, ColdFor: span(s.Invariants.ColdFor),
		FallMultiple: s.Invariants.FallMultiple, FallFor: span(s.Invariants.FallFor),
		Reports: s.Reporting.Source == "on_probe",
		Peers:   s.Limits.Peers,
		Quotas:  s.Family.Quotas,
		Self:    -1, // not told
	}
	if s.Me != nil {
		r.Self = whole(*s.Me)
	}
	if s.Limits.RetryAfter {
		r.RetryAdvice = span(s.Limits.MaxRetryAfter)
	}
	d := Door{Fields: s.Reporting.Fields, Zones: s.Zones, DialTimeout: span(s.Limits.DialTimeout),
		TellsLoad: s.Family.TellsLoad, TellsDelay: s.Family.TellsDelay, PassThrough: s.Family.Mode == "pass",
		Pushed: s.Membership == "automatic"}
	for _, p := range s.Parties {
		d.Tenants = append(d.Tenants, p.Name)
	}
	for i, t := range s.Types {
		row := placement.ServiceType{Effect: effects[t.Effect], Group: groups[t.Group],
			MemorySpan: span(t.MemorySpan), SetupTarget: span(t.SetupTarget)}
		if i < len(s.Family.MessageAim) {
			row.MessageAim = span(s.Family.MessageAim[i])
		}
		r.Types = append(r.Types, row)
		d.Types = append(d.Types, t.Name)
		d.Longest = max(d.Longest, span(t.GiveUp))
	}
	return r, d, nil
}

// check gives the first figure below nothing, or the first effect that there is none of. Guards against a figure that
// is taken for nothing, and an effect for one that it is not.
func (s *start) check() *Wrong {
	type figure struct {
		key string
		x   float64
	}
	figures := []figure{{"granularity_us", s.Tick}, {"siblings", s.Siblings},
		{"invariants.ask_within_us", s.Invariants.AskWithin}, {"invariants.cold_from", s.Invariants.ColdFrom},
		{"invariants.cold_us", s.Invariants.ColdFor}, {"invariants.fall_multiple", s.Invariants.FallMultiple},
		{"invariants.fall_us", s.Invariants.FallFor}, {"limits.dial_timeout_us", s.Limits.DialTimeout},
		{"limits.max_connects", s.Limits.MaxConnects}, {"limits.max_retry_after_us", s.Limits.MaxRetryAfter}}
	if s.Me != nil {
		figures = append(figures, figure{"me", *s.Me})
	}
	for i, aim := range s.Family.MessageAim {
		figures = append(figures, figure{fmt.Sprintf("family_info.message_aim_us[%d]", i), aim})
	}
	for i, quota := range s.Family.Quotas {
		figures = append(figures, figure{fmt.Sprintf("family_info.tenant_quota_connections[%d]", i), quota})
	}
	for i, t := range s.Types {
		at := fmt.Sprintf("service_types[%d].", i)
		if _, known := effects[t.Effect]; !known && t.Effect != "" {
			return &Wrong{"settings." + at + "effect", fmt.Sprintf("%q is none of repeatable, by_key, once", t.Effect)}
		}
		figures = append(figures, figure{at + "give_up_us", t.GiveUp}, figure{at + "memory_span_us", t.MemorySpan},
			figure{at + "setup_target_us", t.SetupTarget})
	}
	for _, f := range figures {
		if f.x < 0 {
			return &Wrong{"settings." + f.key, fmt.Sprintf("%v is below nothing", f.x)}
		}
	}
	return nil
}

// Check tells of settings that no deployment can have together, by the key at fault: the node of one is not to
// start on half of another's.
func Check(r placement.Rundown) error {
	if r.Reports && !r.Probes {
		return &Wrong{"settings.reporting.source", "reports come on probes, and settings.limits.probes allows none"}
	}
	return nil
}

func span(us float64) float64 { return math.Max(us, 0) * micro }

func whole(x float64) int { return int(math.Min(math.Max(x, 0), 1<<20)) }
