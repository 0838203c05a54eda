package livesettings

import "strings"

// Reasons for the rejection of a key that a document cannot have.
const (
	needsRestart = "needs a restart"
	unknownKey   = "unknown key"
)

// restartKeys are the patterns of keys that exist only in the startup configuration of a node. Each also covers the keys
// below it.
var restartKeys = []string{
	"name", "listen", "admin_addr", "peer_addr", "peers", "seed", "fleet", "known", "settings",
	"limits.cores", "limits.memory_mb", "limits.dial_timeout_us", "limits.peers", "limits.probes", "limits.retry_after",
	"family_info", "granularity_us", "membership_mode", "parties", "reporting", "me", "zones",
	"service_types.*.name", "service_types.*.effect", "service_types.*.group", "service_types.*.give_up_us",
	"service_types.*.memory_span_us",
}

// renamedKeys are the patterns of keys that have another name in the startup configuration of a node than in the document.
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

// isAtOrBelow reports whether a key matches a pattern or is below a key that equals the pattern.
func isAtOrBelow(pattern, text string) bool {
	if text == pattern || strings.HasPrefix(text, pattern+".") {
		return true
	}
	_, ok := key{pattern: pattern}.match(text)
	return ok && strings.Contains(pattern, wildcard)
}

// rejectionReason returns the reason for the rejection of a key that is not a key of the document.
func rejectionReason(text string) string {
	for _, renamed := range renamedKeys {
		if isAtOrBelow(renamed.pattern, text) {
			return needsRestart + "; the live key is " + renamed.liveKey
		}
	}
	for _, pattern := range restartKeys {
		if isAtOrBelow(pattern, text) {
			return needsRestart
		}
	}
	return unknownKey
}
