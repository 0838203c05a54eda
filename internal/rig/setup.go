package rig

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"

	"github.com/pelletier/go-toml/v2"

	"gorseledge/internal/fleet"
	"gorseledge/internal/rig/standin"
)

// raise starts everything.
func (r *Rig) raise() (err error) {
	if r.hosts, err = standin.StartHosts(r.script.Hosts); err != nil {
		return err
	}
	r.roster = standin.StartDiscovery()
	r.roster.Tell(r.hosts.List(1))
	for i := range r.script.Nodes {
		n := &node{rig: r, i: i, dir: filepath.Join(r.Dir, fmt.Sprintf("n%d", i))}
		for _, at := range []*string{&n.client, &n.admin, &n.fleet} {
			if *at, err = free(i); err != nil {
				return err
			}
		}
		r.nodes = append(r.nodes, n)
	}
	for i := range r.nodes {
		for k := range r.nodes {
			if i != k {
				if r.relays[[2]int{i, k}], err = newRelay(r.nodes[k].fleet, r.Seed*1000+uint64(i*100+k)); err != nil {
					return err
				}
			}
		}
	}
	for _, n := range r.nodes {
		if err := r.prepare(n); err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return err
		}
	}
	return nil
}

// free gives a free address of node i's own: TCP and UDP are asked for on the same port.
func free(i int) (string, error) {
	host := fmt.Sprintf("127.0.%d.%d", 1+i/200, 1+i%200)
	for range 50 {
		ln, err := net.Listen("tcp", host+":0")
		if err != nil {
			return "", err
		}
		at := ln.Addr().String()
		c, err := net.ListenPacket("udp", at)
		ln.Close()
		if err == nil {
			c.Close()
			return at, nil
		}
	}
	return "", errors.New("no free address")
}

// prepare writes a node's directory: its config and its fleet file.
func (r *Rig) prepare(n *node) error {
	if err := os.MkdirAll(n.dir, 0o755); err != nil {
		return err
	}
	file := fleet.Config{Fleet: fmt.Sprintf("rig-%d", r.Seed), Address: n.fleet, Period: r.script.Period,
		Key: hex.EncodeToString([]byte("a key of the rig, for its own nodes")), Via: map[string]string{}}
	if r.script.Zones > 0 {
		file.Zone = string(rune('a' + n.i%r.script.Zones))
	}
	for k, other := range r.nodes {
		if k < 3 {
			file.Join = append(file.Join, other.fleet)
		}
		if k != n.i {
			file.Via[other.fleet] = r.relays[[2]int{n.i, k}].address()
		}
	}
	text, err := toml.Marshal(file)
	if err != nil {
		return err
	}
	path := filepath.Join(n.dir, "fleet.toml")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	text, err = json.Marshal(config(n, r.roster.Address(), path, r.Seed*31+uint64(n.i), len(r.nodes)))
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(n.dir, "config.json"), text, 0o600)
}

// config is a node's; path is of its fleet file, if it is to have one.
func config(n *node, discovery, path string, seed uint64, nodes int) map[string]any {
	c := map[string]any{
		"name": n.name(), "listen": n.client, "discovery": discovery, "seed": fmt.Sprintf("%016x", seed),
		"limits": map[string]any{"cores": 1, "memory_mb": 128, "sockets": 512},
		"known":  nil, "settings": map[string]any{
			"family_info": map[string]any{"mode": "proxy"}, "granularity_us": 4000, "siblings": nodes,
			"zones": []string{"a"}, "limits": map[string]any{"dial_timeout_us": 1000000, "max_connects": 3,
				"max_retry_after_us": 2000000, "retry_after": true},
			"service_types": []any{map[string]any{"name": "chat", "effect": "repeatable", "give_up_us": 2000000}}}}
	if n.admin != "" {
		c["admin_addr"] = n.admin
	}
	if path != "" {
		c["fleet"] = path
	}
	return c
}
