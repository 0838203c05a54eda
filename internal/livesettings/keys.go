package livesettings

import (
	"gorseledge/internal/node/live"
)

// Ranges of the values. Values outside of them are most likely mistakes.
const (
	// MaxRetryAfter is the maximum Retry-After advice, in seconds. The minimum is 0.
	MaxRetryAfter = 600

	// MinPollInterval and MaxPollInterval bound the time between two polls of the endpoint list, in seconds.
	MinPollInterval = 0.5
	MaxPollInterval = 300

	// MinNodes and MaxNodes bound the number of nodes that share the hosts.
	MinNodes = 1
	MaxNodes = 100_000

	// MinAttempts and MaxAttempts bound the number of connection attempts for one flow.
	MinAttempts = 1
	MaxAttempts = 64

	// MinDescriptors and MaxDescriptors bound the number of file descriptors of a node.
	MinDescriptors = 32
	MaxDescriptors = 4 << 20

	// MinSlowStartShare and MaxSlowStartShare bound the share of its capacity with which a host begins a slow start.
	MinSlowStartShare = 0.001
	MaxSlowStartShare = 1

	// MinSlowStartDuration and MaxSlowStartDuration bound the duration of a slow start, in seconds.
	MinSlowStartDuration = 0.1
	MaxSlowStartDuration = 3600

	// MinOverloadMultiple and MaxOverloadMultiple bound the multiple of its capacity at which a host fails.
	MinOverloadMultiple = 1
	MaxOverloadMultiple = 20

	// MinOverloadWindow and MaxOverloadWindow bound the time for which a host is overloaded until it fails, in seconds.
	MinOverloadWindow = 0.01
	MaxOverloadWindow = 60

	// MaxConnections is the maximum limit of the open connections of a tenant, over all nodes. The minimum is 0.
	MaxConnections = 1_000_000_000

	// MinSetupObjective and MaxSetupObjective bound the latency objective of a setup, in seconds.
	MinSetupObjective = 0.001
	MaxSetupObjective = 600

	// MinMessageObjective and MaxMessageObjective bound the latency objective of a message, in seconds.
	MinMessageObjective = 0.0001
	MaxMessageObjective = 60

	// MaxDisabledUntil is the latest time until which a host can be disabled: the beginning of the year 2100, in Unix seconds.
	MaxDisabledUntil = 4_102_444_800

	// MinWeight and MaxWeight bound the weight of a host, which is relative to the weights of the other hosts.
	MinWeight = 0.001
	MaxWeight = 1_000_000

	// MaxNameBytes is the maximum length of the name of a tenant, service type or host, in bytes.
	MaxNameBytes = 128

	// MaxAddressBytes is the maximum length of the address of discovery, in bytes.
	MaxAddressBytes = 255

	// MaxPort is the highest valid port of an address. The lowest is 1.
	MaxPort = 65535
)

// keys lists all keys of the document.
var keys = []key{
	{pattern: "retry_advice_s", unit: "s", max: MaxRetryAfter,
		setNumber: func(s *Settings, _ string, value float64) { s.MaxRetryAfter = &value }},
	{pattern: "ask_within_s", unit: "s", min: MinPollInterval, max: MaxPollInterval,
		setNumber: func(s *Settings, _ string, value float64) { s.PollInterval = &value }},
	{pattern: "nodes", unit: "nodes", min: MinNodes, max: MaxNodes, integer: true,
		setNumber: func(s *Settings, _ string, value float64) { s.Nodes = integerValue(value) }},
	{pattern: "discovery",
		setText: func(s *Settings, value string) { s.Discovery = &value }},
	{pattern: "limits.max_connects", unit: "connects", min: MinAttempts, max: MaxAttempts, integer: true,
		setNumber: func(s *Settings, _ string, value float64) { s.MaxAttempts = integerValue(value) }},
	{pattern: "limits.sockets", unit: "descriptors", min: MinDescriptors, max: MaxDescriptors, integer: true,
		setNumber: func(s *Settings, _ string, value float64) { s.MaxDescriptors = integerValue(value) }},
	{pattern: "slow_start.from", unit: "share", min: MinSlowStartShare, max: MaxSlowStartShare,
		setNumber: func(s *Settings, _ string, value float64) { s.SlowStart.Share = &value }},
	{pattern: "slow_start.for_s", unit: "s", min: MinSlowStartDuration, max: MaxSlowStartDuration,
		setNumber: func(s *Settings, _ string, value float64) { s.SlowStart.Duration = &value }},
	{pattern: "slow_start.fall_multiple", unit: "times", min: MinOverloadMultiple, max: MaxOverloadMultiple,
		setNumber: func(s *Settings, _ string, value float64) { s.SlowStart.OverloadMultiple = &value }},
	{pattern: "slow_start.fall_for_s", unit: "s", min: MinOverloadWindow, max: MaxOverloadWindow,
		setNumber: func(s *Settings, _ string, value float64) { s.SlowStart.OverloadWindow = &value }},
	{pattern: "tenants.*.connections", unit: "connections", max: MaxConnections, integer: true,
		setNumber: func(s *Settings, name string, value float64) {
			editRow(&s.Tenants, name, func(t *live.Tenant) { t.Connections = integerValue(value) })
		}},
	{pattern: "service_types.*.setup_target_s", unit: "s", min: MinSetupObjective, max: MaxSetupObjective,
		setNumber: func(s *Settings, name string, value float64) {
			editRow(&s.Types, name, func(t *live.ServiceType) { t.SetupObjective = &value })
		}},
	{pattern: "service_types.*.message_target_s", unit: "s", min: MinMessageObjective, max: MaxMessageObjective,
		setNumber: func(s *Settings, name string, value float64) {
			editRow(&s.Types, name, func(t *live.ServiceType) { t.MessageObjective = &value })
		}},
	{pattern: "hosts.*.disabled_until_s", unit: "Unix s", max: MaxDisabledUntil,
		setNumber: func(s *Settings, name string, value float64) {
			editRow(&s.Hosts, name, func(h *live.Host) { h.DisabledUntil = &value })
		}},
	{pattern: "hosts.*.weight", unit: "as listed", min: MinWeight, max: MaxWeight,
		setNumber: func(s *Settings, name string, value float64) {
			editRow(&s.Hosts, name, func(h *live.Host) { h.Weight = &value })
		}},
}

// integerValue converts a whole number to the type of an integer setting.
func integerValue(value float64) *int {
	integer := int(value)
	return &integer
}

// editRow edits the row with a name in a table, and creates the table and the row if they do not exist.
func editRow[Row any](table *map[string]Row, name string, edit func(*Row)) {
	if *table == nil {
		*table = map[string]Row{}
	}
	row := (*table)[name]
	edit(&row)
	(*table)[name] = row
}
