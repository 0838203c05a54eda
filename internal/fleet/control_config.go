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

// ControlServer is a control server in the fleet file.
type ControlServer struct {
	Name    string `toml:"name"`    // name, unique among the control servers
	Address string `toml:"address"` // numeric address and TCP port, unique among the control servers
	Region  string `toml:"region"`
}

// errEmpty is the error for an empty name.
var errEmpty = errors.New("must not be empty")

// servers returns the control servers in the type that a follower accepts.
func (c Config) servers() []configfeed.ServerAddress {
	servers := make([]configfeed.ServerAddress, 0, len(c.Control))
	for _, s := range c.Control {
		servers = append(servers, configfeed.ServerAddress{Name: s.Name, Address: s.Address, Region: s.Region})
	}
	return servers
}

// checkControl validates the node's region and the control servers and returns the first error and its place in the file.
func (c Config) checkControl() (strict.Place, error) {
	if len(c.Control) > 0 || c.Region != "" {
		if err := checkName(c.Region); err != nil {
			return strict.Place{Key: "region"}, &settingError{key: "region", err: err}
		}
	}
	names := map[string]bool{}
	addresses := map[netip.AddrPort]bool{}
	for i, server := range c.Control {
		err := server.check(names, addresses)
		if err != nil {
			return strict.Place{Table: "control", Index: i, Key: err.key}, fmt.Errorf("control.%w", err)
		}
	}
	return strict.Place{}, nil
}

// settingError is the error of one key of a table in the fleet file.
type settingError struct {
	key string
	err error
}

func (e *settingError) Error() string { return e.key + ": " + e.err.Error() }
func (e *settingError) Unwrap() error { return e.err }

// check returns the first error of a server. If it is valid, check adds its name and address to the maps of those that are
// in use, and returns nil.
func (s ControlServer) check(names map[string]bool, addresses map[netip.AddrPort]bool) *settingError {
	if err := checkName(s.Name); err != nil {
		return &settingError{key: "name", err: err}
	}
	if err := checkName(s.Region); err != nil {
		return &settingError{key: "region", err: err}
	}
	address, err := peers.ParseAddress(s.Address)
	if err != nil {
		return &settingError{key: "address", err: err}
	}
	if names[s.Name] {
		return &settingError{key: "name", err: fmt.Errorf("%s is listed twice", s.Name)}
	}
	if addresses[address] {
		return &settingError{key: "address", err: fmt.Errorf("%s is listed twice", s.Address)}
	}
	names[s.Name] = true
	addresses[address] = true
	return nil
}

// checkName returns an error if a text is not valid as the name of a server or a region.
func checkName(name string) error {
	if name == "" {
		return errEmpty
	}
	if len(name) > configfeed.MaxNameBytes {
		return fmt.Errorf("must be at most %d bytes, got %d", configfeed.MaxNameBytes, len(name))
	}
	if strings.ContainsFunc(name, func(r rune) bool { return unicode.IsSpace(r) || !unicode.IsPrint(r) }) {
		return fmt.Errorf("%q contains a space or an unprintable character", name)
	}
	return nil
}
