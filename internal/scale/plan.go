package scale

import (
	"context"
	"encoding/hex"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"

	"gorseledge/internal/fleet"
)

const (
	port       = 7000 // port of every member's address
	joinPoints = 5    // join addresses in every node's fleet file
	// Each concurrent run on a machine uses its own network 127.NETWORK.0.0/16, with firstNetwork <= NETWORK < lastNetwork.
	firstNetwork, lastNetwork = 100, 250
)

// NodePlan is the planned identity and location of one node.
type NodePlan struct {
	Name    string
	Address string
	Zone    string
	Region  int
	Rack    int // number of the rack within the zone
	Real    bool
	Process int // hollow process that hosts the node; unused for a real node
}

// Plan is the planned fleet of one size.
type Plan struct {
	ID          string // fleet ID
	Key         string
	Nodes       []NodePlan
	reservation net.Listener          // listener that reserves the network
	ownAddress  string                // address from which the run sends member lists
	network     int                   // second byte of all addresses
	control     []fleet.ControlServer // control servers that nodes follow; empty if they follow none
	via         []map[string]string   // by region and server address: address of the relay to the control server
}

// newPlan plans a fleet and reserves its network. Nodes are assigned to the zones in turn, the real ones first, so that the
// real nodes are spread over the zones.
func newPlan(s *Script, size int, seed uint64) (*Plan, error) {
	network, reservation, err := reserveNetwork(func(address string) (net.Listener, error) { return net.Listen("tcp", address) })
	if err != nil {
		return nil, err
	}
	r := rand.New(rand.NewPCG(seed, uint64(size)))
	p := &Plan{network: network, ID: fmt.Sprintf("scale-%d-%d", seed, size), reservation: reservation,
		ownAddress: fmt.Sprintf("127.%d.255.254:%d", network, port),
		Key:        hex.EncodeToString(fmt.Appendf(nil, "%016x%016x", r.Uint64(), r.Uint64()))}
	regionOf := map[int]int{}
	for region, zones := range s.ZonesPerRegion {
		for range zones {
			regionOf[len(regionOf)] = region
		}
	}
	zones := len(regionOf)
	for i := range size {
		zone := i % zones
		p.Nodes = append(p.Nodes, NodePlan{Name: fmt.Sprintf("n%04d", i), Zone: string(rune('a' + zone)), Region: regionOf[zone],
			// All addresses have the same length, so that the size of messages does not depend on the node.
			Address: fmt.Sprintf("127.%d.%d.%d:%d", network, 100+i/100, 100+i%100, port), Rack: i / zones / s.Rack, Real: i < s.Real})
	}
	processes := nodesPerProcess(size-s.Real, s.PerProcess)
	next := s.Real
	for process, nodes := range processes {
		for range nodes {
			p.Nodes[next].Process = process
			next++
		}
	}
	return p, nil
}

// nodesPerProcess returns how many nodes each hollow process hosts, about mean on average. The numbers differ, so that a
// line fitted through the processes' memory separates the memory of a process from that of a node.
func nodesPerProcess(nodes, mean int) (out []int) {
	n := max(nodes/mean, min(3, nodes))
	rest := nodes
	for i := range n {
		share := int(float64(nodes) / float64(n) * (0.5 + float64(i)/float64(max(n-1, 1))))
		share = max(min(share, rest-(n-1-i)), 1)
		if i == n-1 {
			share = rest
		}
		out = append(out, share)
		rest -= share
	}
	return out
}

// reserveNetwork reserves a network of loopback addresses that no other run on this machine uses, by listening at the
// address from which the run sends member lists. The first network to try is random.
func reserveNetwork(listen func(address string) (net.Listener, error)) (int, net.Listener, error) {
	first := firstNetwork + rand.IntN(lastNetwork-firstNetwork)
	var last error
	for i := range lastNetwork - firstNetwork {
		network := firstNetwork + (first+i)%(lastNetwork-firstNetwork)
		listener, err := listen(fmt.Sprintf("127.%d.255.254:%d", network, port))
		if err == nil {
			return network, listener, nil
		}
		last = err
	}
	return 0, nil, fmt.Errorf("reserving a network of loopback addresses: none is free from 127.%d.0.0/16 to 127.%d.0.0/16, the last: %w",
		firstNetwork, lastNetwork-1, last)
}

func (p *Plan) close() { p.reservation.Close() }

// fleetFile returns the fleet file of a node. Every node has the same join addresses, evenly spaced among the nodes.
func (p *Plan) fleetFile(s *Script, n NodePlan) fleet.Config {
	c := fleet.Config{Fleet: p.ID, Address: n.Address, Key: p.Key, Zone: n.Zone, Period: s.Period}
	if len(p.control) > 0 {
		c.Region, c.Control, c.Via = regionName(n.Region), p.control, maps.Clone(p.via[n.Region])
	}
	points := min(joinPoints, len(p.Nodes))
	for i := range points {
		c.Join = append(c.Join, p.Nodes[i*len(p.Nodes)/points].Address)
	}
	return c
}

// followControlServers sets the control servers that all nodes follow, and the relays through which each region reaches them.
func (p *Plan) followControlServers(c *controlServers) {
	for _, server := range c.servers {
		p.control = append(p.control, fleet.ControlServer{Name: server.name, Address: server.address, Region: regionName(server.region)})
	}
	for _, n := range p.Nodes {
		for len(p.via) <= n.Region {
			p.via = append(p.via, c.via(len(p.via)))
		}
	}
}

// sendMembers sends the records of members to the nodes at the addresses in to.
func (p *Plan) sendMembers(ctx context.Context, members []memberRecord, to []string) error {
	return fleet.SeedMembers(ctx, fleet.Config{Fleet: p.ID, Key: p.Key, Address: p.ownAddress}, toMembers(members), to,
		memberMessageInterval)
}
