package rig

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"

	"github.com/pelletier/go-toml/v2"

	"gorseledge/internal/discovery/endpoint"
	"gorseledge/internal/fleet"
	"gorseledge/internal/rig/standin"
)

// portAttempts is the number of ports that are tried to find one that is free for both TCP and UDP.
const portAttempts = 50

// fleetKey is the test-only secret key that authenticates the messages within the rig's fleet.
const fleetKey = "a key of the rig, for its own nodes"

// joinNodes is the number of nodes that every fleet file lists as addresses to join at. They are the first nodes of the rig.
const joinNodes = 3

// start starts the simulated hosts, the simulated discovery service, the relays, the control servers if the script has any, and
// then the nodes.
func (r *Rig) start() (err error) {
	if r.hosts, err = standin.StartHosts(r.script.Hosts); err != nil {
		return err
	}
	r.discovery = standin.StartDiscovery()
	r.discovery.Publish(r.hosts.EndpointList(1))
	for i := range r.script.Nodes {
		n := &node{rig: r, index: i, dir: filepath.Join(r.Dir, fmt.Sprintf("n%d", i))}
		for _, address := range []*string{&n.clientAddress, &n.adminAddress, &n.fleetAddress} {
			if *address, err = freeAddress(i); err != nil {
				return err
			}
		}
		r.nodes = append(r.nodes, n)
	}
	if err := r.startRelays(); err != nil {
		return err
	}
	if r.script.ControlServers > 0 {
		if r.control, err = startControl(r); err != nil {
			return err
		}
	}
	for _, n := range r.nodes {
		if err := r.writeNodeFiles(n); err != nil {
			return fmt.Errorf("writing the files of node %s: %w", n.name(), err)
		}
		if err := n.start(); err != nil {
			return fmt.Errorf("starting node %s: %w", n.name(), err)
		}
	}
	return nil
}

// startRelays starts one relay for each ordered pair of nodes. The seeds of its
// relays differ in a rig of up to 100 nodes.
func (r *Rig) startRelays() error {
	for from := range r.nodes {
		for to := range r.nodes {
			if from == to {
				continue
			}
			relay, err := NewRelay(r.nodes[to].fleetAddress, r.Seed*1000+uint64(from*100+to))
			if err != nil {
				return err
			}
			r.relays[nodeLink{from: from, to: to}] = relay
		}
	}
	return nil
}

// freeAddress returns an address for the process with index i, with a port that is free for both TCP and UDP. Its IP address is
// the loopback address 127.0.x.y of that process: 200 processes share one x.
func freeAddress(i int) (string, error) {
	host := fmt.Sprintf("127.0.%d.%d", 1+i/200, 1+i%200)
	for range portAttempts {
		ln, err := net.Listen("tcp", host+":0")
		if err != nil {
			return "", err
		}
		address := ln.Addr().String()
		c, err := net.ListenPacket("udp", address)
		ln.Close()
		if err == nil {
			c.Close()
			return address, nil
		}
	}
	return "", fmt.Errorf("no port of %s is free for TCP and UDP after %d attempts", host, portAttempts)
}

// writeNodeFiles generates the content of a node's fleet file and creates the node's directory with its config and fleet files.
// The fleet file routes messages to each other node through the relay of that link.
func (r *Rig) writeNodeFiles(n *node) error {
	if err := os.MkdirAll(n.dir, 0o755); err != nil {
		return err
	}
	file := fleet.Config{Fleet: r.fleetName(), Address: n.fleetAddress, Period: r.script.ProbePeriod,
		Key: hex.EncodeToString([]byte(fleetKey)), Via: map[string]string{}}
	if r.script.Zones > 0 {
		file.Zone = string(rune('a' + n.index%r.script.Zones))
	}
	for k, other := range r.nodes {
		if k < joinNodes {
			file.Join = append(file.Join, other.fleetAddress)
		}
		if k != n.index {
			file.Via[other.fleetAddress] = r.relays[nodeLink{from: n.index, to: k}].Address()
		}
	}
	if r.control != nil {
		r.control.addToFleetFile(&file, n.index)
	}
	return r.writeConfigAndFleetFile(n, file, len(r.nodes))
}

