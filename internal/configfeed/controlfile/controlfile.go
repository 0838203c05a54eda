// Package controlfile reads the file that a control server is started with and that the commands of an operator use.
package controlfile

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"unicode"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/fleetkey"
	"gorseledge/internal/peers"
	"gorseledge/internal/strict"
)

// Server is one control server of the fleet.
type Server struct {
	Name    string `toml:"name"`
	Address string `toml:"address"` // numeric, with a port (TCP)
	Region  string `toml:"region"`
}

// Config is the control file of one server.
type Config struct {
	Fleet     string            `toml:"fleet"`     // id: requests of another fleet are refused
	Name      string            `toml:"name"`      // of this server, among Servers
	Key       string            `toml:"key"`       // hexadecimal, 16 bytes or more: authenticates requests and answers
	OldKey    string            `toml:"old_key"`   // accepted as well, while the key is being changed
	Directory string            `toml:"directory"` // of this server's log
	Writer    string            `toml:"writer"`    // the server that gives out revisions
	Servers   []Server          `toml:"server"`    // all servers, this one among them; an odd number
	Via       map[string]string `toml:"via"`       // where this server reaches an address, if that is elsewhere
	Keys      [][]byte          `toml:"-"`         // decoded from Key and OldKey
}

// Read reads a control file, strictly; an error names the file, the line and the key.
func Read(path string) (Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Config{}, fmt.Errorf("control: %w", err)
	}
	c, err := parse(path, text)
	if err != nil {
		return Config{}, fmt.Errorf("control: %w", err)
	}
	return c, nil
}

// Server returns the server of a name; false where there is none.
func (c Config) Server(name string) (Server, bool) {
	for _, s := range c.Servers {
		if s.Name == name {
			return s, true
		}
	}
	return Server{}, false
}

func parse(path string, text []byte) (Config, error) {
	var c Config
	if err := strict.Decode(path, text, &c); err != nil {
		return c, err
	}
	keys, wrongKey := fleetkey.Decode(c.Key, c.OldKey)
	if wrongKey != nil {
		return c, strict.Place{Key: wrongKey.Setting}.Wrap(path, text, wrongKey)
	}
	c.Keys = keys
	for _, check := range []func(Config) (strict.Place, error){checkSelf, checkServers, checkRoles, checkVia} {
		if place, err := check(c); err != nil {
			return c, place.Wrap(path, text, err)
		}
	}
	return c, nil
}

// checkName says why a text is no name of a fleet, server or region.
func checkName(key, name string) error {
	switch {
	case name == "":
		return fmt.Errorf("%s: is missing", key)
	case len(name) > configfeed.MaxNameBytes:
		return fmt.Errorf("%s: %d bytes, and %d are allowed", key, len(name), configfeed.MaxNameBytes)
	case strings.ContainsFunc(name, func(r rune) bool { return unicode.IsSpace(r) || !unicode.IsPrint(r) }):
		return fmt.Errorf("%s: %q contains a space or an unprintable character", key, name)
	}
	return nil
}

// checkSelf checks what stands of this server alone.
func checkSelf(c Config) (strict.Place, error) {
	for _, named := range []struct{ key, name string }{{"fleet", c.Fleet}, {"name", c.Name}, {"writer", c.Writer}} {
		if err := checkName(named.key, named.name); err != nil {
			return strict.Place{Key: named.key}, err
		}
	}
	if c.Directory == "" {
		return strict.Place{Key: "directory"}, errors.New("directory: is missing")
	}
	return strict.Place{}, nil
}

// checkServers checks each server, and that no two are the same.
func checkServers(c Config) (strict.Place, error) {
	names, addresses := map[string]bool{}, map[netip.AddrPort]bool{}
	for i, s := range c.Servers {
		place := func(key string) strict.Place { return strict.Place{Table: "server", Index: i, Key: key} }
		if err := checkName("name", s.Name); err != nil {
			return place("name"), err
		}
		if err := checkName("region", s.Region); err != nil {
			return place("region"), err
		}
		address, err := peers.ParseAddress(s.Address)
		switch {
		case err != nil:
			return place("address"), fmt.Errorf("address: %w", err)
		case names[s.Name]:
			return place("name"), fmt.Errorf("name: there are two servers %s", s.Name)
		case addresses[address]:
			return place("address"), fmt.Errorf("address: two servers have %s", s.Address)
		}
		names[s.Name], addresses[address] = true, true
	}
	return strict.Place{}, nil
}

// checkRoles checks that the servers named are among those listed, and that a majority of them is always clear.
func checkRoles(c Config) (strict.Place, error) {
	if len(c.Servers)%2 == 0 {
		return strict.Place{Table: "server"}, fmt.Errorf("server: there are %d, and an odd number is wanted", len(c.Servers))
	}
	for _, named := range []struct{ key, name string }{{"name", c.Name}, {"writer", c.Writer}} {
		if _, found := c.Server(named.name); !found {
			return strict.Place{Key: named.key}, fmt.Errorf("%s: there is no server %s", named.key, named.name)
		}
	}
	return strict.Place{}, nil
}

// checkVia checks the addresses that are reached elsewhere.
func checkVia(c Config) (strict.Place, error) {
	for from, to := range c.Via {
		for _, text := range []string{from, to} {
			if _, err := peers.ParseAddress(text); err != nil {
				return strict.Place{Table: "via", Key: strconv.Quote(from)}, fmt.Errorf("via: %w", err)
			}
		}
	}
	return strict.Place{}, nil
}
