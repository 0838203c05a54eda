package sockets

import (
	"encoding/json"
	"strings"
	"testing"
)

// parseConfig decodes a config and fails the test if the text is not valid JSON.
func parseConfig(t *testing.T, text string) Config {
	t.Helper()
	var config Config
	if err := json.Unmarshal([]byte(text), &config); err != nil {
		t.Fatal(err)
	}
	return config
}

// A start that ignored the config's limits would open more descriptors than the platform grants, and one that refused a
// cached list that does not parse would not serve at all.
func TestStartFromConfig(t *testing.T) {
	cases := []struct {
		name, text  string
		descriptors int
		cachedHosts int
		fails       bool
	}{
		{"empty settings", `{"settings":{}}`, defaultMaxDescriptors - reservedDescriptors, 0, false},
		{"limits and a cached list", `{"settings":{},"seed":"ff","limits":{"sockets":1000},"known":{"endpoints":[{"name":"a"}]}}`,
			1000 - reservedDescriptors, 1, false},
		{"cached list that does not parse", `{"settings":{},"known":[7]}`, defaultMaxDescriptors - reservedDescriptors, 0, false},
		{"fewer descriptors than are reserved", `{"settings":{},"limits":{"sockets":5}}`, 2, 0, false},
		{"negative descriptor limit", `{"settings":{},"limits":{"sockets":-5}}`, defaultMaxDescriptors - reservedDescriptors, 0, false},
		{"no settings", `{}`, 0, 0, true},
		{"messages with an address", `{"settings":{"limits":{"peers":true}},"peer_addr":"127.0.0.1:9","peers":["127.0.0.1:8"]}`,
			defaultMaxDescriptors - reservedDescriptors - 1, 0, false},
		{"messages without an address", `{"settings":{"limits":{"peers":true}}}`,
			defaultMaxDescriptors - reservedDescriptors, 0, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			start, err := parseConfig(t, c.text).start()
			if (err != nil) != c.fails || start.MaxDescriptors != c.descriptors || len(start.CachedList.Hosts) != c.cachedHosts {
				t.Errorf("%d descriptors, %d cached hosts, error %v", start.MaxDescriptors, len(start.CachedList.Hosts), err)
			}
		})
	}
}

// Two nodes with the same number would use the same share of a host's slow start. A node whose name ends with a number
// therefore gets that number, and the part of the name before it does not matter.
func TestNodeNumberIsAtEndOfName(t *testing.T) {
	nameOf := map[int]string{}
	for _, name := range []string{"n0", "n3", "edge-12", "lima-2-07", "299", "n99999999999", "", "edge", "nodo-a"} {
		number := nodeNumber(name)
		if other, taken := nameOf[number]; taken || number < 0 {
			t.Errorf("%q has number %d, the same as %q", name, number, other)
		}
		nameOf[number] = name
	}
	for number, name := range map[int]string{0: "n0", 3: "n3", 12: "edge-12", 7: "lima-2-07", 299: "299"} {
		if nameOf[number] != name {
			t.Errorf("%q does not have number %d", name, number)
		}
	}
}

// allowingPeers is the start of a config whose settings allow messages among nodes.
const allowingPeers = `"settings":{"limits":{"peers":true,"probes":true},"reporting":{"source":"on_probe","fields":["x0"]}}`

// One build supports every kind of deployment, selected by the settings. A config that mixes the keys of two kinds, such
// as peers without messages among nodes, would start a node that gossips with no other. It is refused with the name of
// the wrong key.
func TestMixedDeploymentConfigsAreRefusedByKey(t *testing.T) {
	for _, c := range []struct{ name, text, key string }{
		{"address for messages that the settings do not allow", `"settings":{},"peer_addr":"127.0.0.1:9"`, "peer_addr"},
		{"peers for messages that the settings do not allow", `"settings":{},"peers":["127.0.0.1:8"]`, "peers"},
		{"peers without an own address", allowingPeers + `,"peers":["127.0.0.1:8"]`, "peers"},
		{"address without peers", allowingPeers + `,"peer_addr":"127.0.0.1:9"`, "peer_addr"},
		{"address without a port", allowingPeers + `,"peer_addr":"n1","peers":["127.0.0.1:8"]`, "peer_addr"},
		{"unspecified address", allowingPeers + `,"peer_addr":"0.0.0.0:9","peers":["127.0.0.1:8"]`, "peer_addr"},
		{"peer address without a port", allowingPeers + `,"peer_addr":"127.0.0.1:9","peers":["127.0.0.1"]`, "peers"},
		{"load reports on probes that are not allowed", `"settings":{"reporting":{"source":"on_probe","fields":["x0"]}}`,
			"settings.reporting.source"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := parseConfig(t, "{"+c.text+"}").start()
			if err == nil || !strings.HasPrefix(err.Error(), c.key+": ") {
				t.Errorf("error %v, want one that begins with the key %s", err, c.key)
			}
		})
	}
}

// A complete config for messages among nodes could pass all checks and still leave load gossip turned off.
func TestCompletePeerConfigGossipsLoad(t *testing.T) {
	config := parseConfig(t, "{"+allowingPeers+`,"peer_addr":"127.0.0.1:9","peers":["127.0.0.1:9","127.0.0.1:8"]}`)
	start, err := config.start()
	if err != nil || !start.Settings.LoadGossip || !start.Settings.LoadReports {
		t.Errorf("%+v, %v", start.Settings, err)
	}
}
