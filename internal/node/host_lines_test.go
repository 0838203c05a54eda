package node

import (
	"fmt"
	"strings"
	"testing"
)

// Hosts report loads and delays under one word. A delay that is parsed as a load is close to zero, and would make an
// overloaded host look empty.
func TestDelayIsNotTakenForLoad(t *testing.T) {
	for _, c := range []struct {
		name          string
		reportsDelay  bool
		reportsLoad   bool
		lines         string
		hostIsAvoided bool
	}{
		{"load", true, true, "LOAD 35090.7\r\n", false},
		{"delay after a load", true, true, "LOAD 35090.7\r\nLOAD 383.3\r\n", true},
		{"delay before any load", true, true, "LOAD 383.3\r\n", true},
		{"long delay", true, true, "LOAD 35090.7\r\nLOAD 1431.5\r\n", true},
		{"short delay", true, true, "LOAD 35090.7\r\nLOAD 5.1\r\n", false},
		{"hosts report no delays", false, true, "LOAD 383.3\r\n", false},
		{"hosts report no loads", true, false, "LOAD 35090.7\r\n", true},
		{"small load before any other", true, true, "LOAD 1431.5\r\n", false},
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
				t.Errorf("%d dials, wanted the host to be avoided %v", len(harness.flowDials), c.hostIsAvoided)
			}
		})
	}
}

// A slow host stays slow if it keeps all its flows, and its clients lose data if MOVE is written in the middle of a line.
// The balancer migrates some, but not all, flows from a slow host, and MOVE follows a whole line.
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
			t.Fatalf("a client was sent %q", got)
		}
	}
	if migrated == 0 || migrated == len(clients) {
		t.Fatalf("%d of %d flows migrated from a slow host, wanted some but not all", migrated, len(clients))
	}
}
