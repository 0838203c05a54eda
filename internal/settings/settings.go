// Package settings reads the settings object that an instance is given at its start, for the module and for
// what carries it.
package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"gorseledge/placement"
)

// ListenerSettings is what the adapters need of the settings beside the module's rundown: names and limits of
// connections.
type ListenerSettings struct {
	ReportFields      []string // of a load report, in their order
	ServiceTypes      []string // service types
	Tenants           []string
	Zones             []string
	DialTimeout       float64 // a connection that is not up by then never comes up
	MaxConnectTimeout float64 // the longest connect timeout
	ReportsLoad       bool    // hosts tell a connection's load
	ReportsDelay      bool    // hosts tell how long a message takes
	ListPushed        bool    // lists come on their own, to an agent on the node's machine
	PassThrough       bool    // packets pass through: connections outlive the node
}

// object is the settings object of a start; keys not named here are skipped.
type object struct {
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

var effects = map[string]placement.Idempotency{"repeatable": placement.Idempotent, "by_key": placement.IdempotentWithKey,
	"once": placement.AtMostOnce}

var groups = map[string]placement.KeyScope{"all": placement.KeyScopeAll, "zone": placement.KeyScopeZone,
	"cell": placement.KeyScopeCell}

const micro = 1e-6

// KeyError tells what of the settings cannot be taken, by its key.
type KeyError struct{ Key, Reason string }

func (w *KeyError) Error() string { return w.Key + ": " + w.Reason }

// Parse turns the settings of a start into the module's rundown and the door's; what cannot be taken is a *Wrong. A key
// that is not known or missing is none.
func Parse(text []byte, seed uint64) (placement.Settings, ListenerSettings, error) {
	var s object
	if err := json.Unmarshal(text, &s); err != nil {
		key := "settings"
		if kind := (*json.UnmarshalTypeError)(nil); errors.As(err, &kind) && kind.Field != "" {
			key += "." + kind.Field
		}
		return placement.Settings{}, ListenerSettings{}, &KeyError{key, err.Error()}
	}
	if wrong := s.check(); wrong != nil {
		return placement.Settings{}, ListenerSettings{}, wrong
	}
	r := placement.Settings{
		Seed: seed, Nodes: whole(s.Siblings), Tick: span(s.Tick),
		MaxAttempts: whole(s.Limits.MaxConnects), HealthChecks: s.Limits.Probes, WatchEndpoints: s.Membership == "subscribe",
		PollInterval:   span(s.Invariants.AskWithin),
		SlowStartShare: s.Invariants.ColdFrom, SlowStartTime: span(s.Invariants.ColdFor),
		OverloadMultiple: s.Invariants.FallMultiple, OverloadWindow: span(s.Invariants.FallFor),
		LoadReports: s.Reporting.Source == "on_probe",
		LoadGossip:  s.Limits.Peers,
		Quotas:      s.Family.Quotas,
		NodeNumber:  -1, // not told
	}
	if s.Me != nil {
		r.NodeNumber = whole(*s.Me)
	}
	if s.Limits.RetryAfter {
		r.MaxRetryAfter = span(s.Limits.MaxRetryAfter)
	}
	d := ListenerSettings{ReportFields: s.Reporting.Fields, Zones: s.Zones, DialTimeout: span(s.Limits.DialTimeout),
		ReportsLoad: s.Family.TellsLoad, ReportsDelay: s.Family.TellsDelay, PassThrough: s.Family.Mode == "pass",
		ListPushed: s.Membership == "automatic"}
	for _, p := range s.Parties {
		d.Tenants = append(d.Tenants, p.Name)
	}
	for i, t := range s.Types {
		row := placement.ServiceType{Idempotency: effects[t.Effect], KeyScope: groups[t.Group],
			KeyLifetime: span(t.MemorySpan), SetupObjective: span(t.SetupTarget)}
		if i < len(s.Family.MessageAim) {
			row.MessageObjective = span(s.Family.MessageAim[i])
		}
		r.ServiceTypes = append(r.ServiceTypes, row)
		d.ServiceTypes = append(d.ServiceTypes, t.Name)
		d.MaxConnectTimeout = max(d.MaxConnectTimeout, span(t.GiveUp))
	}
	return r, d, nil
}

// check gives the first figure below nothing, or the first effect that there is none of. Guards against a figure that
// is taken for nothing, and an effect for one that it is not.
func (s *object) check() *KeyError {
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
			return &KeyError{"settings." + at + "effect", fmt.Sprintf("%q is none of repeatable, by_key, once", t.Effect)}
		}
		figures = append(figures, figure{at + "give_up_us", t.GiveUp}, figure{at + "memory_span_us", t.MemorySpan},
			figure{at + "setup_target_us", t.SetupTarget})
	}
	for _, f := range figures {
		if f.x < 0 {
			return &KeyError{"settings." + f.key, fmt.Sprintf("%v is below nothing", f.x)}
		}
	}
	return nil
}

// Validate tells of settings that no deployment can have together, by the key at fault: the node of one is not to
// start on half of another's.
func Validate(r placement.Settings) error {
	if r.LoadReports && !r.HealthChecks {
		return &KeyError{"settings.reporting.source", "reports come on probes, and settings.limits.probes allows none"}
	}
	return nil
}

func span(us float64) float64 { return math.Max(us, 0) * micro }

func whole(x float64) int { return int(math.Min(math.Max(x, 0), 1<<20)) }
