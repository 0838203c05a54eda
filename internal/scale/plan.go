package scale

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"

	"gorseledge/internal/fleet"
)

const (
	port       = 7000 // of every member's address
	joinPoints = 5    // members that every node knows at its start
	// The runs of one machine take a network of their own each: 127.NETWORK.0.0/16.
	firstNetwork, lastNetwork = 100, 250
)

// NodePlan is one node as it is planned.
type NodePlan struct {
	Name    string
	Address string
	Zone    string
	Region  int
	Rack    int // in its zone
	Real    bool
	Process int // that hosts it, where it is hollow
}

// Plan is a fleet of one size.
type Plan struct {
	ID      string // of the fleet
	Key     string
	Nodes   []NodePlan
	hold    net.Listener          // keeps the network
	own     string                // the run's own address
	network int                   // of its addresses
	control []fleet.ControlServer // that nodes follow; none for not at all
	via     []map[string]string   // by region, where the control servers are reached
}

// newPlan plans a fleet: nodes go to the zones in turn, the real ones first, so that every zone has some.
func newPlan(s *Script, size int, seed uint64) (*Plan, error) {
	network, hold, err := takeNetwork()
	if err != nil {
		return nil, err
	}
	r := rand.New(rand.NewPCG(seed, uint64(size)))
	p := &Plan{network: network, ID: fmt.Sprintf("scale-%d-%d", seed, size), hold: hold, own: fmt.Sprintf("127.%d.255.254:%d", network, port),
		Key: hex.EncodeToString(fmt.Appendf(nil, "%016x%016x", r.Uint64(), r.Uint64()))}
	regionOf := map[int]int{}
	for region, zones := range s.ZonesOf {
		for range zones {
			regionOf[len(regionOf)] = region
		}
	}
	zones := len(regionOf)
	for i := range size {
		zone := i % zones
		p.Nodes = append(p.Nodes, NodePlan{Name: fmt.Sprintf("n%04d", i), Zone: string(rune('a' + zone)), Region: regionOf[zone],
			// The same length for every address, so that messages differ by nothing else.
			Address: fmt.Sprintf("127.%d.%d.%d:%d", network, 100+i/100, 100+i%100, port), Rack: i / zones / s.Rack, Real: i < s.Real})
	}
	processes := hollowProcesses(size-s.Real, s.PerProcess)
	next := s.Real
	for process, nodes := range processes {
		for range nodes {
			p.Nodes[next].Process = process
			next++
		}
	}
	return p, nil
}

// hollowProcesses gives how many nodes each hollow process hosts: different numbers, so that what a process costs and
// what a node in it costs can be told apart.
func hollowProcesses(nodes, mean int) (out []int) {
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

// takeNetwork takes a network of loopback addresses that no other run on this machine has.
func takeNetwork() (int, net.Listener, error) {
	first := firstNetwork + rand.IntN(lastNetwork-firstNetwork)
	for i := range lastNetwork - firstNetwork {
		network := firstNetwork + (first+i)%(lastNetwork-firstNetwork)
		if hold, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", network, port)); err == nil {
			return network, hold, nil
		}
	}
	return 0, nil, errors.New("no free network of loopback addresses")
}

func (p *Plan) close() { p.hold.Close() }

// file is the fleet file of a node.
func (p *Plan) file(s *Script, n NodePlan) fleet.Config {
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

// follow has all nodes follow control servers.
func (p *Plan) follow(c *controls) {
	for _, server := range c.servers {
		p.control = append(p.control, fleet.ControlServer{Name: server.name, Address: server.address, Region: regionName(server.region)})
	}
	for _, n := range p.Nodes {
		for len(p.via) <= n.Region {
			p.via = append(p.via, c.via(len(p.via)))
		}
	}
}

// introduce tells the nodes at some addresses of all members that run.
func (p *Plan) introduce(ctx context.Context, members []memberFacts, to []string) error {
	return fleet.SeedMembers(ctx, fleet.Config{Fleet: p.ID, Key: p.Key, Address: p.own}, facts(members), to, introducePause)
}
