package sockets

import (
	"strconv"
	"strings"

	"gorseledge/internal/discovery/endpoint"
	"gorseledge/internal/line"
	"gorseledge/internal/node"
	"gorseledge/internal/settings"
)

// start turns the config into the core's start. A cached list that does not parse counts as empty. Settings that
// cannot be taken are a *settings.KeyError.
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
	// Where the config names no peers, the gossip goes to the members of the fleet.
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
	}, nil
}

// hashBits is how many bits of a name's hash make a node's number, which is positive.
const hashBits = 31

// nodeNumber gives a node's number among the nodes of its deployment where the settings do not: the one that its name
// ends with, as platforms number their nodes, or else part of a hash of the name, which two nodes may share.
func nodeNumber(name string) int {
	withoutDigits := strings.TrimRight(name, "0123456789")
	digits := name[len(withoutDigits):]
	if number, err := strconv.ParseInt(digits, 10, 32); err == nil {
		return int(number)
	}
	return int(line.Hash([]byte(name)) >> (64 - hashBits))
}
