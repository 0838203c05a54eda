package settings

import (
	"fmt"

	"gorseledge/placement"
)

// object is the JSON form of the settings. Times are in microseconds. Unknown keys are ignored.
type object struct {
	Family struct {
		MessageObjectives []float64 `json:"message_aim_us"` // by service type
		Mode              string    `json:"mode"`
		ReportsDelay      bool      `json:"tells_delay"`
		ReportsLoad       bool      `json:"tells_load"`
		Quotas            []float64 `json:"tenant_quota_connections"` // by tenant
	} `json:"family_info"`
	Tick       float64 `json:"granularity_us"` // shortest time between two rounds of inputs
	Invariants struct {
		PollInterval     float64 `json:"ask_within_us"`
		SlowStartShare   float64 `json:"cold_from"` // fraction of its capacity that a server has when it starts
		SlowStartTime    float64 `json:"cold_us"`
		OverloadMultiple float64 `json:"fall_multiple"`                    // multiple of its capacity above which a server in slow start fails
		OverloadWindow   float64 `json:"fall_us"`                          // how long the server withstands a load above that multiple
		DrainGrace       float64 `json:"stop_sending_within_us,omitempty"` // omitted to encode settings.json as it is
	} `json:"invariants"`
	Limits struct {
		DialTimeout   float64 `json:"dial_timeout_us"`
		MaxAttempts   float64 `json:"max_connects"` // converted to a whole number by count
		MaxRetryAfter float64 `json:"max_retry_after_us"`
		LoadGossip    bool    `json:"peers"`
		HealthChecks  bool    `json:"probes"`
		RetryAfter    bool    `json:"retry_after"`
	} `json:"limits"`
	ListMode string `json:"membership_mode"`
	Tenants  []struct {
		Name string `json:"name"`
	} `json:"parties"`
	Reporting struct {
		Fields []string `json:"fields"`
		Source string   `json:"source"`
	} `json:"reporting"`
	ServiceTypes []struct {
		Name              string  `json:"name"`
		Effect            string  `json:"effect"`
		KeyScope          string  `json:"group"`
		MaxConnectTimeout float64 `json:"give_up_us"`
		KeyLifetime       float64 `json:"memory_span_us"`
		SetupObjective    float64 `json:"setup_target_us"`
	} `json:"service_types"`
	Nodes      float64  `json:"siblings"` // converted to a whole number by count, as is NodeNumber
	NodeNumber *float64 `json:"me"`       // nil if it is missing
	Zones      []string `json:"zones"`
}

// The values of the keys mode, membership_mode and source that have a meaning here. Any other value selects the default.
const (
	modePassThrough         = "pass"
	listModeWatched         = "subscribe"
	listModePushed          = "automatic"
	reportsWithHealthChecks = "on_probe"
)

// idempotencies maps the values of a service type's key "effect". A missing or empty value is AtMostOnce.
var idempotencies = map[string]placement.Idempotency{
	"repeatable": placement.Idempotent,
	"by_key":     placement.IdempotentWithKey,
	"once":       placement.AtMostOnce,
}

// keyScopes maps the values of a service type's key "group". Any other value is KeyScopeCell.
var keyScopes = map[string]placement.KeyScope{
	"all":  placement.KeyScopeAll,
	"zone": placement.KeyScopeZone,
	"cell": placement.KeyScopeCell,
}

// number is a numeric setting. Its key is the path below the root key.
type number struct {
	key   string
	value float64
}

// check returns a *KeyError for the first unknown effect or else for the first negative number. An invalid value is an error
// and is never replaced by a default.
func (o *object) check() error {
	for i, t := range o.ServiceTypes {
		if _, known := idempotencies[t.Effect]; !known && t.Effect != "" {
			return &KeyError{
				Key:    fmt.Sprintf("%s.service_types[%d].effect", rootKey, i),
				Reason: fmt.Sprintf("must be repeatable, by_key or once, got %q", t.Effect),
			}
		}
	}
	for _, n := range o.nonNegative() {
		if n.value < 0 {
			return &KeyError{Key: rootKey + "." + n.key, Reason: fmt.Sprintf("must not be negative, got %v", n.value)}
		}
	}
	return nil
}

// nonNegative returns the numbers that must not be negative.
func (o *object) nonNegative() []number {
	numbers := []number{
		{"granularity_us", o.Tick},
		{"siblings", o.Nodes},
		{"invariants.ask_within_us", o.Invariants.PollInterval},
		{"invariants.cold_from", o.Invariants.SlowStartShare},
		{"invariants.cold_us", o.Invariants.SlowStartTime},
		{"invariants.fall_multiple", o.Invariants.OverloadMultiple},
		{"invariants.fall_us", o.Invariants.OverloadWindow},
		{"invariants.stop_sending_within_us", o.Invariants.DrainGrace},
		{"limits.dial_timeout_us", o.Limits.DialTimeout},
		{"limits.max_connects", o.Limits.MaxAttempts},
		{"limits.max_retry_after_us", o.Limits.MaxRetryAfter},
	}
	if o.NodeNumber != nil {
		numbers = append(numbers, number{"me", *o.NodeNumber})
	}
	for i, objective := range o.Family.MessageObjectives {
		numbers = append(numbers, number{fmt.Sprintf("family_info.message_aim_us[%d]", i), objective})
	}
	for i, quota := range o.Family.Quotas {
		numbers = append(numbers, number{fmt.Sprintf("family_info.tenant_quota_connections[%d]", i), quota})
	}
	for i, t := range o.ServiceTypes {
		prefix := fmt.Sprintf("service_types[%d].", i)
		numbers = append(numbers, number{prefix + "give_up_us", t.MaxConnectTimeout}, number{prefix + "memory_span_us", t.KeyLifetime},
			number{prefix + "setup_target_us", t.SetupObjective})
	}
	return numbers
}
