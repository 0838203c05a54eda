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
	latency           = 0.01 // seconds one way within a region, and three times that between regions
	headerBytes       = 300  // of an HTTP request or answer beside its body, as reckoned
	inForceWithin     = 6.0
	maxStepsPerSecond = 200 // of a process, at the most
)

// simulation runs servers and nodes on a virtual clock, with faults of processes, disks and the network.
type simulation struct {
	clock      virtual.Clock
	random     *rand.Rand
	rules      rules
	servers    []*simServer
	nodes      []*simNode
	cutLinks   map[[2]string]bool // from, to
	loss       float64
	saved      map[Version][]State // every state that the writer's disk ever held
	accepted   []acceptedProposal
	violations []string
}

// acceptedProposal is a proposal that was accepted.
type acceptedProposal struct {
	id      string
	version Version
}

// process is a simulated process, which may be killed, or stopped and resumed. While it is stopped its input waits.
type process struct {
	name, region string
	up, stopped  bool
	generation   int
	backlog      []func()
	bytes        int // sent and received by polls
}

// newSimulation returns a simulation without processes.
func newSimulation(seed uint64, r rules) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 3)), rules: r, cutLinks: map[[2]string]bool{},
		saved: map[Version][]State{}}
	s.clock.Now = simStart
	return s
}

// serverRegions are the regions of the five servers: 2, 2 and 1.
var serverRegions = []string{"north", "north", "south", "south", "west"}

// startAll starts that many servers and nodes.
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

// runFor advances the virtual clock. It panics after more steps than any run should take, since that is a loop.
func (s *simulation) runFor(seconds float64) {
	limit := s.clock.Steps + int((seconds+1)*maxStepsPerSecond)*len(s.processes())
	for end := s.clock.Now + seconds; s.clock.Step(end); {
		if s.clock.Steps > limit {
			panic("more steps than any run should take")
		}
	}
}

// violated records that a property does not hold.
func (s *simulation) violated(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("%.2f s: ", s.clock.Now-simStart)+fmt.Sprintf(format, args...))
}

// runAfter runs a function in a process after some seconds, unless the process has ended by then.
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

// send delivers a message: arrived runs in the receiver, or refused in the sender where the receiver does not run. A
// message that is lost has neither effect.
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

// drops reports whether a message is lost.
func (s *simulation) drops(from, to *process) bool {
	if s.cutLinks[[2]string{from.name, to.name}] {
		return true
	}
	return s.loss > 0 && s.random.Float64() < s.loss
}

// delay draws the seconds that a message takes.
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

// resume continues a process that was stopped, with the input that has waited.
func (p *process) resume() {
	p.stopped = false
	backlog := p.backlog
	p.backlog = nil
	for _, step := range backlog {
		step()
	}
}

// writer is the server that takes proposals.
func (s *simulation) writer() *simServer { return s.servers[0] }

// serverNamed returns the server with a name.
func (s *simulation) serverNamed(name string) *simServer {
	index := slices.IndexFunc(s.servers, func(server *simServer) bool { return server.name == name })
	return s.servers[index]
}

// behind describes the running nodes that do not have a version.
func (s *simulation) behind(v Version) (names []string) {
	for _, n := range s.nodes {
		if n.up && n.state.Version != v {
			names = append(names, fmt.Sprintf("%s at %s", n.name, n.state.Version))
		}
	}
	return names
}

// lastInForce advances the clock and returns after how many seconds the last running node had the writer's version in
// force; infinity if one has not.
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

// requireNoViolation ends the test unless all checked properties hold.
func (s *simulation) requireNoViolation(t testing.TB) {
	t.Helper()
	if len(s.violations) > 0 {
		t.Fatalf("%d violations, first: %s", len(s.violations), s.violations[0])
	}
}

// wasSaved reports whether the writer's disk ever held exactly this state.
func (s *simulation) wasSaved(state State) bool {
	return slices.ContainsFunc(s.saved[state.Version], func(known State) bool {
		return slices.Equal(known.Entries, state.Entries)
	})
}
