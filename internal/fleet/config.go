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

// Ranges of the fleet file's settings.
const (
	minPeriodSeconds     = 0.05
	maxPeriodSeconds     = 60.0
	defaultPeriodSeconds = 1.0
	maxJoinAddresses     = 64
)

// Errors of a fleet file. Each has the key that it is about at its beginning.
var (
	errNoFleet       = errors.New("fleet: is missing")
	errNoOtherToJoin = errors.New("join: has no address of another node")
)

// Config is the fleet file of one node. Read and Parse return one that is checked; the zero value is not usable.
type Config struct {
	Fleet   string            `toml:"fleet"`             // id of the fleet: messages of another fleet are rejected
	Address string            `toml:"address"`           // of this node, for messages among members: numeric, with a port (UDP)
	Join    []string          `toml:"join"`              // addresses of some members, which may contain this node's own
	Key     string            `toml:"key"`               // hexadecimal, 16 bytes or more: signs and verifies messages
	OldKey  string            `toml:"old_key"`           // accepted as well, while the key is being changed; empty for none
	Zone    string            `toml:"zone"`              // of the node; may be empty
	Period  float64           `toml:"period_s"`          // seconds between two probes, 0.05 to 60; 1 where it is missing
	Via     map[string]string `toml:"via"`               // where this node reaches an address, if that is elsewhere
	Region  string            `toml:"region,omitempty"`  // of the node; needed where Control is not empty
	Control []ControlServer   `toml:"control,omitempty"` // servers from which the node follows the configuration; may be empty

	keys [][]byte // decoded: Key, and OldKey where it is not empty
}

// Read reads and checks a fleet file. An error about its content names the file, the line and the key.
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

// Parse reads and checks the text of a fleet file; the path is only for errors, which name the line and the key as well.
func Parse(path string, text []byte) (Config, error) {
	var c Config
	if err := strict.Decode(path, text, &c); err != nil {
		return c, err
	}
	if c.Period == 0 {
		c.Period = defaultPeriodSeconds
	}
	if place, err := c.check(); err != nil {
		return c, place.Wrap(path, text, err)
	}
	keys, err := c.decodeKeys()
	if err != nil {
		return c, err
	}
	c.keys = keys
	return c, nil
}

// decodeKeys returns the keys, the one to sign with first.
func (c Config) decodeKeys() ([][]byte, error) {
	keys, err := fleetkey.Decode(c.Key, c.OldKey)
	if err != nil {
		return nil, err
	}
	return keys, nil
}

// check returns the first error with which no node can be a member, and its place in the file.
func (c Config) check() (strict.Place, error) {
	top := func(key string) strict.Place { return strict.Place{Key: key} }
	if c.Fleet == "" {
		return top("fleet"), errNoFleet
	}
	own, err := peers.ParseAddress(c.Address)
	if err != nil {
		return top("address"), fmt.Errorf("address: %w", err)
	}
	if !(c.Period >= minPeriodSeconds && c.Period <= maxPeriodSeconds) { // this form excludes NaN as well
		return top("period_s"), fmt.Errorf("period_s: %g is not between %g and %g", c.Period, minPeriodSeconds, maxPeriodSeconds)
	}
	if err := c.checkJoin(own); err != nil {
		return top("join"), err
	}
	if place, err := c.checkVia(); err != nil {
		return place, err
	}
	if _, err := fleetkey.Decode(c.Key, c.OldKey); err != nil {
		return top(err.Setting), err
	}
	return c.checkControl()
}

// checkJoin checks the addresses to join at. One of them at least is not the node's own.
func (c Config) checkJoin(own netip.AddrPort) error {
	if len(c.Join) > maxJoinAddresses {
		return fmt.Errorf("join: %d addresses, and %d are allowed", len(c.Join), maxJoinAddresses)
	}
	seen := map[netip.AddrPort]bool{}
	for _, text := range c.Join {
		address, err := peers.ParseAddress(text)
		if err != nil {
			return fmt.Errorf("join: %w", err)
		}
		if seen[address] {
			return fmt.Errorf("join: %s is listed twice", text)
		}
		seen[address] = true
	}
	if len(c.Join) == 0 || len(c.Join) == 1 && seen[own] {
		return errNoOtherToJoin
	}
	return nil
}

// checkVia checks the addresses that are reached elsewhere.
func (c Config) checkVia() (strict.Place, error) {
	for from, to := range c.Via {
		for _, text := range []string{from, to} {
			if _, err := peers.ParseAddress(text); err != nil {
				return strict.Place{Table: "via", Key: strconv.Quote(from)}, fmt.Errorf("via: %w", err)
			}
		}
	}
	return strict.Place{}, nil
}
