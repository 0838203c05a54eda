package main

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// answerHealthChecks has a host answer health checks with a load report, and flows with UP and its index. The host whose
// index is overloaded reports a high load.
func (n *testNode) answerHealthChecks(at int, overloaded *atomic.Int64) {
	n.respondAtHost(at, func(first string) string {
		switch {
		case !strings.HasPrefix(first, "STATS"):
			return fmt.Sprint("UP ", at)
		case overloaded.Load() == int64(at):
			return "PONG waiting=4 cpu=0.97 rps=3 x0=0.95"
		}
		return "PONG waiting=0 cpu=0.2 rps=3 x0=0.2"
	})
}

// startAnother starts another node with the same hosts, in a deployment of the given number of nodes, and returns its
// address for clients. gossip holds the config's keys for the nodes with which it exchanges load gossip.
func (n *testNode) startAnother(name string, nodes int, gossip map[string]any) (address string) {
	n.Helper()
	settings := maps.Clone(n.config["settings"].(map[string]any))
	limits := maps.Clone(settings["limits"].(map[string]any))
	limits["probes"] = true
	limits["peers"] = true
	settings["limits"] = limits
	settings["siblings"] = nodes
	settings["reporting"] = map[string]any{"source": "on_probe", "fields": []string{"waiting", "cpu", "rps", "x0"}}
	config := maps.Clone(n.config)
	address = freeAddress(n.T)
	config["name"] = name
	config["listen"] = address
	config["settings"] = settings
	maps.Copy(config, gossip)
	another := *n
	another.config = config
	another.configPath = filepath.Join(n.TempDir(), "config.json")
	another.address = address
	another.writeConfig()
	another.startProcess()
	another.waitUntilServing()
	return address
}

// gossipConfig returns the config's keys for a node that exchanges load gossip with the nodes at the other addresses of
// all; own is its own address.
type gossipConfig func(t *testing.T, own string, all ...string) map[string]any

// peersConfig names the nodes in the config.
func peersConfig(_ *testing.T, own string, all ...string) map[string]any {
	return map[string]any{"peer_addr": own, "peers": all}
}

// memberConfig writes a fleet file that names the nodes, and names that file in the config.
func memberConfig(t *testing.T, own string, all ...string) map[string]any {
	t.Helper()
	path := filepath.Join(t.TempDir(), "fleet.toml")
	text := fmt.Sprintf("fleet = \"gossip\"\naddress = %q\njoin = [%q, %q]\nkey = \"00112233445566778899aabbccddeeff\"\nperiod_s = 0.2\n",
		own, all[0], all[1])
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return map[string]any{"fleet": path}
}

// A node that learned of loads only from its own health checks would go on sending flows to a host that others have found
// overloaded. Here one node checks the hosts and another one, which makes no check for hours, must learn of the overload
// by gossip: between peers that the config names, and between members of a fleet if it names none.
func TestLoadGossipAmongProcesses(t *testing.T) {
	for name, config := range map[string]gossipConfig{"peers": peersConfig, "members": memberConfig} {
		t.Run(name, func(t *testing.T) { testLoadGossip(t, config) })
	}
}

func testLoadGossip(t *testing.T, config gossipConfig) {
	n := startNode(t, "pass", 2, 200)
	var overloaded atomic.Int64
	overloaded.Store(-1)
	for at := range n.hosts {
		n.answerHealthChecks(at, &overloaded)
	}
	checker, listener := freeAddress(t), freeAddress(t)
	n.address = n.startAnother("n2", 100000, config(t, listener, checker, listener))
	first := n.placeFlow()
	host, known := map[string]int64{"UP 0": 0, "UP 1": 1}[first]
	if !known {
		t.Fatalf("answered %q, want UP 0 or UP 1", first)
	}
	overloaded.Store(host)
	if got := n.placeFlow(); got != first {
		t.Fatalf("answered %s, then %s, although no node knows of an overloaded host yet", first, got)
	}
	n.startAnother("n3", 1, config(t, checker, checker, listener))
	for end := time.Now().Add(waitTimeout); n.placeFlow() == first; {
		if time.Now().After(end) {
			t.Fatalf("the overloaded host still gets flows after %v", waitTimeout)
		}
	}
}
