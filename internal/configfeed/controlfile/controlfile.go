// Package controlfile reads the control file, with which a control server is started and which the operators' commands use.
// It defines the keys of the file and their valid values. It does not read other files or directories that the file names.
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
	Name    string `toml:"name"`    // unique, 1 to configfeed.MaxNameBytes bytes long
	Address string `toml:"address"` // IP address and TCP port; unique
	Region  string `toml:"region"`  // 1 to configfeed.MaxNameBytes bytes long
}

// Config is the control file of one server.
type Config struct {
	Fleet     string            `toml:"fleet"`     // identifier of the fleet; requests of another fleet are rejected
	Name      string            `toml:"name"`      // name of this server, which has to be in Servers
	Key       string            `toml:"key"`       // in hexadecimal, at least fleetkey.MinBytes; authenticates requests and answers
	OldKey    string            `toml:"old_key"`   // also accepted while the key is being changed; may be empty
	Directory string            `toml:"directory"` // directory of this server's log
	Writer    string            `toml:"writer"`    // name of the server that accepts proposals
	Servers   []Server          `toml:"server"`    // all servers, this one included; their number must be odd
	Via       map[string]string `toml:"via"`       // address to dial instead, by address of a server
	Keys      [][]byte          `toml:"-"`         // decoded from Key and OldKey; the first one signs
}

// Read reads and checks a control file. The error is one line with the path. For a mistake in the file it also has the line
// number and the key. Unknown keys are errors.
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

// Server returns the server with a name, and whether there is one.
func (c Config) Server(name string) (Server, bool) {
	for _, s := range c.Servers {
		if s.Name == name {
			return s, true
		}
	}
	return Server{}, false
}

// parse decodes and checks the text of a control file.
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
	checks := []func(Config) (strict.Place, error){checkSelf, checkServers, checkRoles, checkVia}
	for _, check := range checks {
		place, err := check(c)
		if err != nil {
			return c, place.Wrap(path, text, err)
		}
	}
	return c, nil
}

// checkName returns an error unless a text is a valid name of a fleet, server or region.
func checkName(key, name string) error {
	switch {
	case name == "":
		return fmt.Errorf("%s: is missing", key)
	case len(name) > configfeed.MaxNameBytes:
		return fmt.Errorf("%s: must be between 1 and %d bytes, got %d", key, configfeed.MaxNameBytes, len(name))
	case strings.ContainsFunc(name, isSpaceOrUnprintable):
		return fmt.Errorf("%s: %q contains a space or an unprintable character", key, name)
	}
	return nil
}

// isSpaceOrUnprintable reports whether a character is not allowed in a name.
func isSpaceOrUnprintable(r rune) bool { return unicode.IsSpace(r) || !unicode.IsPrint(r) }

// namedSetting is a setting whose value is a name.
type namedSetting struct{ key, name string }

// checkSelf checks the settings that concern only this server. Like the other checks, it returns an error together with the
// place of the mistake.
func checkSelf(c Config) (strict.Place, error) {
	settings := []namedSetting{{"fleet", c.Fleet}, {"name", c.Name}, {"writer", c.Writer}}
	for _, named := range settings {
		if err := checkName(named.key, named.name); err != nil {
			return strict.Place{Key: named.key}, err
		}
	}
	if c.Directory == "" {
		return strict.Place{Key: "directory"}, errors.New("directory: is missing")
	}
	return strict.Place{}, nil
}

// checkServers checks each server, and that no two have the same name or address.
func checkServers(c Config) (strict.Place, error) {
	names := map[string]bool{}
	addresses := map[netip.AddrPort]bool{}
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
			return place("name"), fmt.Errorf("name: two servers are named %s", s.Name)
		case addresses[address]:
			return place("address"), fmt.Errorf("address: two servers have the address %s", s.Address)
		}
		names[s.Name] = true
		addresses[address] = true
	}
	return strict.Place{}, nil
}

// checkRoles checks that this server and the writer are among the servers, and that the number of servers is odd: an even
// number tolerates no more failures than the next smaller odd number.
func checkRoles(c Config) (strict.Place, error) {
	if len(c.Servers)%2 == 0 {
		return strict.Place{Table: "server"}, fmt.Errorf("server: the number of servers must be odd, got %d", len(c.Servers))
	}
	for _, named := range []namedSetting{{"name", c.Name}, {"writer", c.Writer}} {
		if _, found := c.Server(named.name); !found {
			return strict.Place{Key: named.key}, fmt.Errorf("%s: server %s is not listed", named.key, named.name)
		}
	}
	return strict.Place{}, nil
}

// checkVia checks the addresses of the table via.
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
