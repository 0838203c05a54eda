package configfeed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"gorseledge/internal/emulator/virtual"
)

const (
	simStart          = 1e6  // virtual Unix time at which a simulation begins
	latency           = 0.01 // seconds one way within a region; three times as long between regions
	headerBytes       = 300  // assumed size of the HTTP header of a request or answer
	inForceWithin     = 6.0  // seconds within which a change has to be in force everywhere
	maxStepsPerSecond = 200  // maximum steps per second and process
)

// simulation runs servers and nodes on a virtual clock, and injects faults of processes, disks and the network.
type simulation struct {
	clock      virtual.Clock
	random     *rand.Rand
	rules      rules
	servers    []*simServer
	nodes      []*simNode
	cutLinks   map[[2]string]bool  // from, to
	loss       float64             // probability with which a message is lost
	saved      map[Version][]State // every state that was ever on the writer's disk, by version
	accepted   []acceptedProposal
	violations []string
}

// acceptedProposal is a proposal that was accepted.
type acceptedProposal struct {
	id      string
	version Version
}

// process is a simulated process, which can be killed, or stopped and resumed. Its input is queued while it is stopped.
type process struct {
	name, region string
	up, stopped  bool
	generation   int      // number of starts, which distinguishes a process from its earlier runs
	backlog      []func() // input that is queued while the process is stopped
	bytes        int      // sent and received by polls
}

// newSimulation returns a simulation without processes.
func newSimulation(seed uint64, r rules) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 3)), rules: r, cutLinks: map[[2]string]bool{},
		saved: map[Version][]State{}}
	s.clock.Now = simStart
	return s
}

// serverRegions are the regions of the servers, in order.
var serverRegions = []string{"north", "north", "south", "south", "west"}

// startAll creates and starts the given numbers of servers and nodes.
func (s *simulation) startAll(servers, nodes int) {
	var addresses []ServerAddress
	for i := range servers {
		name := fmt.Sprintf("c%d", i)
		addresses = append(addresses, ServerAddress{Name: name, Address: name, Region: serverRegions[i]})
	}
	for _, a := range addresses {
		c := ServerConfig{Name: a.Name, Region: a.Region, Servers: addresses, Writer: "c0", Seed: s.random.Uint64()}
		s.servers = append(s.servers, &simServer{process: process{name: a.Name, region: a.Region}, sim: s, config: c})
	}
	regions := []string{"north", "south", "west"}
	for i := range nodes {
		name := fmt.Sprintf("n%d", i)
		region := regions[i%len(regions)]
		c := FollowerConfig{Name: name, Region: region, Servers: addresses, Seed: s.random.Uint64()}
		s.nodes = append(s.nodes, &simNode{process: process{name: name, region: region}, sim: s, config: c})
	}
	for _, server := range s.servers {
		server.start()
	}
	for _, node := range s.nodes {
		node.start()
	}
}

// runFor advances the virtual clock. It panics if the processes exceed maxStepsPerSecond, which indicates an endless loop.
func (s *simulation) runFor(seconds float64) {
	limit := s.clock.Steps + int((seconds+1)*maxStepsPerSecond)*len(s.processes())
	for end := s.clock.Now + seconds; s.clock.Step(end); {
		if s.clock.Steps > limit {
			panic("the processes exceed maxStepsPerSecond")
		}
	}
}

// recordViolation records a violation of a property.
func (s *simulation) recordViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("%.2f s: ", s.clock.Now-simStart)+fmt.Sprintf(format, args...))
}

// runAfter runs a function in a process after a delay in seconds, unless the process has ended by then.
func (s *simulation) runAfter(after float64, p *process, run func()) {
	generation := p.generation
	var step func()
	step = func() {
		switch {
		case !p.up || p.generation != generation:
		case p.stopped:
			p.backlog = append(p.backlog, step)
		default:
			run()
		}
	}
	s.clock.After(after, step)
}

