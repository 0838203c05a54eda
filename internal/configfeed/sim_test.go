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
	simStart      = 1e6  // virtual Unix time at which a simulation begins
	latency       = 0.01 // seconds one way within a region, and three times that between regions
	headerBytes   = 300  // of an HTTP request or answer beside its body, as reckoned
	inForceWithin = 6.0
	stepsASecond  = 200 // of a process, at the most
)

// simulation is a set of servers and nodes on a virtual clock, with faults between them.
type simulation struct {
	clock   virtual.Clock
	random  *rand.Rand
	rules   rules
	servers []*simServer
	nodes   []*simNode
	cuts    map[[2]string]bool // from, to
	loss    float64
	saved   map[Version][]State // every state that the writer's disk ever held
	yes     []promise
	breaks  []string
}

// promise is a proposal that was accepted.
type promise struct {
	id      string
	version Version
}

// process is one that may be killed, or stopped and continued. What comes while it is stopped waits.
type process struct {
	name, region string
	up, stopped  bool
	generation   int
	backlog      []func()
	bytes        int // sent and received by polls
}

func newSimulation(seed uint64, r rules) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 3)), rules: r, cuts: map[[2]string]bool{},
		saved: map[Version][]State{}}
	s.clock.Now = simStart
	return s
}

// regionsOf are the regions of the five servers: 2, 2 and 1.
var regionsOf = []string{"north", "north", "south", "south", "west"}

// raise starts servers and nodes.
func (s *simulation) raise(servers, nodes int) {
	var addresses []ServerAddress
	for i := range servers {
		name := fmt.Sprintf("c%d", i)
		addresses = append(addresses, ServerAddress{Name: name, Address: name, Region: regionsOf[i]})
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

// runFor lets virtual time pass. More steps than any course should take are a loop, and end the test.
func (s *simulation) runFor(seconds float64) {
	limit := s.clock.Steps + int((seconds+1)*stepsASecond)*len(s.processes())
	for end := s.clock.Now + seconds; s.clock.Step(end); {
		if s.clock.Steps > limit {
			panic("more steps than any course should take")
		}
	}
}

func (s *simulation) broken(format string, args ...any) {
	s.breaks = append(s.breaks, fmt.Sprintf("%.2f s: ", s.clock.Now-simStart)+fmt.Sprintf(format, args...))
}

// do has a process do something after a while, if it still runs then.
func (s *simulation) do(after float64, p *process, run func()) {
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

// send carries something from one process to another. Where the other one does not run, refused is called at the sender.
func (s *simulation) send(from, to *process, arrived, refused func()) {
	if s.lost(from, to) {
		return
	}
	delay := s.delay(from, to)
	s.clock.After(delay, func() {
		if to.up {
			s.do(0, to, arrived)
		} else if !s.lost(to, from) {
			s.do(delay, from, refused)
		}
	})
}

func (s *simulation) lost(from, to *process) bool {
	return s.cuts[[2]string{from.name, to.name}] || s.loss > 0 && s.random.Float64() < s.loss
}

func (s *simulation) delay(from, to *process) float64 {
	delay := latency * (0.5 + s.random.Float64())
	if from.region != to.region {
		delay *= 3
	}
	return delay
}

// cut cuts the way from one process to another, or mends it.
func (s *simulation) cut(from, to string, cut bool) { s.cuts[[2]string{from, to}] = cut }

// cutRegion cuts a region off from the others, or mends that.
func (s *simulation) cutRegion(region string, cut bool) {
	all := s.processes()
	for _, a := range all {
		for _, b := range all {
			if (a.region == region) != (b.region == region) {
				s.cut(a.name, b.name, cut)
			}
		}
	}
}

func (s *simulation) processes() (all []*process) {
	for _, server := range s.servers {
		all = append(all, &server.process)
	}
	for _, node := range s.nodes {
		all = append(all, &node.process)
	}
	return all
}

// begin marks the process as running.
func (p *process) begin() {
	p.up, p.stopped, p.backlog = true, false, nil
	p.generation++
}

// kill ends the process.
func (p *process) kill() { p.up, p.stopped, p.backlog = false, false, nil }

// stop holds the process up.
func (p *process) stop() { p.stopped = p.up }

// resume has a process that was stopped go on with what came meanwhile.
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

// behind gives the nodes that run and are not at a version.
func (s *simulation) behind(v Version) (names []string) {
	for _, n := range s.nodes {
		if n.up && n.state.Version != v {
			names = append(names, fmt.Sprintf("%s at %s", n.name, n.state.Version))
		}
	}
	return names
}

// lastInForce runs for some seconds and gives how long the last of the nodes that run then took to put the writer's
// version in force, counted from the beginning; infinity where one has not.
func (s *simulation) lastInForce(seconds float64) (took float64) {
	begin := s.clock.Now
	s.runFor(seconds)
	for _, n := range s.nodes {
		switch {
		case !n.up:
		case n.state.Version != s.writer().disk.State.Version:
			return math.Inf(1)
		default:
			took = max(took, n.since-begin)
		}
	}
	return took
}

// report fails the test with what broke.
func (s *simulation) report(t testing.TB) {
	t.Helper()
	if len(s.breaks) > 0 {
		t.Fatalf("%d broken, first: %s", len(s.breaks), s.breaks[0])
	}
}

// holds tells whether the writer's disk ever held exactly this state.
func (s *simulation) holds(state State) bool {
	return slices.ContainsFunc(s.saved[state.Version], func(known State) bool {
		return slices.Equal(known.Entries, state.Entries)
	})
}