// writeConfigAndFleetFile writes a node's fleet file and a config file that refers to it. nodeCount is the fleet size in the
// config file's settings.
func (r *Rig) writeConfigAndFleetFile(n *node, file fleet.Config, nodeCount int) error {
	text, err := toml.Marshal(file)
	if err != nil {
		return err
	}
	path := filepath.Join(n.dir, "fleet.toml")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	text, err = json.Marshal(config(n, r.discovery.Address(), path, r.Seed*31+uint64(n.index), nodeCount))
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(n.dir, "config.json"), text, 0o600)
}

// nodeConfig is the config file of a node.
type nodeConfig struct {
	Name      string         `json:"name"`
	Listen    string         `json:"listen"`
	Discovery string         `json:"discovery"`
	Admin     string         `json:"admin_addr,omitempty"`
	Fleet     string         `json:"fleet,omitempty"` // path of the fleet file
	Seed      string         `json:"seed"`            // hexadecimal
	Limits    NodeLimits     `json:"limits"`
	Known     *endpoint.List `json:"known"` // used until discovery answers; its hosts do not count as new
	Settings  nodeSettings   `json:"settings"`
}

// NodeLimits are the resource limits in a node's config file.
type NodeLimits struct {
	Cores    int `json:"cores"`
	MemoryMB int `json:"memory_mb"` // MiB
	Sockets  int `json:"sockets"`   // file descriptors
}

// nodeLimits are the resource limits of the rig's nodes.
var nodeLimits = NodeLimits{Cores: 1, MemoryMB: 128, Sockets: 512}

// nodeSettings is the settings section of a node's config file: balancing mode, limits and service types. Times are in
// microseconds.
type nodeSettings struct {
	Family       familyInfo     `json:"family_info"`
	Tick         int            `json:"granularity_us"`
	FleetSize    int            `json:"siblings"` // number of nodes, including this one
	Zones        []string       `json:"zones"`
	Limits       settingsLimits `json:"limits"`
	ServiceTypes []serviceType  `json:"service_types"`
}

// familyInfo contains the balancing mode.
type familyInfo struct {
	Mode string `json:"mode"`
}

type settingsLimits struct {
	DialTimeout   int  `json:"dial_timeout_us"`
	MaxConnects   int  `json:"max_connects"`
	MaxRetryAfter int  `json:"max_retry_after_us"`
	RetryAfter    bool `json:"retry_after"`
}

type serviceType struct {
	Name              string `json:"name"`
	Idempotency       string `json:"effect"` // repeatable: repeated attempts are harmless
	MaxConnectTimeout int    `json:"give_up_us"`
}

// config returns the content of a node's config file. nodes is the number of nodes in the fleet. fleetFile is the path of the
// node's fleet file; it is empty for a node without a fleet.
func config(n *node, discovery, fleetFile string, seed uint64, nodes int) nodeConfig {
	return nodeConfig{
		Name:      n.name(),
		Listen:    n.clientAddress,
		Discovery: discovery,
		Admin:     n.adminAddress,
		Fleet:     fleetFile,
		Seed:      fmt.Sprintf("%016x", seed),
		Limits:    nodeLimits,
		Settings: nodeSettings{
			Family:    familyInfo{Mode: "proxy"},
			Tick:      4000,
			FleetSize: nodes,
			Zones:     []string{"a"}, // the zone of all simulated hosts
			Limits: settingsLimits{
				DialTimeout:   1000000,
				MaxConnects:   3,
				MaxRetryAfter: 2000000,
				RetryAfter:    true,
			},
			ServiceTypes: []serviceType{{Name: "chat", Idempotency: "repeatable", MaxConnectTimeout: 2000000}},
		},
	}
}
