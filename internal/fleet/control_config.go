package fleet

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"unicode"

	"gorseledge/internal/configfeed"
	"gorseledge/internal/peers"
	"gorseledge/internal/strict"
)

// ControlServer is a control server, as the fleet file names it.
type ControlServer struct {
	Name    string `toml:"name"`
	Address string `toml:"address"` // numeric, with a port (TCP)
	Region  string `toml:"region"`
}

// servers gives the control servers as a follower knows them.
func (c Config) servers() []configfeed.ServerAddress {
	servers := make([]configfeed.ServerAddress, 0, len(c.Control))
	for _, s := range c.Control {
		servers = append(servers, configfeed.ServerAddress{Name: s.Name, Address: s.Address, Region: s.Region})
	}
	return servers
}

// checkControl gives the first thing with which no node can follow its control servers.
func (c Config) checkControl() (strict.Place, error) {
	if err := checkName("region", c.Region); err != nil && (len(c.Control) > 0 || c.Region != "") {
		return strict.Place{Key: "region"}, err
	}
	names, addresses := map[string]bool{}, map[netip.AddrPort]bool{}
	for i, s := range c.Control {
		place := func(key string) strict.Place { return strict.Place{Table: "control", Nth: i, Key: key} }
		if err := checkName("name", s.Name); err != nil {
			return place("name"), fmt.Errorf("control.%w", err)
		}
		if err := checkName("region", s.Region); err != nil {
			return place("region"), fmt.Errorf("control.%w", err)
		}
		address, err := peers.ParseAddress(s.Address)
		switch {
		case err != nil:
			return place("address"), fmt.Errorf("control.address: %w", err)
		case names[s.Name]:
			return place("name"), fmt.Errorf("control.name: %s stands there twice", s.Name)
		case addresses[address]:
			return place("address"), fmt.Errorf("control.address: %s stands there twice", s.Address)
		}
		names[s.Name], addresses[address] = true, true
	}
	return strict.Place{}, nil
}

// checkName tells whether a text can be a server's or region's name.
func checkName(key, name string) error {
	switch {
	case name == "":
		return errors.New(key + ": is missing")
	case len(name) > configfeed.MaxNameBytes:
		return fmt.Errorf("%s: %d bytes, and %d do", key, len(name), configfeed.MaxNameBytes)
	case strings.ContainsFunc(name, func(r rune) bool { return unicode.IsSpace(r) || !unicode.IsPrint(r) }):
		return fmt.Errorf("%s: %q has a space or an unprintable character", key, name)
	}
	return nil
}
