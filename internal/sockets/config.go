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

// Config is a node's config file. The zero value is not valid: Listen and Discovery are required.
type Config struct {
	Name         string          `json:"name"`
	Listen       string          `json:"listen"`     // address for clients
	Discovery    string          `json:"discovery"`  // address of the discovery service
	AdminAddress string          `json:"admin_addr"` // address for operators; empty for none
	PeerAddress  string          `json:"peer_addr"`  // address for messages among nodes; empty for none
	Peers        []string        `json:"peers"`      // addresses of the nodes for such messages; this node's own may be among them
	Seed         string          `json:"seed"`       // hexadecimal
	FleetFile    string          `json:"fleet"`      // path; empty for a node that belongs to no fleet
	Limits       Limits          `json:"limits"`
	path         string          // of the config file itself
	CachedList   json.RawMessage `json:"known"` // endpoint list to use until discovery answers
	Settings     json.RawMessage `json:"settings"`
}

// Limits are the resources that the platform grants the process.
type Limits struct {
	Cores    float64 `json:"cores"`     // number of processors, may be fractional
	MemoryMB int64   `json:"memory_mb"` // MiB; 0 for no limit
	Sockets  int     `json:"sockets"`   // descriptors; 0 or less for defaultMaxDescriptors
}

const (
	defaultMaxDescriptors    = 512
	descriptorsPerAdminConn  = 16 // one in 16 descriptors may be used by a connection to the admin address
	maxAdminConnections      = 32
	reservedDescriptors      = 16 // for the standard streams, the clients' listener, the poller and discovery
	controlServerDescriptors = 2  // for a connection to a control server, and for the next one while the first is being closed
	minConnectionDescriptors = 2  // for a client's connection and the connection to its host
)

// ReadConfig reads a node's config file. For a name, an address or a fleet file that the file does not state, the
// environment variables LB_NAME, LB_LISTEN, LB_DISCOVERY, LB_ADMIN_ADDR and LB_FLEET are used. ReadConfig does not
// check the settings.
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

// checkAddresses returns an error if the clients' address or discovery's is missing, or if the admin address is invalid.
func (c Config) checkAddresses() error {
	if c.Listen == "" || c.Discovery == "" {
		return fmt.Errorf("config %s: listen and discovery are both required", c.path)
	}
	if c.AdminAddress == "" {
		return nil
	}
	if _, port, err := net.SplitHostPort(c.AdminAddress); err != nil || port == "" {
		return fmt.Errorf("config %s: admin_addr must be HOST:PORT, got %q", c.path, c.AdminAddress)
	}
	if c.AdminAddress == c.Listen {
		return fmt.Errorf("config %s: admin_addr must differ from listen, got %q for both", c.path, c.AdminAddress)
	}
	return nil
}

// Check reads and checks a config and the fleet file that it names, as Run would, without starting a node. Invalid
// settings are reported as a *settings.KeyError.
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

// membership is how a node takes part in its fleet, as the fleet file describes it. The zero value is for a node that
// belongs to no fleet.
type membership struct {
	open           func(view.Options) view.Membership
	followsControl bool // the node receives its live settings from control servers
}

// membership reads the fleet file, if the config names one.
func (c Config) membership() (membership, error) {
	if c.FleetFile == "" {
		return membership{}, nil
	}
	m, err := readFleetFile(c.FleetFile, c.Name)
	if err == nil && c.Name == "" {
		err = errors.New("fleet: a member of a fleet needs a name, and the config does not set one")
	}
	return m, err
}

// needsRestart reports whether another config differs from this one in more than discovery's address, which takes effect
// without a restart, and the cached list, which is used only at a start.
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

// processors returns how many processors the process may use, which may be a fraction.
func (c Config) processors() float64 { return cmp.Or(max(c.Limits.Cores, 0), 1) }

// maxDescriptors returns how many descriptors the process may hold.
func (c Config) maxDescriptors() int {
	return cmp.Or(max(c.Limits.Sockets, 0), defaultMaxDescriptors)
}

// adminConnections returns how many connections the admin address may hold.
func (c Config) adminConnections() int {
	return min(max(c.maxDescriptors()/descriptorsPerAdminConn, 1), maxAdminConnections)
}

// descriptorOverhead returns how many descriptors the process needs in addition to those of connections.
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

// checkPeers checks the keys for messages among nodes. An address or peers are refused unless the settings allow such
// messages. Settings that allow them are valid without an address: the node then exchanges none with configured peers.
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
		return errors.New("peer_addr: settings.limits.peers does not allow messages among nodes")
	case !allowed && len(c.Peers) > 0:
		return errors.New("peers: settings.limits.peers does not allow messages among nodes")
	case c.PeerAddress == "" && len(c.Peers) > 0:
		return errors.New("peers: peer_addr is required if peers are set")
	case c.PeerAddress != "" && len(c.Peers) == 0:
		return errors.New("peer_addr: peers are required if peer_addr is set")
	}
	return nil
}
