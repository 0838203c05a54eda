package node

import "testing"

// Operators' tools search the log's "client connection ended" lines for these codes, which docs/oncall.md lists. They stay
// as they were at revision 5fa7498 and must never change.
func TestReasonCodesAreFixed(t *testing.T) {
	for code, reason := range map[string]Reason{
		"served":        Served,
		"sent-away":     MigratedByHost,
		"host-ended":    HostEnded,
		"host-reset":    HostReset,
		"host-silent":   HostSilent,
		"host-odd":      HostProtocolError,
		"client-ended":  ClientEnded,
		"client-reset":  ClientReset,
		"client-left":   ClientLeft,
		"client-odd":    ClientProtocolError,
		"moved":         Migrated,
		"moved-leaving": MigratedAtShutdown,
		"rejected":      Rejected,
		"aborted":       Aborted,
		"bad-line":      BadLine,
		"no-timeout":    NoTimeout,
		"same-id":       DuplicateFlowID,
		"unknown-type":  UnknownType,
		"unknown-host":  UnknownHost,
		"not-carried":   NotRestored,
		"no-sockets":    NoDescriptors,
		"no-line":       NoLine,
		"checked":       ReadinessChecked,
		"handed-over":   HandedOver,
		"leaving":       ShuttingDown,
	} {
		t.Run(code, func(t *testing.T) {
			if string(reason) != code {
				t.Errorf("the code is %q, want %q", reason, code)
			}
		})
	}
}
