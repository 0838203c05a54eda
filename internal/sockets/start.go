package sockets

import (
	"strconv"
	"strings"

	"gorseledge/internal/discovery/endpoint"
	"gorseledge/internal/line"
	"gorseledge/internal/node"
	"gorseledge/internal/settings"
)

// start converts the config into the core's start parameters. A cached list that does not parse counts as empty.
// Invalid settings are reported as a *settings.KeyError.
func (c Config) start() (node.Start, error) {
	core, listener, err := settings.Parse(c.Settings, line.ParseKey([]byte(c.Seed)))
	if err != nil {
		return node.Start{}, err
	}
	if err := settings.Validate(core); err != nil {
		return node.Start{}, err
	}
	if err := c.checkPeers(core.LoadGossip); err != nil {
		return node.Start{}, err
	}
	if core.NodeNumber < 0 {
		core.NodeNumber = nodeNumber(c.Name)
	}
	// If the config names no peers, load gossip is sent to the members of the fleet.
	gossipsWithFleet := core.LoadGossip && c.FleetFile != ""
	core.LoadGossip = c.PeerAddress != "" || gossipsWithFleet
	cached, err := endpoint.Parse(c.CachedList)
	if err != nil {
		cached = endpoint.List{}
	}
	overhead := c.descriptorOverhead()
	return node.Start{
		Settings:           core,
		Listener:           listener,
		CachedList:         cached,
		MaxDescriptors:     max(c.maxDescriptors()-overhead, minConnectionDescriptors),
		DescriptorOverhead: overhead,
		SharesAddress:      c.AdminAddress != "",
	}, nil
}

// hashBits is the number of bits of a name's hash that form a node's number: 31, so that the number is not negative.
const hashBits = 31

// nodeNumber derives a node's number within its deployment from its name, for settings that do not state the number.
// It is the number at the end of the name, since platforms number their nodes in this way. A name without one yields
// part of its hash, which two nodes may share.
func nodeNumber(name string) int {
	withoutDigits := strings.TrimRight(name, "0123456789")
	digits := name[len(withoutDigits):]
	if number, err := strconv.ParseInt(digits, 10, 32); err == nil {
		return int(number)
	}
	return int(line.Hash([]byte(name)) >> (64 - hashBits))
}
