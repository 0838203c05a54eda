package livesettings

import (
	"strings"

	"gorseledge/internal/node/live"
)

// Ranges of the figures. What lies outside is taken for a slip of the hand.
const (
	MaxRetryAfter        = 600 // seconds
	MinPollInterval      = 0.5 // seconds
	MaxPollInterval      = 300
	MinNodes             = 1 // nodes that share the hosts
	MaxNodes             = 100_000
	MinAttempts          = 1 // connects for one flow
	MaxAttempts          = 64
	MinDescriptors       = 32 // descriptors of a node
	MaxDescriptors       = 4 << 20
	MinSlowStartShare    = 0.001 // share of a host's capacity
	MaxSlowStartShare    = 1
	MinSlowStartDuration = 0.1 // seconds
	MaxSlowStartDuration = 3600
	MinOverloadMultiple  = 1 // times what a host bears
	MaxOverloadMultiple  = 20
	MinOverloadWindow    = 0.01 // seconds
	MaxOverloadWindow    = 60
	MaxConnections       = 1_000_000_000 // open connections of a tenant over all nodes
	MinSetupObjective    = 0.001         // seconds
	MaxSetupObjective    = 600
	MinMessageObjective  = 0.0001 // seconds
	MaxMessageObjective  = 60
	MaxDisabledUntil     = 4_102_444_800 // Unix seconds: the year 2100
	MinWeight            = 0.001         // compared with the other hosts' weights
	MaxWeight            = 1_000_000
	MaxNameBytes         = 128 // of a tenant's, service type's or host's name
	MaxAddressBytes      = 255 // of discovery's address
	MaxPort              = 65535
)

const wildcard = "*" // stands for a name in a pattern

// key is one key of the document: its pattern, in which * stands for a name, the unit and range of its value, and how
// the value gets into the settings. A key without a unit takes an address.
type key struct {
	pattern  string
	unit     string
	min, max float64
	integer  bool // only whole numbers are taken

	setNumber func(s *Settings, name string, x float64)
	setText   func(s *Settings, text string)
}

// keys are all keys of the document.
var keys = []key{
	{pattern: "retry_advice_s", unit: "s", max: MaxRetryAfter,
		setNumber: func(s *Settings, _ string, x float64) { s.MaxRetryAfter = &x }},
	{pattern: "ask_within_s", unit: "s", min: MinPollInterval, max: MaxPollInterval,
		setNumber: func(s *Settings, _ string, x float64) { s.PollInterval = &x }},
	{pattern: "nodes", unit: "nodes", min: MinNodes, max: MaxNodes, integer: true,
		setNumber: func(s *Settings, _ string, x float64) { s.Nodes = integerValue(x) }},
	{pattern: "discovery",
		setText: func(s *Settings, text string) { s.Discovery = &text }},
	{pattern: "limits.max_connects", unit: "connects", min: MinAttempts, max: MaxAttempts, integer: true,
		setNumber: func(s *Settings, _ string, x float64) { s.MaxAttempts = integerValue(x) }},
	{pattern: "limits.sockets", unit: "descriptors", min: MinDescriptors, max: MaxDescriptors, integer: true,
		setNumber: func(s *Settings, _ string, x float64) { s.MaxDescriptors = integerValue(x) }},
	{pattern: "slow_start.from", unit: "share", min: MinSlowStartShare, max: MaxSlowStartShare,
		setNumber: func(s *Settings, _ string, x float64) { s.SlowStart.Share = &x }},
	{pattern: "slow_start.for_s", unit: "s", min: MinSlowStartDuration, max: MaxSlowStartDuration,
		setNumber: func(s *Settings, _ string, x float64) { s.SlowStart.Duration = &x }},
	{pattern: "slow_start.fall_multiple", unit: "times", min: MinOverloadMultiple, max: MaxOverloadMultiple,
		setNumber: func(s *Settings, _ string, x float64) { s.SlowStart.OverloadMultiple = &x }},
	{pattern: "slow_start.fall_for_s", unit: "s", min: MinOverloadWindow, max: MaxOverloadWindow,
		setNumber: func(s *Settings, _ string, x float64) { s.SlowStart.OverloadWindow = &x }},
	{pattern: "tenants.*.connections", unit: "connections", max: MaxConnections, integer: true,
		setNumber: func(s *Settings, name string, x float64) {
			editRow(&s.Tenants, name, func(t *live.Tenant) { t.Connections = integerValue(x) })
		}},
	{pattern: "service_types.*.setup_target_s", unit: "s", min: MinSetupObjective, max: MaxSetupObjective,
		setNumber: func(s *Settings, name string, x float64) {
			editRow(&s.Types, name, func(t *live.ServiceType) { t.SetupObjective = &x })
		}},
	{pattern: "service_types.*.message_target_s", unit: "s", min: MinMessageObjective, max: MaxMessageObjective,
		setNumber: func(s *Settings, name string, x float64) {
			editRow(&s.Types, name, func(t *live.ServiceType) { t.MessageObjective = &x })
		}},
	{pattern: "hosts.*.disabled_until_s", unit: "Unix s", max: MaxDisabledUntil,
		setNumber: func(s *Settings, name string, x float64) {
			editRow(&s.Hosts, name, func(h *live.Host) { h.DisabledUntil = &x })
		}},
	{pattern: "hosts.*.weight", unit: "as listed", min: MinWeight, max: MaxWeight,
		setNumber: func(s *Settings, name string, x float64) {
			editRow(&s.Hosts, name, func(h *live.Host) { h.Weight = &x })
		}},
}

// integerValue returns a whole number as the settings keep it.
func integerValue(x float64) *int {
	n := int(x)
	return &n
}

// editRow edits one named row of a table, which comes to be with its first row.
func editRow[Row any](table *map[string]Row, name string, edit func(*Row)) {
	if *table == nil {
		*table = map[string]Row{}
	}
	row := (*table)[name]
	edit(&row)
	(*table)[name] = row
}

// match reports whether a key is of the pattern, and which name stands in it. A name may itself have dots.
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

// startNames are figures that a start knows by another name than their live key.
var startNames = []struct{ pattern, liveKey string }{
	{"siblings", "nodes"},
	{"limits.max_retry_after_us", "retry_advice_s"},
	{"invariants.ask_within_us", "ask_within_s"},
	{"invariants.cold_from", "slow_start.from"},
	{"invariants.cold_us", "slow_start.for_s"},
	{"invariants.fall_multiple", "slow_start.fall_multiple"},
	{"invariants.fall_us", "slow_start.fall_for_s"},
	{"service_types.*.setup_target_us", "service_types.*.setup_target_s"},
}

// isAtOrBelow reports whether a key is of a pattern, or stands below it.
func isAtOrBelow(pattern, text string) bool {
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

// rejectionReason says why a key that is none of the document's is refused.
func rejectionReason(text string) string {
	for _, other := range startNames {
		if isAtOrBelow(other.pattern, text) {
			return needsRestart + "; the live key is " + other.liveKey
		}
	}
	for _, pattern := range restartKeys {
		if isAtOrBelow(pattern, text) {
			return needsRestart
		}
	}
	return unknown
}
