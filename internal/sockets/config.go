package sockets

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"

	"gorseledge/internal/fleet/view"
	"gorseledge/internal/peers"
)

// Config is a node's config file. The zero value is no valid config: Listen and Discovery are required.
type Config struct {
	Name         string          `json:"name"`
	Listen       string          `json:"listen"`     // address for clients
	Discovery    string          `json:"discovery"`  // address of the discovery service
	AdminAddress string          `json:"admin_addr"` // the second address; empty for none
	PeerAddress  string          `json:"peer_addr"`  // for messages among nodes; empty for none
	Peers        []string        `json:"peers"`      // the nodes' addresses for such messages, with or without this node's own
	Seed         string          `json:"seed"`       // hexadecimal
	FleetFile    string          `json:"fleet"`      // path; empty for a node on its own
	Limits       Limits          `json:"limits"`
	path         string          // of the config file itself
	CachedList   json.RawMessage `json:"known"`
	Settings     json.RawMessage `json:"settings"`
}

// Limits is what the platform grants the process.
type Limits struct {
	Cores    float64 `json:"cores"`     // processors, possibly a fraction
	MemoryMB int64   `json:"memory_mb"` // MiB; 0 for no limit
	Sockets  int     `json:"sockets"`   // descriptors; 0 or less for defaultMaxDescriptors
}

const (
	defaultMaxDescriptors    = 512
	descriptorsPerAdminConn  = 16 // one in so many descriptors may be with connections of the second address
	maxAdminConnections      = 32
	reservedDescriptors      = 16 // standard streams, listener, poller, discovery
	controlServerDescriptors = 2  // a connection to a control server, and the next one while that is being closed
	minConnectionDescriptors = 2  // a client's connection and its host's
)

// ReadConfig reads a node's config file. Where the file lacks an address or the name, the environment's LB_NAME,
// LB_LISTEN, LB_DISCOVERY, LB_ADMIN_ADDR and LB_FLEET stand in. The settings are not checked here.
func ReadConfig(path string) (Config, error) {
	config := Config{path: path}
	text, err := os.ReadFile(path)
	if err != nil {
		return config, fmt.Errorf("config: %w", err)
	}
	if err := json.Unmarshal(text, &config); err != nil {
		return config, fmt.Errorf("config %s: %w", path, err)
	}
	config.Name = cmp.Or(config.Name, os.Getenv("LB_NAME"))
	config.Listen = cmp.Or(config.Listen, os.Getenv("LB_LISTEN"))
	config.Discovery = cmp.Or(config.Discovery, os.Getenv("LB_DISCOVERY"))
	config.AdminAddress = cmp.Or(config.AdminAddress, os.Getenv("LB_ADMIN_ADDR"))
	config.FleetFile = cmp.Or(config.FleetFile, os.Getenv("LB_FLEET"))
	return config, config.checkAddresses()
}

// checkAddresses tells which of the addresses for clients, discovery and the second address is missing or wrong.
func (c Config) checkAddresses() error {
	if c.Listen == "" || c.Discovery == "" {
		return fmt.Errorf("config %s: no address to listen on, or none of discovery", c.path)
	}
	if c.AdminAddress == "" {
		return nil
	}
	if _, port, err := net.SplitHostPort(c.AdminAddress); err != nil || port == "" {
		return fmt.Errorf("config %s: admin_addr %q is no address with a port", c.path, c.AdminAddress)
	}
	if c.AdminAddress == c.Listen {
		return fmt.Errorf("config %s: admin_addr %q is the clients' address", c.path, c.AdminAddress)
	}
	return nil
}

// Check reads a config as a start would, with the fleet file that it names, and starts nothing. Settings that cannot
// be taken are a *settings.KeyError.
func Check(path string) error {
	config, err := ReadConfig(path)
	if err != nil {
		return err
	}
	if _, err := config.start(); err != nil {
		return err
	}
	_, err = config.membership()
	return err
}

// membership is a node's part in its fleet, as the fleet file describes it. The zero value is a node on its own.
type membership struct {
	open           func(view.Options) view.Part
	followsControl bool // the node takes its live settings from control servers
}

// membership reads the fleet file, if the config names one.
func (c Config) membership() (membership, error) {
	if c.FleetFile == "" {
		return membership{}, nil
	}
	m, err := readFleetFile(c.FleetFile, c.Name)
	if err == nil && c.Name == "" {
		err = errors.New("fleet: a member has a name, and the config gives none")
	}
	return m, err
}

// needsRestart tells whether another config differs from this one in more than the address of discovery and the
// cached list.
func (c Config) needsRestart(other Config) bool {
	return c.Name != other.Name ||
		c.Listen != other.Listen ||
		c.AdminAddress != other.AdminAddress ||
		c.FleetFile != other.FleetFile ||
		c.Limits != other.Limits ||
		c.PeerAddress != other.PeerAddress ||
		!slices.Equal(c.Peers, other.Peers) ||
		!bytes.Equal(c.Settings, other.Settings)
}

// maxDescriptors is how many descriptors the process may hold.
func (c Config) maxDescriptors() int {
	return cmp.Or(max(c.Limits.Sockets, 0), defaultMaxDescriptors)
}

// adminConnections is how many connections the second address may hold.
func (c Config) adminConnections() int {
	return min(max(c.maxDescriptors()/descriptorsPerAdminConn, 1), maxAdminConnections)
}

// descriptorOverhead is how many descriptors the process needs beside those of connections.
func (c Config) descriptorOverhead() int {
	overhead := reservedDescriptors
	if c.AdminAddress != "" {
		overhead += 1 + c.adminConnections()
	}
	if c.PeerAddress != "" {
		overhead++
	}
	if c.FleetFile != "" {
		overhead++
	}
	return overhead
}

// checkPeers checks the keys for messages among nodes, which the settings must allow. Where they are allowed and no
// address is given, the node goes without.
func (c Config) checkPeers(allowed bool) error {
	if c.PeerAddress != "" {
		if _, err := peers.ParseAddress(c.PeerAddress); err != nil {
			return fmt.Errorf("peer_addr: %w", err)
		}
	}
	for _, address := range c.Peers {
		if _, err := peers.ParseAddress(address); err != nil {
			return fmt.Errorf("peers: %w", err)
		}
	}
	switch {
	case !allowed && c.PeerAddress != "":
		return errors.New("peer_addr: settings.limits.peers allows no messages among nodes")
	case !allowed && len(c.Peers) > 0:
		return errors.New("peers: settings.limits.peers allows no messages among nodes")
	case c.PeerAddress == "" && len(c.Peers) > 0:
		return errors.New("peers: there is no peer_addr to send from")
	case c.PeerAddress != "" && len(c.Peers) == 0:
		return errors.New("peer_addr: there are no peers to send to")
	}
	return nil
}
