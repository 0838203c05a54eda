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

// Errors of a fleet file. Each begins with the key at fault.
var (
	errNoFleet       = errors.New("fleet: must not be empty")
	errNoOtherToJoin = errors.New("join: must contain the address of at least one other node")
)

// Config is the fleet file of one node. Read and Parse return a validated one; the zero value is not usable.
type Config struct {
	Fleet   string            `toml:"fleet"`             // id of the fleet: messages of another fleet are rejected
	Address string            `toml:"address"`           // this node's numeric address and UDP port for messages between members
	Join    []string          `toml:"join"`              // addresses of members to join at; may contain this node's own
	Key     string            `toml:"key"`               // hexadecimal key of at least 16 bytes that signs and verifies messages
	OldKey  string            `toml:"old_key"`           // second key that is accepted during a change of the key; may be empty
	Zone    string            `toml:"zone"`              // zone of the node; may be empty
	Period  float64           `toml:"period_s"`          // seconds between two probes, 0.05 to 60; defaults to 1
	Via     map[string]string `toml:"via"`               // addresses that this node uses in place of other addresses
	Region  string            `toml:"region,omitempty"`  // region of the node; required if Control is not empty
	Control []ControlServer   `toml:"control,omitempty"` // control servers that the node follows; may be empty

	keys [][]byte // decoded Key, followed by the decoded OldKey if that is not empty
}

// Read reads and validates a fleet file. An error about its content names the file, the line and the key.
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

// Parse decodes and validates the text of a fleet file. Errors name the path, the line and the key; the path is not used
// otherwise.
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

// decodeKeys returns the decoded keys. The first one signs messages.
func (c Config) decodeKeys() ([][]byte, error) {
	keys, err := fleetkey.Decode(c.Key, c.OldKey)
	if err != nil {
		return nil, err
	}
	return keys, nil
}

// check validates the settings and returns the first error and its place in the file.
func (c Config) check() (strict.Place, error) {
	top := func(key string) strict.Place { return strict.Place{Key: key} }
	if c.Fleet == "" {
		return top("fleet"), errNoFleet
	}
	own, err := peers.ParseAddress(c.Address)
	if err != nil {
		return top("address"), fmt.Errorf("address: %w", err)
	}
	if !(c.Period >= minPeriodSeconds && c.Period <= maxPeriodSeconds) { // negated, so that NaN is rejected as well
		return top("period_s"), fmt.Errorf("period_s: must be between %g and %g s, got %g",
			minPeriodSeconds, maxPeriodSeconds, c.Period)
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

// checkJoin validates the addresses to join at. At least one of them must not be the node's own.
func (c Config) checkJoin(own netip.AddrPort) error {
	if len(c.Join) > maxJoinAddresses {
		return fmt.Errorf("join: must contain at most %d addresses, got %d", maxJoinAddresses, len(c.Join))
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

// checkVia validates the addresses and their replacements in Via.
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
