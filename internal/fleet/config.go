// Package fleet joins a node to the other nodes of its fleet: the fleet's address, timers and messages round the
// cores that decide (membership). Without a fleet file nothing of it exists.
package fleet

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"gorseledge/internal/peers"
)

const (
	leastKey    = 16 // bytes
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
	keys    [][]byte
}

// Read reads a fleet file, strictly; an error names the file, the line and the key.
func Read(path string) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("fleet: %w", err)
	}
	c, key, err := parse(text)
	if err != nil {
		return Config{}, fmt.Errorf("fleet: %s:%d: %w", path, lineOf(text, key, err), err)
	}
	return c, nil
}

// lineOf finds where a key stands; where an error of the parser has a place, that.
func lineOf(text []byte, key string, err error) int {
	var strict *toml.StrictMissingError
	var decode *toml.DecodeError
	switch {
	case errors.As(err, &strict) && len(strict.Errors) > 0:
		line, _ := strict.Errors[0].Position()
		return line
	case errors.As(err, &decode):
		line, _ := decode.Position()
		return line
	}
	for i, line := range strings.Split(string(text), "\n") {
		if name, _, found := strings.Cut(line, "="); found && strings.Trim(strings.TrimSpace(name), `"`) == key {
			return i + 1
		}
	}
	return 1
}

func parse(text []byte) (c Config, key string, err error) {
	d := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		var strict *toml.StrictMissingError
		if errors.As(err, &strict) && len(strict.Errors) > 0 {
			return c, "", fmt.Errorf("%s: unknown key%w", strings.Join(strict.Errors[0].Key(), "."), quiet{err})
		}
		return c, "", err
	}
	if c.Period == 0 {
		c.Period = usualPeriod
	}
	own, err := peers.Address(c.Address)
	switch {
	case c.Fleet == "":
		return c, "fleet", errors.New("fleet: a fleet has an id")
	case err != nil:
		return c, "address", fmt.Errorf("address: %w", err)
	case !(c.Period >= leastPeriod && c.Period <= mostPeriod):
		return c, "period_s", fmt.Errorf("period_s: %g is not between %g and %g", c.Period, leastPeriod, mostPeriod)
	case len(c.Join) > mostJoin:
		return c, "join", fmt.Errorf("join: %d addresses, and %d do", len(c.Join), mostJoin)
	}
	seen := map[netip.AddrPort]bool{}
	for _, text := range c.Join {
		at, err := peers.Address(text)
		if err != nil {
			return c, "join", fmt.Errorf("join: %w", err)
		}
		if seen[at] {
			return c, "join", fmt.Errorf("join: %s stands there twice", text)
		}
		seen[at] = true
	}
	if len(c.Join) == 0 || len(c.Join) == 1 && seen[own] {
		return c, "join", errors.New("join: there is nobody else to join")
	}
	for from, to := range c.Via {
		for _, text := range []string{from, to} {
			if _, err := peers.Address(text); err != nil {
				return c, from, fmt.Errorf("via: %w", err)
			}
		}
	}
	for name, text := range map[string]string{"key": c.Key, "old_key": c.OldKey} {
		if name == "old_key" && text == "" {
			continue
		}
		if raw, err := hex.DecodeString(text); err != nil || len(raw) < leastKey {
			return c, name, fmt.Errorf("%s: wanted %d hexadecimal bytes or more", name, leastKey)
		}
	}
	for _, text := range []string{c.Key, c.OldKey} {
		if raw, _ := hex.DecodeString(text); len(raw) > 0 {
			c.keys = append(c.keys, raw)
		}
	}
	return c, "", nil
}

// quiet keeps an error to be found and says nothing of its own.
type quiet struct{ error }

func (quiet) Error() string   { return "" }
func (q quiet) Unwrap() error { return q.error }
