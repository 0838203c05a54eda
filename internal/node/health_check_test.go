package node

import (
	"fmt"
	"strings"
	"testing"
)

// avoidsFirstHost opens flows of several client keys and reports whether none goes to h0. If failing is set, h0 answers
// its flow with an error.
func avoidsFirstHost(harness *testHarness, failing bool) bool {
	harness.Helper()
	for key := range 12 {
		client := harness.openFlow(fmt.Sprintf("%x c=chat,t=acme,d=2000", key+1))
		address := harness.dialedAddress[harness.flowDials[len(harness.flowDials)-1]]
		if address == "h0" && failing {
			harness.receive(harness.completeLastDial(), "ERR\r\n", StreamOpen)
		}
		harness.receive(client, "", StreamEnded)
		if address == "h0" {
			return false
		}
	}
	return true
}

// answerHealthChecks makes h0 answer its health checks for twelve seconds, and returns how many it answered.
func answerHealthChecks(harness *testHarness, answer string, end StreamState) int {
	harness.Helper()
	answered := 0
	for range 1200 {
		harness.now += 0.01
		harness.apply(TimerFired{})
		for ; len(harness.healthChecks) > 0; harness.healthChecks = harness.healthChecks[1:] {
			check := harness.healthChecks[0]
			if harness.dialedAddress[check] != "h0" || harness.connectionState[check] != "dialed" {
				continue
			}
			harness.completeDial(check)
			if harness.written[check] != "PING\r\n" {
				harness.Fatalf("the health check sent %q", harness.written[check])
			}
			harness.receive(check, answer, end)
			answered++
		}
	}
	return answered
}

// An ejected host that is never checked again gets no more flows, and one that returns without a good answer fails more
// flows. Ejected hosts are checked, and only PONG makes them available again.
func TestHealthChecksReinstateEjectedHost(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer string
		end    StreamState
		back   bool
	}{
		{"answered", "PONG\r\n", StreamOpen, true},
		{"answered with an error", "ERR\r\n", StreamOpen, false},
		{"answered with another word", "NO\r\n", StreamOpen, false},
		{"connection ended", "", StreamEnded, false},
		{"connection broken", "", StreamBroken, false},
		{"line too long", strings.Repeat("x", 5000), StreamOpen, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			harness := newHarness(t, "pass", 2, 1000)
			avoidsFirstHost(harness, true)
			if !avoidsFirstHost(harness, false) {
				t.Fatal("a failing host was not ejected")
			}
			checks := answerHealthChecks(harness, c.answer, c.end)
			if checks < 2 || avoidsFirstHost(harness, false) == c.back {
				t.Errorf("%d health checks, wanted the host to be used again %v", checks, c.back)
			}
		})
	}
}
