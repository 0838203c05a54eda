package livesettings

import (
	"strings"

	"gorseledge/internal/node/live"
)

// Ranges of the figures. What lies outside is taken for a slip of the hand.
const (
	MaxRetryAdvice   = 600 // seconds
	MinAskWithin     = 0.5 // seconds
	MaxAskWithin     = 300
	MinNodes         = 1 // nodes that share the hosts
	MaxNodes         = 100_000
	MinMaxConnects   = 1 // connects for one flow
	MaxMaxConnects   = 64
	MinSockets       = 32 // descriptors of a node
	MaxSockets       = 4 << 20
	MinSlowStartFrom = 0.001 // share of a host's capacity
	MaxSlowStartFrom = 1
	MinSlowStartFor  = 0.1 // seconds
	MaxSlowStartFor  = 3600
	MinFallMultiple  = 1 // times what a host bears
	MaxFallMultiple  = 20
	MinFallFor       = 0.01 // seconds
	MaxFallFor       = 60
	MaxConnections   = 1_000_000_000 // open connections of a tenant over all nodes
	MinSetupTarget   = 0.001         // seconds
	MaxSetupTarget   = 600
	MinMessageTarget = 0.0001 // seconds
	MaxMessageTarget = 60
	MaxDisabledUntil = 4_102_444_800 // Unix seconds: the year 2100
	MinWeight        = 0.001         // compared with the other hosts' weights
	MaxWeight        = 1_000_000
	MaxNameBytes     = 128 // of a tenant's, service type's or host's name
	MaxAddressBytes  = 255 // of discovery's address
	MaxPort          = 65535
)

const wildcard = "*" // stands for a name in a pattern

// key is one key of the document: its pattern, in which * stands for a name, the unit and range of its value, and how
// the value gets into the settings. A key without a unit takes an address.
type key struct {
	pattern   string
	unit      string
	low, high float64
	whole     bool // only whole numbers are taken

	setNumber func(s *Settings, name string, x float64)
	setText   func(s *Settings, text string)
}

// keys are all keys of the document.
var keys = []key{
	{pattern: "retry_advice_s", unit: "s", high: MaxRetryAdvice,
		setNumber: func(s *Settings, _ string, x float64) { s.MaxRetryAfter = &x }},
	{pattern: "ask_within_s", unit: "s", low: MinAskWithin, high: MaxAskWithin,
		setNumber: func(s *Settings, _ string, x float64) { s.PollInterval = &x }},
	{pattern: "nodes", unit: "nodes", low: MinNodes, high: MaxNodes, whole: true,
		setNumber: func(s *Settings, _ string, x float64) { s.Nodes = count(x) }},
	{pattern: "discovery",
		setText: func(s *Settings, text string) { s.Discovery = &text }},
	{pattern: "limits.max_connects", unit: "connects", low: MinMaxConnects, high: MaxMaxConnects, whole: true,
		setNumber: func(s *Settings, _ string, x float64) { s.MaxAttempts = count(x) }},
	{pattern: "limits.sockets", unit: "descriptors", low: MinSockets, high: MaxSockets, whole: true,
		setNumber: func(s *Settings, _ string, x float64) { s.MaxDescriptors = count(x) }},
	{pattern: "slow_start.from", unit: "share", low: MinSlowStartFrom, high: MaxSlowStartFrom,
		setNumber: func(s *Settings, _ string, x float64) { s.SlowStart.Share = &x }},
	{pattern: "slow_start.for_s", unit: "s", low: MinSlowStartFor, high: MaxSlowStartFor,
		setNumber: func(s *Settings, _ string, x float64) { s.SlowStart.Duration = &x }},
	{pattern: "slow_start.fall_multiple", unit: "times", low: MinFallMultiple, high: MaxFallMultiple,
		setNumber: func(s *Settings, _ string, x float64) { s.SlowStart.OverloadMultiple = &x }},
	{pattern: "slow_start.fall_for_s", unit: "s", low: MinFallFor, high: MaxFallFor,
		setNumber: func(s *Settings, _ string, x float64) { s.SlowStart.OverloadWindow = &x }},
	{pattern: "tenants.*.connections", unit: "connections", high: MaxConnections, whole: true,
		setNumber: func(s *Settings, name string, x float64) {
			change(&s.Tenants, name, func(t *live.Tenant) { t.Connections = count(x) })
		}},
	{pattern: "service_types.*.setup_target_s", unit: "s", low: MinSetupTarget, high: MaxSetupTarget,
		setNumber: func(s *Settings, name string, x float64) {
			change(&s.Types, name, func(t *live.ServiceType) { t.SetupObjective = &x })
		}},
	{pattern: "service_types.*.message_target_s", unit: "s", low: MinMessageTarget, high: MaxMessageTarget,
		setNumber: func(s *Settings, name string, x float64) {
			change(&s.Types, name, func(t *live.ServiceType) { t.MessageObjective = &x })
		}},
	{pattern: "hosts.*.disabled_until_s", unit: "Unix s", high: MaxDisabledUntil,
		setNumber: func(s *Settings, name string, x float64) {
			change(&s.Hosts, name, func(h *live.Host) { h.DisabledUntil = &x })
		}},
	{pattern: "hosts.*.weight", unit: "as listed", low: MinWeight, high: MaxWeight,
		setNumber: func(s *Settings, name string, x float64) {
			change(&s.Hosts, name, func(h *live.Host) { h.Weight = &x })
		}},
}