// send delivers a message. It runs arrived in the receiver, or refused in the sender if the receiver is down. If the
// message is lost, it runs neither.
func (s *simulation) send(from, to *process, arrived, refused func()) {
	if s.drops(from, to) {
		return
	}
	delay := s.delay(from, to)
	s.clock.After(delay, func() {
		if to.up {
			s.runAfter(0, to, arrived)
		} else if !s.drops(to, from) {
			s.runAfter(delay, from, refused)
		}
	})
}

// drops reports whether a message is lost, because the link is cut or by chance.
func (s *simulation) drops(from, to *process) bool {
	if s.cutLinks[[2]string{from.name, to.name}] {
		return true
	}
	return s.loss > 0 && s.random.Float64() < s.loss
}

// delay returns a random delivery time of a message, in seconds.
func (s *simulation) delay(from, to *process) float64 {
	delay := latency * (0.5 + s.random.Float64())
	if from.region != to.region {
		delay *= 3
	}
	return delay
}

// setLinkCut cuts the link from one process to another, or restores it.
func (s *simulation) setLinkCut(from, to string, cut bool) { s.cutLinks[[2]string{from, to}] = cut }

// setRegionCut cuts all links between a region and the others, or restores them.
func (s *simulation) setRegionCut(region string, cut bool) {
	all := s.processes()
	for _, a := range all {
		for _, b := range all {
			if (a.region == region) != (b.region == region) {
				s.setLinkCut(a.name, b.name, cut)
			}
		}
	}
}

// processes returns all servers, then all nodes.
func (s *simulation) processes() (all []*process) {
	for _, server := range s.servers {
		all = append(all, &server.process)
	}
	for _, node := range s.nodes {
		all = append(all, &node.process)
	}
	return all
}

// markRunning marks the process as running.
func (p *process) markRunning() {
	p.up, p.stopped, p.backlog = true, false, nil
	p.generation++
}

// kill ends the process.
func (p *process) kill() { p.up, p.stopped, p.backlog = false, false, nil }

// stop suspends the process if it runs.
func (p *process) stop() { p.stopped = p.up }

// resume continues a stopped process, which first handles the queued input.
func (p *process) resume() {
	p.stopped = false
	backlog := p.backlog
	p.backlog = nil
	for _, step := range backlog {
		step()
	}
}

// writer returns the server that accepts proposals.
func (s *simulation) writer() *simServer { return s.servers[0] }

// serverNamed returns the server with a name.
func (s *simulation) serverNamed(name string) *simServer {
	index := slices.IndexFunc(s.servers, func(server *simServer) bool { return server.name == name })
	return s.servers[index]
}

// behind describes the running nodes that do not have the given version in force.
func (s *simulation) behind(v Version) (names []string) {
	for _, n := range s.nodes {
		if n.up && n.state.Version != v {
			names = append(names, fmt.Sprintf("%s at %s", n.name, n.state.Version))
		}
	}
	return names
}

// lastInForce advances the clock by the given seconds. It returns after how many seconds the last running node put the
// writer's version in force, or infinity if a running node does not have it in force.
func (s *simulation) lastInForce(seconds float64) (took float64) {
	begin := s.clock.Now
	s.runFor(seconds)
	for _, n := range s.nodes {
		switch {
		case !n.up:
		case n.state.Version != s.writer().disk.State.Version:
			return math.Inf(1)
		default:
			took = max(took, n.inForceSince-begin)
		}
	}
	return took
}

// requireNoViolation fails the test if a violation was recorded.
func (s *simulation) requireNoViolation(t testing.TB) {
	t.Helper()
	if len(s.violations) > 0 {
		t.Fatalf("%d violations, first: %s", len(s.violations), s.violations[0])
	}
}

// wasSaved reports whether exactly this state was ever on the writer's disk.
func (s *simulation) wasSaved(state State) bool {
	return slices.ContainsFunc(s.saved[state.Version], func(known State) bool {
		return slices.Equal(known.Entries, state.Entries)
	})
}
