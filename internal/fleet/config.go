// Package fleet joins a node to the other nodes of its fleet: the fleet's address, timers and messages round the
// cores that decide (membership). Without a fleet file nothing of it exists.
package fleet

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"gorseledge/internal/fleetkey"
	"gorseledge/internal/peers"
	"gorseledge/internal/strict"
)

const (
	leastPeriod = 0.05
	mostPeriod  = 60.0
	usualPeriod = 1.0
	mostJoin    = 64
)

// Config is the fleet file of one node. Times are seconds.
type Config struct {
	Fleet   string            `toml:"fleet"`    // id: messages of another fleet are dropped
	Address string            `toml:"address"`  // this node's own, for messages among members (UDP)
	Join    []string          `toml:"join"`     // addresses of some members; this one's own may be among them
	Key     string            `toml:"key"`      // hexadecimal, 16 bytes or more: proves that a message is the fleet's
	OldKey  string            `toml:"old_key"`  // taken as well, while the key is being changed
	Zone    string            `toml:"zone"`     // where the node stands
	Period  float64           `toml:"period_s"` // between two probes, 0.05 to 60; 1 where it is missing
	Via     map[string]string `toml:"via"`      // where this node reaches an address, if that is elsewhere
	Region  string            `toml:"region,omitempty"`
	Control []ControlServer   `toml:"control,omitempty"` // where the node follows the configuration; none for not at all
	keys    [][]byte
}

// Read reads a fleet file, strictly; an error names the file, the line and the key.
func Read(path string) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("fleet: %w", err)
	}
	c, err := Parse(path, text)
	if err != nil {
		return Config{}, fmt.Errorf("fleet: %w", err)
	}
	return c, nil
}

// Parse reads a fleet file's text; path is for messages.
func Parse(path string, text []byte) (Config, error) {
	var c Config
	if err := strict.Decode(path, text, &c); err != nil {
		return c, err
	}
	if c.Period == 0 {
		c.Period = usualPeriod
	}
	if where, err := c.check(); err != nil {
		return c, where.Wrong(path, text, err)
	}
	c.keys, _ = fleetkey.Decode(c.Key, c.OldKey)
	return c, nil
}

// check gives the first thing with which no node can be a member.
func (c Config) check() (strict.Place, error) {
	top := func(key string) strict.Place { return strict.Place{Key: key} }
	own, err := peers.ParseAddress(c.Address)
	switch {
	case c.Fleet == "":
		return top("fleet"), errors.New("fleet: a fleet has an id")
	case err != nil:
		return top("address"), fmt.Errorf("address: %w", err)
	case !(c.Period >= leastPeriod && c.Period <= mostPeriod):
		return top("period_s"), fmt.Errorf("period_s: %g is not between %g and %g", c.Period, leastPeriod, mostPeriod)
	case len(c.Join) > mostJoin:
		return top("join"), fmt.Errorf("join: %d addresses, and %d do", len(c.Join), mostJoin)
	}
	seen := map[netip.AddrPort]bool{}
	for _, text := range c.Join {
		at, err := peers.ParseAddress(text)
		if err != nil {
			return top("join"), fmt.Errorf("join: %w", err)
		}
		if seen[at] {
			return top("join"), fmt.Errorf("join: %s stands there twice", text)
		}
		seen[at] = true
	}
	if len(c.Join) == 0 || len(c.Join) == 1 && seen[own] {
		return top("join"), errors.New("join: there is nobody else to join")
	}
	for from, to := range c.Via {
		for _, text := range []string{from, to} {
			if _, err := peers.ParseAddress(text); err != nil {
				return strict.Place{Table: "via", Key: strconv.Quote(from)}, fmt.Errorf("via: %w", err)
			}
		}
	}
	if _, err := fleetkey.Decode(c.Key, c.OldKey); err != nil {
		return top(err.Setting), err
	}
	return c.checkControl()
}