// count gives a whole number as the settings keep it.
func count(x float64) *int {
	n := int(x)
	return &n
}

// change edits one named row of a table, which comes to be with its first row.
func change[Row any](table *map[string]Row, name string, edit func(*Row)) {
	if *table == nil {
		*table = map[string]Row{}
	}
	row := (*table)[name]
	edit(&row)
	(*table)[name] = row
}

// match tells whether a key is of the pattern, and which name stands in it. A name may itself have dots.
func (k key) match(text string) (name string, ok bool) {
	before, after, named := strings.Cut(k.pattern, wildcard)
	if !named {
		return "", text == k.pattern
	}
	if len(text) <= len(before)+len(after) || !strings.HasPrefix(text, before) || !strings.HasSuffix(text, after) {
		return "", false
	}
	return text[len(before) : len(text)-len(after)], true
}

// restartKeys are the patterns of what a start's config and its settings object know and only a start takes. What
// stands below one of them is meant as well.
var restartKeys = []string{
	"name", "listen", "admin_addr", "peer_addr", "peers", "seed", "fleet", "known", "settings",
	"limits.cores", "limits.memory_mb", "limits.dial_timeout_us", "limits.peers", "limits.probes", "limits.retry_after",
	"family_info", "granularity_us", "membership_mode", "parties", "reporting", "me", "zones",
	"service_types.*.name", "service_types.*.effect", "service_types.*.group", "service_types.*.give_up_us",
	"service_types.*.memory_span_us",
}

// otherNames are figures that a start knows by another name than their live key.
var otherNames = []struct{ pattern, liveKey string }{
	{"siblings", "nodes"},
	{"limits.max_retry_after_us", "retry_advice_s"},
	{"invariants.ask_within_us", "ask_within_s"},
	{"invariants.cold_from", "slow_start.from"},
	{"invariants.cold_us", "slow_start.for_s"},
	{"invariants.fall_multiple", "slow_start.fall_multiple"},
	{"invariants.fall_us", "slow_start.fall_for_s"},
	{"service_types.*.setup_target_us", "service_types.*.setup_target_s"},
}

// below tells whether a key is of a pattern, or stands below it.
func below(pattern, text string) bool {
	if text == pattern || strings.HasPrefix(text, pattern+".") {
		return true
	}
	_, ok := key{pattern: pattern}.match(text)
	return ok && strings.Contains(pattern, wildcard)
}

const (
	needsRestart = "needs a restart"
	unknown      = "unknown key"
)

// whyNotLive says why a key that is none of the document's is refused.
func whyNotLive(text string) string {
	for _, other := range otherNames {
		if below(other.pattern, text) {
			return needsRestart + "; the live key is " + other.liveKey
		}
	}
	for _, pattern := range restartKeys {
		if below(pattern, text) {
			return needsRestart
		}
	}
	return unknown
}
