package sockets

import (
	"encoding/json"
	"strings"
	"testing"
)

// parseConfig reads a config's text.
func parseConfig(t *testing.T, text string) Config {
	t.Helper()
	var config Config
	if err := json.Unmarshal([]byte(text), &config); err != nil {
		t.Fatal(err)
	}
	return config
}

func TestStartFromConfig(t *testing.T) {
	cases := []struct {
		name, text  string
		descriptors int
		cachedHosts int
		fails       bool
	}{
		{"nothing given", `{"settings":{}}`, defaultMaxDescriptors - reservedDescriptors, 0, false},
		{"limits and a list", `{"settings":{},"seed":"ff","limits":{"sockets":1000},"known":{"endpoints":[{"name":"a"}]}}`,
			1000 - reservedDescriptors, 1, false},
		{"a list that does not parse", `{"settings":{},"known":[7]}`, defaultMaxDescriptors - reservedDescriptors, 0, false},
		{"hardly any descriptors", `{"settings":{},"limits":{"sockets":5}}`, 2, 0, false},
		{"a negative limit", `{"settings":{},"limits":{"sockets":-5}}`, defaultMaxDescriptors - reservedDescriptors, 0, false},
		{"no settings", `{}`, 0, 0, true},
		{"messages among nodes", `{"settings":{"limits":{"peers":true}},"peer_addr":"127.0.0.1:9","peers":["127.0.0.1:8"]}`,
			defaultMaxDescriptors - reservedDescriptors - 1, 0, false},
		{"messages allowed, and no address", `{"settings":{"limits":{"peers":true}}}`,
			defaultMaxDescriptors - reservedDescriptors, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			start, err := parseConfig(t, c.text).start()
			if (err != nil) != c.fails || start.MaxDescriptors != c.descriptors || len(start.CachedList.Hosts) != c.cachedHosts {
				t.Errorf("%d descriptors, %d cached hosts, %v", start.MaxDescriptors, len(start.CachedList.Hosts), err)
			}
		})
	}
}

// Nodes whose names end with a number have that number each, whatever stands before it. Nodes that shared a number would
// share a part of a host's slow start.
func TestNodeNumberIsTheNamesLast(t *testing.T) {
	nameOf := map[int]string{}
	for _, name := range []string{"n0", "n3", "edge-12", "lima-2-07", "299", "n99999999999", "", "edge", "nodo-a"} {
		number := nodeNumber(name)
		if other, taken := nameOf[number]; taken || number < 0 {
			t.Errorf("%q has %d, as has %q", name, number, other)
		}
		nameOf[number] = name
	}
	for number, name := range map[int]string{0: "n0", 3: "n3", 12: "edge-12", 7: "lima-2-07", 299: "299"} {
		if nameOf[number] != name {
			t.Errorf("%q has not %d", name, number)
		}
	}
}

// allowingPeers are settings under which nodes may send messages to each other.
const allowingPeers = `"settings":{"limits":{"peers":true,"probes":true},"reporting":{"source":"on_probe","fields":["x0"]}}`

// One build serves every shape of deployment, by its settings alone. A node does not start on half of one shape and half
// of another: it says which key is at fault.
func TestMixedDeploymentShapesAreRefusedByKey(t *testing.T) {
	for _, c := range []struct{ name, text, key string }{
		{"an address for messages that the settings do not allow", `"settings":{},"peer_addr":"127.0.0.1:9"`, "peer_addr"},
		{"other nodes, and no messages allowed", `"settings":{},"peers":["127.0.0.1:8"]`, "peers"},
		{"other nodes, and no address", allowingPeers + `,"peers":["127.0.0.1:8"]`, "peers"},
		{"an address, and no other nodes", allowingPeers + `,"peer_addr":"127.0.0.1:9"`, "peer_addr"},
		{"an address that is none", allowingPeers + `,"peer_addr":"n1","peers":["127.0.0.1:8"]`, "peer_addr"},
		{"an address of many", allowingPeers + `,"peer_addr":"0.0.0.0:9","peers":["127.0.0.1:8"]`, "peer_addr"},
		{"another node's that is none", allowingPeers + `,"peer_addr":"127.0.0.1:9","peers":["127.0.0.1"]`, "peers"},
		{"reports on probes that are not allowed", `"settings":{"reporting":{"source":"on_probe","fields":["x0"]}}`,
			"settings.reporting.source"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := parseConfig(t, "{"+c.text+"}").start()
			if err == nil || !strings.HasPrefix(err.Error(), c.key+": ") {
				t.Errorf("%v, want %s named", err, c.key)
			}
		})
	}
}

func TestCompletePeerConfigGossipsLoad(t *testing.T) {
	config := parseConfig(t, "{"+allowingPeers+`,"peer_addr":"127.0.0.1:9","peers":["127.0.0.1:9","127.0.0.1:8"]}`)
	start, err := config.start()
	if err != nil || !start.Settings.LoadGossip || !start.Settings.LoadReports {
		t.Errorf("%+v, %v", start.Settings, err)
	}
}
