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

// fleetKey authenticates the messages within the rig's fleet.
const fleetKey = "a key of the rig, for its own nodes"

// joinNodes is the number of nodes, counted from the first, whose addresses every node is configured to join through.
const joinNodes = 3

// start starts the stand-ins, the relays and the nodes.
func (r *Rig) start() (err error) {
	if r.hosts, err = standin.StartHosts(r.script.Hosts); err != nil {
		return err
	}
	r.discovery = standin.StartDiscovery()
	r.discovery.Publish(r.hosts.EndpointList(1))
	for i := range r.script.Nodes {
		n := &node{rig: r, index: i, dir: filepath.Join(r.Dir, fmt.Sprintf("n%d", i))}
		for _, address := range []*string{&n.client, &n.admin, &n.fleet} {
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

// startRelays opens a relay for the link from each node to each other node.
func (r *Rig) startRelays() error {
	for from := range r.nodes {
		for to := range r.nodes {
			if from == to {
				continue
			}
			relay, err := NewRelay(r.nodes[to].fleet, r.Seed*1000+uint64(from*100+to))
			if err != nil {
				return err
			}
			r.relays[nodeLink{from: from, to: to}] = relay
		}
	}
	return nil
}

// freeAddress returns a loopback address for the process with index i, with a port that is free for both TCP and UDP.
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

// writeNodeFiles creates a node's directory with its config file and its fleet file.
func (r *Rig) writeNodeFiles(n *node) error {
	if err := os.MkdirAll(n.dir, 0o755); err != nil {
		return err
	}
	file := fleet.Config{Fleet: r.fleetName(), Address: n.fleet, Period: r.script.ProbePeriod,
		Key: hex.EncodeToString([]byte(fleetKey)), Via: map[string]string{}}
	if r.script.Zones > 0 {
		file.Zone = string(rune('a' + n.index%r.script.Zones))
	}
	for k, other := range r.nodes {
		if k < joinNodes {
			file.Join = append(file.Join, other.fleet)
		}
		if k != n.index {
			file.Via[other.fleet] = r.relays[nodeLink{from: n.index, to: k}].Address()
		}
	}
	if r.control != nil {
		r.control.addToFleetFile(&file, n.index)
	}
	return r.writeFiles(n, file, len(r.nodes))
}

// writeFiles writes a node's fleet file and its config file. nodeCount is the number of nodes in its settings.
func (r *Rig) writeFiles(n *node, file fleet.Config, nodeCount int) error {
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
	Known     *endpoint.List `json:"known"` // hosts that the node knew before its start, so that they do not count as new
	Settings  nodeSettings   `json:"settings"`
}

// NodeLimits are the resources that a node is configured to use.
type NodeLimits struct {
	Cores    int `json:"cores"`
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

// smallNode holds the limits of the rig's nodes.
var smallNode = NodeLimits{Cores: 1, MemoryMB: 128, Sockets: 512}

// nodeSettings are the settings for a node's decisions. Times are in microseconds.
type nodeSettings struct {
	Family       familyInfo     `json:"family_info"`
	Granularity  int            `json:"granularity_us"`
	Siblings     int            `json:"siblings"` // number of nodes in the fleet
	Zones        []string       `json:"zones"`
	Limits       settingsLimits `json:"limits"`
	ServiceTypes []serviceType  `json:"service_types"`
}

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
	Name   string `json:"name"`
	Effect string `json:"effect"`
	GiveUp int    `json:"give_up_us"`
}

// config returns the content of a node's config file. nodes is the number of nodes in the fleet. fleetFile is the path of the
// node's fleet file; it is empty for a node without a fleet.
func config(n *node, discovery, fleetFile string, seed uint64, nodes int) nodeConfig {
	return nodeConfig{
		Name:      n.name(),
		Listen:    n.client,
		Discovery: discovery,
		Admin:     n.admin,
		Fleet:     fleetFile,
		Seed:      fmt.Sprintf("%016x", seed),
		Limits:    smallNode,
		Settings: nodeSettings{
			Family:      familyInfo{Mode: "proxy"},
			Granularity: 4000,
			Siblings:    nodes,
			Zones:       []string{"a"},
			Limits: settingsLimits{
				DialTimeout:   1000000,
				MaxConnects:   3,
				MaxRetryAfter: 2000000,
				RetryAfter:    true,
			},
			ServiceTypes: []serviceType{{Name: "chat", Effect: "repeatable", GiveUp: 2000000}},
		},
	}
}
