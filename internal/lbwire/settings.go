package lbwire

import (
	"encoding/json"
	"fmt"
	"math"

	"gorseledge/placement"
)

// start is the settings object of a start; keys not named here are skipped.
type start struct {
	FamilyInfo struct {
		MessageAim []float64 `json:"message_aim_us"`
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
		MaxConnects   float64 `json:"max_connects"`
		MaxRetryAfter float64 `json:"max_retry_after_us"`
		Probes        bool    `json:"probes"`
		RetryAfter    bool    `json:"retry_after"`
	} `json:"limits"`
	Membership string `json:"membership_mode"`
	Reporting  struct {
		Fields []string `json:"fields"`
		Source string   `json:"source"`
	} `json:"reporting"`
	Types []struct {
		Effect      string  `json:"effect"`
		Group       string  `json:"group"`
		MemorySpan  float64 `json:"memory_span_us"`
		SetupTarget float64 `json:"setup_target_us"`
	} `json:"service_types"`
	Siblings float64 `json:"siblings"`
}

var effects = map[string]placement.Effect{"repeatable": placement.Repeatable, "by_key": placement.Referenced,
	"once": placement.OnceOnly}

var groups = map[string]placement.Group{"all": placement.GroupAll, "zone": placement.GroupZone,
	"cell": placement.GroupCell}

const micro = 1e-6

// readStart turns the settings of a start into a rundown and the order of the report fields.
func readStart(text []byte, seed uint64) (placement.Rundown, []string, error) {
	var s start
	if err := json.Unmarshal(text, &s); err != nil {
		return placement.Rundown{}, nil, fmt.Errorf("settings: %w", err)
	}
	r := placement.Rundown{
		Seed: seed, Nodes: whole(s.Siblings), Tick: span(s.Tick),
		MaxConnects: whole(s.Limits.MaxConnects), Probes: s.Limits.Probes, Subscribe: s.Membership == "subscribe",
		AskWithin: span(s.Invariants.AskWithin), ColdFrom: s.Invariants.ColdFrom, ColdFor: span(s.Invariants.ColdFor),
		FallMultiple: s.Invariants.FallMultiple, FallFor: span(s.Invariants.FallFor),
		Reports: s.Reporting.Source == "on_probe",
		Quotas:  s.FamilyInfo.Quotas,
	}
	if s.Limits.RetryAfter {
		r.RetryAdvice = span(s.Limits.MaxRetryAfter)
	}
	for i, t := range s.Types {
		row := placement.ServiceType{Effect: effects[t.Effect], Group: groups[t.Group],
			MemorySpan: span(t.MemorySpan), SetupTarget: span(t.SetupTarget)}
		if i < len(s.FamilyInfo.MessageAim) {
			row.MessageAim = span(s.FamilyInfo.MessageAim[i])
		}
		r.Types = append(r.Types, row)
	}
	return r, s.Reporting.Fields, nil
}

func span(us float64) float64 { return math.Max(us, 0) * micro }

func whole(x float64) int { return int(math.Min(math.Max(x, 0), 1<<20)) }
