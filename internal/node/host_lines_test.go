package node

import (
	"fmt"
	"strings"
	"testing"
)

// Hosts report loads and delays under one word. A delay that passed for a load of next to nothing would make an
// overloaded host look empty.
func TestDelayIsNotTakenForLoad(t *testing.T) {
	for _, c := range []struct {
		name          string
		reportsDelay  bool
		reportsLoad   bool
		lines         string
		hostIsAvoided bool
	}{
		{"a load", true, true, "LOAD 35090.7\r\n", false},
		{"a delay", true, true, "LOAD 35090.7\r\nLOAD 383.3\r\n", true},
		{"a delay before any load", true, true, "LOAD 383.3\r\n", true},
		{"a long delay", true, true, "LOAD 35090.7\r\nLOAD 1431.5\r\n", true},
		{"a delay that has become short", true, true, "LOAD 35090.7\r\nLOAD 5.1\r\n", false},
		{"no delays are reported", false, true, "LOAD 383.3\r\n", false},
		{"no loads are reported", true, false, "LOAD 35090.7\r\n", true},
		{"a small load before any other", true, true, "LOAD 1431.5\r\n", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			harness := newHarness(t, "proxy", 1, 100)
			harness.node.listener.ReportsDelay = c.reportsDelay
			harness.node.listener.ReportsLoad = c.reportsLoad
			_, host := harness.establish(chatRequest)
			harness.receive(host, c.lines, StreamOpen)
			harness.advance(0.1)
			harness.openFlow(chatRequest)
			if (len(harness.flowDials) == 1) != c.hostIsAvoided {
				t.Errorf("%d dials", len(harness.flowDials))
			}
		})
	}
}

// The balancer migrates some flows off a slow host, and their clients are notified between two whole lines.
func TestSlowHostLosesSomeFlows(t *testing.T) {
	harness := newHarness(t, "proxy", 1, 1000)
	var clients, hosts []ConnID
	for key := range 6 {
		client, host := harness.establish(fmt.Sprintf("%x c=chat,t=acme,d=2000", key+1))
		clients = append(clients, client)
		hosts = append(hosts, host)
	}
	for _, host := range hosts {
		harness.receive(host, "LOAD 100000\r\nhalf a li", StreamOpen)
	}
	harness.receive(clients[0], "M\r\n", StreamOpen)
	harness.advance(0.2)
	harness.receive(hosts[0], "ne\r\n", StreamOpen) // four times the latency objective
	harness.advance(0.6)
	migrated := 0
	for _, client := range clients {
		got := harness.written[client]
		if strings.HasSuffix(got, "\r\nMOVE\r\n") && harness.connectionState[client] == "write closed" {
			migrated++
		} else if strings.Contains(got, "MOVE") {
			t.Fatalf("sent %q", got)
		}
	}
	if migrated == 0 || migrated == len(clients) {
		t.Fatalf("%d of %d migrated off a slow host", migrated, len(clients))
	}
}
