package scale

import (
	"errors"
	"net"
	"syscall"
	"testing"
)

// Guards against zones without real nodes, racks that are not full, names or addresses of different lengths (they would make
// one node's messages longer), and hollow processes too equal in size to fit the memory of a node.
func TestPlanSpreadsNodesOverZones(t *testing.T) {
	s, err := Read("script", []byte("sizes = [860]\nreal = 16\n"))
	if err != nil {
		t.Fatal(err)
	}
	p, err := newPlan(s, 860, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer p.close()
	nodes, reals, racks, regions := map[string]int{}, map[string]int{}, map[string]int{}, map[int]int{}
	addresses, processes := map[string]bool{}, map[int]int{}
	for _, n := range p.Nodes {
		nodes[n.Zone]++
		regions[n.Region]++
		addresses[n.Address] = true
		if len(n.Address) != len(p.Nodes[0].Address) || len(n.Name) != len(p.Nodes[0].Name) {
			t.Errorf("%s at %s: length differs from the first node's", n.Name, n.Address)
		}
		if n.Rack == 0 {
			racks[n.Zone]++
		}
		if n.Real {
			reals[n.Zone]++
		} else {
			processes[n.Process]++
		}
	}
	for zone, n := range nodes {
		if n < 107 || n > 108 || reals[zone] != 2 || racks[zone] != 20 {
			t.Errorf("zone %s: %d nodes, %d real, %d in its first rack", zone, n, reals[zone], racks[zone])
		}
	}
	if len(nodes) != 8 || len(regions) != 3 || regions[2] != 214 || len(addresses) != 860 {
		t.Errorf("%d zones, regions %v, %d addresses", len(nodes), regions, len(addresses))
	}
	smallest, largest := 1000, 0
	for _, n := range processes {
		smallest, largest = min(smallest, n), max(largest, n)
	}
	if smallest*2 > largest {
		t.Errorf("processes host %d to %d nodes: too equal to separate the memory of a node from that of a process", smallest, largest)
	}
}

// Guards against nodes that no process hosts, and processes without nodes, for any mean number of nodes per process.
func TestNodesPerProcessCoversAllNodes(t *testing.T) {
	for _, c := range []struct{ nodes, mean int }{{1, 100}, {2, 1}, {34, 12}, {844, 100}, {1704, 70}, {3, 500}} {
		sum := 0
		for _, n := range nodesPerProcess(c.nodes, c.mean) {
			if n < 1 {
				t.Errorf("%+v: a process without a node", c)
			}
			sum += n
		}
		if sum != c.nodes {
			t.Errorf("%+v: %d nodes hosted", c, sum)
		}
	}
}

// Guards against two concurrent runs on one machine that use the same addresses.
func TestConcurrentPlansShareNoAddress(t *testing.T) {
	s, err := Read("script", []byte("sizes = [20]\nreal = 3\n"))
	if err != nil {
		t.Fatal(err)
	}
	a, err := newPlan(s, 20, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer a.close()
	b, err := newPlan(s, 20, 1)
	if err != nil {
		t.Fatal(err)
	}
	defer b.close()
	if a.Nodes[0].Address == b.Nodes[0].Address {
		t.Errorf("both plans use %s", a.Nodes[0].Address)
	}
}

// Guards against an error that says that no network is free but not why: a process without descriptors looks like a machine
// full of other runs.
func TestNoFreeNetworkNamesTheCause(t *testing.T) {
	refused := func(string) (net.Listener, error) { return nil, syscall.EMFILE }
	if _, _, err := reserveNetwork(refused); !errors.Is(err, syscall.EMFILE) {
		t.Errorf("error %v, want one that wraps %v", err, syscall.EMFILE)
	}
}
