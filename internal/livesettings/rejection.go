package livesettings

import "strings"

// Reasons for the rejection of a key that a live settings document cannot contain.
const (
	needsRestart = "needs a restart"
	unknownKey   = "unknown key"
)

// restartKeys are the patterns of keys that exist only in the startup configuration of a node. `*` stands for any name. A
// pattern without it also covers the keys below the key.
var restartKeys = []string{
	"name", "listen", "admin_addr", "peer_addr", "peers", "seed", "fleet", "known", "settings",
	"limits.cores", "limits.memory_mb", "limits.dial_timeout_us", "limits.peers", "limits.probes", "limits.retry_after",
	"family_info", "granularity_us", "membership_mode", "parties", "reporting", "me", "zones",
	"service_types.*.name", "service_types.*.effect", "service_types.*.group", "service_types.*.give_up_us",
	"service_types.*.memory_span_us", "invariants.stop_sending_within_us",
}

// renamedKeys are the patterns of keys that have another name in the startup configuration of a node than in a live
// settings document.
var renamedKeys = []struct{ pattern, liveKey string }{
	{"siblings", "nodes"},
	{"limits.max_retry_after_us", "retry_advice_s"},
	{"invariants.ask_within_us", "ask_within_s"},
	{"invariants.cold_from", "slow_start.from"},
	{"invariants.cold_us", "slow_start.for_s"},
	{"invariants.fall_multiple", "slow_start.fall_multiple"},
	{"invariants.fall_us", "slow_start.fall_for_s"},
	{"service_types.*.setup_target_us", "service_types.*.setup_target_s"},
}

// isAtOrBelow reports whether a dotted key matches a pattern or, for a pattern without a wildcard, is below that key.
func isAtOrBelow(pattern, dotted string) bool {
	if dotted == pattern || strings.HasPrefix(dotted, pattern+".") {
		return true
	}
	_, ok := key{pattern: pattern}.match(dotted)
	return ok && strings.Contains(pattern, wildcard)
}

// rejectionReason returns the reason for the rejection of a dotted key that is not a live key. A key of the startup
// configuration can be changed only with a restart; if a live key with another name has the same meaning, the reason names
// it.
func rejectionReason(dotted string) string {
	for _, renamed := range renamedKeys {
		if isAtOrBelow(renamed.pattern, dotted) {
			return needsRestart + "; the live key is " + renamed.liveKey
		}
	}
	for _, pattern := range restartKeys {
		if isAtOrBelow(pattern, dotted) {
			return needsRestart
		}
	}
	return unknownKey
}
