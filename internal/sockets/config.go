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
	"strconv"
	"strings"

	"gorseledge/internal/discovery/endpoint"
	"gorseledge/internal/fleet/view"
	"gorseledge/internal/line"
	"gorseledge/internal/node"
	"gorseledge/internal/peers"
	"gorseledge/internal/settings"
)

// Config is what a node is told by its platform.
type Config struct {
	Name      string   `json:"name"`
	Listen    string   `json:"listen"`
	Discovery string   `json:"discovery"`
	Admin     string   `json:"admin_addr"` // the second address; none where it is empty
	PeerAddr  string   `json:"peer_addr"`  // for messages among nodes; none where it is empty
	Peers     []string `json:"peers"`      // the other nodes' addresses for them; this one's own may be among them
	Seed      string   `json:"seed"`
	Fleet     string   `json:"fleet"` // path of the fleet file; the node is on its own where it is empty
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int64   `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	path     string
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

const (
	ownDescriptors = 16  // standard streams, listener, poller, discovery
	manySockets    = 512 // where no limit is told
	callerShare    = 16  // one in so many descriptors may be with callers of the second address
	mostCallers    = 32
)

// ReadConfig reads a node's config; the environment's variables stand in for what it lacks.
func ReadConfig(path string) (Config, error) {
	c := Config{path: path}
	text, err := os.ReadFile(path)
	if err != nil {
		return c, fmt.Errorf("config: %w", err)
	}
	if err := json.Unmarshal(text, &c); err != nil {
		return c, fmt.Errorf("config %s: %w", path, err)
	}
	c.Name = cmp.Or(c.Name, os.Getenv("LB_NAME"))
	c.Listen = cmp.Or(c.Listen, os.Getenv("LB_LISTEN"))
	c.Discovery = cmp.Or(c.Discovery, os.Getenv("LB_DISCOVERY"))
	c.Admin = cmp.Or(c.Admin, os.Getenv("LB_ADMIN_ADDR"))
	c.Fleet = cmp.Or(c.Fleet, os.Getenv("LB_FLEET"))
	if c.Listen == "" || c.Discovery == "" {
		return c, fmt.Errorf("config %s: no address to listen on, or none of discovery", path)
	}
	if c.Admin == "" {
		return c, nil
	}
	if _, port, err := net.SplitHostPort(c.Admin); err != nil || port == "" {
		return c, fmt.Errorf("config %s: admin_addr %q is no address with a port", path, c.Admin)
	}
	if c.Admin == c.Listen {
		return c, fmt.Errorf("config %s: admin_addr %q is the clients' address", path, c.Admin)
	}
	return c, nil
}

// Check reads a config as a start would, with the fleet file that it names, and starts nothing.
func Check(path string) error {
	c, err := ReadConfig(path)
	if err == nil {
		_, err = c.start()
	}
	if err == nil {
		_, err = c.member()
	}
	return err
}

// member is what the fleet file makes of a node. Without one, open is nil.
type member struct {
	open    func(view.Options) view.Part
	follows bool // the configuration, from control servers
}

// member reads the fleet file, if there is one.
func (c Config) member() (member, error) {
	if c.Fleet == "" {
		return member{}, nil
	}
	m, err := readFleet(c.Fleet, c.Name)
	if err == nil && c.Name == "" {
		err = errors.New("fleet: a member has a name, and the config gives none")
	}
	return m, err
}

// differs tells whether something else than discovery and the list known is another here than there.
func (c Config) differs(from Config) bool {
	return c.Name != from.Name || c.Listen != from.Listen || c.Admin != from.Admin || c.Fleet != from.Fleet || c.Limits != from.Limits ||
		c.PeerAddr != from.PeerAddr || !slices.Equal(c.Peers, from.Peers) || !bytes.Equal(c.Settings, from.Settings)
}

// callers is how many connections the second address may hold.
func (c Config) callers() int {
	return min(max(cmp.Or(max(c.Limits.Sockets, 0), manySockets)/callerShare, 1), mostCallers)
}

// mixed tells what of the config belongs to another shape of deployment than its settings: messages among
// nodes need both. Where they are allowed and no address is given, the node goes without.
func (c Config) mixed(allowed bool) error {
	if _, err := peers.ParseAddress(c.PeerAddr); c.PeerAddr != "" && err != nil {
		return fmt.Errorf("peer_addr: %w", err)
	}
	for _, at := range c.Peers {
		if _, err := peers.ParseAddress(at); err != nil {
			return fmt.Errorf("peers: %w", err)
		}
	}
	switch {
	case !allowed && c.PeerAddr != "":
		return errors.New("peer_addr: settings.limits.peers allows no messages among nodes")
	case !allowed && len(c.Peers) > 0:
		return errors.New("peers: settings.limits.peers allows no messages among nodes")
	case c.PeerAddr == "" && len(c.Peers) > 0:
		return errors.New("peers: there is no peer_addr to send from")
	case c.PeerAddr != "" && len(c.Peers) == 0:
		return errors.New("peer_addr: there are no peers to send to")
	}
	return nil
}

// numberOf gives a node's number among its siblings where the settings do not tell it: the one that its name ends with, as platforms number their nodes,
// or else what a hash of the name gives, under which two may have one.
func numberOf(name string) int {
	digits := name[len(strings.TrimRight(name, "0123456789")):]
	if number, err := strconv.ParseInt(digits, 10, 32); err == nil {
		return int(number)
	}
	return int(line.Hash([]byte(name)) >> 33)
}

// start turns the config into what the core is told. A known list that does not parse is as good as none.
func (c Config) start() (node.Start, error) {
	r, d, err := settings.Parse(c.Settings, line.Number([]byte(c.Seed)))
	if err == nil {
		err = settings.Validate(r)
	}
	if err == nil {
		err = c.mixed(r.LoadGossip)
	}
	if err != nil {
		return node.Start{}, err
	}
	if r.NodeNumber < 0 {
		r.NodeNumber = numberOf(c.Name)
	}
	r.LoadGossip = c.PeerAddr != "" || r.LoadGossip && c.Fleet != "" // members are told where no peers are named
	known, err := endpoint.Parse(c.Known)
	if err != nil {
		known = endpoint.List{}
	}
	limit := cmp.Or(max(c.Limits.Sockets, 0), manySockets)
	own := ownDescriptors
	if c.Admin != "" {
		own += 1 + c.callers()
	}
	if c.PeerAddr != "" {
		own++
	}
	if c.Fleet != "" {
		own++
	}
	return node.Start{Settings: r, Listener: d, CachedList: known, MaxDescriptors: max(limit-own, 2), DescriptorOverhead: own}, nil
}
